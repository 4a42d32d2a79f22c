"""How slow targets are, learned from the run times and the progress of their tasks.

Declared run times are often far off. So each queue has its usual ratio of run time and declared
run time, and a target counts as slow when its tasks take much longer than is usual for theirs.
"""

import datetime
import math

from chiveridge_pool import grants, identifiers

SLOW_RATIO = 2.2
"""Run time against the usual one on a slow target; sound ones differ by up to 1.25."""

CRAWL_RATIO = 4.8
"""The same for a run that is still in progress, whose progress is told roughly."""

_WEIGHT = 0.35
"""Weight of the newest run time in a target's mean: three tasks outweigh what was known."""

_USUAL_WEIGHT = 0.02
_LARGEST_STEP = 1.0
"""Most that one task may say against what is usual, as a natural logarithm."""

_ENDS_TO_JUDGE = 5
"""Ends of a queue's tasks before its runs are judged by their progress."""

_FIRST_PROGRESS = datetime.timedelta(milliseconds=40)
"""Run time before which progress says little."""

_LEAST_PERCENT = 3
_STANDSTILL = datetime.timedelta(milliseconds=100)
_DOUBT = 2
"""How much longer a run of a queue that is not known yet may make no progress."""

_NO_END = 100.0
_LARGEST_EXCESS = 3.0
"""Most that a target's excess becomes, so that a few good run times outweigh it."""

_RESTART_COST = datetime.timedelta(milliseconds=30)
_WORTH_RESTART = 1.5
"""A run is moved when it would be done sooner by this factor elsewhere."""

_SMALLEST = datetime.timedelta(milliseconds=1)


class _Usual:
    """Mean of a queue's ratios, as a natural logarithm."""

    def __init__(self):
        self.mean = 0.0
        self.ends = 0

    def add(self, ratio: float) -> None:
        """Learn from one task."""
        self.ends += 1
        step = max(-_LARGEST_STEP, min(ratio - self.mean, _LARGEST_STEP))
        self.mean += max(_USUAL_WEIGHT, 1 / self.ends) * step


class Speeds:
    """Excess of the run time over the usual one, by target, as a natural logarithm."""

    def __init__(self):
        self._usual_by_queue: dict[identifiers.QueueName, _Usual] = {}
        self._excess_by_target: dict[identifiers.TargetId, float] = {}

    def ended(
        self, target: identifiers.TargetId, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        """Learn from a task that is done."""
        if grant.running_since is None:
            return
        ratio = math.log((now - grant.running_since + _SMALLEST) / _declared(grant))
        usual = self._usual(grant)
        usual.add(ratio)
        known = self._excess_by_target.get(target, 0.0)
        self._excess_by_target[target] = known + _WEIGHT * (ratio - usual.mean - known)

    def progressed(
        self, target: identifiers.TargetId, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        """Learn from a run that takes far longer than is usual, or makes no progress."""
        usual = self._usual(grant)
        if usual.ends < _ENDS_TO_JUDGE and not self._stands_still(grant, now):
            return
        excess = math.log(self._expected(grant, now) / _declared(grant)) - usual.mean
        if excess > math.log(CRAWL_RATIO):
            known = self._excess_by_target.get(target, 0.0)
            self._excess_by_target[target] = max(known, min(excess, _LARGEST_EXCESS))

    def is_slow(self, target: identifiers.TargetId) -> bool:
        """Tell whether a target takes much longer than is usual."""
        return self._excess_by_target.get(target, 0.0) > math.log(SLOW_RATIO)

    def is_sooner_elsewhere(self, grant: grants.Grant, now: datetime.datetime) -> bool:
        """Tell whether a run would be done much sooner if it was started anew."""
        if now - grant.running_since < _FIRST_PROGRESS:
            return False
        expected = self._expected(grant, now)
        left = expected - (now - grant.running_since)
        anew = self._usual_time(grant) + _RESTART_COST
        return left > _WORTH_RESTART * anew and expected > SLOW_RATIO * anew

    def _usual(self, grant: grants.Grant) -> _Usual:
        return self._usual_by_queue.setdefault(grant.queue, _Usual())

    def _usual_time(self, grant: grants.Grant) -> datetime.timedelta:
        return _declared(grant) * math.exp(self._usual(grant).mean)

    def _expected(self, grant: grants.Grant, now: datetime.datetime) -> datetime.timedelta:
        """Return the whole run time that the progress so far leads to."""
        elapsed = now - grant.running_since
        if self._stands_still(grant, now):
            return max(elapsed, _SMALLEST) * _NO_END
        if elapsed < _FIRST_PROGRESS or grant.percent < _LEAST_PERCENT:
            return self._usual_time(grant)
        return elapsed * (100 / grant.percent)

    def _stands_still(self, grant: grants.Grant, now: datetime.datetime) -> bool:
        """Tell whether a run has made no progress for as long as it should take in all."""
        is_known = self._usual(grant).ends >= _ENDS_TO_JUDGE
        whole = self._usual_time(grant) * (1 if is_known else _DOUBT)
        return now - grant.progressed_at > whole + _STANDSTILL


def _declared(grant: grants.Grant) -> datetime.timedelta:
    return max(grant.estimate, _SMALLEST)

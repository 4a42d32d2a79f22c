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

_STANDSTILL_PERCENT = 3
_LONG_FOR_DECLARED = 2
_LONG = datetime.timedelta(milliseconds=100)
"""What is long for a task of a queue that is not known yet."""

_NO_END = 100.0
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
        self,
        target: identifiers.TargetId,
        grant: grants.Grant,
        percent: int,
        now: datetime.datetime,
    ) -> None:
        """Learn from a task that takes far longer than is usual."""
        if grant.running_since is None:
            return
        usual = self._usual(grant)
        is_known = usual.ends >= _ENDS_TO_JUDGE
        if not is_known and not _stands_still(grant, percent, now):
            return
        excess = math.log(self._expected(grant, percent, now) / _declared(grant)) - usual.mean
        if excess > math.log(CRAWL_RATIO):
            known = self._excess_by_target.get(target, 0.0)
            self._excess_by_target[target] = max(known, excess)

    def is_slow(self, target: identifiers.TargetId) -> bool:
        """Tell whether a target takes much longer than is usual."""
        return self._excess_by_target.get(target, 0.0) > math.log(SLOW_RATIO)

    def is_sooner_elsewhere(
        self, grant: grants.Grant, percent: int, now: datetime.datetime
    ) -> bool:
        """Tell whether a run would be done much sooner if it was started anew."""
        if grant.running_since is None or now - grant.running_since < _FIRST_PROGRESS:
            return False
        expected = self._expected(grant, percent, now)
        left = expected - (now - grant.running_since)
        anew = self._usual_time(grant) + _RESTART_COST
        return left > _WORTH_RESTART * anew and expected > SLOW_RATIO * anew

    def _usual(self, grant: grants.Grant) -> _Usual:
        return self._usual_by_queue.setdefault(grant.queue, _Usual())

    def _usual_time(self, grant: grants.Grant) -> datetime.timedelta:
        return _declared(grant) * math.exp(self._usual(grant).mean)

    def _expected(
        self, grant: grants.Grant, percent: int, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return the whole run time that the progress so far leads to."""
        usual = self._usual_time(grant)
        elapsed = now - grant.running_since
        if elapsed < _FIRST_PROGRESS:
            return usual
        if percent < _STANDSTILL_PERCENT:
            # No progress says little before a sound target would have been done.
            return elapsed * _NO_END if elapsed > usual else usual
        return elapsed * (100 / percent)


def _stands_still(grant: grants.Grant, percent: int, now: datetime.datetime) -> bool:
    """Tell whether a run has made no progress in a time that is long for any task."""
    long = _LONG_FOR_DECLARED * _declared(grant) + _LONG
    return percent < _STANDSTILL_PERCENT and now - grant.running_since > long


def _declared(grant: grants.Grant) -> datetime.timedelta:
    return max(grant.estimate, _SMALLEST)

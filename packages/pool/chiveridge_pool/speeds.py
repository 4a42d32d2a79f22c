"""How slow targets are, learned from the run times and the progress of their tasks.

Declared run times are often far off, so that a target counts as slow only when several tasks in a
row, or the progress of one that takes long, say so.
"""

import datetime
import math

from chiveridge_pool import grants, identifiers

SLOW_RATIO = 2.2
"""Run time against the declared one, as a multiple of what is usual here, on a slow target."""

_WEIGHT = 0.35
"""Weight of the newest run time in the mean: three tasks outweigh what was known."""

_USUAL_WEIGHT = 0.02
_FIRST_PROGRESS = datetime.timedelta(milliseconds=40)
"""Run time before which progress says little."""

_STANDSTILL_PERCENT = 3
_RESTART_COST = datetime.timedelta(milliseconds=30)
_WORTH_RESTART = 1.5
"""A run is moved when it would be done sooner by this factor elsewhere."""

_NO_END = 100.0
_SMALLEST = datetime.timedelta(milliseconds=1)


class Speeds:
    """Mean ratio of run time and declared run time, by target; one for all targets as the usual."""

    def __init__(self):
        self._usual = 0.0
        self._by_target: dict[identifiers.TargetId, float] = {}

    def ended(
        self, target: identifiers.TargetId, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        """Learn from a task that is done."""
        if grant.running_since is None:
            return
        ratio = math.log((now - grant.running_since + _SMALLEST) / _declared(grant))
        if not self.is_slow(target):
            self._usual += _USUAL_WEIGHT * (ratio - self._usual)
        known = self._by_target.get(target, self._usual)
        self._by_target[target] = known + _WEIGHT * (ratio - known)

    def progressed(
        self,
        target: identifiers.TargetId,
        grant: grants.Grant,
        percent: int,
        now: datetime.datetime,
    ) -> None:
        """Learn from a task that takes longer than slow ones usually do."""
        ratio = math.log(self._expected(grant, percent, now) / _declared(grant))
        if ratio > self._usual + 2 * math.log(SLOW_RATIO):
            self._by_target[target] = max(self._by_target.get(target, self._usual), ratio)

    def is_slow(self, target: identifiers.TargetId) -> bool:
        """Tell whether a target takes much longer than is usual."""
        known = self._by_target.get(target, self._usual)
        return known - self._usual > math.log(SLOW_RATIO)

    def is_sooner_elsewhere(
        self, grant: grants.Grant, percent: int, now: datetime.datetime
    ) -> bool:
        """Tell whether a run would be done much sooner if it was started anew on a sound target."""
        if grant.running_since is None or now - grant.running_since < _FIRST_PROGRESS:
            return False
        expected = self._expected(grant, percent, now)
        left = expected - (now - grant.running_since)
        anew = _declared(grant) * math.exp(self._usual) + _RESTART_COST
        return left > _WORTH_RESTART * anew and expected > SLOW_RATIO * anew

    def forget(self, target: identifiers.TargetId) -> None:
        """Forget a target."""
        self._by_target.pop(target, None)

    def _expected(
        self, grant: grants.Grant, percent: int, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return the whole run time that the progress so far leads to."""
        if grant.running_since is None:
            return _declared(grant)
        elapsed = now - grant.running_since
        if elapsed < _FIRST_PROGRESS:
            return _declared(grant)
        if percent < _STANDSTILL_PERCENT:
            # No progress says little before a sound target would have been done.
            is_due = elapsed > _declared(grant) * math.exp(self._usual)
            return elapsed * _NO_END if is_due else _declared(grant)
        return elapsed * (100 / percent)


def _declared(grant: grants.Grant) -> datetime.timedelta:
    return max(grant.estimate, _SMALLEST)

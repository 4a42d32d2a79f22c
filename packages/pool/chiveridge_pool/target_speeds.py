"""Learns how fast each target is, from the run times of the tasks that are done there.

Targets of one service may be of different kinds. A target's speed is relative to that of the
others: 0.7 means that its runs take 1 / 0.7 times as long as is typical for their queues.
"""

import math
from collections.abc import Container

from chiveridge_pool import identifiers

_MIN_RUNS = 8
"""Runs before a target's speed is taken into account; single run times are far off."""

_MIN_WEIGHT = 0.08
"""Weight of the newest run; about a dozen runs outweigh all earlier ones."""

_MAX_EXCESS = 1.5
"""Upper limit of one run's excess, as a natural logarithm, so that a long task tells little."""

FAST_RATIO = 1.2
"""Speed above which a target counts as fast, relative to the typical one."""

_FAST_EXCESS = -math.log(FAST_RATIO)


class TargetSpeeds:
    """Mean excess of the run times on each target, as natural logarithms."""

    def __init__(self):
        self._mean_by_target: dict[identifiers.TargetId, float] = {}
        self._runs_by_target: dict[identifiers.TargetId, int] = {}
        self._fast: set[identifiers.TargetId] = set()

    def record(self, target: identifiers.TargetId, excess: float) -> None:
        """Record a run that is done and whose time exceeds the typical one by ``excess``."""
        excess = max(-_MAX_EXCESS, min(excess, _MAX_EXCESS))
        runs = self._runs_by_target.get(target, 0) + 1
        self._runs_by_target[target] = runs
        mean = self._mean_by_target.get(target, 0.0)
        self._mean_by_target[target] = mean + max(_MIN_WEIGHT, 1 / runs) * (excess - mean)
        self._update_fast(target)

    def _update_fast(self, target: identifiers.TargetId) -> None:
        if self.excess_of(target) < _FAST_EXCESS:
            self._fast.add(target)
        else:
            self._fast.discard(target)

    def excess_of(self, target: identifiers.TargetId) -> float:
        """Return the mean excess on a target; 0 until enough of its runs are known."""
        if self._runs_by_target.get(target, 0) < _MIN_RUNS:
            return 0.0
        return self._mean_by_target[target]

    def speed_of(self, target: identifiers.TargetId) -> float:
        """Return the speed of a target relative to a typical one; 1 until it is known."""
        return math.exp(-self.excess_of(target))

    def is_fast(self, target: identifiers.TargetId) -> bool:
        """Return whether a target is of a faster kind than is typical."""
        return target in self._fast

    def has_fast(self) -> bool:
        """Return whether any target is of a faster kind than is typical."""
        return bool(self._fast)

    def learned(self, target: identifiers.TargetId) -> tuple[float, int]:
        """Return a target's mean excess and the number of runs that it is from."""
        return self._mean_by_target.get(target, 0.0), self._runs_by_target.get(target, 0)

    def adopt(self, target: identifiers.TargetId, excess: float, runs: int) -> None:
        """Take over what the previous owner of a target has learned, unless it makes no sense."""
        if runs <= 0 or not math.isfinite(excess):
            return
        self._mean_by_target[target] = max(-_MAX_EXCESS, min(excess, _MAX_EXCESS))
        # Typical run times differ between owners, so that own runs should soon outweigh it.
        self._runs_by_target[target] = min(runs, _MIN_RUNS)
        self._update_fast(target)

    def forget(self, target: identifiers.TargetId) -> None:
        """Forget a target, as its next incarnation may be of another kind."""
        self._mean_by_target.pop(target, None)
        self._runs_by_target.pop(target, None)
        self._fast.discard(target)

    def retain(self, listed: Container[identifiers.TargetId]) -> None:
        """Forget the targets that are not listed any more."""
        for target in [target for target in self._mean_by_target if target not in listed]:
            self.forget(target)

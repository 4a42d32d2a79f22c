"""Speed of targets, learnt from run times: how much slower than usual a team's tasks run there.

Averages are of logarithms, which a few long tasks hardly move.
"""

import math

import msgspec

TARGET_SMOOTHING = 0.1
TEAM_SMOOTHING = 0.02
MIN_SAMPLES = 8
SLOW_RATIO = 2.5
_MIN_RUN_MS = 1.0


class Average(msgspec.Struct):
    """A moving average that starts as a plain one."""

    value: float = 0.0
    samples: int = 0

    def add(self, value: float, smoothing: float) -> None:
        """Move towards a value."""
        self.samples += 1
        self.value += max(smoothing, 1.0 / self.samples) * (value - self.value)


class Speeds:
    """Typical run times of teams, and of targets relative to them."""

    def __init__(self):
        self._log_run_by_team: dict[str, Average] = {}
        self._log_ratio_by_target: dict[str, Average] = {}
        self._run_ms = Average()

    def learn_team(self, team: str, run_ms: float) -> None:
        """Learn the run time of a task of a team, on any target."""
        average = self._log_run_by_team.setdefault(team, Average())
        average.add(math.log(max(run_ms, _MIN_RUN_MS)), TEAM_SMOOTHING)
        self._run_ms.add(run_ms, TEAM_SMOOTHING)

    def learn_target(self, target: str, team: str, run_ms: float) -> None:
        """Learn how a task of a team ran on a target."""
        typical = self._log_run_by_team.get(team)
        if typical is None or typical.samples < MIN_SAMPLES:
            return
        average = self._log_ratio_by_target.setdefault(target, Average())
        average.add(math.log(max(run_ms, _MIN_RUN_MS)) - typical.value, TARGET_SMOOTHING)

    def mean_run_ms(self) -> float:
        """Return the mean run time of a task, 0 when nothing is known."""
        return self._run_ms.value

    def ratio(self, target: str) -> float:
        """Return how many times slower than usual tasks run on a target."""
        average = self._log_ratio_by_target.get(target)
        if average is None or average.samples < MIN_SAMPLES:
            return 1.0
        return math.exp(average.value)

    def is_slow(self, target: str) -> bool:
        """Tell whether tasks run much slower than usual on a target."""
        return self.ratio(target) >= SLOW_RATIO

    def keep_only(self, owned: frozenset[str]) -> None:
        """Forget targets that are no longer owned."""
        for name in self._log_ratio_by_target.keys() - owned:
            del self._log_ratio_by_target[name]

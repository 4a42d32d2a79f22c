"""Speed of targets, learnt from run times: how much slower than usual a team's tasks run there.

Averages are of logarithms, which a few long tasks hardly move. A target counts as slow only when
its average is beyond what the spread of the team's run times explains.
"""

import math

import msgspec

TARGET_SMOOTHING = 0.1
TEAM_SMOOTHING = 0.02
MIN_TARGET_SAMPLES = 12
MIN_TEAM_SAMPLES = 64
SLOW_RATIO = 2.0
MIN_STANDARD_ERRORS = 3.0
"""Standard errors by which a slow target must be over :data:`SLOW_RATIO`."""

_MIN_RUN_MS = 1.0


class MovingAverage(msgspec.Struct):
    """A moving average with its variance; it starts as a plain one."""

    value: float = 0.0
    variance: float = 0.0
    samples: int = 0

    def add(self, value: float, smoothing: float) -> None:
        """Move towards a value."""
        self.samples += 1
        weight = max(smoothing, 1.0 / self.samples)
        deviation = value - self.value
        self.value += weight * deviation
        self.variance += weight * (deviation * (value - self.value) - self.variance)


class TargetSpeed(msgspec.Struct):
    """Logarithm of run time over the team's typical run time, and the spread to expect."""

    log_ratio: MovingAverage
    expected_variance: MovingAverage

    def is_slow(self) -> bool:
        """Tell whether tasks run much slower than usual, beyond what the spread explains."""
        if self.log_ratio.samples < MIN_TARGET_SAMPLES:
            return False
        weight = max(TARGET_SMOOTHING / (2 - TARGET_SMOOTHING), 1 / self.log_ratio.samples)
        standard_error = math.sqrt(self.expected_variance.value * weight)
        return self.log_ratio.value - MIN_STANDARD_ERRORS * standard_error > math.log(SLOW_RATIO)


class Speeds:
    """Typical run times of teams, and of targets relative to them."""

    def __init__(self):
        self._log_run_times_by_team: dict[str, MovingAverage] = {}
        self._speeds_by_target: dict[str, TargetSpeed] = {}
        self._slow_targets: set[str] = set()
        self._overall_run_ms = MovingAverage()

    def learn_team(self, team: str, run_ms: float) -> None:
        """Learn the run time of a task of a team, on any target."""
        average = self._log_run_times_by_team.setdefault(team, MovingAverage())
        average.add(math.log(max(run_ms, _MIN_RUN_MS)), TEAM_SMOOTHING)
        self._overall_run_ms.add(run_ms, TEAM_SMOOTHING)

    def learn_target(self, target: str, team: str, run_ms: float) -> None:
        """Learn how a task of a team ran on a target."""
        team_average = self._log_run_times_by_team.get(team)
        if team_average is None or team_average.samples < MIN_TEAM_SAMPLES:
            return
        speed = self._speeds_by_target.get(target)
        if speed is None:
            speed = TargetSpeed(MovingAverage(), MovingAverage())
            self._speeds_by_target[target] = speed
        log_ratio = math.log(max(run_ms, _MIN_RUN_MS)) - team_average.value
        speed.log_ratio.add(log_ratio, TARGET_SMOOTHING)
        speed.expected_variance.add(team_average.variance, TARGET_SMOOTHING)
        # It is asked after each end of a task, so that the answer is kept.
        if speed.is_slow():
            self._slow_targets.add(target)
        else:
            self._slow_targets.discard(target)

    def mean_run_ms(self) -> float:
        """Return the mean run time of a task, 0 when nothing is known."""
        return self._overall_run_ms.value

    def ratio(self, target: str) -> float:
        """Return how many times slower than usual tasks run on a target; 1 when not known."""
        speed = self._speeds_by_target.get(target)
        if speed is None or speed.log_ratio.samples < MIN_TARGET_SAMPLES:
            return 1.0
        return math.exp(speed.log_ratio.value)

    def is_slow(self, target: str) -> bool:
        """Tell whether tasks run much slower than usual on a target."""
        return target in self._slow_targets

    def keep_only(self, owned: frozenset[str]) -> None:
        """Forget targets that are no longer owned."""
        for name in self._speeds_by_target.keys() - owned:
            del self._speeds_by_target[name]
            self._slow_targets.discard(name)

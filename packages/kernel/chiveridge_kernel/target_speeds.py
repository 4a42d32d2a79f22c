"""Speed of targets, estimated from run times relative to the average run time of each team.

Averages are of logarithms, so that a few long tasks have little influence. A target counts as
slow only when its average exceeds what the variance of its teams' run times explains.
"""

import math

import msgspec

TARGET_SMOOTHING = 0.1
TEAM_SMOOTHING = 0.02
MIN_TARGET_SAMPLES = 12
MIN_TEAM_SAMPLES = 64
SLOW_RATIO = 2.0
MIN_STANDARD_ERRORS = 3.0
"""Number of standard errors by which a slow target must exceed :data:`SLOW_RATIO`."""

_MIN_RUN_MS = 1.0


class MovingAverage(msgspec.Struct):
    """Exponential moving average and variance; the first samples have equal weights."""

    value: float = 0.0
    variance: float = 0.0
    samples: int = 0

    def add(self, value: float, smoothing: float) -> None:
        """Add a sample."""
        self.samples += 1
        weight = max(smoothing, 1.0 / self.samples)
        deviation = value - self.value
        self.value += weight * deviation
        self.variance += weight * (deviation * (value - self.value) - self.variance)


class TargetSpeed(msgspec.Struct):
    """Averages of the log ratio of run time to team average, and of the team variance."""

    log_ratio: MovingAverage
    expected_variance: MovingAverage

    def is_slow(self) -> bool:
        """Return whether the ratio exceeds :data:`SLOW_RATIO` by enough standard errors."""
        if self.log_ratio.samples < MIN_TARGET_SAMPLES:
            return False
        weight = max(TARGET_SMOOTHING / (2 - TARGET_SMOOTHING), 1 / self.log_ratio.samples)
        standard_error = math.sqrt(self.expected_variance.value * weight)
        return self.log_ratio.value - MIN_STANDARD_ERRORS * standard_error > math.log(SLOW_RATIO)


class TargetSpeeds:
    """Average run times of teams, and the speeds of targets relative to them."""

    def __init__(self):
        self._log_run_times_by_team: dict[str, MovingAverage] = {}
        self._speeds_by_target: dict[str, TargetSpeed] = {}
        self._slow_targets: set[str] = set()
        self._overall_run_ms = MovingAverage()

    def observe_team_run(self, team: str, run_ms: float) -> None:
        """Add the run time of a task in ms, on any target, to the average of its team."""
        average = self._log_run_times_by_team.setdefault(team, MovingAverage())
        average.add(math.log(max(run_ms, _MIN_RUN_MS)), TEAM_SMOOTHING)
        self._overall_run_ms.add(run_ms, TEAM_SMOOTHING)

    def observe_target_run(self, target: str, team: str, run_ms: float) -> None:
        """Add the run time of a task in ms to the speed of its target."""
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
        # Cached, since :meth:`is_slow` is called each time a task ends.
        if speed.is_slow():
            self._slow_targets.add(target)
        else:
            self._slow_targets.discard(target)

    def mean_run_ms(self) -> float:
        """Return the mean run time of a task in ms, 0 without samples."""
        return self._overall_run_ms.value

    def slowdown(self, target: str) -> float:
        """Return the factor by which tasks run slower on a target than usual, 1 if unknown."""
        speed = self._speeds_by_target.get(target)
        if speed is None or speed.log_ratio.samples < MIN_TARGET_SAMPLES:
            return 1.0
        return math.exp(speed.log_ratio.value)

    def is_slow(self, target: str) -> bool:
        """Return whether tasks run significantly slower than usual on a target."""
        return target in self._slow_targets

    def retain(self, owned: frozenset[str]) -> None:
        """Drop the speeds of targets that are no longer owned."""
        for name in self._speeds_by_target.keys() - owned:
            del self._speeds_by_target[name]
            self._slow_targets.discard(name)

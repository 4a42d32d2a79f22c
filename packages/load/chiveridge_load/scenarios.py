"""Scenarios of the benchmark: their workloads, their disturbances and their limits."""

from collections.abc import Callable

import msgspec

from chiveridge_load import disturbances, measurements, reports, scenario_limits, traces

FAULT_START_S = 4.0
RESTART_START_S = 3.0
FAILING_TARGET_INDEX = 5
STRAGGLER_INDICES = (2, 10, 18)


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """A workload, a disturbance of the fleet, and the limits on the measurement.

    ``load``, ``job_mean`` and ``seconds`` override the requested options if set.
    """

    name: str
    jobs: Callable[[traces.Options], list]
    limits: Callable[[measurements.Measurement], list[reports.Limit]]
    disturb: disturbances.Disturbance | None = None
    load: float | None = None
    job_mean: float | None = None
    seconds: float | None = None

    def options(self, requested: traces.Options) -> traces.Options:
        """Return the requested options with the overrides of the scenario."""
        fixed = {"load": self.load, "job_mean": self.job_mean, "seconds": self.seconds}
        overrides = {name: value for name, value in fixed.items() if value is not None}
        return msgspec.structs.replace(requested, **overrides)


_SCENARIOS = [
    Scenario(name="steady", jobs=traces.steady, limits=scenario_limits.steady),
    Scenario(
        name="burst",
        jobs=traces.burst,
        limits=scenario_limits.burst,
        load=traces.BURST_LOAD,
        job_mean=8,
        seconds=traces.BURST_END_S + traces.BURST_TAIL_S,
    ),
    Scenario(
        name="failing_target",
        jobs=traces.steady,
        limits=scenario_limits.failing_target(FAILING_TARGET_INDEX, FAULT_START_S),
        disturb=disturbances.failing_target(FAILING_TARGET_INDEX, FAULT_START_S),
        load=0.5,
        job_mean=1,
        seconds=12,
    ),
    Scenario(
        name="failing_team",
        jobs=traces.failing_team,
        limits=scenario_limits.failing_team,
        load=0.8,
        job_mean=1,
        seconds=12,
    ),
    Scenario(
        name="stragglers",
        jobs=traces.steady,
        limits=scenario_limits.stragglers(STRAGGLER_INDICES),
        disturb=disturbances.stragglers(STRAGGLER_INDICES),
        load=0.6,
        job_mean=1,
        seconds=15,
    ),
    Scenario(
        name="wrong_sizes",
        jobs=traces.wrong_sizes,
        limits=scenario_limits.wrong_sizes,
        load=0.8,
        job_mean=8,
        seconds=15,
    ),
    Scenario(
        name="cancel_wave",
        jobs=traces.cancel_wave,
        limits=scenario_limits.cancel_wave,
        load=traces.CANCEL_LOAD,
        job_mean=8,
        seconds=traces.CANCEL_AT_S + traces.CANCEL_TAIL_S,
    ),
    Scenario(
        name="restarts",
        jobs=traces.steady,
        limits=scenario_limits.restarts,
        disturb=disturbances.rolling_restart(RESTART_START_S),
        load=0.5,
        job_mean=8,
        seconds=38,
    ),
]

SCENARIOS_BY_NAME = {scenario.name: scenario for scenario in _SCENARIOS}

"""Scenarios of the benchmark: their workloads and the limits that they are held to."""

from collections.abc import Callable

import msgspec

from chiveridge_load import measurements, reports, workloads

MAX_P50_OVER_BOUND = 1.05
MAX_P99_OVER_BOUND = 1.10
MAX_WASTED_SHARE = 0.001


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run; a scenario may fix some of them."""

    load: float
    job_mean: float
    seconds: float
    slots: int
    seed: int


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """A workload and how its measurement is judged."""

    name: str
    jobs: Callable[[Options], list[workloads.JobPlan]]
    limits: Callable[[measurements.Measurement], list[reports.Limit]]
    teams: tuple[str, ...] = ("dispatch-desk",)


def _steady_jobs(options: Options) -> list[workloads.JobPlan]:
    workload = workloads.Workload(
        load=options.load,
        slots=options.slots,
        seconds=options.seconds,
        job_mean=options.job_mean,
    )
    return workloads.generate(workload, options.seed)


def _steady_limits(measured: measurements.Measurement) -> list[reports.Limit]:
    ours = measured.ratios()
    bound = measured.bound()
    return [
        reports.Limit("p50_ratio", ours.p50, bound.p50 * MAX_P50_OVER_BOUND),
        reports.Limit("p99_ratio", ours.p99, bound.p99 * MAX_P99_OVER_BOUND),
        reports.Limit("wasted_share", measured.verdict.wasted_share, MAX_WASTED_SHARE),
        *correctness_limits(measured),
    ]


def correctness_limits(measured: measurements.Measurement) -> list[reports.Limit]:
    """Return the limits that every scenario has."""
    return [reports.Limit("wrong_answers", len(measured.verdict.faults), 0)]


SCENARIOS_BY_NAME = {
    scenario.name: scenario
    for scenario in [Scenario(name="steady", jobs=_steady_jobs, limits=_steady_limits)]
}

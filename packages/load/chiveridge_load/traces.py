"""Generates the traces of the scenarios."""

import random

import msgspec

from chiveridge_load import workloads

BURST_LOAD = 3.0
BASE_LOAD = 0.5
BURST_START_S = 10.0
BURST_END_S = 20.0
BURST_TAIL_S = 5.0
BURST_TEAM = "fault-calls"
BURST_DEADLINE_MS = 10_000
BASE_TEAMS = ("dispatch-desk", "part-checks")

FAILING_TEAM = "visit-reports"
FAILING_LOAD = 0.1

IMPOSSIBLE_SHARE = 0.1
IMPOSSIBLE_MEMORY_MB = 1_000_000
TYPICAL_MEMORY_MB = 1024
MAX_SIZE_ERROR = 10.0

CANCEL_LOAD = 1.5
CANCEL_AT_S = 6.0
CANCEL_TAIL_S = 4.0
CANCEL_SHARE = 0.5


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a trace; ``load`` is the share of all ``slots`` that the jobs occupy."""

    load: float
    job_mean: float
    seconds: float
    slots: int
    seed: int


def steady(options: Options) -> list[workloads.JobPlan]:
    """Return jobs at a constant rate."""
    return workloads.generate(_workload(options), options.seed)


def burst(options: Options) -> list[workloads.JobPlan]:
    """Return a base load, and a burst of another team that raises it to the load of ``options``."""
    base_workload = _workload(options, load=BASE_LOAD, teams=BASE_TEAMS)
    burst_workload = _workload(
        options,
        load=options.load - BASE_LOAD,
        teams=(BURST_TEAM,),
        starts_at_s=BURST_START_S,
        seconds=BURST_END_S - BURST_START_S,
    )
    burst_jobs = [
        msgspec.structs.replace(job, deadline_ms=BURST_DEADLINE_MS)
        for job in workloads.generate(burst_workload, options.seed + 1)
    ]
    return workloads.merge(workloads.generate(base_workload, options.seed), burst_jobs)


def failing_team(options: Options) -> list[workloads.JobPlan]:
    """Return a steady load that includes the jobs of a team whose tasks always fail."""
    healthy_workload = _workload(options, load=options.load - FAILING_LOAD)
    failing_workload = _workload(options, load=FAILING_LOAD, teams=(FAILING_TEAM,))
    failing_jobs = [
        msgspec.structs.replace(job, fail=True)
        for job in workloads.generate(failing_workload, options.seed + 1)
    ]
    return workloads.merge(workloads.generate(healthy_workload, options.seed), failing_jobs)


def wrong_sizes(options: Options) -> list[workloads.JobPlan]:
    """Return jobs with wrong declared sizes, a tenth of them too large for every target.

    The other jobs alone have the load of ``options``.
    """
    rng = random.Random(options.seed + 1)
    load = options.load / (1 - IMPOSSIBLE_SHARE)
    jobs = workloads.generate(_workload(options, load=load), options.seed)
    return [_with_wrong_sizes(job, rng) for job in jobs]


def cancel_wave(options: Options) -> list[workloads.JobPlan]:
    """Return an overload; at ``CANCEL_AT_S``, half of the jobs sent before it are cancelled."""
    rng = random.Random(options.seed + 1)
    jobs = workloads.generate(_workload(options), options.seed)
    return [_with_cancellation(job, rng) for job in jobs]


def _workload(options: Options, **changes: object) -> workloads.Workload:
    workload = workloads.Workload(
        load=options.load,
        slots=options.slots,
        seconds=options.seconds,
        job_mean=options.job_mean,
    )
    return msgspec.structs.replace(workload, **changes)


def _with_wrong_sizes(job: workloads.JobPlan, rng: random.Random) -> workloads.JobPlan:
    declared_ms = [max(round(run_ms * _size_error(rng)), 1) for run_ms in job.run_ms]
    memory_mb = round(TYPICAL_MEMORY_MB * _size_error(rng))
    if rng.random() < IMPOSSIBLE_SHARE:
        memory_mb = IMPOSSIBLE_MEMORY_MB
    return msgspec.structs.replace(job, declared_ms=declared_ms, memory_mb=memory_mb)


def _size_error(rng: random.Random) -> float:
    return MAX_SIZE_ERROR ** rng.uniform(-1, 1)


def _with_cancellation(job: workloads.JobPlan, rng: random.Random) -> workloads.JobPlan:
    if job.at_s >= CANCEL_AT_S or rng.random() >= CANCEL_SHARE:
        return job
    return msgspec.structs.replace(job, cancel_after_s=CANCEL_AT_S - job.at_s)

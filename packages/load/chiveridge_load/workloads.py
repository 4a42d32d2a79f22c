"""Seeded workloads with open-loop arrivals, stored as traces in JSON lines.

Arrivals form a Poisson process. 99% of the run times are log-uniform between 50 ms and 1 s,
1% uniform between 2 s and 5 s; the mean is 349 ms. Job sizes are geometric and redrawn if they
exceed 64 tasks.
"""

import math
import pathlib
import random

import msgspec

SHORT_RUN_MS = (50.0, 1000.0)
LONG_RUN_MS = (2000.0, 5000.0)
LONG_SHARE = 0.01
MAX_JOB_TASKS = 64


class JobPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One job of a trace.

    ``at_s`` is its arrival in seconds from the start of the run. ``declared_ms`` has the declared
    run time of each task, or is empty. ``cancel_after_s`` counts from the arrival. With ``fail``
    every task fails at its end.
    """

    index: int
    at_s: float
    team: str
    run_ms: list[float]
    declared_ms: list[int] = []
    memory_mb: int = 0
    fail: bool = False
    deadline_ms: int = 30_000
    cancel_after_s: float | None = None

    def key(self, task_index: int) -> str:
        """Return the key under which targets count the starts of a task."""
        return f"{self.index}-{task_index}"


class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a trace; ``load`` is the mean utilization of ``slots``."""

    load: float
    slots: int
    seconds: float
    job_mean: float = 1.0
    teams: tuple[str, ...] = ("dispatch-desk",)
    starts_at_s: float = 0.0


def mean_run_ms() -> float:
    """Return the mean of the run times in milliseconds."""
    low, high = SHORT_RUN_MS
    short_mean_ms = (high - low) / math.log(high / low)
    return (1 - LONG_SHARE) * short_mean_ms + LONG_SHARE * sum(LONG_RUN_MS) / 2


def jobs_per_second(workload: Workload) -> float:
    """Return the arrival rate of jobs that produces the load."""
    mean_job_s = mean_run_ms() / 1000 * workload.job_mean
    return workload.load * workload.slots / mean_job_s


def generate(workload: Workload, seed: int, first_index: int = 0) -> list[JobPlan]:
    """Return the jobs of a workload in the order of their arrival."""
    rng = random.Random(seed)
    rate = jobs_per_second(workload)
    jobs = []
    at_s = rng.expovariate(rate)
    while at_s < workload.seconds:
        run_ms = [draw_run_ms(rng) for _ in range(draw_job_size(rng, workload.job_mean))]
        job = JobPlan(
            index=first_index + len(jobs),
            at_s=workload.starts_at_s + at_s,
            team=rng.choice(workload.teams),
            run_ms=run_ms,
        )
        jobs.append(job)
        at_s += rng.expovariate(rate)
    return jobs


def merge(*traces: list[JobPlan]) -> list[JobPlan]:
    """Merge traces in the order of arrival and renumber their jobs."""
    jobs = sorted((job for trace in traces for job in trace), key=lambda job: job.at_s)
    return [msgspec.structs.replace(job, index=index) for index, job in enumerate(jobs)]


def draw_run_ms(rng: random.Random) -> float:
    """Draw the run time of a task in milliseconds."""
    if rng.random() < LONG_SHARE:
        return round(rng.uniform(*LONG_RUN_MS), 3)
    low, high = SHORT_RUN_MS
    return round(low * (high / low) ** rng.random(), 3)


def draw_job_size(rng: random.Random, mean: float) -> int:
    """Draw a number of tasks from 1 to :data:`MAX_JOB_TASKS`."""
    if mean <= 1:
        return 1
    while True:
        size = 1 + int(math.log(1 - rng.random()) / math.log(1 - 1 / mean))
        if size <= MAX_JOB_TASKS:
            return size


def write_trace(path: pathlib.Path, jobs: list[JobPlan]) -> None:
    """Write a trace as JSON lines."""
    lines = [msgspec.json.encode(job) for job in jobs]
    path.write_bytes(b"\n".join(lines) + b"\n")


def read_trace(path: pathlib.Path) -> list[JobPlan]:
    """Read a trace written by :func:`write_trace`.

    :raises msgspec.DecodeError: when a line is not a job.
    """
    decoder = msgspec.json.Decoder(JobPlan)
    return [decoder.decode(line) for line in path.read_bytes().splitlines() if line]

"""Generates load for the simulated pool and measures what the callers get."""

import datetime
import math
import random

import msgspec

from chiveridge_load import pool_models, pool_targets
from chiveridge_pool import actions, identifiers, jobs, ranks, resources, target_preferences

LATE_VALUE_FACTOR = 0.2
"""Share of a job's value that an answer after its objective earns, as the users defined it."""

MAX_LATE_OBJECTIVES = 3
"""Multiple of the objective after which an answer earns nothing."""

CLIENT_LATENCY = datetime.timedelta(milliseconds=1)
_MS = datetime.timedelta(milliseconds=1)


class JobKind(msgspec.Struct, frozen=True, kw_only=True):
    """Jobs of one queue: ``per_second`` is their rate at a load of 1.

    ``run_ms``, the run time of a task, and ``tasks``, the number of tasks, are means.
    """

    name: str
    per_second: float
    run_ms: float
    tasks: int
    value: float
    max_attempts: int


class SiteModel(msgspec.Struct, frozen=True, kw_only=True):
    """A simulated site: failure domains with nodes and targets, and kinds of jobs."""

    domains: tuple[str, ...] = ("a", "b", "c")
    nodes_per_domain: int = 2
    target_cpus: tuple[int, ...] = (64_000, 64_000, 96_000, 64_000, 64_000, 96_000, 64_000, 64_000)
    task_cpu: int = 27_000
    max_task_cpu: int = 41_000
    strong_nodes_per_domain: int = 0
    kinds: tuple[JobKind, ...] = ()


LAGOS = SiteModel(
    kinds=(
        JobKind(
            name="fault-log",
            per_second=17.2,
            run_ms=60,
            tasks=8,
            value=0.0291,
            max_attempts=2,
        ),
        JobKind(
            name="part-check",
            per_second=3.12,
            run_ms=900,
            tasks=4,
            value=0.16,
            max_attempts=4,
        ),
        JobKind(
            name="visit-confirm",
            per_second=50.0,
            run_ms=200,
            tasks=2,
            value=0.01,
            max_attempts=3,
        ),
    )
)
"""The Co-operative's load as in its site file; a load of 1 uses 63% of the processors."""


STRONG_NODE = 215
WEAK_NODE = 52
"""Processor shares of the machines of the large deployment, in hundredths of a core."""

_LARGE_RATES = (155.0, 28.1, 451.0)
_LARGE_TARGET_CPUS = (64_000, 64_000, 96_000)


def large_site(share: float = 1.0) -> SiteModel:
    """Return the large deployment, or one with a share of its nodes, targets and load."""
    kinds = tuple(
        msgspec.structs.replace(kind, per_second=rate * share)
        for kind, rate in zip(LAGOS.kinds, _LARGE_RATES, strict=True)
    )
    return SiteModel(
        domains=("a", "b", "c", "d", "e"),
        nodes_per_domain=max(round(19 * share), 1),
        strong_nodes_per_domain=round(3 * share),
        target_cpus=_LARGE_TARGET_CPUS * max(round(18 * share), 1),
        task_cpu=32_000,
        kinds=kinds,
    )


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """What the callers of one run got.

    Shares are of all jobs, except for ``earned_share`` and ``earned_share_by_kind``, which are
    of the total value of the jobs.
    """

    jobs: int
    earned_share: float
    on_time_share: float
    late_share: float
    refused_share: float
    failed_share: float
    refusal_time_ms: float
    p50_ms: float
    p99_ms: float
    earned_share_by_kind: dict[str, float]
    refused_but_started: int
    overlaps: int


class SubmittedJob(msgspec.Struct, kw_only=True):
    """A job as it was sent; ``run_times`` are those of its tasks on a target of speed 1."""

    kind: JobKind
    run_times: tuple[datetime.timedelta, ...]
    request: jobs.JobRequest
    submitted_at: datetime.datetime
    objective: datetime.timedelta
    value: float
    caller: identifiers.CallerId


class LoadSimulation:
    """A seeded simulation of a site at a multiple of its normal load."""

    def __init__(
        self,
        site: SiteModel,
        load: float,
        seed: int,
        order: ranks.RankingPolicy = ranks.RankingPolicy.SHARES,
        *,
        preferences: frozenset[target_preferences.Preference] = target_preferences.ALL,
        is_booted: bool = True,
    ):
        self._site = site
        self._load = load
        self._rng = random.Random(seed)
        self.model = pool_models.PoolModel(seed, order, preferences)
        self.jobs: list[SubmittedJob] = []
        self._next_id = 0
        for domain in site.domains:
            for number in range(site.nodes_per_domain):
                is_strong = number < site.strong_nodes_per_domain
                self.model.add_node(domain, STRONG_NODE if is_strong else WEAK_NODE)
            for cpu in site.target_cpus:
                self.model.add_target(domain, cpu=cpu)
        if is_booted:
            self.model.boot_all()

    def run(self, seconds: float) -> LoadResult:
        """Submit jobs for a number of seconds, wait for them to end, and return the result."""
        self.start(seconds)
        self.model.run(seconds=seconds + 6)
        return self._result()

    def start(self, seconds: float) -> None:
        """Schedule the submissions of a number of seconds from now on."""
        end = self.model.simulation.now + datetime.timedelta(seconds=seconds)
        for kind in self._site.kinds:
            self._schedule_arrival(kind, end)

    def _rate(self, kind: JobKind) -> float:
        """Return the present rate of a kind's jobs, per second."""
        return kind.per_second * self._load

    def _choose_node(self, nodes: list[pool_models.NodeModel]) -> pool_models.NodeModel:
        """Return the node that a caller sends its job to."""
        return self._rng.choice(nodes)

    def _tail_factors(self, tasks: int) -> list[float]:
        """Return the factor by which each task takes longer than the others of its job."""
        return [1.0] * tasks

    def _schedule_arrival(self, kind: JobKind, end: datetime.datetime) -> None:
        delay = self._rng.expovariate(self._rate(kind))
        when = self.model.simulation.now + datetime.timedelta(seconds=delay)
        if when < end:
            self.model.simulation.call_at(when, lambda: self._submit_job(kind, end))

    def _submit_job(self, kind: JobKind, end: datetime.datetime) -> None:
        self._schedule_arrival(kind, end)
        self._next_id += 1
        tasks = max(1, min(round(self._draw_lognormal(kind.tasks)), 4 * kind.tasks))
        run_ms = min(self._draw_lognormal(kind.run_ms), 4 * kind.run_ms)
        size = resources.Resources(
            round(self._draw_lognormal(self._site.task_cpu, 0.2, self._site.max_task_cpu)), 64, 0
        )
        tails = self._tail_factors(tasks)
        objective = (60 + 1.6 * run_ms) * _MS
        request = jobs.JobRequest(
            id=identifiers.JobId(f"{self._next_id:016x}"),
            queue=identifiers.QueueName(kind.name),
            service=identifiers.ServiceName("service"),
            spec=pool_targets.format_spec(run_ms, size, kind.name, tails),
            steps=(
                jobs.StepRequest(
                    count=tasks, size=size, estimate=self._draw_lognormal(run_ms) * _MS
                ),
            ),
            caller_timeout=1500 * _MS + MAX_LATE_OBJECTIVES * objective,
            max_attempts=kind.max_attempts,
            objective_factor=1.6,
            objective_base=60 * _MS,
        )
        nodes = list(self.model.nodes_by_name.values())
        caller = self.model.submit(self._choose_node(nodes), request)
        value_factor = 0.3 + 0.7 * (tasks * run_ms) / (kind.tasks * kind.run_ms)
        self.jobs.append(
            SubmittedJob(
                kind=kind,
                run_times=tuple(run_ms * tail * _MS for tail in tails),
                request=request,
                submitted_at=self.model.simulation.now,
                objective=objective,
                value=kind.value * min(value_factor, 4),
                caller=caller,
            )
        )

    def _draw_lognormal(self, mean: float, sigma: float = 0.4, maximum: float = math.inf) -> float:
        return min(mean * self._rng.lognormvariate(-sigma * sigma / 2, sigma), maximum)

    def _result(self) -> LoadResult:
        started_job_ids = {
            span[0][:16] for target in self._targets() for span in self._spans(target)
        }
        refused = [job for job in self.jobs if self._verdict(job) is actions.Verdict.REFUSED]
        served = {
            job.caller: response_time
            for job in self.jobs
            if (response_time := self._response_time(job)) is not None
        }
        return msgspec.structs.replace(
            self.result_of(served),
            refused_share=len(refused) / len(self.jobs),
            failed_share=(len(self.jobs) - len(served) - len(refused)) / len(self.jobs),
            refusal_time_ms=_median([self._time_to_answer(job) / _MS for job in refused]),
            refused_but_started=sum(job.request.id in started_job_ids for job in refused),
            overlaps=len(self.model.overlaps()),
        )

    def result_of(self, served: dict[identifiers.CallerId, datetime.timedelta]) -> LoadResult:
        """Return what the callers got whose jobs were served in these times, by caller.

        All others count as refused.
        """
        earned_by_caller = {
            job.caller: self._earned_value(job, served.get(job.caller)) for job in self.jobs
        }
        completed_times = sorted(served.values())
        on_time = sum(
            job.caller in served and served[job.caller] <= job.objective for job in self.jobs
        )
        count = len(self.jobs)
        return LoadResult(
            jobs=count,
            earned_share=sum(earned_by_caller.values()) / sum(job.value for job in self.jobs),
            on_time_share=on_time / count,
            late_share=(len(completed_times) - on_time) / count,
            refused_share=(count - len(completed_times)) / count,
            failed_share=0.0,
            refusal_time_ms=0.0,
            p50_ms=_median([response_time / _MS for response_time in completed_times]),
            p99_ms=(
                completed_times[int(len(completed_times) * 0.99)] / _MS if completed_times else 0.0
            ),
            earned_share_by_kind=self._earned_share_by_kind(earned_by_caller),
            refused_but_started=0,
            overlaps=0,
        )

    def _targets(self):
        return self.model.targets_by_id.values()

    def _spans(self, target):
        return target.spans(self.model.simulation.now)

    def _verdict(self, job: SubmittedJob) -> actions.Verdict | None:
        answer = self.model.answers_by_caller.get(job.caller)
        return None if answer is None else answer.verdict

    def _time_to_answer(self, job: SubmittedJob) -> datetime.timedelta:
        return self.model.answered_at[job.caller] - job.submitted_at

    def _response_time(self, job: SubmittedJob) -> datetime.timedelta | None:
        if self._verdict(job) is not actions.Verdict.COMPLETE:
            return None
        return self._time_to_answer(job) + 2 * CLIENT_LATENCY

    def _earned_value(self, job: SubmittedJob, response_time: datetime.timedelta | None) -> float:
        if response_time is None or response_time > MAX_LATE_OBJECTIVES * job.objective:
            return 0.0
        return job.value if response_time <= job.objective else job.value * LATE_VALUE_FACTOR

    def _earned_share_by_kind(
        self, earned_by_caller: dict[identifiers.CallerId, float]
    ) -> dict[str, float]:
        shares = {}
        for kind in self._site.kinds:
            kind_jobs = [job for job in self.jobs if job.kind is kind]
            total_value = sum(job.value for job in kind_jobs)
            shares[kind.name] = (
                sum(earned_by_caller[job.caller] for job in kind_jobs) / total_value
                if total_value
                else 0.0
            )
        return shares


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0

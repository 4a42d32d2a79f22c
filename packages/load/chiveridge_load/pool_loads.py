"""Loads for the pool's model, and what callers get under them."""

import datetime
import math
import random

import msgspec

from chiveridge_load import pool_models
from chiveridge_pool import actions, identifiers, jobs, ranks, resources

LATE_VALUE = 0.2
"""What an answer after its objective is worth; from the users' rules of payoff."""

LATE_OBJECTIVES = 3
"""Multiple of the objective after which an answer is worth nothing."""

CLIENT_WAY = datetime.timedelta(milliseconds=1)
_MS = datetime.timedelta(milliseconds=1)


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """One queue's jobs; ``per_second`` at a load of 1, ``work_ms`` and ``tasks`` are means."""

    name: str
    per_second: float
    work_ms: float
    tasks: int
    value: float
    max_attempts: int


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """What is played: failure domains with nodes and targets, and kinds of jobs."""

    domains: tuple[str, ...] = ("a", "b", "c")
    nodes_per_domain: int = 2
    target_cpus: tuple[int, ...] = (64_000, 64_000, 96_000, 64_000, 64_000, 96_000, 64_000, 64_000)
    task_cpu: int = 27_000
    kinds: tuple[Kind, ...] = ()


LAGOS = Site(
    kinds=(
        Kind(
            name="fault-log",
            per_second=17.2,
            work_ms=60,
            tasks=8,
            value=0.0291,
            max_attempts=2,
        ),
        Kind(
            name="part-check",
            per_second=3.12,
            work_ms=900,
            tasks=4,
            value=0.16,
            max_attempts=4,
        ),
        Kind(
            name="visit-confirm",
            per_second=50.0,
            work_ms=200,
            tasks=2,
            value=0.01,
            max_attempts=3,
        ),
    )
)
"""The Co-operative's load as its site file plays it; a load of 1 takes 63% of the processors."""


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What the callers of one run got; shares are of jobs, ``earned`` of their value."""

    jobs: int
    earned: float
    in_time: float
    late: float
    refused: float
    failed: float
    refused_after_ms: float
    p50_ms: float
    p99_ms: float
    earned_by_kind: dict[str, float]
    refused_that_ran: int
    overlaps: int


class _Job(msgspec.Struct, kw_only=True):
    kind: Kind
    request: jobs.JobRequest
    submitted_at: datetime.datetime
    objective: datetime.timedelta
    value: float
    caller: identifiers.CallerId


class Player:
    """Plays a site at a load, seeded."""

    def __init__(self, site: Site, load: float, seed: int, order: ranks.RankingPolicy):
        self._site = site
        self._load = load
        self._rng = random.Random(seed)
        self.model = pool_models.PoolModel(seed, order)
        self._jobs: list[_Job] = []
        self._next_id = 0
        for domain in site.domains:
            for _ in range(site.nodes_per_domain):
                self.model.add_node(domain)
            for cpu in site.target_cpus:
                self.model.add_target(domain, cpu=cpu)
        self.model.boot_all()

    def play(self, seconds: float) -> Outcome:
        """Play arrivals for some seconds, and let the jobs end."""
        end = self.model.simulation.now + datetime.timedelta(seconds=seconds)
        for kind in self._site.kinds:
            self._arm(kind, end)
        self.model.run(seconds=seconds + 6)
        return self._outcome()

    def _arm(self, kind: Kind, end: datetime.datetime) -> None:
        gap = self._rng.expovariate(kind.per_second * self._load)
        when = self.model.simulation.now + datetime.timedelta(seconds=gap)
        if when < end:
            self.model.simulation.call_at(when, lambda: self._arrive(kind, end))

    def _arrive(self, kind: Kind, end: datetime.datetime) -> None:
        self._arm(kind, end)
        self._next_id += 1
        tasks = max(1, min(round(self._spread(kind.tasks)), 4 * kind.tasks))
        work_ms = min(self._spread(kind.work_ms), 4 * kind.work_ms)
        size = resources.Resources(round(self._spread(self._site.task_cpu, 0.2, 41_000)), 64, 0)
        objective = (60 + 1.6 * work_ms) * _MS
        request = jobs.JobRequest(
            id=identifiers.JobId(f"{self._next_id:016x}"),
            queue=identifiers.QueueName(kind.name),
            service=identifiers.ServiceName("service"),
            spec=f"{work_ms} {size.cpu} {size.memory_mb} 0",
            steps=(jobs.StepRequest(count=tasks, size=size, estimate=self._spread(work_ms) * _MS),),
            caller_timeout=1500 * _MS + LATE_OBJECTIVES * objective,
            max_attempts=kind.max_attempts,
            objective_factor=1.6,
            objective_base=60 * _MS,
        )
        nodes = list(self.model.nodes_by_name.values())
        caller = self.model.submit(self._rng.choice(nodes), request)
        share = 0.3 + 0.7 * (tasks * work_ms) / (kind.tasks * kind.work_ms)
        self._jobs.append(
            _Job(
                kind=kind,
                request=request,
                submitted_at=self.model.simulation.now,
                objective=objective,
                value=kind.value * min(share, 4),
                caller=caller,
            )
        )

    def _spread(self, mean: float, sigma: float = 0.4, most: float = math.inf) -> float:
        return min(mean * self._rng.lognormvariate(-sigma * sigma / 2, sigma), most)

    def _outcome(self) -> Outcome:
        takes = {job.caller: self._took(job) for job in self._jobs}
        earned = {job.caller: self._earned(job, takes[job.caller]) for job in self._jobs}
        owed = sum(job.value for job in self._jobs)
        served = sorted(took for took in takes.values() if took is not None)
        refused = [job for job in self._jobs if self._verdict(job) is actions.Verdict.REFUSED]
        in_time = sum(
            took is not None and took <= job.objective
            for job, took in zip(self._jobs, takes.values(), strict=True)
        )
        count = len(self._jobs)
        started = {span[0][:16] for target in self._targets() for span in self._spans(target)}
        return Outcome(
            jobs=count,
            earned=sum(earned.values()) / owed,
            in_time=in_time / count,
            late=(len(served) - in_time) / count,
            refused=len(refused) / count,
            failed=(count - len(served) - len(refused)) / count,
            refused_after_ms=_middle([self._answer_time(job) / _MS for job in refused]),
            p50_ms=_middle([took / _MS for took in served]),
            p99_ms=served[int(len(served) * 0.99)] / _MS if served else 0.0,
            earned_by_kind=self._earned_by_kind(earned),
            refused_that_ran=sum(job.request.id in started for job in refused),
            overlaps=len(self.model.overlaps()),
        )

    def _targets(self):
        return self.model.targets_by_id.values()

    def _spans(self, target):
        return target.spans(self.model.simulation.now)

    def _verdict(self, job: _Job) -> actions.Verdict | None:
        answer = self.model.answers_by_caller.get(job.caller)
        return None if answer is None else answer.verdict

    def _answer_time(self, job: _Job) -> datetime.timedelta:
        return self.model.answered_at[job.caller] - job.submitted_at

    def _took(self, job: _Job) -> datetime.timedelta | None:
        if self._verdict(job) is not actions.Verdict.COMPLETE:
            return None
        return self._answer_time(job) + 2 * CLIENT_WAY

    def _earned(self, job: _Job, took: datetime.timedelta | None) -> float:
        if took is None or took > LATE_OBJECTIVES * job.objective:
            return 0.0
        return job.value if took <= job.objective else job.value * LATE_VALUE

    def _earned_by_kind(self, earned: dict[identifiers.CallerId, float]) -> dict[str, float]:
        shares = {}
        for kind in self._site.kinds:
            own = [job for job in self._jobs if job.kind is kind]
            owed = sum(job.value for job in own)
            shares[kind.name] = sum(earned[job.caller] for job in own) / owed if owed else 0.0
        return shares


def _middle(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0

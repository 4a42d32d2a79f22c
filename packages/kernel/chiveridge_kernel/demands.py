"""Demands for slots: the waiting tasks of this node's jobs, grouped by the targets they fit."""

import collections
import datetime
import heapq
import itertools
import math

from chiveridge_kernel import candidate_sets, clocks, jobs, slot_queues

LENGTH_WEIGHT = 2.0
"""Weight of a job's expected length, relative to its arrival time, in the order of demands."""

MAX_ACTIVE_DEMANDS_PER_TEAM = 8
"""Demands of a team with requests at other owners at the same time; later demands wait."""


class Demand:
    """Waiting tasks of a job that fit the same targets, and the state of their slot requests.

    ``due_ms`` orders demands. It is the arrival time of the job plus its weighted expected
    length, in milliseconds since the Unix epoch.
    """

    def __init__(
        self, demand_id: int, job: jobs.Job, query: slot_queues.TargetQuery, mean_run_ms: float
    ):
        self.demand_id = demand_id
        self.job = job
        self.query = query
        self.tasks: collections.deque[jobs.Task] = collections.deque()
        self.arrived_at_ms = clocks.to_epoch_ms(job.arrived_at)
        # The expected longest run time of n tasks grows like log(n). The same wait delays a long
        # job relatively less, so of jobs that arrive together the small ones are served first.
        self.due_ms = self.arrived_at_ms + int(
            LENGTH_WEIGHT * mean_run_ms * math.log(len(job.tasks))
        )
        self.requested_owners: set[str] = set()
        self.requested_all = False
        self.retry_at: datetime.datetime | None = None
        self.request_rounds = 0
        self.was_answered = False

    @property
    def wanted(self) -> int:
        """Return the number of slots still wanted."""
        return len(self.tasks)


class _JobDemands:
    """The demands of one job, and the candidate targets by which its tasks were grouped."""

    def __init__(self, candidates: candidate_sets.Candidates):
        self.candidates = candidates
        self.by_query: dict[slot_queues.TargetQuery, Demand] = {}

    def regroup(self, candidates: candidate_sets.Candidates) -> None:
        """Remove all tasks from the demands if the candidate targets of the job have changed."""
        if candidates is self.candidates:
            return
        self.candidates = candidates
        for demand in self.by_query.values():
            demand.tasks.clear()

    def tasks_to_add(self, job: jobs.Job) -> list[jobs.Task]:
        """Return the waiting tasks in no demand, which are the last ones of ``job.waiting``."""
        grouped_count = sum(demand.wanted for demand in self.by_query.values())
        newest = itertools.islice(reversed(job.waiting), len(job.waiting) - grouped_count)
        return list(newest)[::-1]


class DemandTable:
    """The demands of this node's jobs, by id and by job."""

    def __init__(self):
        self.demands_by_id: dict[int, Demand] = {}
        self._demands_by_job: dict[jobs.Job, _JobDemands] = {}
        self._ids = itertools.count(1)

    def add(self, job: jobs.Job, mean_run_ms: float) -> list[Demand]:
        """Group the waiting tasks of a job into demands; return the demands that have tasks.

        Tasks that are in a demand already stay there. ``mean_run_ms`` is the mean run time of a
        task, 0 when unknown.
        """
        job_demands = self._demands_by_job.get(job)
        if job_demands is None:
            job_demands = self._demands_by_job[job] = _JobDemands(job.candidates)
        job_demands.regroup(job.candidates)
        for task in job_demands.tasks_to_add(job):
            query = _query_for(job, task)
            demand = job_demands.by_query.get(query) or self._create(job, query, mean_run_ms)
            demand.tasks.append(task)
        return [demand for demand in job_demands.by_query.values() if demand.tasks]

    def find(self, demand_id: int) -> Demand | None:
        """Return a demand, or None if its job has ended."""
        return self.demands_by_id.get(demand_id)

    def remove_job(self, job: jobs.Job) -> list[Demand]:
        """Remove and return the demands of a job."""
        job_demands = self._demands_by_job.pop(job, None)
        removed = list(job_demands.by_query.values()) if job_demands else []
        for demand in removed:
            del self.demands_by_id[demand.demand_id]
        return removed

    def _create(self, job: jobs.Job, query: slot_queues.TargetQuery, mean_run_ms: float) -> Demand:
        demand = Demand(next(self._ids), job, query, mean_run_ms)
        self._demands_by_job[job].by_query[query] = demand
        self.demands_by_id[demand.demand_id] = demand
        return demand


class RequestWindow:
    """Limits the demands of each team that have requests at other owners; the rest wait."""

    def __init__(self):
        self._active_by_team: dict[str, set[int]] = collections.defaultdict(set)
        self._backlog_by_team: dict[str, list[tuple[int, int, Demand]]] = {}

    def admit(self, demand: Demand) -> bool:
        """Return whether other owners may be sent requests now; otherwise queue the demand."""
        active = self._active_by_team[demand.query.team]
        if demand.demand_id in active:
            return True
        if len(active) < MAX_ACTIVE_DEMANDS_PER_TEAM:
            active.add(demand.demand_id)
            return True
        backlog = self._backlog_by_team.setdefault(demand.query.team, [])
        heapq.heappush(backlog, (demand.due_ms, demand.demand_id, demand))
        return False

    def release(self, demand: Demand) -> Demand | None:
        """Remove an active demand; return the demand that takes its place, or None."""
        team = demand.query.team
        active = self._active_by_team[team]
        if demand.demand_id not in active:
            return None
        active.discard(demand.demand_id)
        backlog = self._backlog_by_team.get(team, [])
        while backlog:
            _, _, next_demand = heapq.heappop(backlog)
            if next_demand.wanted and not next_demand.job.has_ended:
                active.add(next_demand.demand_id)
                return next_demand
        self._backlog_by_team.pop(team, None)
        return None


def _query_for(job: jobs.Job, task: jobs.Task) -> slot_queues.TargetQuery:
    memory_mb, cores, accelerators = job.candidates.minimum_capacity(task.spec)
    return slot_queues.TargetQuery(job.team, job.selector, memory_mb, cores, accelerators)

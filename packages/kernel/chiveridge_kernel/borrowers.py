"""The requester's side of slot sharing: demands of jobs, and the owners asked for slots."""

import collections
import datetime
import itertools
import math

from chiveridge_kernel import clocks, jobs, slotqueues

ANSWER_TIME = datetime.timedelta(milliseconds=60)
OWNER_PENALTY = datetime.timedelta(seconds=1)


class Demand:
    """Waiting tasks of a job that fit the same targets, and who was asked to serve them."""

    def __init__(self, demand_id: int, job: jobs.Job, query: slotqueues.Query, expected_ms: float):
        self.demand_id = demand_id
        self.job = job
        self.query = query
        self.tasks: collections.deque[jobs.Task] = collections.deque()
        self.arrived_at_ms = clocks.to_epoch_ms(job.arrived_at)
        self.due_ms = self.arrived_at_ms
        self.asked_nodes: set[str] = set()
        self.ask_all_at: datetime.datetime | None = None
        self.asked_all = False

    @property
    def wanted(self) -> int:
        """Return how many slots are still wanted."""
        return len(self.tasks)


class DemandTable:
    """Demands of this node's jobs."""

    def __init__(self):
        self.demands_by_id: dict[int, Demand] = {}
        self._demands_by_job: dict[jobs.Job, dict[slotqueues.Query, Demand]] = {}
        self._ids = itertools.count(1)

    def add(self, job: jobs.Job, mean_run_ms: float) -> list[Demand]:
        """Put the waiting tasks of a job into demands by their needs; return these demands.

        ``mean_run_ms`` is that of a task, as far as it is known.
        """
        by_query = self._demands_by_job.setdefault(job, {})
        expected_ms = mean_run_ms * (1.0 + math.log(len(job.tasks)))
        for demand in by_query.values():
            demand.tasks.clear()
        for task in job.waiting:
            query = _query_of(job, task)
            demand = by_query.get(query) or self._create(job, query, expected_ms)
            demand.tasks.append(task)
        return [demand for demand in by_query.values() if demand.tasks]

    def remove_job(self, job: jobs.Job) -> list[Demand]:
        """Remove and return the demands of a job."""
        removed = list(self._demands_by_job.pop(job, {}).values())
        for demand in removed:
            del self.demands_by_id[demand.demand_id]
        return removed

    def _create(self, job: jobs.Job, query: slotqueues.Query, expected_ms: float) -> Demand:
        demand = Demand(next(self._ids), job, query, expected_ms)
        self._demands_by_job[job][query] = demand
        self.demands_by_id[demand.demand_id] = demand
        return demand


class OwnerHints:
    """What is known of the free slots of other owners; it is old by some milliseconds."""

    def __init__(self):
        self._free_by_node: dict[str, int] = {}
        self._avoided_until_by_node: dict[str, datetime.datetime] = {}

    def learn(self, node: str, free: int) -> None:
        """Take what an owner said."""
        self._free_by_node[node] = free
        self._avoided_until_by_node.pop(node, None)

    def spend(self, node: str, count: int) -> None:
        """Reckon with slots that were asked for."""
        self._free_by_node[node] = max(self._free_by_node.get(node, 0) - count, 0)

    def free(self, node: str) -> int:
        """Return the free slots that the owner probably has."""
        return self._free_by_node.get(node, 1)

    def silent(self, node: str, now: datetime.datetime) -> None:
        """Ask an owner that did not answer last, for a while."""
        self._avoided_until_by_node[node] = now + OWNER_PENALTY

    def is_silent(self, node: str, now: datetime.datetime) -> bool:
        """Tell whether the owner did not answer lately."""
        until = self._avoided_until_by_node.get(node)
        return until is not None and until > now


def _query_of(job: jobs.Job, task: jobs.Task) -> slotqueues.Query:
    memory_mb, cores, accelerators = job.candidates.threshold(task.spec)
    return slotqueues.Query(job.team, job.selector, memory_mb, cores, accelerators)

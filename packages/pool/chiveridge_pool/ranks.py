"""The order in which jobs get room.

A job that has started comes first, as its work is lost otherwise; then jobs that can still meet
their objective; then those that cannot. Within a group, queues are served by equal shares: a queue
that asks for little of the pool comes before one that asks for much, and a small job before a large
one of its queue.
"""

import datetime
import enum
import math

from chiveridge_pool import identifiers, jobs

QUEUE_LOAD_TIME_CONSTANT = datetime.timedelta(seconds=30)
"""Time constant of the mean load of a queue; longer than the bursts of the brief."""

FIXED_VALUE_SHARE = 0.3
"""Part of a job's value that does not depend on its size; from the users' rules of payoff."""

SLOWEST_TARGET_RATIO = 1.25
"""Run time on the slowest sound target, as a multiple of the usual; from the users' sites."""


class PriorityGroup(enum.IntEnum):
    """Groups of jobs, first to be served first."""

    STARTED = 0
    IN_TIME = 1
    LATE = 2


class Order(enum.Enum):
    """Ways to rank jobs; all but ``SHARES`` are kept for comparison.

    Under ``ARRIVAL`` no job is refused before its deadline.
    """

    ARRIVAL = "arrival"
    LATEST_START = "latest_start"
    LEAST_WORK = "least_work"
    SHARES = "shares"


class _QueueLoad:
    """Decaying sums over the jobs of a queue."""

    def __init__(self, now: datetime.datetime):
        self.count = 0.0
        self.work = 0.0
        self._updated_at = now

    def add(self, work: float, now: datetime.datetime) -> None:
        """Count a job in."""
        decay = math.exp(-((now - self._updated_at) / QUEUE_LOAD_TIME_CONSTANT))
        self._updated_at = now
        self.count = self.count * decay + 1
        self.work = self.work * decay + work


class Ranks:
    """Ranks jobs by what this node has seen of their queues."""

    def __init__(self, order: Order = Order.SHARES):
        self._order = order
        self._by_queue: dict[identifiers.QueueName, _QueueLoad] = {}

    @property
    def refuses_late_jobs(self) -> bool:
        """Tell whether jobs are refused that would come too late."""
        return self._order is not Order.ARRIVAL

    def record_arrival(self, request: jobs.JobRequest, now: datetime.datetime) -> None:
        """Note the arrival of a job."""
        load = self._by_queue.get(request.queue)
        if load is None:
            load = self._by_queue[request.queue] = _QueueLoad(now)
        load.add(request.work, now)

    def priority_group(self, job: jobs.Job, now: datetime.datetime) -> PriorityGroup:
        """Return the group of a job."""
        if job.has_started:
            return PriorityGroup.STARTED
        if self._order is Order.ARRIVAL:
            return PriorityGroup.IN_TIME
        return PriorityGroup.IN_TIME if now <= latest_start(job) else PriorityGroup.LATE

    def rank(self, job: jobs.Job, now: datetime.datetime) -> tuple[float, float]:
        """Return the rank of a job; the lowest is served first."""
        return float(self.priority_group(job, now)), _COST_BY_ORDER[self._order](self, job)

    def _share_cost(self, job: jobs.Job) -> float:
        """Return the work of a job for the value that it has, all queues being worth the same."""
        request = job.request
        load = self._by_queue[request.queue]
        mean_work = load.work / load.count
        work = request.work
        value = (FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * work / mean_work) / load.count
        return work / value


_COST_BY_ORDER = {
    Order.ARRIVAL: lambda ranks, job: job.arrived_at.timestamp(),
    Order.LATEST_START: lambda ranks, job: latest_start(job).timestamp(),
    Order.LEAST_WORK: lambda ranks, job: job.request.work,
    Order.SHARES: Ranks._share_cost,
}


def latest_start(job: jobs.Job) -> datetime.datetime:
    """Return when a job must start to meet its objective."""
    return job.arrived_at + job.objective() - SLOWEST_TARGET_RATIO * job.request.estimate

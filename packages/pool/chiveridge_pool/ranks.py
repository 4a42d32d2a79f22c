"""The order in which jobs are granted capacity.

Jobs that have started come first, as their work would be lost otherwise; then jobs that can still
meet their objective; then those that cannot. Within a group, queues get equal shares: jobs of a
queue with little demand come before jobs of a queue with much demand, and small jobs before large
jobs of the same queue.
"""

import datetime
import enum
import math

from chiveridge_pool import identifiers, jobs

QUEUE_LOAD_TIME_CONSTANT = datetime.timedelta(seconds=30)
"""Time constant of a queue's average load; longer than the bursts of the specified workload."""

FIXED_VALUE_SHARE = 0.3
"""Share of a job's value that does not depend on its size; from the users' payoff rules."""

SLOWEST_TARGET_RATIO = 1.25
"""Run time on the slowest healthy target relative to a typical one, at the users' sites."""


class PriorityGroup(enum.IntEnum):
    """Priority groups of jobs; the lowest value is served first."""

    STARTED = 0
    IN_TIME = 1
    LATE = 2


LAST: tuple[float, float] = (math.inf, 0.0)
"""Rank of tasks that are served only where nobody else waits for the room."""


class RankingPolicy(enum.Enum):
    """Ranking policies; all but ``SHARES`` exist for comparison.

    With ``ARRIVAL`` no job is refused before its deadline.
    """

    ARRIVAL = "arrival"
    LATEST_START = "latest_start"
    LEAST_WORK = "least_work"
    SHARES = "shares"


class _QueueLoad:
    """Exponentially decaying job count and work of a queue."""

    def __init__(self, now: datetime.datetime):
        self.count = 0.0
        self.work = 0.0
        self._updated_at = now

    def add(self, work: float, now: datetime.datetime) -> None:
        """Add a job of ``work`` core-seconds."""
        decay = math.exp(-((now - self._updated_at) / QUEUE_LOAD_TIME_CONSTANT))
        self._updated_at = now
        self.count = self.count * decay + 1
        self.work = self.work * decay + work


class Ranks:
    """Ranks jobs by the load that this node has seen on their queues."""

    def __init__(self, order: RankingPolicy = RankingPolicy.SHARES):
        self._order = order
        self._by_queue: dict[identifiers.QueueName, _QueueLoad] = {}

    @property
    def refuses_late_jobs(self) -> bool:
        """Whether jobs are refused that cannot start in time."""
        return self._order is not RankingPolicy.ARRIVAL

    def record_arrival(self, request: jobs.JobRequest, now: datetime.datetime) -> None:
        """Add a job to the load of its queue."""
        load = self._by_queue.get(request.queue)
        if load is None:
            load = self._by_queue[request.queue] = _QueueLoad(now)
        load.add(request.work, now)

    def priority_group(self, job: jobs.Job, now: datetime.datetime) -> PriorityGroup:
        """Return the priority group of a job."""
        if job.has_started:
            return PriorityGroup.STARTED
        if self._order is RankingPolicy.ARRIVAL:
            return PriorityGroup.IN_TIME
        return PriorityGroup.IN_TIME if now <= latest_start(job) else PriorityGroup.LATE

    def rank(self, job: jobs.Job, now: datetime.datetime) -> tuple[float, float]:
        """Return the rank of a job, as its group and cost; the lowest rank is served first."""
        return float(self.priority_group(job, now)), _COST_BY_ORDER[self._order](self, job)

    def _share_cost(self, job: jobs.Job) -> float:
        """Return the work per value of a job, where all queues have the same total value."""
        request = job.request
        load = self._by_queue[request.queue]
        mean_work = load.work / load.count
        work = request.work
        value = (FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * work / mean_work) / load.count
        return work / value


_COST_BY_ORDER = {
    RankingPolicy.ARRIVAL: lambda ranks, job: job.arrived_at.timestamp(),
    RankingPolicy.LATEST_START: lambda ranks, job: latest_start(job).timestamp(),
    RankingPolicy.LEAST_WORK: lambda ranks, job: job.request.work,
    RankingPolicy.SHARES: Ranks._share_cost,
}


def latest_start(job: jobs.Job) -> datetime.datetime:
    """Return the latest time at which a job can start and still meet its objective."""
    return job.arrived_at + job.objective() - SLOWEST_TARGET_RATIO * job.request.estimate

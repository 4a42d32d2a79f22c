"""When to ask a target about a start that it has not replied to.

A connection may go silent without an error, so a start whose reply is late is asked about over
a new connection. How late is told by the declared and the observed times of the team's tasks.
"""

import datetime
import heapq

import msgspec

from chiveridge_kernel import identifiers, jobs

LATENESS_FACTOR = 3
BACKOFF_FACTOR = 2
MEAN_WEIGHT = 0.05
_STEP = datetime.timedelta(milliseconds=50)
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
_ZERO = datetime.timedelta()


class ProbeLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Shortest and longest time without a reply after which a target is asked."""

    shortest: datetime.timedelta = datetime.timedelta(seconds=1)
    longest: datetime.timedelta = datetime.timedelta(seconds=10)

    def clamp(self, delay: datetime.timedelta) -> datetime.timedelta:
        """Return the delay, brought within the limits."""
        return min(max(delay, self.shortest), max(self.longest, self.shortest))


class ReplyTimes:
    """Mean times from start to reply, by team."""

    def __init__(self):
        self._means_by_team: dict[identifiers.TeamName, datetime.timedelta] = {}

    def observe(self, team: identifiers.TeamName, duration: datetime.timedelta) -> None:
        """Take one more time into account."""
        mean = self._means_by_team.get(team, duration)
        self._means_by_team[team] = mean + (duration - mean) * MEAN_WEIGHT

    def expected(self, team: identifiers.TeamName, declared_ms: int) -> datetime.timedelta:
        """Return how long a task may be expected to take, the longer of declared and observed."""
        declared = datetime.timedelta(milliseconds=declared_ms)
        return max(declared, self._means_by_team.get(team, _ZERO))


class ProbeSchedule:
    """Leases by the time when they are due, in coarse steps; a lease that ended stays listed."""

    def __init__(self):
        self._leases_by_step: dict[int, list[identifiers.LeaseId]] = {}
        self._steps: list[int] = []

    def add(self, lease_id: identifiers.LeaseId, due: datetime.datetime) -> None:
        """Have a lease returned once the time has come."""
        step = -((_EPOCH - due) // _STEP)
        leases = self._leases_by_step.get(step)
        if leases is None:
            self._leases_by_step[step] = [lease_id]
            heapq.heappush(self._steps, step)
        else:
            leases.append(lease_id)

    def pop_due(self, now: datetime.datetime) -> list[identifiers.LeaseId]:
        """Return the leases that are due, each once."""
        current = (now - _EPOCH) // _STEP
        due = []
        while self._steps and self._steps[0] <= current:
            due += self._leases_by_step.pop(heapq.heappop(self._steps))
        return due


class Prober:
    """Chooses when to ask about each start; a start that ended costs nothing to leave listed."""

    def __init__(self, limits: ProbeLimits):
        self._limits = limits
        self._schedule = ProbeSchedule()
        self._reply_times = ReplyTimes()

    def note_started(self, task: jobs.Task, now: datetime.datetime) -> None:
        """Schedule the first question about a start."""
        expected = self._reply_times.expected(task.job.team, task.spec.run_time_ms)
        task.probe_delay = self._limits.clamp(expected * LATENESS_FACTOR)
        task.is_query_pending = task.is_connection_lost = False
        self._schedule.add(task.lease_id, now + task.probe_delay)

    def note_running(self, task: jobs.Task, now: datetime.datetime) -> None:
        """Schedule the next question, later than the one before."""
        task.probe_delay = self._limits.clamp(task.probe_delay * BACKOFF_FACTOR)
        self._schedule.add(task.lease_id, now + task.probe_delay)

    def note_queued(self, task: jobs.Task, now: datetime.datetime) -> None:
        """Schedule the question again for a start that was not sent long ago."""
        self._schedule.add(task.lease_id, now + task.probe_delay)

    def note_ended(self, task: jobs.Task, now: datetime.datetime) -> None:
        """Learn how long a task took from its start to its reply."""
        self._reply_times.observe(task.job.team, now - task.started_at)

    def pop_due(self, now: datetime.datetime) -> list[identifiers.LeaseId]:
        """Return the leases to ask about now, some of which may have ended."""
        return self._schedule.pop_due(now)

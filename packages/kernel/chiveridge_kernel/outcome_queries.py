"""Schedule of outcome queries for starts whose reply is late.

A connection may go silent without an error, so the outcome of a start whose reply is late is
queried over a new connection. The delay depends on the declared run time of the task and on the
observed reply times of its team.
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


class QueryDelayLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Shortest and longest time without a reply before an outcome is queried."""

    min_delay: datetime.timedelta = datetime.timedelta(seconds=1)
    max_delay: datetime.timedelta = datetime.timedelta(seconds=10)

    def clamp(self, delay: datetime.timedelta) -> datetime.timedelta:
        """Return the delay clamped to the limits."""
        return min(max(delay, self.min_delay), max(self.max_delay, self.min_delay))


class ReplyTimes:
    """Moving averages of the time from start to reply, by team."""

    def __init__(self):
        self._means_by_team: dict[identifiers.TeamName, datetime.timedelta] = {}

    def observe(self, team: identifiers.TeamName, duration: datetime.timedelta) -> None:
        """Add the duration of one start to the average of a team."""
        mean = self._means_by_team.get(team, duration)
        self._means_by_team[team] = mean + (duration - mean) * MEAN_WEIGHT

    def expected(self, team: identifiers.TeamName, declared_ms: int) -> datetime.timedelta:
        """Return the expected duration of a task: the longer of declared and observed."""
        declared = datetime.timedelta(milliseconds=declared_ms)
        return max(declared, self._means_by_team.get(team, _ZERO))


class ProbeSchedule:
    """Leases by due time, rounded up to coarse steps; ended leases are not removed."""

    def __init__(self):
        self._leases_by_step: dict[int, list[identifiers.LeaseId]] = {}
        self._steps: list[int] = []

    def add(self, lease_id: identifiers.LeaseId, due: datetime.datetime) -> None:
        """Schedule a lease for a time."""
        step = -((_EPOCH - due) // _STEP)
        leases = self._leases_by_step.get(step)
        if leases is None:
            self._leases_by_step[step] = [lease_id]
            heapq.heappush(self._steps, step)
        else:
            leases.append(lease_id)

    def pop_due(self, now: datetime.datetime) -> list[identifiers.LeaseId]:
        """Remove and return the leases that are due."""
        current = (now - _EPOCH) // _STEP
        due = []
        while self._steps and self._steps[0] <= current:
            due += self._leases_by_step.pop(heapq.heappop(self._steps))
        return due


class Prober:
    """Schedules the outcome queries of starts; starts that ended need not be removed."""

    def __init__(self, limits: QueryDelayLimits):
        self._limits = limits
        self._schedule = ProbeSchedule()
        self._reply_times = ReplyTimes()

    def note_started(self, task: jobs.Task, now: datetime.datetime) -> None:
        """Schedule the first outcome query of a start."""
        expected = self._reply_times.expected(task.job.team, task.spec.run_time_ms)
        task.probe_delay = self._limits.clamp(expected * LATENESS_FACTOR)
        task.is_query_pending = task.is_connection_lost = False
        self._schedule.add(task.lease_id, now + task.probe_delay)

    def note_running(self, task: jobs.Task, now: datetime.datetime) -> None:
        """Schedule the next outcome query of a running start, after a longer delay."""
        task.probe_delay = self._limits.clamp(task.probe_delay * BACKOFF_FACTOR)
        self._schedule.add(task.lease_id, now + task.probe_delay)

    def note_queued(self, task: jobs.Task, now: datetime.datetime) -> None:
        """Repeat the outcome query of a start that is unsent or was sent only recently."""
        self._schedule.add(task.lease_id, now + task.probe_delay)

    def note_ended(self, task: jobs.Task, now: datetime.datetime) -> None:
        """Record the time from the start of a task to its reply."""
        self._reply_times.observe(task.job.team, now - task.started_at)

    def pop_due(self, now: datetime.datetime) -> list[identifiers.LeaseId]:
        """Return the leases whose outcome query is due, some of which may have ended."""
        return self._schedule.pop_due(now)

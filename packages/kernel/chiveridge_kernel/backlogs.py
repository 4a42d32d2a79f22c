"""Expected wait of new jobs, used to refuse a job at once that would miss its deadline."""

import collections
import datetime

import msgspec

MIN_OBSERVATION_PERIOD = datetime.timedelta(milliseconds=500)
RATE_SMOOTHING = 0.3
DEADLINE_SHARE = 0.7
"""Largest share of its deadline that a new job may be expected to wait."""


class StartRate(msgspec.Struct):
    """Smoothed start rate of one team.

    ``started_count`` counts the starts since ``observed_since``, the last update of the rate.
    """

    starts_per_second: float = 0.0
    started_count: int = 0
    observed_since: datetime.datetime | None = None


class Backlogs:
    """Waiting tasks and start rates by team, on this node."""

    def __init__(self):
        self._waiting_by_team: collections.Counter[str] = collections.Counter()
        self._rates_by_team: dict[str, StartRate] = {}

    def add_waiting(self, team: str, count: int) -> None:
        """Add waiting tasks."""
        self._waiting_by_team[team] += count

    def remove_waiting(self, team: str, count: int) -> None:
        """Remove waiting tasks that were not started."""
        self._waiting_by_team[team] -= count

    def note_started(self, team: str, now: datetime.datetime) -> None:
        """Remove a waiting task that was started and count its start."""
        self._waiting_by_team[team] -= 1
        rate = self._rates_by_team.get(team)
        if rate is None:
            rate = StartRate(observed_since=now)
            self._rates_by_team[team] = rate
        rate.started_count += 1

    def waiting(self, team: str) -> int:
        """Return the number of waiting tasks of a team."""
        return self._waiting_by_team[team]

    def observe(self, now: datetime.datetime) -> None:
        """Update the start rates; drop teams that have neither starts nor waiting tasks."""
        for team, rate in list(self._rates_by_team.items()):
            if now - rate.observed_since < MIN_OBSERVATION_PERIOD:
                continue
            observed = rate.started_count / (now - rate.observed_since).total_seconds()
            if not rate.starts_per_second:
                rate.starts_per_second = observed
            rate.starts_per_second += RATE_SMOOTHING * (observed - rate.starts_per_second)
            rate.started_count = 0
            rate.observed_since = now
            if not observed and not self._waiting_by_team[team]:
                del self._rates_by_team[team]
                del self._waiting_by_team[team]

    def expected_wait(self, team: str) -> datetime.timedelta | None:
        """Return the expected wait of a new task of a team, None if unknown."""
        waiting = self._waiting_by_team[team]
        if waiting <= 0:
            return datetime.timedelta()
        rate = self._rates_by_team.get(team)
        if rate is None or not rate.starts_per_second:
            return None
        return datetime.timedelta(seconds=waiting / rate.starts_per_second)

    def excess_wait(
        self, team: str, task_count: int, deadline: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return by how much the expected wait exceeds :data:`DEADLINE_SHARE` of a deadline.

        Return None when it does not, or when the wait is unknown.
        """
        wait = self.expected_wait(team)
        if wait is None:
            return None
        rate = self._rates_by_team.get(team)
        own_seconds = task_count / rate.starts_per_second if wait and rate else 0.0
        allowed_wait = deadline * DEADLINE_SHARE
        expected = wait + datetime.timedelta(seconds=own_seconds)
        return expected - allowed_wait if expected > allowed_wait else None

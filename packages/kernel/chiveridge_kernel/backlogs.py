"""How long new work of a team would wait, so that what cannot be in time is refused at once."""

import collections
import datetime

import msgspec

MIN_OBSERVATION_PERIOD = datetime.timedelta(milliseconds=500)
RATE_SMOOTHING = 0.3
DEADLINE_SHARE = 0.7
"""Share of its deadline that a new job's expected wait may take."""


class StartRate(msgspec.Struct):
    """Starts a second of one team, averaged over observations."""

    starts_per_second: float = 0.0
    started_count: int = 0
    observed_since: datetime.datetime | None = None


class Backlogs:
    """Waiting tasks and start rates by team, on this node."""

    def __init__(self):
        self._waiting_by_team: collections.Counter[str] = collections.Counter()
        self._rates_by_team: dict[str, StartRate] = {}

    def added(self, team: str, count: int) -> None:
        """Note tasks that wait now."""
        self._waiting_by_team[team] += count

    def dropped(self, team: str, count: int) -> None:
        """Note tasks that wait no longer and were not started."""
        self._waiting_by_team[team] -= count

    def started(self, team: str, now: datetime.datetime) -> None:
        """Note a task that was started."""
        self._waiting_by_team[team] -= 1
        rate = self._rates_by_team.get(team)
        if rate is None:
            rate = StartRate(observed_since=now)
            self._rates_by_team[team] = rate
        rate.started_count += 1

    def waiting(self, team: str) -> int:
        """Return how many tasks of a team wait."""
        return self._waiting_by_team[team]

    def observe(self, now: datetime.datetime) -> None:
        """Bring the rates up to date, and forget teams that start nothing and wait for nothing."""
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
        """Return how long a new task of a team would wait; None when that is not known."""
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
        """Return how long to stay away with a new job, None when it can be in time."""
        wait = self.expected_wait(team)
        if wait is None:
            return None
        rate = self._rates_by_team.get(team)
        own_seconds = task_count / rate.starts_per_second if wait and rate else 0.0
        allowed_wait = deadline * DEADLINE_SHARE
        expected = wait + datetime.timedelta(seconds=own_seconds)
        return expected - allowed_wait if expected > allowed_wait else None

"""Circuit breakers of targets, kept by their owner: a failing target gets only probe tasks.

The weight of a failed task decreases with the failure share of its team, so that a team whose
tasks always fail does not open the breakers of healthy targets. A success closes the breaker of
its target only if the task started after the first failure: a long task may still succeed on a
target that has failed every start since.
"""

import collections
import datetime

import msgspec

MAX_EVIDENCE = 2.0
MIN_TEAM_WEIGHT = 0.05
TEAM_SMOOTHING = 0.2
FIRST_PROBE_DELAY = datetime.timedelta(seconds=5)
MAX_PROBE_DELAY = datetime.timedelta(seconds=60)
MAX_OPEN_SHARE = 0.34


class Breaker(msgspec.Struct):
    """Breaker of one target.

    ``failing_since`` is the time of the first failure, ``evidence`` the weighted number of
    failures. The breaker is open while ``probe_at``, the time of the next probe, is set.
    """

    failing_since: datetime.datetime
    evidence: float = 0.0
    probe_delay: datetime.timedelta = FIRST_PROBE_DELAY
    probe_at: datetime.datetime | None = None


class CircuitBreakers:
    """Circuit breakers by target."""

    def __init__(self):
        self._breakers_by_target: dict[str, Breaker] = {}
        self._failure_share_by_team: dict[str, float] = collections.defaultdict(float)

    def record_success(self, target: str, team: str, started_at: datetime.datetime) -> None:
        """Record the success of a task that started at ``started_at``."""
        self._update_failure_share(team, 0.0)
        breaker = self._breakers_by_target.get(target)
        if breaker is not None and started_at >= breaker.failing_since:
            del self._breakers_by_target[target]

    def record_failure(
        self, target: str, team: str, owned_count: int, now: datetime.datetime
    ) -> None:
        """Record that a task ran and failed on one of ``owned_count`` targets."""
        breaker = self._breakers_by_target.setdefault(target, Breaker(now))
        breaker.evidence += max(1.0 - self._failure_share_by_team[team], MIN_TEAM_WEIGHT)
        self._update_failure_share(team, 1.0)
        if breaker.probe_at is not None:
            breaker.probe_delay = min(breaker.probe_delay * 2, MAX_PROBE_DELAY)
            breaker.probe_at = now + breaker.probe_delay
        elif breaker.evidence >= MAX_EVIDENCE and self._may_open(owned_count):
            breaker.probe_at = now + breaker.probe_delay

    def is_open(self, target: str) -> bool:
        """Return whether the breaker of a target is open, so that it gets only probes."""
        breaker = self._breakers_by_target.get(target)
        return breaker is not None and breaker.probe_at is not None

    def claim_probe(self, target: str, now: datetime.datetime) -> bool:
        """Return whether a probe of an open target is due; if so, schedule the next one."""
        breaker = self._breakers_by_target[target]
        if breaker.probe_at > now:
            return False
        breaker.probe_at = now + breaker.probe_delay
        return True

    def retain(self, owned: frozenset[str]) -> None:
        """Drop the breakers of targets that are no longer owned."""
        for name in self._breakers_by_target.keys() - owned:
            del self._breakers_by_target[name]

    def open_targets(self) -> list[str]:
        """Return the targets whose breaker is open."""
        return [name for name in self._breakers_by_target if self.is_open(name)]

    def _update_failure_share(self, team: str, sample: float) -> None:
        mean = self._failure_share_by_team[team]
        self._failure_share_by_team[team] = mean + TEAM_SMOOTHING * (sample - mean)

    def _may_open(self, owned_count: int) -> bool:
        limit = max(1, int(MAX_OPEN_SHARE * owned_count))
        return len(self.open_targets()) < limit

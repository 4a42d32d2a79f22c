"""Circuit breakers of targets, kept by their owner: a failing target gets only probes.

A failed task is evidence against its target only as far as its team's tasks succeed elsewhere,
so that a team whose own tasks always fail takes no healthy target out. A success speaks for its
target only when its task began after the failures: long tasks may end well on a target that has
failed every start meanwhile.
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
    """State of one target, failing since its first failure; open while ``probe_at`` is set."""

    failing_since: datetime.datetime
    evidence: float = 0.0
    probe_delay: datetime.timedelta = FIRST_PROBE_DELAY
    probe_at: datetime.datetime | None = None


class Breakers:
    """Breakers by target."""

    def __init__(self):
        self._breakers_by_target: dict[str, Breaker] = {}
        self._failure_share_by_team: dict[str, float] = collections.defaultdict(float)

    def succeeded(self, target: str, team: str, started_at: datetime.datetime) -> None:
        """Learn that a task which began at a time succeeded."""
        self._update_failure_share(team, 0.0)
        breaker = self._breakers_by_target.get(target)
        if breaker is not None and started_at >= breaker.failing_since:
            del self._breakers_by_target[target]

    def failed(self, target: str, team: str, owned_count: int, now: datetime.datetime) -> None:
        """Learn that a task ran and failed on one of ``owned_count`` targets."""
        breaker = self._breakers_by_target.setdefault(target, Breaker(now))
        breaker.evidence += max(1.0 - self._failure_share_by_team[team], MIN_TEAM_WEIGHT)
        self._update_failure_share(team, 1.0)
        if breaker.probe_at is not None:
            breaker.probe_delay = min(breaker.probe_delay * 2, MAX_PROBE_DELAY)
            breaker.probe_at = now + breaker.probe_delay
        elif breaker.evidence >= MAX_EVIDENCE and self._may_open(owned_count):
            breaker.probe_at = now + breaker.probe_delay

    def is_open(self, target: str) -> bool:
        """Tell whether a target gets only probes."""
        breaker = self._breakers_by_target.get(target)
        return breaker is not None and breaker.probe_at is not None

    def take_probe(self, target: str, now: datetime.datetime) -> bool:
        """Tell whether an open target may be probed now; the next probe is a delay away."""
        breaker = self._breakers_by_target[target]
        if breaker.probe_at > now:
            return False
        breaker.probe_at = now + breaker.probe_delay
        return True

    def keep_only(self, owned: frozenset[str]) -> None:
        """Forget targets that are no longer owned."""
        for name in self._breakers_by_target.keys() - owned:
            del self._breakers_by_target[name]

    def open_names(self) -> list[str]:
        """Return the targets that get only probes."""
        return [name for name in self._breakers_by_target if self.is_open(name)]

    def _update_failure_share(self, team: str, sample: float) -> None:
        mean = self._failure_share_by_team[team]
        self._failure_share_by_team[team] = mean + TEAM_SMOOTHING * (sample - mean)

    def _may_open(self, owned_count: int) -> bool:
        limit = max(1, int(MAX_OPEN_SHARE * owned_count))
        return len(self.open_names()) < limit

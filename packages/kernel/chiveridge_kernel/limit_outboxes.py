"""Messages about limits that wait for their turn, within a budget of bytes.

There is at most one message for each peer. What is waiting is sent in the order in which the
peers came to wait, so that everyone's turn comes when the budget is short.
"""

import datetime

import msgspec

from chiveridge_kernel import clocks, heartbeats, identifiers, limit_keepers, limit_terms

CONTROL_BYTES_PER_SECOND = 2950
"""Bytes, headers included, that heartbeats and limits may take together."""

MIN_BYTES_PER_SECOND = 200
BURST_BYTES = 4096
BATCH_BYTES = 70
"""Bytes of a batch without its entries."""

ENTRY_BYTES = 10
"""Bytes of an entry without the name of its team."""

ROUNDS_PER_LEASE = 3
"""A lease outlasts a report, its answer and the next report, each of which may take a round."""


class Pending(msgspec.Struct):
    """What waits for a peer: teams to report of, and the last grant of each holder and team."""

    teams: set[identifiers.TeamName] = msgspec.field(default_factory=set)
    grants: dict[tuple[identifiers.Incarnation, identifiers.TeamName], limit_terms.LimitGrant] = (
        msgspec.field(default_factory=dict)
    )


class Outbox:
    """Holds back what the budget of ``bytes_per_second`` does not allow yet."""

    def __init__(self):
        self.bytes_per_second: float = CONTROL_BYTES_PER_SECOND
        self._pending_by_node: dict[identifiers.NodeName, Pending] = {}
        self._allowance = float(BURST_BYTES)
        self._counted_at: datetime.datetime | None = None

    def add_report(self, node: identifiers.NodeName, team: identifiers.TeamName) -> None:
        """Let a keeper be told of a team."""
        self._pending(node).teams.add(team)

    def add_grant(self, node: identifiers.NodeName, grant: limit_terms.LimitGrant) -> None:
        """Let a holder have a grant; it replaces one that still waits."""
        self._pending(node).grants[grant.holder_incarnation, grant.team] = grant

    def has_report(self, node: identifiers.NodeName, team: identifiers.TeamName) -> bool:
        """Tell whether a report still waits."""
        pending = self._pending_by_node.get(node)
        return pending is not None and team in pending.teams

    def take(self, now: datetime.datetime) -> tuple[identifiers.NodeName, Pending] | None:
        """Return the peer whose turn it is, with what waits for it, if the budget allows."""
        self._count(now)
        if not self._pending_by_node or self._allowance <= 0:
            return None
        node = next(iter(self._pending_by_node))
        return node, self._pending_by_node.pop(node)

    def spend(self, byte_count: int) -> None:
        """Note the bytes of a message that was sent."""
        self._allowance -= byte_count

    def next_at(self) -> datetime.datetime | None:
        """Return when something that waits may be sent."""
        if not self._pending_by_node:
            return None
        if self._counted_at is None or self._allowance > 0:
            return clocks.EPOCH
        # A microsecond more, as the allowance must be over 0.
        needed = -self._allowance / self.bytes_per_second
        return self._counted_at + datetime.timedelta(seconds=needed, microseconds=1)

    def _pending(self, node: identifiers.NodeName) -> Pending:
        return self._pending_by_node.setdefault(node, Pending())

    def _count(self, now: datetime.datetime) -> None:
        elapsed = now - (self._counted_at or now)
        gained = elapsed.total_seconds() * self.bytes_per_second
        self._allowance = min(self._allowance + gained, BURST_BYTES)
        self._counted_at = now


def scale(byte_count: int, bytes_per_second: float) -> float:
    """Return how many times longer intervals and leases are when a round takes so many bytes."""
    round_time = datetime.timedelta(seconds=byte_count / bytes_per_second)
    return max(1.0, ROUNDS_PER_LEASE * round_time / limit_keepers.LEASE)


def left_by_heartbeats(partners: int, interval: datetime.timedelta) -> float:
    """Return the bytes per second that heartbeats to so many partners leave to limits."""
    size = heartbeats.HEARTBEAT_BYTES + heartbeats.WIRE_BYTES_PER_MESSAGE
    outside = heartbeats.WIRE_BYTES_PER_CONTACT / heartbeats.ROUNDS_PER_OUTSIDE_PARTNER
    taken = (partners * size + outside) / interval.total_seconds()
    return max(CONTROL_BYTES_PER_SECOND - taken, MIN_BYTES_PER_SECOND)

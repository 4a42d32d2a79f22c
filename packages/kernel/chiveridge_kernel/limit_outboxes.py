"""Queues limit messages and releases them within a budget of bytes per second.

Each peer has at most one urgent and one normal entry; urgent entries go first. Within each kind,
peers are served in the order in which they were queued, so that none starves when the budget is
short.
"""

import datetime

import msgspec

from chiveridge_kernel import clocks, heartbeats, identifiers, limit_allocators, limit_grants

CONTROL_BYTES_PER_SECOND = 2950
"""Bytes per second for heartbeats and limit messages together, headers included."""

MIN_BYTES_PER_SECOND = 200
BURST_BYTES = 4096
BATCH_BYTES = 70
"""Encoded size of a batch without its entries."""

ENTRY_BYTES = 10
"""Encoded size of an entry without the team name."""

ROUNDS_PER_LEASE = 3
"""Minimum rounds in a lease.

It must outlast a report, its answer and the next report, each of which may take one round.
"""


MAX_DEBT_BYTES = 8192
"""Bytes by which urgent messages at a change of allocator may overdraw the budget.

Later messages wait until the debt is paid off.
"""


class PendingBatch(msgspec.Struct):
    """Pending contents for a peer: teams to report on, and the last grant per holder and team."""

    is_urgent: bool = False

    teams: set[identifiers.TeamName] = msgspec.field(default_factory=set)
    grants: dict[tuple[identifiers.Incarnation, identifiers.TeamName], limit_grants.LimitGrant] = (
        msgspec.field(default_factory=dict)
    )


class Outbox:
    """Queues messages until the budget of ``bytes_per_second`` allows them (a token bucket)."""

    def __init__(self):
        self.bytes_per_second: float = CONTROL_BYTES_PER_SECOND
        self._pending_by_node: dict[identifiers.NodeName, PendingBatch] = {}
        self._urgent_by_node: dict[identifiers.NodeName, PendingBatch] = {}
        self._available_bytes = float(BURST_BYTES)
        self._refilled_at: datetime.datetime | None = None

    def add_report(
        self, node: identifiers.NodeName, team: identifiers.TeamName, *, is_urgent: bool = False
    ) -> None:
        """Queue a report on a team for its allocator."""
        self._pending_batch(node, is_urgent).teams.add(team)

    def add_grant(
        self, node: identifiers.NodeName, grant: limit_grants.LimitGrant, *, is_urgent: bool = False
    ) -> None:
        """Queue a grant for a holder; it replaces one that is still pending."""
        grants = self._pending_batch(node, is_urgent).grants
        grants[grant.holder_incarnation, grant.team] = grant

    def has_report(self, node: identifiers.NodeName, team: identifiers.TeamName) -> bool:
        """Return whether a report on a team is still pending for a node."""
        batches = (each.get(node) for each in (self._pending_by_node, self._urgent_by_node))
        return any(pending is not None and team in pending.teams for pending in batches)

    def pop_next(self, now: datetime.datetime) -> tuple[identifiers.NodeName, PendingBatch] | None:
        """Remove and return the next peer and its pending batch.

        Returns None if nothing is pending or the budget is used up.
        """
        self._refill(now)
        queue = self._next_queue()
        if queue is None:
            return None
        node = next(iter(queue))
        return node, queue.pop(node)

    def spend(self, byte_count: int) -> None:
        """Deduct the bytes of a sent message from the budget."""
        self._available_bytes -= byte_count

    def next_send_at(self) -> datetime.datetime | None:
        """Return when the next pending message may be sent, or None if there is none."""
        if not self._pending_by_node and not self._urgent_by_node:
            return None
        if self._refilled_at is None or self._next_queue() is not None:
            return clocks.EPOCH
        # One microsecond more, because the available bytes must exceed the minimum.
        min_bytes = -MAX_DEBT_BYTES if self._urgent_by_node else 0
        wait_s = (min_bytes - self._available_bytes) / self.bytes_per_second
        return self._refilled_at + datetime.timedelta(seconds=wait_s, microseconds=1)

    def _next_queue(self) -> dict[identifiers.NodeName, PendingBatch] | None:
        if self._urgent_by_node and self._available_bytes > -MAX_DEBT_BYTES:
            return self._urgent_by_node
        return (
            self._pending_by_node if self._pending_by_node and self._available_bytes > 0 else None
        )

    def _pending_batch(self, node: identifiers.NodeName, is_urgent: bool) -> PendingBatch:
        queue = self._urgent_by_node if is_urgent else self._pending_by_node
        return queue.setdefault(node, PendingBatch(is_urgent))

    def _refill(self, now: datetime.datetime) -> None:
        elapsed = now - (self._refilled_at or now)
        earned_bytes = elapsed.total_seconds() * self.bytes_per_second
        self._available_bytes = min(self._available_bytes + earned_bytes, BURST_BYTES)
        self._refilled_at = now


def interval_scale(byte_count: int, bytes_per_second: float) -> float:
    """Return the factor for intervals and leases, given the bytes of one round."""
    round_time = datetime.timedelta(seconds=byte_count / bytes_per_second)
    return max(1.0, ROUNDS_PER_LEASE * round_time / limit_allocators.LEASE)


def limit_bytes_per_second(peer_count: int, interval: datetime.timedelta) -> float:
    """Return the bytes per second left for limits after heartbeats to the peers of the domain."""
    size = heartbeats.HEARTBEAT_BYTES + heartbeats.WIRE_BYTES_PER_MESSAGE
    outside_bytes = heartbeats.WIRE_BYTES_PER_CONTACT / heartbeats.ROUNDS_PER_OUTSIDE_PARTNER
    heartbeat_bytes_per_second = (peer_count * size + outside_bytes) / interval.total_seconds()
    return max(CONTROL_BYTES_PER_SECOND - heartbeat_bytes_per_second, MIN_BYTES_PER_SECOND)

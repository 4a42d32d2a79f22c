"""Exchanges the numbers of starts in progress by target between nodes.

Each node sends the counts of its own starts in progress that have changed since its last message,
and periodically all of its counts, which corrects lost messages.
"""

import collections
import datetime

import msgspec

from chiveridge_kernel import clocks, identifiers, peers, slot_messages, targets, vms

SEND_INTERVAL = datetime.timedelta(milliseconds=50)
FULL_INTERVAL = datetime.timedelta(seconds=1)
SILENCE_LIMIT = datetime.timedelta(seconds=3)
"""Time without a message after which the counts of a node are dropped."""

BYTES_PER_SECOND = 30_000
"""Bytes per second that a node may send, with headers; limits how often messages are sent."""

WIRE_BYTES_PER_MESSAGE = 104
"""Bytes of the TCP and IP headers of a message and of its acknowledgement."""


class _ReportedCounts(msgspec.Struct):
    """The counts that one node reported last."""

    sent_at_ms: int
    last_heard_at: datetime.datetime
    count_by_target: dict[str, int]


class PeerCounts:
    """Numbers of starts in progress of the other nodes, by target."""

    def __init__(self, target_table: targets.TargetTable):
        self._targets = target_table
        self._reported_by_node: dict[str, _ReportedCounts] = {}
        self._total_by_target: collections.Counter[str] = collections.Counter()

    def total(self, target: str) -> int:
        """Return the last reported starts of all other nodes on a target."""
        return self._total_by_target[target]

    def apply(self, message: slot_messages.StartCounts, now: datetime.datetime) -> None:
        """Apply the counts of a message; ignore it if a later one of the node was applied."""
        reported = self._reported_by_node.get(message.sender)
        if reported is None:
            reported = self._reported_by_node[message.sender] = _ReportedCounts(
                message.sent_at_ms, now, {}
            )
        elif message.sent_at_ms <= reported.sent_at_ms:
            return
        reported.sent_at_ms = message.sent_at_ms
        reported.last_heard_at = now
        if message.is_full:
            self._subtract(reported)
        for target, count in message.count_by_target.items():
            if target in self._targets.vms_by_name:
                self._total_by_target[target] += count - reported.count_by_target.get(target, 0)
                reported.count_by_target[target] = count

    def expire(self, now: datetime.datetime) -> None:
        """Drop the counts of nodes that were silent for longer than the limit."""
        for node, reported in list(self._reported_by_node.items()):
            if now - reported.last_heard_at > SILENCE_LIMIT:
                self._subtract(reported)
                del self._reported_by_node[node]

    def _subtract(self, reported: _ReportedCounts) -> None:
        self._total_by_target.subtract(reported.count_by_target)
        for target in reported.count_by_target:
            if not self._total_by_target[target]:
                del self._total_by_target[target]
        reported.count_by_target = {}


class CountPublisher:
    """Decides when this node sends its counts, and which of them.

    ``counts`` are this node's own starts in progress by target; the caller keeps them up to date.
    """

    def __init__(self, own_name: identifiers.NodeName, counts: dict[str, int]):
        self._own_name = own_name
        self._counts = counts
        self._sent_counts: dict[str, int] = {}
        self._next_send_at: datetime.datetime | None = None
        self._next_full_at: datetime.datetime | None = None
        self._has_changed = False

    def mark_changed(self) -> None:
        """Record that a count has changed."""
        self._has_changed = True

    def next_send_at(self) -> datetime.datetime | None:
        """Return when to call :meth:`next_message` next, or None before its first call."""
        return self._next_send_at if self._has_changed else self._next_full_at

    def next_message(
        self, receivers: list[vms.Vm], now: datetime.datetime
    ) -> slot_messages.StartCounts | None:
        """Return the message to send now, or None if it is too early or nothing has changed."""
        due = self.next_send_at()
        if due is not None and now < due:
            return None
        is_full = self._next_full_at is None or now >= self._next_full_at
        found = dict(self._counts) if is_full else self._changes()
        self._sent_counts = dict(self._counts)
        self._has_changed = False
        self._next_send_at = now + SEND_INTERVAL
        if is_full:
            self._next_full_at = now + FULL_INTERVAL
        if not receivers or not (is_full or found):
            return None
        message = slot_messages.StartCounts(
            sender=self._own_name,
            sent_at_ms=clocks.to_epoch_ms(now),
            is_full=is_full,
            count_by_target=found,
        )
        sent_bytes = len(receivers) * (len(peers.encode(message)) + WIRE_BYTES_PER_MESSAGE)
        min_interval = datetime.timedelta(seconds=sent_bytes / BYTES_PER_SECOND)
        self._next_send_at = now + max(SEND_INTERVAL, min_interval)
        return message

    def _changes(self) -> dict[str, int]:
        changes = {
            target: count
            for target, count in self._counts.items()
            if self._sent_counts.get(target) != count
        }
        return changes | dict.fromkeys(self._sent_counts.keys() - self._counts.keys(), 0)

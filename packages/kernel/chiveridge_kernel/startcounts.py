"""Starts in progress by target, as nodes tell each other of them.

Each node tells how many starts of its own are in progress on a target when the number has changed
since it last told, and now and then all of them, which corrects lost messages.
"""

import collections
import datetime

import msgspec

from chiveridge_kernel import clocks, identifiers, peers, slot_messages, targets, vms

TELL_INTERVAL = datetime.timedelta(milliseconds=50)
WHOLE_INTERVAL = datetime.timedelta(seconds=1)
SILENCE_LIMIT = datetime.timedelta(seconds=3)
"""Time without a message after which the counts of a node are forgotten."""

BYTES_PER_SECOND = 30_000
"""Bytes a second that a node may send, headers included; the interval grows to keep to it."""

WIRE_BYTES_PER_MESSAGE = 104
"""TCP and IP headers of a message and of its acknowledgement."""


class _Told(msgspec.Struct):
    """What one node told last."""

    sent_at_ms: int
    heard_at: datetime.datetime
    count_by_target: dict[str, int]


class OthersCounts:
    """Starts in progress of other nodes, by target."""

    def __init__(self, target_table: targets.TargetTable):
        self._targets = target_table
        self._told_by_node: dict[str, _Told] = {}
        self._total_by_target: collections.Counter[str] = collections.Counter()

    def of(self, target: str) -> int:
        """Return the starts on a target of all other nodes, as they last told."""
        return self._total_by_target[target]

    def take(self, message: slot_messages.StartCounts, now: datetime.datetime) -> None:
        """Take what a node tells; a message that was overtaken changes nothing."""
        told = self._told_by_node.get(message.sender)
        if told is None:
            told = self._told_by_node[message.sender] = _Told(message.sent_at_ms, now, {})
        elif message.sent_at_ms <= told.sent_at_ms:
            return
        told.sent_at_ms = message.sent_at_ms
        told.heard_at = now
        if message.whole:
            self._subtract(told)
        for target, count in message.count_by_target.items():
            if target in self._targets.vms_by_name:
                self._total_by_target[target] += count - told.count_by_target.get(target, 0)
                told.count_by_target[target] = count

    def expire(self, now: datetime.datetime) -> None:
        """Forget the counts of nodes that were silent for too long."""
        for node, told in list(self._told_by_node.items()):
            if now - told.heard_at > SILENCE_LIMIT:
                self._subtract(told)
                del self._told_by_node[node]

    def _subtract(self, told: _Told) -> None:
        self._total_by_target.subtract(told.count_by_target)
        for target in told.count_by_target:
            if not self._total_by_target[target]:
                del self._total_by_target[target]
        told.count_by_target = {}


class Teller:
    """Decides when this node tells its counts, and what.

    ``counts`` are the node's own starts in progress by target, kept up to date by its owner.
    """

    def __init__(self, own_name: identifiers.NodeName, counts: dict[str, int]):
        self._own_name = own_name
        self._counts = counts
        self._told: dict[str, int] = {}
        self._due: datetime.datetime | None = None
        self._whole_due: datetime.datetime | None = None
        self._has_changed = False

    def changed(self) -> None:
        """Note that a count has changed."""
        self._has_changed = True

    def next_due(self) -> datetime.datetime | None:
        """Return when to call :meth:`message_due` next, or None before its first call."""
        return self._due if self._has_changed else self._whole_due

    def message_due(
        self, receivers: list[vms.Vm], now: datetime.datetime
    ) -> slot_messages.StartCounts | None:
        """Return what to tell the receivers now, or None when it is not time or nothing is new."""
        due = self.next_due()
        if due is not None and now < due:
            return None
        is_whole = self._whole_due is None or now >= self._whole_due
        found = dict(self._counts) if is_whole else self._changes()
        self._told = dict(self._counts)
        self._has_changed = False
        self._due = now + TELL_INTERVAL
        if is_whole:
            self._whole_due = now + WHOLE_INTERVAL
        if not receivers or not (is_whole or found):
            return None
        message = slot_messages.StartCounts(
            sender=self._own_name,
            sent_at_ms=clocks.to_epoch_ms(now),
            whole=is_whole,
            count_by_target=found,
        )
        size = len(receivers) * (len(peers.encode(message)) + WIRE_BYTES_PER_MESSAGE)
        needed = datetime.timedelta(seconds=size / BYTES_PER_SECOND)
        self._due = now + max(TELL_INTERVAL, needed)
        return message

    def _changes(self) -> dict[str, int]:
        changes = {
            target: count
            for target, count in self._counts.items()
            if self._told.get(target) != count
        }
        return changes | dict.fromkeys(self._told.keys() - self._counts.keys(), 0)

"""Incarnations of targets: which was seen last, and whether its entry in the list was read.

A target may restart as another kind under its id. Labels, capacity and service are those of the
incarnation that has written them, and nothing is started on the next one before its entry is read.
"""

import datetime
from collections.abc import Container, Iterable

from chiveridge_pool import (
    actions,
    identifiers,
    notes,
    outboxes,
    owned_targets,
    targets,
)

_FIRST_READ_INTERVAL = datetime.timedelta(milliseconds=100)
"""Time between the first two reads of the list for an entry; a target writes it as it starts."""

_MAX_READ_INTERVAL = datetime.timedelta(milliseconds=800)


class _AwaitedEntry:
    """The entry of an incarnation that has not been read yet."""

    __slots__ = ("interval", "next_read_at", "since", "started_at_ms")

    def __init__(self, started_at_ms: int, now: datetime.datetime):
        self.started_at_ms = started_at_ms
        self.since = now
        self.next_read_at = now
        self.interval = _FIRST_READ_INTERVAL


class Incarnations:
    """The incarnations of the targets that this node owns or has owned."""

    def __init__(self, outbox: outboxes.Outbox):
        self._outbox = outbox
        self._seen_by_target: dict[identifiers.TargetId, int] = {}
        # Targets that have restarted since their entry, which names no incarnation, was read.
        self._outdated: set[identifiers.TargetId] = set()
        self._awaited_by_target: dict[identifiers.TargetId, _AwaitedEntry] = {}

    def observe(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> bool:
        """Record the incarnation that has replied; return whether it is another one than before."""
        target_id, started_at_ms = owned.target.id, owned.started_at_ms
        if not started_at_ms:
            return False
        previous = self._seen_by_target.get(target_id, started_at_ms)
        self._seen_by_target[target_id] = started_at_ms
        has_restarted = previous != started_at_ms
        if has_restarted and not owned.target.started_at_ms:
            self._outdated.add(target_id)
        self._review(owned, now)
        return has_restarted

    def record_entry(self, target: targets.Target) -> None:
        """Record that the entry of a target was read from the platform's list."""
        self._outdated.discard(target.id)

    def is_described(self, owned: owned_targets.OwnedTarget) -> bool:
        """Return whether the entry in use is that of the incarnation that was seen last."""
        listed, seen = owned.target.started_at_ms, owned.started_at_ms
        if listed and seen:
            return listed == seen
        return owned.target.id not in self._outdated

    def tick(
        self, owned_by_target: Iterable[owned_targets.OwnedTarget], now: datetime.datetime
    ) -> None:
        """Ask for reads of the list while the entry of an owned target is awaited."""
        for owned in owned_by_target:
            self._review(owned, now)

    def retain(self, listed: Container[identifiers.TargetId]) -> None:
        """Forget the targets that are not listed any more."""
        for known in (self._seen_by_target, self._awaited_by_target):
            for target_id in [target_id for target_id in known if target_id not in listed]:
                del known[target_id]
        self._outdated = {target_id for target_id in self._outdated if target_id in listed}

    def _review(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        target_id = owned.target.id
        awaited = self._awaited_by_target.get(target_id)
        if self.is_described(owned):
            if awaited is not None:
                self._end_wait(target_id, awaited, now)
            return
        if awaited is None or awaited.started_at_ms != owned.started_at_ms:
            awaited = _AwaitedEntry(owned.started_at_ms, now)
            self._awaited_by_target[target_id] = awaited
            self._outbox.note(
                notes.NoteEvent.ENTRY_AWAITED,
                target=target_id,
                started_at_ms=owned.started_at_ms,
                listed_started_at_ms=owned.target.started_at_ms,
            )
        if now >= awaited.next_read_at:
            awaited.next_read_at = now + awaited.interval
            awaited.interval = min(2 * awaited.interval, _MAX_READ_INTERVAL)
            self._outbox.add(actions.ReadTargets())

    def _end_wait(
        self, target_id: identifiers.TargetId, awaited: _AwaitedEntry, now: datetime.datetime
    ) -> None:
        del self._awaited_by_target[target_id]
        self._outbox.note(
            notes.NoteEvent.ENTRY_READ,
            target=target_id,
            started_at_ms=awaited.started_at_ms,
            waited_ms=notes.to_ms(now - awaited.since),
        )

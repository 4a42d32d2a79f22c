"""The audit trail: who changed which objects when, from which revisions, and the verdict."""

from collections.abc import Iterable

import msgspec

from chiveridge_kernel import identifiers, records

MAX_ENTRIES = 5_000
MAX_LISTED_WRITES = 20


class AuditedWrite(msgspec.Struct, frozen=True, array_like=True):
    """One object of a change and the revision that the change was based on."""

    kind: records.ObjectKind
    name: str
    based_on: int
    is_deletion: bool


class AuditEntry(msgspec.Struct, frozen=True, array_like=True):
    """One change, with the first :data:`MAX_LISTED_WRITES` of its ``write_count`` writes."""

    offset: identifiers.Offset
    verdict: records.Verdict
    change_id: str = ""
    actor: str = ""
    changed_at: str = ""
    comment: str = ""
    message: str = ""
    write_count: int = 0
    writes: tuple[AuditedWrite, ...] = ()


class AuditTrail:
    """The newest :data:`MAX_ENTRIES` entries, ordered by offset."""

    def __init__(self, entries: Iterable[AuditEntry] = ()):
        self._entries_by_offset = {entry.offset: entry for entry in entries}

    def add(self, entry: AuditEntry) -> None:
        """Add an entry, which must be the newest; drop the oldest above :data:`MAX_ENTRIES`."""
        self._entries_by_offset[entry.offset] = entry
        if len(self._entries_by_offset) > MAX_ENTRIES:
            self._entries_by_offset.pop(next(iter(self._entries_by_offset)))

    def find(self, offset: identifiers.Offset) -> AuditEntry | None:
        """Return the entry of the change at an offset, or None when it is not kept."""
        return self._entries_by_offset.get(offset)

    def entries(self) -> list[AuditEntry]:
        """Return the entries, oldest first."""
        return list(self._entries_by_offset.values())


def make_entry(
    offset: identifiers.Offset,
    change: records.ChangeRecord,
    verdict: records.Verdict,
    message: str,
) -> AuditEntry:
    """Make the audit entry of a well-formed change."""
    return AuditEntry(
        offset=offset,
        verdict=verdict,
        change_id=change.change_id,
        actor=change.actor,
        changed_at=change.changed_at,
        comment=change.comment,
        message=message,
        write_count=len(change.writes),
        writes=tuple(_audited_write(write) for write in change.writes[:MAX_LISTED_WRITES]),
    )


def _audited_write(write: records.ObjectWrite) -> AuditedWrite:
    return AuditedWrite(write.kind, write.name, write.based_on, write.is_deletion())

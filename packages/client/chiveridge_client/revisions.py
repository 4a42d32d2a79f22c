"""Revisions of configuration objects, folded from the stream of changes.

:class:`Fold` is the interface that :mod:`chiveridge_client.publications` needs;
:class:`Revisions` is the least implementation of it, which keeps no objects.
"""

from typing import Protocol

import msgspec

from chiveridge_kernel import identifiers, records

_change_decoder = msgspec.json.Decoder(records.ChangeRecord)


class Fold(Protocol):
    """State of the configuration after the records before ``offset``."""

    offset: identifiers.Offset

    def apply(self, offset: identifiers.Offset, value: bytes) -> records.Verdict:
        """Apply the record at ``offset`` and return the verdict on it."""

    def revision_of(self, kind: records.ObjectKind, name: str) -> int:
        """Return the offset of the change that last wrote an object, 0 when there is none."""


class Revisions:
    """Tracks which accepted change last wrote each object."""

    def __init__(self):
        self.offset = identifiers.Offset(0)
        self._revisions_by_key: dict[tuple[records.ObjectKind, str], int] = {}
        self._change_ids: set[str] = set()

    def revision_of(self, kind: records.ObjectKind, name: str) -> int:
        """Return the offset of the change that last wrote an object, 0 when there is none."""
        return self._revisions_by_key.get((kind, name), 0)

    def apply(self, offset: identifiers.Offset, value: bytes) -> records.Verdict:
        """Apply the record at ``offset`` and return the verdict on it."""
        self.offset = identifiers.Offset(offset + 1)
        try:
            change = _change_decoder.decode(value)
        except msgspec.MsgspecError:
            return records.Verdict.INVALID
        if change.change_id in self._change_ids:
            return records.Verdict.DUPLICATE
        self._change_ids.add(change.change_id)
        if not all(self._is_current(write) for write in change.writes):
            return records.Verdict.CONFLICT
        for write in change.writes:
            self._write(offset, write)
        return records.Verdict.ACCEPTED

    def _is_current(self, write: records.ObjectWrite) -> bool:
        return write.based_on == self.revision_of(write.kind, write.name)

    def _write(self, offset: identifiers.Offset, write: records.ObjectWrite) -> None:
        is_deletion = write.team is None and write.target is None and write.rule is None
        self._revisions_by_key[write.kind, write.name] = 0 if is_deletion else offset

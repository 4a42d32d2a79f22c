"""Follows the configuration stream and recovers from a snapshot when records have expired."""

from collections.abc import Callable, Sequence

from chiveridge_kernel import (
    configurations,
    errors,
    identifiers,
    records,
    snapshot_decoders,
    snapshots,
)

Record = tuple[identifiers.Offset, object]


class Follower:
    """Applies the records of the log to a configuration.

    When the next record has expired, it scans the log from ``first_offset`` on, restores the newest
    complete snapshot whose later records are all kept, and continues after it. ``on_chunk`` is
    called with each snapshot chunk that is read outside a scan. ``restore`` is called with the
    snapshot and may apply it later.
    """

    def __init__(
        self,
        configuration: configurations.Configuration,
        on_chunk: Callable[[records.SnapshotRecord], None] = lambda chunk: None,
        restore: Callable[[snapshots.Snapshot], object] | None = None,
    ):
        self.first_offset = identifiers.Offset(0)
        self.end_offset = identifiers.Offset(0)
        self._configuration = configuration
        self._on_chunk = on_chunk
        self._restore = restore or configuration.restore
        self._scan_offset: identifiers.Offset | None = None
        self._assembler = snapshot_decoders.SnapshotAssembler()
        self._newest_snapshot: snapshots.Snapshot | None = None

    @property
    def read_offset(self) -> identifiers.Offset:
        """Return the next offset to read."""
        return self._scan_offset if self.is_scanning else self._configuration.offset

    @property
    def is_scanning(self) -> bool:
        """Return whether the log is being scanned for a snapshot, as records have expired."""
        return self._scan_offset is not None and self._configuration.offset < self.first_offset

    def handle_expired(
        self, first_offset: identifiers.Offset, next_offset: identifiers.Offset
    ) -> None:
        """Handle a read that failed because the log keeps no records before ``first_offset``."""
        self._update_bounds(first_offset, next_offset)
        if first_offset > self.read_offset:
            self._assembler = snapshot_decoders.SnapshotAssembler()
            self._newest_snapshot = None
            self._scan_offset = first_offset

    def process_records(
        self,
        batch: Sequence[Record],
        first_offset: identifiers.Offset = 0,
        next_offset: identifiers.Offset = 0,
    ) -> list[configurations.ChangeResult]:
        """Process records in order; return the results of the changes among those applied now."""
        self._update_bounds(first_offset, next_offset)
        if self.is_scanning:
            self._scan(batch)
            return []
        self._scan_offset = None
        changes = [self._apply(offset, value) for offset, value in batch]
        return [change for change in changes if change is not None]

    def _update_bounds(
        self, first_offset: identifiers.Offset, next_offset: identifiers.Offset
    ) -> None:
        self.first_offset = max(self.first_offset, first_offset)
        self.end_offset = max(self.end_offset, next_offset)

    def _apply(
        self, offset: identifiers.Offset, value: object
    ) -> configurations.ChangeResult | None:
        is_next = offset == self._configuration.offset
        change = self._configuration.apply(offset, value)
        if change is None and is_next:
            self._on_chunk(configurations.decode_record(value))
        return change

    def _scan(self, batch: Sequence[Record]) -> None:
        for offset, value in batch:
            if offset != self._scan_offset:
                continue
            self._scan_offset = identifiers.Offset(offset + 1)
            chunk = _decode_chunk(offset, value)
            self._keep_newest(self._assembler.add(chunk) if chunk is not None else None)
        self._restore_newest_if_scanned()

    def is_decoding(self) -> bool:
        """Return whether a snapshot is being decoded."""
        return self._assembler.is_decoding()

    def step(self) -> None:
        """Do one step of decoding."""
        self._keep_newest(self._assembler.step())
        self._restore_newest_if_scanned()

    def _keep_newest(self, snapshot: snapshots.Snapshot | None) -> None:
        if snapshot is not None and (
            self._newest_snapshot is None or snapshot.base > self._newest_snapshot.base
        ):
            self._newest_snapshot = snapshot

    def _restore_newest_if_scanned(self) -> None:
        """Restore the newest snapshot once the scan has reached the end of the log."""
        if not self.is_scanning or self.is_decoding() or self._newest_snapshot is None:
            return
        if self._scan_offset >= self.end_offset:
            self._restore_if_not_expired(self._newest_snapshot)

    def _restore_if_not_expired(self, snapshot: snapshots.Snapshot) -> None:
        self._newest_snapshot = None
        if snapshot.base >= self.first_offset:
            self._restore(snapshot)


def _decode_chunk(offset: identifiers.Offset, value: object) -> records.SnapshotRecord | None:
    try:
        record = configurations.decode_record(value)
    except errors.RecordError:
        return None
    is_chunk = isinstance(record, records.SnapshotRecord) and record.base <= offset
    return record if is_chunk else None

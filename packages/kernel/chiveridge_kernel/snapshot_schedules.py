"""Decides when this node writes a snapshot of the configuration into the log.

Each node decides independently, after a random delay that grows with the number of nodes. A
snapshot written by another node during the delay cancels the pending one. Two nodes that write
at the same time do no harm, as their chunks are equal; see :mod:`chiveridge_kernel.snapshots`.
"""

import datetime
import random

import msgspec

from chiveridge_kernel import identifiers, records

MAX_PARTIAL_SNAPSHOTS = 4


class SnapshotSettings(msgspec.Struct, frozen=True, kw_only=True):
    """When a snapshot is due.

    :param max_records: number of records after the newest snapshot.
    :param max_age: age of the newest snapshot; counts only if a change follows it.
    :param min_interval: minimum time between two attempts of this node.
    :param delay_per_node: the random delay is uniform from 0 to this times the number of nodes.
    """

    max_records: int = 500
    max_age: datetime.timedelta = datetime.timedelta(hours=6)
    min_interval: datetime.timedelta = datetime.timedelta(seconds=30)
    delay_per_node: datetime.timedelta = datetime.timedelta(milliseconds=500)


class SnapshotSchedule:
    """Tracks the newest complete snapshot in the log and when this node should write one."""

    def __init__(self, settings: SnapshotSettings, rng: random.Random):
        self.newest_base = identifiers.Offset(0)
        self._settings = settings
        self._rng = rng
        self._last_change_offset = identifiers.Offset(-1)
        self._newest_seen_at: datetime.datetime | None = None
        self._earliest_attempt_at: datetime.datetime | None = None
        self._due_at: datetime.datetime | None = None
        self._indices_by_key: dict[tuple[int, str, int], set[int]] = {}

    def record_chunk(self, chunk: records.SnapshotRecord) -> None:
        """Record that a chunk was read from the log."""
        key = (chunk.base, chunk.digest, chunk.count)
        indices = self._indices_by_key.setdefault(key, set())
        indices.add(chunk.index)
        if len(indices) == chunk.count and chunk.base > self.newest_base:
            self.newest_base = identifiers.Offset(chunk.base)
            self._newest_seen_at = None
            self._due_at = None
        if len(self._indices_by_key) > MAX_PARTIAL_SNAPSHOTS:
            del self._indices_by_key[min(self._indices_by_key)]

    def set_base(self, base: identifiers.Offset) -> None:
        """Count records from a state received from a peer; earlier snapshots were not read."""
        self.newest_base = max(self.newest_base, base)

    def record_change(self, offset: identifiers.Offset) -> None:
        """Record that the log has a record at an offset that is not a chunk of a snapshot."""
        self._last_change_offset = max(self._last_change_offset, offset)

    def schedule_if_needed(
        self,
        offset: identifiers.Offset,
        first_offset: identifiers.Offset,
        node_count: int,
        now: datetime.datetime,
    ) -> None:
        """Schedule a snapshot if one is needed, after records were read.

        :param offset: next offset to read.
        :param first_offset: oldest offset that the log keeps.
        """
        if self._newest_seen_at is None:
            self._newest_seen_at = now
        if self._due_at is None and self._is_needed(offset, first_offset, now):
            delay = self._settings.delay_per_node * node_count * self._rng.random()
            self._due_at = max(now + delay, self._earliest_attempt_at or now)

    def claim_due(self, now: datetime.datetime) -> bool:
        """Return whether to write now; if so, allow the next attempt after ``min_interval``."""
        if self._due_at is None or self._due_at > now:
            return False
        self._due_at = None
        self._earliest_attempt_at = now + self._settings.min_interval
        return True

    def next_due(self) -> datetime.datetime | None:
        """Return when to write, or None while no snapshot is needed."""
        return self._due_at

    def _is_needed(
        self, offset: identifiers.Offset, first_offset: identifiers.Offset, now: datetime.datetime
    ) -> bool:
        if self._last_change_offset < self.newest_base:
            return False
        has_many_records = offset - self.newest_base >= self._settings.max_records
        is_near_expiry = first_offset > 0 and self.newest_base < (first_offset + offset) // 2
        is_old = now - self._newest_seen_at >= self._settings.max_age
        return has_many_records or is_near_expiry or is_old

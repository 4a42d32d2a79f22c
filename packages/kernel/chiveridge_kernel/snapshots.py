"""Snapshots of the configuration state and their encoding into chunks.

A snapshot is encoded as zlib-compressed msgpack. Equal states have equal encodings, so chunks
written by different nodes can be combined into one snapshot.
"""

import hashlib
import zlib
from collections.abc import Iterator

import msgspec

from chiveridge_kernel import audits, errors, identifiers, records

CHUNK_BYTES = 192 * 1024
MAX_STATE_BYTES = 64 * 1024 * 1024
MAX_PARTIAL_SNAPSHOTS = 4
BYTES_PER_STEP = 128 * 1024
"""Bytes of the state that one step handles; an encoding step may exceed it by one object."""

_COMPRESSION_LEVEL = 1


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after every record before offset ``base``; objects are (revision, object) pairs."""

    base: identifiers.Offset
    teams: list[tuple[int, records.TeamObject]]
    targets: list[tuple[int, records.TargetObject]]
    rules: list[tuple[int, records.RuleObject]]
    verdicts: list[tuple[str, records.Verdict]]
    audit: list[audits.AuditEntry]


_encoder = msgspec.msgpack.Encoder()


class SnapshotEncoder:
    """Encodes a snapshot in steps that are short enough not to block the event loop.

    :raises errors.SnapshotError: in a step or in :meth:`chunks`, when the state is too large.
    """

    def __init__(self, snapshot: Snapshot):
        self._base = snapshot.base
        self._parts = _encode_parts(snapshot)
        self._compressor = zlib.compressobj(_COMPRESSION_LEVEL)
        self._data = bytearray()
        self._state_bytes = 0

    def step(self) -> bool:
        """Encode about :data:`BYTES_PER_STEP` of the state; return whether more remains."""
        state = bytearray()
        for part in self._parts:
            state += part
            if len(state) >= BYTES_PER_STEP:
                self._compress(state)
                return True
        self._compress(state)
        self._data += self._compressor.flush()
        return False

    def chunks(self) -> list[records.SnapshotRecord]:
        """Return the chunks; valid only after the last step."""
        data = bytes(self._data)
        parts = [data[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES)]
        if len(parts) > records.MAX_SNAPSHOT_CHUNKS:
            raise errors.SnapshotError(
                f"snapshot has {len(parts)} chunks, over the limit of {records.MAX_SNAPSHOT_CHUNKS}"
            )
        digest = hashlib.sha256(data).hexdigest()
        return [
            records.SnapshotRecord(
                base=self._base, digest=digest, index=index, count=len(parts), data=part
            )
            for index, part in enumerate(parts)
        ]

    def _compress(self, state: bytearray) -> None:
        self._state_bytes += len(state)
        if self._state_bytes > MAX_STATE_BYTES:
            raise errors.SnapshotError(
                f"snapshot state is over the limit of {MAX_STATE_BYTES} bytes"
            )
        self._data += self._compressor.compress(state)


def encode(snapshot: Snapshot) -> list[records.SnapshotRecord]:
    """Encode a snapshot into chunks of at most :data:`CHUNK_BYTES`, measured before base64.

    :raises errors.SnapshotError: when the state is too large.
    """
    encoding = SnapshotEncoder(snapshot)
    while encoding.step():
        pass
    return encoding.chunks()


def _encode_parts(snapshot: Snapshot) -> Iterator[bytes]:
    """Yield the msgpack of a snapshot in parts of at most one object."""
    yield _array_header(len(Snapshot.__struct_fields__))
    yield _encoder.encode(snapshot.base)
    for values in (
        snapshot.teams,
        snapshot.targets,
        snapshot.rules,
        snapshot.verdicts,
        snapshot.audit,
    ):
        yield _array_header(len(values))
        for value in values:
            yield _encoder.encode(value)


def _array_header(count: int) -> bytes:
    """Return the msgpack header of an array, by cutting off elements of one byte each (None)."""
    return _encoder.encode([None] * count)[: -count or None]

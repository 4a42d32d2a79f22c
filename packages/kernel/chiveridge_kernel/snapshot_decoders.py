"""Decodes snapshots in steps that are short enough not to block the event loop."""

import hashlib
import zlib
from collections.abc import Iterator

import msgspec

from chiveridge_kernel import audits, errors, identifiers, records, snapshots

_Team = tuple[int, records.TeamObject]
_Target = tuple[int, records.TargetObject]
_Rule = tuple[int, records.RuleObject]
_ChangeVerdict = tuple[str, records.Verdict]


class _RawSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot whose list elements are still msgpack."""

    base: identifiers.Offset
    teams: list[msgspec.Raw]
    targets: list[msgspec.Raw]
    rules: list[msgspec.Raw]
    verdicts: list[msgspec.Raw]
    audit: list[msgspec.Raw]


_raw_snapshot_decoder = msgspec.msgpack.Decoder(_RawSnapshot)
_decoders_by_field = {
    "teams": msgspec.msgpack.Decoder(_Team),
    "targets": msgspec.msgpack.Decoder(_Target),
    "rules": msgspec.msgpack.Decoder(_Rule),
    "verdicts": msgspec.msgpack.Decoder(_ChangeVerdict),
    "audit": msgspec.msgpack.Decoder(audits.AuditEntry),
}


class SnapshotDecoder:
    """Decodes the ordered chunks of one snapshot; the last step sets ``snapshot``."""

    def __init__(self, chunks: list[records.SnapshotRecord]):
        self.base = chunks[0].base
        self.digest = chunks[0].digest
        self.snapshot: snapshots.Snapshot | None = None
        self._chunks = chunks
        self._steps = self._decode_in_steps()

    def step(self) -> bool:
        """Decode about :data:`snapshots.BYTES_PER_STEP` of the state; return whether more remains.

        :raises errors.SnapshotError: when the chunks are not a complete, valid snapshot.
        """
        try:
            return next(self._steps, self) is not self
        except (zlib.error, msgspec.MsgspecError, RecursionError, UnicodeError) as error:
            raise errors.SnapshotError(str(error)) from error

    def _decode_in_steps(self) -> Iterator[None]:
        state = bytearray()
        for piece in self._decompress():
            state += piece
            if len(piece) == snapshots.BYTES_PER_STEP:
                yield
        raw_snapshot = _raw_snapshot_decoder.decode(state)
        if raw_snapshot.base != self.base:
            raise errors.SnapshotError(
                f"snapshot state has base {raw_snapshot.base}, its chunks have base {self.base}"
            )
        if len(state) > snapshots.BYTES_PER_STEP:
            yield
        values_by_field = {}
        step_bytes = 0
        for field, decoder in _decoders_by_field.items():
            values = values_by_field[field] = []
            for raw in getattr(raw_snapshot, field):
                values.append(_with_interned_names(decoder.decode(raw)))
                step_bytes += len(memoryview(raw))
                if step_bytes >= snapshots.BYTES_PER_STEP:
                    step_bytes = 0
                    yield
        self.snapshot = snapshots.Snapshot(base=self.base, **values_by_field)

    def _decompress(self) -> Iterator[bytes]:
        """Yield the decompressed state in pieces of at most :data:`snapshots.BYTES_PER_STEP`."""
        data = b"".join(chunk.data for chunk in self._chunks)
        if hashlib.sha256(data).hexdigest() != self.digest:
            raise errors.SnapshotError("snapshot data does not match its digest")
        decompressor = zlib.decompressobj()
        state_bytes = 0
        while piece := decompressor.decompress(data, snapshots.BYTES_PER_STEP):
            state_bytes += len(piece)
            if state_bytes > snapshots.MAX_STATE_BYTES:
                raise errors.SnapshotError(
                    f"snapshot state is over the limit of {snapshots.MAX_STATE_BYTES} bytes"
                )
            yield piece
            data = decompressor.unconsumed_tail


def _with_interned_names(value: tuple | audits.AuditEntry) -> tuple | audits.AuditEntry:
    if isinstance(value, tuple):
        return value[0], records.intern_team_names(value[1])
    return value


def decode(chunks: list[records.SnapshotRecord]) -> snapshots.Snapshot:
    """Decode the ordered chunks of one snapshot.

    :raises errors.SnapshotError: when they are not a complete, valid snapshot.
    """
    decoding = SnapshotDecoder(chunks)
    while decoding.step():
        pass
    return decoding.snapshot


class SnapshotAssembler:
    """Assembles snapshots from chunks that may be out of order, repeated or interleaved."""

    def __init__(self):
        self._chunks_by_key: dict[tuple[int, str, int], dict[int, records.SnapshotRecord]] = {}
        self._decodings: list[SnapshotDecoder] = []

    def add(self, chunk: records.SnapshotRecord) -> snapshots.Snapshot | None:
        """Add a chunk; return a complete, valid snapshot if decoding it is finished."""
        key = (chunk.base, chunk.digest, chunk.count)
        chunks_by_index = self._chunks_by_key.setdefault(key, {})
        if chunk.index < chunk.count:
            chunks_by_index[chunk.index] = chunk
        if len(chunks_by_index) == chunk.count:
            del self._chunks_by_key[key]
            self._start_decoding([chunks_by_index[index] for index in range(chunk.count)])
            return self.step()
        if len(self._chunks_by_key) > snapshots.MAX_PARTIAL_SNAPSHOTS:
            del self._chunks_by_key[min(self._chunks_by_key)]
        return None

    def is_decoding(self) -> bool:
        """Return whether a complete snapshot is still being decoded."""
        return bool(self._decodings)

    def step(self) -> snapshots.Snapshot | None:
        """Do one step of decoding; return a complete, valid snapshot if this step finished one."""
        if not self._decodings:
            return None
        decoding = self._decodings[0]
        try:
            if decoding.step():
                return None
        except errors.SnapshotError:
            self._decodings.pop(0)
            return None
        self._decodings.pop(0)
        return decoding.snapshot

    def _start_decoding(self, chunks: list[records.SnapshotRecord]) -> None:
        """Start decoding a snapshot, unless it is a duplicate; drop the oldest above the limit."""
        key = (chunks[0].base, chunks[0].digest)
        if any((decoding.base, decoding.digest) == key for decoding in self._decodings):
            return
        self._decodings.append(SnapshotDecoder(chunks))
        if len(self._decodings) > snapshots.MAX_PARTIAL_SNAPSHOTS:
            self._decodings.remove(min(self._decodings, key=lambda decoding: decoding.base))

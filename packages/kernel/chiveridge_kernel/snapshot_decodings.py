"""Decodes snapshots step by step, so that none holds up the loop."""

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
    """A snapshot whose elements are not decoded yet."""

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


class Decoding:
    """Decodes the chunks of one snapshot, in order; ``snapshot`` is set by the last step."""

    def __init__(self, chunks: list[records.SnapshotRecord]):
        self.base = chunks[0].base
        self.digest = chunks[0].digest
        self.snapshot: snapshots.Snapshot | None = None
        self._chunks = chunks
        self._steps = self._decode_in_steps()

    def step(self) -> bool:
        """Decode about :data:`snapshots.STEP_BYTES` of the state; tell whether there is more.

        :raises errors.SnapshotError: when the chunks are not a whole, valid snapshot.
        """
        try:
            return next(self._steps, self) is not self
        except (zlib.error, msgspec.MsgspecError, RecursionError, UnicodeError) as error:
            raise errors.SnapshotError(str(error)) from error

    def _decode_in_steps(self) -> Iterator[None]:
        state = bytearray()
        for piece in self._decompress():
            state += piece
            if len(piece) == snapshots.STEP_BYTES:
                yield
        raw_snapshot = _raw_snapshot_decoder.decode(state)
        if raw_snapshot.base != self.base:
            raise errors.SnapshotError(f"base {raw_snapshot.base} is not {self.base}")
        if len(state) > snapshots.STEP_BYTES:
            yield
        values_by_field = {}
        step_bytes = 0
        for field, decoder in _decoders_by_field.items():
            values = values_by_field[field] = []
            for raw in getattr(raw_snapshot, field):
                values.append(_with_interned_names(decoder.decode(raw)))
                step_bytes += len(memoryview(raw))
                if step_bytes >= snapshots.STEP_BYTES:
                    step_bytes = 0
                    yield
        self.snapshot = snapshots.Snapshot(base=self.base, **values_by_field)

    def _decompress(self) -> Iterator[bytes]:
        """Yield the state in pieces of :data:`snapshots.STEP_BYTES`, but for the last."""
        data = b"".join(chunk.data for chunk in self._chunks)
        if hashlib.sha256(data).hexdigest() != self.digest:
            raise errors.SnapshotError("the digest does not match")
        decompressor = zlib.decompressobj()
        state_bytes = 0
        while piece := decompressor.decompress(data, snapshots.STEP_BYTES):
            state_bytes += len(piece)
            if state_bytes > snapshots.MAX_STATE_BYTES:
                raise errors.SnapshotError(f"the state is over {snapshots.MAX_STATE_BYTES} bytes")
            yield piece
            data = decompressor.unconsumed_tail


def _with_interned_names(value: tuple | audits.AuditEntry) -> tuple | audits.AuditEntry:
    if isinstance(value, tuple):
        return value[0], records.intern_team_names(value[1])
    return value


def decode(chunks: list[records.SnapshotRecord]) -> snapshots.Snapshot:
    """Join the chunks of one snapshot, in order.

    :raises errors.SnapshotError: when they are not a whole, valid snapshot.
    """
    decoding = Decoding(chunks)
    while decoding.step():
        pass
    return decoding.snapshot


class SnapshotAssembler:
    """Joins chunks that arrive in any order, repeated, or of several snapshots at once."""

    def __init__(self):
        self._chunks_by_key: dict[tuple[int, str, int], dict[int, records.SnapshotRecord]] = {}
        self._decodings: list[Decoding] = []

    def add(self, chunk: records.SnapshotRecord) -> snapshots.Snapshot | None:
        """Take a chunk; return a snapshot that is whole and valid, if one is ready now."""
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
        """Tell whether there is more to decode."""
        return bool(self._decodings)

    def step(self) -> snapshots.Snapshot | None:
        """Decode on; return a snapshot that is whole and valid, if one is ready now."""
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
        """Decode a snapshot, unless the same comes again; the lowest of too many is left out."""
        key = (chunks[0].base, chunks[0].digest)
        if any((decoding.base, decoding.digest) == key for decoding in self._decodings):
            return
        self._decodings.append(Decoding(chunks))
        if len(self._decodings) > snapshots.MAX_PARTIAL_SNAPSHOTS:
            self._decodings.remove(min(self._decodings, key=lambda decoding: decoding.base))

import hashlib
import zlib

import msgspec
import pytest

from chiveridge_kernel import audits, errors, records, snapshot_decoders, snapshots


def make_snapshot(count, labels=3):
    teams = [
        (
            i + 1,
            records.TeamObject(name=f"team-{i}", labels={f"k{j}": str(i) for j in range(labels)}),
        )
        for i in range(count)
    ]
    return snapshots.Snapshot(count, teams, [], [], [], [])


def test_encoding_is_deterministic_and_decodes_to_the_same_snapshot():
    snapshot = make_snapshot(50)
    assert snapshots.encode(snapshot) == snapshots.encode(make_snapshot(50))
    assert snapshot_decoders.decode(snapshots.encode(snapshot)) == snapshot


def make_large_snapshot():
    """Return a snapshot with every kind of object that takes several steps to encode."""
    targets = [
        records.TargetObject(name=f"t{i}", approved_teams=[f"team-{j}" for j in range(100)])
        for i in range(500)
    ]
    return snapshots.Snapshot(
        base=70_000,
        teams=make_snapshot(3).teams,
        targets=[(i + 1, target) for i, target in enumerate(targets)],
        rules=[(1, records.RuleObject(name="all"))],
        verdicts=[(f"change-{i}", records.Verdict.ACCEPTED) for i in range(20_000)],
        audit=[audits.AuditEntry(offset=i, verdict=records.Verdict.INVALID) for i in range(20)],
    )


def test_no_step_encodes_more_than_the_step_size(monkeypatch):
    sizes = []
    compress = snapshots.SnapshotEncoder._compress
    monkeypatch.setattr(
        snapshots.SnapshotEncoder,
        "_compress",
        lambda self, state: (sizes.append(len(state)), compress(self, state)),
    )
    encoding = snapshots.SnapshotEncoder(make_large_snapshot())
    steps = 1
    while encoding.step():
        steps += 1
    total_bytes = len(msgspec.msgpack.encode(make_large_snapshot()))
    largest_object = 1000
    assert sum(sizes) == total_bytes
    assert steps == len(sizes) > total_bytes // snapshots.BYTES_PER_STEP
    assert max(sizes) <= snapshots.BYTES_PER_STEP + largest_object


@pytest.mark.parametrize("snapshot", [make_snapshot(0), make_snapshot(20), make_large_snapshot()])
def test_chunks_decompress_to_the_msgpack_of_the_snapshot(snapshot):
    chunks = snapshots.encode(snapshot)
    state = zlib.decompress(b"".join(chunk.data for chunk in chunks))
    assert state == msgspec.msgpack.encode(snapshot)
    if snapshot.base:
        assert snapshot_decoders.decode(chunks) == snapshot


@pytest.mark.parametrize("torn", [lambda c: c[1:], lambda c: c[:-1], lambda c: [*c[:1], *c[:-1]]])
def test_torn_snapshots_are_refused(monkeypatch, torn):
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 100)
    with pytest.raises(errors.SnapshotError):
        snapshot_decoders.decode(torn(snapshots.encode(make_snapshot(50))))


@pytest.mark.parametrize("data", [b"", b"not zlib", b"\x78\x9c"])
def test_corrupt_snapshots_with_a_matching_digest_are_refused(data):
    digest = hashlib.sha256(data).hexdigest()
    chunk = records.SnapshotRecord(base=1, digest=digest, index=0, count=1, data=data)
    assembler = snapshot_decoders.SnapshotAssembler()
    assert assembler.add(chunk) is None


def test_a_snapshot_whose_digest_does_not_match_is_refused():
    chunks = snapshots.encode(make_snapshot(5))
    wrong = msgspec.structs.replace(chunks[0], digest="0" * 64)
    assert snapshot_decoders.SnapshotAssembler().add(wrong) is None
    assert snapshot_decoders.SnapshotAssembler().add(chunks[0]) == make_snapshot(5)


def test_a_state_that_grows_beyond_the_limit_is_refused(monkeypatch):
    chunks = snapshots.encode(make_snapshot(1000))
    monkeypatch.setattr(snapshots, "MAX_STATE_BYTES", 1000)
    with pytest.raises(errors.SnapshotError):
        snapshot_decoders.decode(chunks)
    with pytest.raises(errors.SnapshotError):
        snapshots.encode(make_snapshot(1000))


def test_the_memory_for_unfinished_snapshots_is_bounded():
    assembler = snapshot_decoders.SnapshotAssembler()
    for base in range(1, 50):
        digest = hashlib.sha256(str(base).encode()).hexdigest()
        chunk = records.SnapshotRecord(base=base, digest=digest, index=0, count=2, data=b"x")
        assembler.add(chunk)
    assert len(assembler._chunks_by_key) <= snapshots.MAX_PARTIAL_SNAPSHOTS


def test_the_largest_configuration_fits():
    """The size that the node is designed for: 4,100 targets, each approved for 160 teams."""
    teams = [f"dispatch-team-{i}" for i in range(160)]
    targets = [
        records.TargetObject(
            name=f"domain-{i % 16}-worker-{i}",
            labels={"domain": f"domain-{i % 16}", "rack": f"rack-{i // 8}", "kind": "dryer"},
            approved_teams=teams,
        )
        for i in range(4_100)
    ]
    snapshot = snapshots.Snapshot(9, [], [(9, target) for target in targets], [], [], [])
    chunks = snapshots.encode(snapshot)
    assert len(chunks) <= records.MAX_SNAPSHOT_CHUNKS
    assert max(len(msgspec.json.encode(chunk)) for chunk in chunks) <= 256 * 1024 + 512
    assert snapshot_decoders.decode(chunks) == snapshot

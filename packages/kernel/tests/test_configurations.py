import msgspec
import pytest
from hypothesis import given, settings, strategies

from chiveridge_kernel import (
    configurations,
    followers,
    records,
    snapshot_decoders,
    snapshots,
)

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=80)
Verdict = records.Verdict

MALFORMED = [
    {},
    {"type": "change"},
    {"type": "snapshot", "base": 1},
    b"\xff",
    b'{"a":' * 5000 + b"1" + b"}" * 5000,
    {"type": "change", "change_id": "x", "actor": "a", "changed_at": "", "writes": []},
]

STEPS = strategies.lists(
    strategies.fixed_dictionaries(
        {
            "kind": strategies.sampled_from(list(records.ObjectKind)),
            "name": strategies.sampled_from(["ikeja", "lekki"]),
            "mode": strategies.sampled_from(
                ["fresh", "fresh", "delete", "stale", "again", "malformed"]
            ),
            "number": strategies.integers(0, 30),
        }
    ),
    max_size=30,
)


def make_object(kind, name, number):
    labels = {"number": str(number)}
    if kind is records.ObjectKind.TEAM:
        return records.TeamObject(name=name, labels=labels)
    if kind is records.ObjectKind.TARGET:
        return records.TargetObject(name=name, labels=labels, approved_teams=["ikeja"])
    return records.RuleObject(name=name, teams=f"number={number}")


def make_change_record(change_id, kind, name, based_on, value):
    write = records.ObjectWrite(kind=kind, name=name, based_on=based_on, **{kind.value: value})
    return msgspec.to_builtins(
        records.ChangeRecord(change_id=change_id, actor="ada", changed_at="", writes=[write])
    )


def make_stream(steps):
    """Return the values of a stream with conflicting, repeated and malformed changes."""
    configuration = configurations.Configuration()
    values = []
    for position, step in enumerate(steps):
        kind, name, mode, number = step["kind"], step["name"], step["mode"], step["number"]
        if mode == "malformed":
            value = MALFORMED[number % len(MALFORMED)]
        elif mode == "again" and values:
            value = values[number % len(values)]
        else:
            base = number if mode == "stale" else configuration.revision_of(kind, name)
            written = None if mode == "delete" else make_object(kind, name, number)
            value = make_change_record(f"change-{position}", kind, name, base, written)
        values.append(value)
        configuration.apply(position, value)
    return values


def fold(values, start=0, into=None):
    """Apply values from offset ``start`` on; return the configuration and the results."""
    configuration = into or configurations.Configuration()
    results = [configuration.apply(start + i, value) for i, value in enumerate(values)]
    return configuration, results


def encode_state(configuration):
    return snapshots.encode(configuration.snapshot())


def read_in_batches(values, sizes):
    """Read a stream in batches that overlap, so that each repeats records of the one before."""
    configuration = configurations.Configuration()
    follower = followers.Follower(configuration)
    results, offsets, position = [], [], 0
    for size in [*sizes, len(values) + 1]:
        start = max(position - size, 0)
        batch = list(enumerate(values))[start : position + size]
        results += follower.process_records(batch)
        position = min(position + size, len(values))
        offsets.append(configuration.offset)
    return configuration, results, offsets


@DETERMINISTIC
@given(STEPS, strategies.lists(strategies.integers(0, 7), max_size=8))
def test_verdicts_do_not_depend_on_the_batches(steps, sizes):
    values = make_stream(steps)
    expected, verdicts = fold(values)
    found, results, offsets = read_in_batches(values, sizes)
    assert results == verdicts
    assert encode_state(found) == encode_state(expected) if values else not found.offset
    assert offsets == sorted(offsets)


@DETERMINISTIC
@given(STEPS, strategies.integers(0, 30))
def test_a_snapshot_plus_the_remaining_records_equals_the_full_stream(steps, cut):
    values = make_stream(steps)
    expected, verdicts = fold(values)
    head, _ = fold(values[:cut])
    if not head.offset:
        return
    restored = configurations.Configuration()
    assert restored.restore(snapshot_decoders.decode(encode_state(head)))
    _, tail = fold(values[cut:], head.offset, restored)
    assert tail == verdicts[cut:]
    assert encode_state(restored) == encode_state(expected)


@DETERMINISTIC
@given(STEPS, strategies.integers(0, 30))
def test_a_repeated_change_modifies_no_object(steps, position):
    values = make_stream(steps)
    before, _ = fold(values)
    after, verdicts = fold([*values, *values])
    assert {v.verdict for v in verdicts[len(values) :]} <= {Verdict.DUPLICATE, Verdict.INVALID}
    assert after.teams_by_name == before.teams_by_name
    assert after.targets_by_name == before.targets_by_name
    assert after.rules_by_name == before.rules_by_name


@DETERMINISTIC
@given(STEPS)
def test_restoring_an_older_snapshot_changes_nothing(steps):
    values = make_stream(steps)
    configuration, _ = fold(values)
    state = encode_state(configuration) if values else []
    for cut in range(1, len(values) + 1):
        older, _ = fold(values[:cut])
        assert not configuration.restore(older.snapshot())
    assert (encode_state(configuration) if values else []) == state


def test_the_second_of_two_concurrent_changes_is_rejected_as_a_conflict():
    kind = records.ObjectKind.TEAM
    changes = [
        make_change_record(f"c{i}", kind, "ikeja", 0, make_object(kind, "ikeja", i))
        for i in range(2)
    ]
    configuration, results = fold(changes)
    assert [result.verdict for result in results] == [Verdict.ACCEPTED, Verdict.CONFLICT]
    assert results[1].message == (
        "team 'ikeja' is at revision 1, the change was based on 0; " "change 'c0' of ada wrote it"
    )
    assert configuration.teams_by_name["ikeja"].labels == {"number": "0"}
    assert [entry.verdict for entry in configuration.audit_trail.entries()] == [
        Verdict.ACCEPTED,
        Verdict.CONFLICT,
    ]


def test_changes_of_different_objects_do_not_conflict():
    kind = records.ObjectKind.TEAM
    changes = [
        make_change_record(name, kind, name, 0, make_object(kind, name, 1)) for name in ("a", "b")
    ]
    _, results = fold(changes)
    assert {result.verdict for result in results} == {Verdict.ACCEPTED}


@pytest.mark.parametrize("value", MALFORMED)
def test_a_malformed_record_is_rejected_and_does_not_affect_others(value):
    kind = records.ObjectKind.TEAM
    good = make_change_record("c", kind, "ikeja", 0, make_object(kind, "ikeja", 1))
    _, results = fold([value, good, value])
    found = [result.verdict for result in results]
    assert found == [Verdict.INVALID, Verdict.ACCEPTED, Verdict.INVALID]


def test_a_change_with_one_invalid_write_is_rejected_as_a_whole():
    kind = records.ObjectKind.TEAM
    change = make_change_record("c", kind, "ikeja", 0, make_object(kind, "ikeja", 1))
    twice = dict(change, writes=change["writes"] * 2)
    rule = records.RuleObject(name="r", teams="a in (", targets="")
    bad_rule = make_change_record("d", records.ObjectKind.RULE, "r", 0, rule)
    absent_deletion = make_change_record("e", kind, "lekki", 0, None)
    mixed = dict(change, writes=change["writes"] + bad_rule["writes"])
    configuration, results = fold([twice, bad_rule, absent_deletion, mixed])
    assert {result.verdict for result in results} == {Verdict.INVALID}
    assert not configuration.teams_by_name


def test_a_record_after_a_gap_is_not_applied():
    kind = records.ObjectKind.TEAM
    later = make_change_record("c", kind, "ikeja", 0, make_object(kind, "ikeja", 1))
    configuration = configurations.Configuration()
    assert configuration.apply(3, later) is None
    assert (configuration.offset, configuration.teams_by_name) == (0, {})


def test_the_audit_trail_and_the_remembered_verdicts_are_bounded(monkeypatch):
    monkeypatch.setattr(configurations, "MAX_REMEMBERED_CHANGES", 3)
    monkeypatch.setattr("chiveridge_kernel.audits.MAX_ENTRIES", 2)
    kind = records.ObjectKind.TEAM
    values = [
        make_change_record(f"c{i}", kind, f"t{i}", 0, make_object(kind, f"t{i}", i))
        for i in range(6)
    ]
    configuration, _ = fold(values)
    remembered = [i for i in range(6) if configuration.verdict_of(f"c{i}") is not None]
    assert remembered == [3, 4, 5]
    assert [entry.change_id for entry in configuration.audit_trail.entries()] == ["c4", "c5"]

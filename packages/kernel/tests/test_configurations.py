import msgspec
import pytest
from hypothesis import given, settings, strategies

from chiveridge_kernel import (
    configurations,
    followers,
    records,
    snapshot_decodings,
    snapshots,
)

FIXED = settings(derandomize=True, deadline=None, max_examples=80)
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


def value_of(kind, name, number):
    labels = {"number": str(number)}
    if kind is records.ObjectKind.TEAM:
        return records.TeamObject(name=name, labels=labels)
    if kind is records.ObjectKind.TARGET:
        return records.TargetObject(name=name, labels=labels, approved_teams=["ikeja"])
    return records.RuleObject(name=name, teams=f"number={number}")


def change_of(change_id, kind, name, based_on, value):
    write = records.ObjectWrite(kind=kind, name=name, based_on=based_on, **{kind.value: value})
    return msgspec.to_builtins(
        records.ChangeRecord(change_id=change_id, actor="ada", changed_at="", writes=[write])
    )


def stream_of(steps):
    """Return the values of a stream in which changes conflict, repeat and are malformed."""
    folded = configurations.Configuration()
    values = []
    for position, step in enumerate(steps):
        kind, name, mode, number = step["kind"], step["name"], step["mode"], step["number"]
        if mode == "malformed":
            value = MALFORMED[number % len(MALFORMED)]
        elif mode == "again" and values:
            value = values[number % len(values)]
        else:
            base = number if mode == "stale" else folded.revision_of(kind, name)
            written = None if mode == "delete" else value_of(kind, name, number)
            value = change_of(f"change-{position}", kind, name, base, written)
        values.append(value)
        folded.apply(position, value)
    return values


def folded_from(values, start=0, into=None):
    """Fold values whose first has offset ``start``; return the configuration and verdicts."""
    configuration = into or configurations.Configuration()
    results = [configuration.apply(start + i, value) for i, value in enumerate(values)]
    return configuration, results


def state_of(configuration):
    return snapshots.encode(configuration.snapshot())


def read_in_batches(values, sizes):
    """Read a stream in overlapping batches, each of which is sent again from an earlier offset."""
    configuration = configurations.Configuration()
    follower = followers.Follower(configuration)
    results, offsets, position = [], [], 0
    for size in [*sizes, len(values) + 1]:
        start = max(position - size, 0)
        batch = list(enumerate(values))[start : position + size]
        results += follower.read(batch)
        position = min(position + size, len(values))
        offsets.append(configuration.offset)
    return configuration, results, offsets


@FIXED
@given(STEPS, strategies.lists(strategies.integers(0, 7), max_size=8))
def test_verdicts_do_not_depend_on_the_batches(steps, sizes):
    values = stream_of(steps)
    whole, verdicts = folded_from(values)
    found, results, offsets = read_in_batches(values, sizes)
    assert results == verdicts
    assert state_of(found) == state_of(whole) if values else not found.offset
    assert offsets == sorted(offsets)


@FIXED
@given(STEPS, strategies.integers(0, 30))
def test_a_snapshot_and_the_tail_equal_the_whole(steps, cut):
    values = stream_of(steps)
    whole, verdicts = folded_from(values)
    head, _ = folded_from(values[:cut])
    if not head.offset:
        return
    restored = configurations.Configuration()
    assert restored.restore(snapshot_decodings.decode(state_of(head)))
    _, tail = folded_from(values[cut:], head.offset, restored)
    assert tail == verdicts[cut:]
    assert state_of(restored) == state_of(whole)


@FIXED
@given(STEPS, strategies.integers(0, 30))
def test_a_change_appended_again_changes_no_object(steps, position):
    values = stream_of(steps)
    before, _ = folded_from(values)
    after, verdicts = folded_from([*values, *values])
    assert {v.verdict for v in verdicts[len(values) :]} <= {Verdict.DUPLICATE, Verdict.INVALID}
    assert after.teams_by_name == before.teams_by_name
    assert after.targets_by_name == before.targets_by_name
    assert after.rules_by_name == before.rules_by_name


@FIXED
@given(STEPS)
def test_an_old_snapshot_takes_nothing_back(steps):
    values = stream_of(steps)
    whole, _ = folded_from(values)
    state = state_of(whole) if values else []
    for cut in range(1, len(values) + 1):
        older, _ = folded_from(values[:cut])
        assert not whole.restore(older.snapshot())
    assert (state_of(whole) if values else []) == state


def test_of_two_racing_operators_one_wins_and_the_other_is_told():
    kind = records.ObjectKind.TEAM
    race = [change_of(f"c{i}", kind, "ikeja", 0, value_of(kind, "ikeja", i)) for i in range(2)]
    configuration, results = folded_from(race)
    assert [result.verdict for result in results] == [Verdict.ACCEPTED, Verdict.CONFLICT]
    assert results[1].message == (
        "team 'ikeja' is at revision 1, the change was based on 0; " "change 'c0' of ada wrote it"
    )
    assert configuration.teams_by_name["ikeja"].labels == {"number": "0"}
    assert [entry.verdict for entry in configuration.trail.entries()] == [
        Verdict.ACCEPTED,
        Verdict.CONFLICT,
    ]


def test_changes_of_different_objects_do_not_conflict():
    kind = records.ObjectKind.TEAM
    race = [change_of(name, kind, name, 0, value_of(kind, name, 1)) for name in ("a", "b")]
    _, results = folded_from(race)
    assert {result.verdict for result in results} == {Verdict.ACCEPTED}


@pytest.mark.parametrize("value", MALFORMED)
def test_a_malformed_record_harms_nothing(value):
    kind = records.ObjectKind.TEAM
    good = change_of("c", kind, "ikeja", 0, value_of(kind, "ikeja", 1))
    _, results = folded_from([value, good, value])
    found = [result.verdict for result in results]
    assert found == [Verdict.INVALID, Verdict.ACCEPTED, Verdict.INVALID]


def test_a_change_with_one_bad_write_is_not_in_force_at_all():
    kind = records.ObjectKind.TEAM
    change = change_of("c", kind, "ikeja", 0, value_of(kind, "ikeja", 1))
    twice = dict(change, writes=change["writes"] * 2)
    rule = records.RuleObject(name="r", teams="a in (", targets="")
    bad_rule = change_of("d", records.ObjectKind.RULE, "r", 0, rule)
    never_was = change_of("e", kind, "lekki", 0, None)
    mixed = dict(change, writes=change["writes"] + bad_rule["writes"])
    configuration, results = folded_from([twice, bad_rule, never_was, mixed])
    assert {result.verdict for result in results} == {Verdict.INVALID}
    assert not configuration.teams_by_name


def test_records_after_a_gap_wait():
    kind = records.ObjectKind.TEAM
    later = change_of("c", kind, "ikeja", 0, value_of(kind, "ikeja", 1))
    configuration = configurations.Configuration()
    assert configuration.apply(3, later) is None
    assert (configuration.offset, configuration.teams_by_name) == (0, {})


def test_the_trail_and_the_memory_of_changes_are_bounded(monkeypatch):
    monkeypatch.setattr(configurations, "MAX_REMEMBERED_CHANGES", 3)
    monkeypatch.setattr("chiveridge_kernel.audits.MAX_ENTRIES", 2)
    kind = records.ObjectKind.TEAM
    values = [change_of(f"c{i}", kind, f"t{i}", 0, value_of(kind, f"t{i}", i)) for i in range(6)]
    configuration, _ = folded_from(values)
    remembered = [i for i in range(6) if configuration.verdict_of(f"c{i}") is not None]
    assert remembered == [3, 4, 5]
    assert [entry.change_id for entry in configuration.trail.entries()] == ["c4", "c5"]

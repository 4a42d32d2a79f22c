import random
from unittest import mock

import pytest
from hypothesis import given, settings, strategies

from chiveridge_kernel import (
    configurations,
    errors,
    reach_indexes,
    reaches,
    records,
    results,
    selectors,
    vms,
)

TEAMS = ["ikeja", "lekki", "surulere"]
TARGETS = ["t1", "t2", "t3", "t4"]
SELECTORS = [
    "",
    "kind=dryer",
    "kind!=dryer",
    "zone in (a, b), kind",
    "zone notin (a), !kind",
    "!kind",
    "zone",
    "kind==washer, zone!=b",
    "other=1",
]
LABELS = strategies.fixed_dictionaries(
    {},
    optional={
        "kind": strategies.sampled_from(["dryer", "washer", ""]),
        "zone": strategies.sampled_from(["a", "b", "c"]),
    },
)
SELECTOR = strategies.sampled_from(SELECTORS)
WRITES = strategies.one_of(
    strategies.builds(
        lambda name, labels: (records.ObjectKind.TEAM, name, labels),
        strategies.sampled_from(TEAMS),
        LABELS,
    ),
    strategies.builds(
        lambda name, labels, approved: (records.ObjectKind.TARGET, name, (labels, approved)),
        strategies.sampled_from(TARGETS),
        LABELS,
        strategies.lists(strategies.sampled_from(TEAMS), unique=True),
    ),
    strategies.builds(
        lambda name, teams, targets: (records.ObjectKind.RULE, name, (teams, targets)),
        strategies.sampled_from(["r1", "r2", "r3"]),
        SELECTOR,
        SELECTOR,
    ),
    strategies.builds(
        lambda kind, number: (kind, (TEAMS, TARGETS, ["r1", "r2", "r3"])[number][number], None),
        strategies.sampled_from(list(records.ObjectKind)),
        strategies.integers(0, 2),
    ),
)
STEPS = strategies.lists(
    strategies.one_of(
        WRITES, strategies.dictionaries(strategies.sampled_from(TARGETS), strategies.integers(1, 2))
    ),
    max_size=25,
)


def vm(name, cores=8, port=1):
    return vms.Vm(
        name=name, role=vms.VmRole.TARGET, domain="d", address="127.0.0.1", port=port, cores=cores
    )


def make_object(kind, name, fields):
    if kind is records.ObjectKind.TEAM:
        return records.TeamObject(name=name, labels=fields)
    if kind is records.ObjectKind.TARGET:
        return records.TargetObject(name=name, labels=fields[0], approved_teams=fields[1])
    return records.RuleObject(name=name, teams=fields[0], targets=fields[1])


class System:
    """A configuration and the reach computed from it, changed step by step."""

    def __init__(self):
        self.configuration = configurations.Configuration()
        self.reach = reaches.Reach(self.configuration)
        self.vms_by_name = {}
        self._change_count = 0

    def apply(self, step):
        """Apply one step and update the reach."""
        self.write(step)
        self.reach.update(self.configuration.pop_changed_keys())

    def apply_in_bulk(self, steps):
        """Apply some steps and update the reach once, as for a change of many objects."""
        for step in steps:
            self.write(step)
        with mock.patch.object(reach_indexes, "MAX_INCREMENTAL_CHANGES", 0):
            self.reach.update(self.configuration.pop_changed_keys())

    def write(self, step):
        if isinstance(step, dict):
            self.vms_by_name = {name: vm(name, port=port) for name, port in sorted(step.items())}
            self.reach.replace_vms(self.vms_by_name)
            return
        kind, name, fields = step
        based_on = self.configuration.revision_of(kind, name)
        value = None if fields is None else make_object(kind, name, fields)
        if value is None and not based_on:
            return
        write = records.ObjectWrite(kind=kind, name=name, based_on=based_on, **{kind.value: value})
        self._change_count += 1
        change = records.ChangeRecord(
            change_id=str(self._change_count), actor="a", changed_at="", writes=[write]
        )
        offset = self.configuration.offset
        result = self.configuration.apply(offset, configurations.encode_change(change))
        assert result.verdict is records.Verdict.ACCEPTED

    def query(self, team, text):
        try:
            found = self.reach.candidates(team, text).vms
            assert all(self.vms_by_name[vm.name] == vm for vm in found)
            return {vm.name for vm in found}
        except errors.RefusedError as error:
            return error.code

    def expected_result(self, team_name, text):
        """Return the expected result of a query by evaluating every object."""
        configuration = self.configuration
        team = configuration.teams_by_name.get(team_name)
        selector = selectors.parse(text)
        matching, found = set(), set()
        for name in self.vms_by_name:
            target = configuration.targets_by_name.get(name)
            if selector.matches(target.labels if target else {}):
                matching.add(name)
            if name in matching and target and team and team_name in target.approved_teams:
                for rule in configuration.rules_by_name.values():
                    if selectors.parse(rule.teams).matches(team.labels) and selectors.parse(
                        rule.targets
                    ).matches(target.labels):
                        found.add(name)
        if found:
            return found
        code = results.ResultCode
        return code.NOT_APPROVED if matching else code.NO_SUCH_TARGET


def make_linked_system():
    """Return a system with one rule by which every team reaches every target."""
    new_system = System()
    new_system.apply(dict.fromkeys(TARGETS, 1))
    for team in TEAMS:
        new_system.apply((records.ObjectKind.TEAM, team, {"kind": "washer"}))
    for target in TARGETS:
        new_system.apply((records.ObjectKind.TARGET, target, ({"kind": "dryer"}, TEAMS)))
    new_system.apply((records.ObjectKind.RULE, "r1", ("", "")))
    return new_system


@settings(derandomize=True, deadline=None, max_examples=150)
@given(STEPS, strategies.booleans())
def test_every_query_matches_the_reference_after_each_change(steps, is_linked):
    system = make_linked_system() if is_linked else System()
    for step in steps:
        system.apply(step)
        for team in TEAMS:
            for text in SELECTORS:
                assert system.query(team, text) == system.expected_result(team, text)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(STEPS, strategies.randoms(use_true_random=False))
def test_queries_after_several_changes_match_the_reference(steps, rng):
    system = make_linked_system()
    for step in steps:
        system.apply(step)
        team, text = rng.choice(TEAMS), rng.choice(SELECTORS)
        assert system.query(team, text) == system.expected_result(team, text)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(strategies.lists(STEPS, max_size=4), strategies.booleans())
def test_every_query_matches_the_reference_after_each_bulk_change(groups, is_linked):
    system = make_linked_system() if is_linked else System()
    for steps in groups:
        system.apply_in_bulk(steps)
        for team in TEAMS:
            for text in SELECTORS:
                assert system.query(team, text) == system.expected_result(team, text)


@pytest.mark.parametrize("is_first", [True, False])
def test_a_bulk_load_evaluates_each_rule_once_rather_than_once_per_target(monkeypatch, is_first):
    system = System()
    target_count, rule_count = 200, 50
    steps = [(records.ObjectKind.TEAM, name, {"kind": "washer"}) for name in TEAMS]
    steps += [
        (records.ObjectKind.RULE, f"r{number}", ("", f"kind=k{number}"))
        for number in range(rule_count)
    ]
    steps += [
        (records.ObjectKind.TARGET, f"t{number}", ({"kind": f"k{number % 60}"}, TEAMS))
        for number in range(target_count)
    ]
    random.Random(3).shuffle(steps)
    if not is_first:
        system.apply_in_bulk(steps)
    for step in steps:
        system.write(step)
    matched = []
    matches = selectors.Selector.matches
    monkeypatch.setattr(
        selectors.Selector,
        "matches",
        lambda self, labels: matched.append(self) or matches(self, labels),
    )
    system.reach.update(system.configuration.pop_changed_keys())
    assert len(matched) <= 2 * rule_count * len(TEAMS)


@pytest.fixture
def system():
    return make_linked_system()


def test_a_change_keeps_cached_queries_that_it_does_not_affect(system):
    kept = system.reach.candidates("lekki", "kind=dryer")
    system.apply((records.ObjectKind.TARGET, "t9", ({"kind": "dryer"}, ["ikeja"])))
    system.apply((records.ObjectKind.TEAM, "ikeja", {"kind": "other"}))
    assert system.reach.candidates("lekki", "kind=dryer") is kept
    system.apply((records.ObjectKind.TARGET, "t1", ({"kind": "dryer"}, ["ikeja"])))
    assert system.query("lekki", "kind=dryer") == {"t2", "t3", "t4"}


def test_moved_or_removed_vms_do_not_rerun_the_queries(system, monkeypatch):
    for team in TEAMS:
        assert system.query(team, "kind=dryer") == set(TARGETS)
    monkeypatch.setattr(reach_indexes.ReachIndex, "reachable_targets", None)
    system.apply({"t1": 2, "t2": 1, "t3": 1})
    for team in TEAMS:
        assert system.query(team, "kind=dryer") == {"t1", "t2", "t3"}
    found = {id(system.reach.candidates(team, "kind=dryer")) for team in TEAMS}
    assert len(found) == 1


def test_queries_refreshed_at_different_times_share_candidates_again(system):
    system.query("ikeja", "kind=dryer")
    system.query("lekki", "kind=dryer")
    for target in ("t2", "t3"):
        system.apply((records.ObjectKind.TARGET, target, ({"kind": "other"}, TEAMS)))
        system.query("ikeja", "kind=dryer")
    found = [system.reach.candidates(team, "kind=dryer") for team in TEAMS]
    assert {vm.name for vm in found[0].vms} == {"t1", "t4"}
    assert found[0] is found[1] is found[2]


def test_a_bulk_change_applies_to_every_query(system, monkeypatch):
    monkeypatch.setattr(reach_indexes, "MAX_INCREMENTAL_CHANGES", 0)
    assert system.query("ikeja", "kind=dryer") == set(TARGETS)
    system.apply((records.ObjectKind.TARGET, "t1", ({"kind": "dryer"}, ["lekki"])))
    assert system.query("ikeja", "kind=dryer") == system.expected_result("ikeja", "kind=dryer")
    assert system.query("lekki", "kind=dryer") == set(TARGETS)


def test_equal_results_share_one_candidates_object(system):
    found = {id(system.reach.candidates(team, text)) for team in TEAMS for text in ("", "kind")}
    assert len(found) == 1


def test_the_cached_queries_of_a_team_are_bounded(system):
    for number in range(1000):
        assert system.query("ikeja", f"kind!=k{number}") == set(TARGETS)
    kept = system.reach._queries_by_team["ikeja"]
    assert len(kept) == reaches.MAX_QUERIES_PER_TEAM


def test_the_index_keeps_nothing_of_deleted_objects(system):
    names_by_kind = {
        records.ObjectKind.TEAM: TEAMS,
        records.ObjectKind.TARGET: TARGETS,
        records.ObjectKind.RULE: ["r1"],
    }
    steps = [(kind, name, None) for kind, names in names_by_kind.items() for name in names]
    random.Random(2).shuffle(steps)
    for step in steps:
        system.apply(step)
    index = system.reach._index
    kept = {name: value for name, value in vars(index).items() if isinstance(value, dict)}
    kept |= {name: value for name, value in vars(index.targets).items()}
    assert not any(kept.values()), kept
    assert isinstance(index, reach_indexes.ReachIndex)

import collections
import datetime

import hypothesis
import pytest
from hypothesis import strategies

from chiveridge_kernel import clocks, slots, vms

NOW = clocks.EPOCH
TEAM = "desk"
LATER = NOW + slots.SETTLING_LIMIT


def target(name: str, slot_count: int = 2) -> vms.Vm:
    return vms.Vm(
        name=name,
        role=vms.VmRole.TARGET,
        domain="ikeja",
        address="127.0.0.1",
        port=1,
        slots=slot_count,
    )


def held(**count_by_target: int) -> slots.SlotCounts:
    return collections.Counter({(name, TEAM): n for name, n in count_by_target.items()})


@pytest.fixture
def ledger() -> slots.SlotLedger:
    settled = slots.SlotLedger()
    settled.set_owned_targets({"t1": target("t1"), "t2": target("t2")}, [], NOW)
    settled.settle(LATER)
    return settled


def test_free_slots_follow_loans_and_returns(ledger):
    ledger.lend("e1", TEAM, ["t1", "t1"], NOW)
    assert (ledger.free("t1"), ledger.free("t2")) == (0, 2)
    ledger.release("e1", "t1", TEAM, NOW)
    assert ledger.free("t1") == 1


def test_a_duplicate_return_changes_nothing(ledger):
    ledger.lend("e1", TEAM, ["t1"], NOW)
    ledger.lend("e2", TEAM, ["t1"], NOW)
    ledger.release("e1", "t1", TEAM, NOW)
    ledger.release("e1", "t1", TEAM, NOW)
    assert ledger.free("t1") == 1


def test_a_new_owner_lends_only_after_all_holders_have_reported():
    ledger = slots.SlotLedger()
    ledger.set_owned_targets({"t1": target("t1")}, ["e1", "e2"], NOW)
    ledger.apply_report("e1", 0, held(t1=1), NOW)
    assert ledger.free("t1") == 0
    ledger.apply_report("e2", 0, held(), NOW)
    assert ledger.free("t1") == 1


def test_a_new_owner_stops_waiting_for_silent_holders_after_the_settling_limit():
    ledger = slots.SlotLedger()
    ledger.set_owned_targets({"t1": target("t1")}, ["e1"], NOW)
    assert not ledger.settle(LATER - datetime.timedelta(milliseconds=1))
    assert ledger.settle(LATER)
    assert ledger.free("t1") == 2


def test_a_report_corrects_lost_returns_but_keeps_grants_in_transit(ledger):
    received = ledger.lend("e1", TEAM, ["t1", "t2"], NOW)
    ledger.lend("e1", TEAM, ["t2"], NOW)
    ledger.apply_report("e1", received, held(t1=1), NOW)
    assert (ledger.free("t1"), ledger.free("t2")) == (1, 1)


def test_slots_of_a_silent_holder_are_reclaimed(ledger):
    ledger.lend("e1", TEAM, ["t1", "t1"], NOW)
    assert not ledger.expire(NOW + slots.HOLDER_SILENCE_LIMIT)
    assert ledger.expire(NOW + slots.HOLDER_SILENCE_LIMIT + datetime.timedelta(milliseconds=1))
    assert ledger.free("t1") == 2


def test_slots_reported_without_teams_can_be_returned_for_any_team(ledger):
    ledger.apply_report("e1", 0, slots.slot_counts_of({"t1": 2, "t2": 1}, {"t1": {TEAM: 1}}), NOW)
    assert ledger.lent_by_team == {TEAM: 1, slots.UNKNOWN_TEAM: 2}
    for name in ("t1", "t1", "t2"):
        ledger.release("e1", name, TEAM, NOW)
    assert +ledger.lent_by_team == {}
    assert (ledger.free("t1"), ledger.free("t2")) == (2, 2)


MODEL_NODES = ("e1", "e2", "e3")
MODEL_TARGETS = ("t1", "t2", "t3")
MODEL_TEAMS = ("desk", "field")
EVENTS = ("lend", "return", "lost return", "second return", "report", "die", "own", "wait")


class Model:
    """The slots that nodes actually hold, and the ledger of an owner whose targets change."""

    def __init__(self):
        self.now = NOW
        self.ledger = slots.SlotLedger()
        self.slot_counts_by_node = {node: collections.Counter() for node in MODEL_NODES}
        self.serials: collections.Counter[str] = collections.Counter()
        self.set_owned(MODEL_TARGETS)

    def set_owned(self, names: tuple[str, ...]) -> None:
        self.ledger.set_owned_targets({name: target(name, 4) for name in names}, [], self.now)
        self.ledger.settle(self.now + slots.SETTLING_LIMIT)

    def apply_event(self, event: str, node: str, name: str, team: str) -> None:
        slot_counts = self.slot_counts_by_node[node]
        key = (name, team)
        if event == "lend" and self.ledger.free(name):
            self.serials[node] = self.ledger.lend(node, team, [name], self.now)
            slot_counts[key] += 1
        elif event in ("return", "lost return") and slot_counts[key]:
            slot_counts[key] -= 1
        if event in ("return", "second return"):
            self.ledger.release(node, name, team, self.now)
        elif event == "report":
            self.ledger.apply_report(node, self.serials[node], +slot_counts, self.now)
        elif event == "die":
            slot_counts.clear()
        elif event == "own":
            self.set_owned(tuple(other for other in MODEL_TARGETS if other != name))
        elif event == "wait":
            self.now += slots.HOLDER_SILENCE_LIMIT
            self.ledger.expire(self.now)

    def lent_by_team(self) -> dict[str, int]:
        """Sum by team the slots that the ledger counts as held by the nodes."""
        sums: collections.Counter[str] = collections.Counter()
        for holder in self.ledger.holders_by_node.values():
            for (name, team), count in holder.slot_counts.items():
                sums[team] += count * self.ledger.owns(name)
        return +sums


model_events = strategies.tuples(
    strategies.sampled_from(EVENTS),
    strategies.sampled_from(MODEL_NODES),
    strategies.sampled_from(MODEL_TARGETS),
    strategies.sampled_from(MODEL_TEAMS),
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None, database=None)
@hypothesis.given(strategies.lists(model_events, max_size=60))
def test_lent_counts_by_team_match_the_slots_held(events):
    model = Model()
    for event in events:
        model.apply_event(*event)
        assert all(count >= 0 for count in model.ledger.lent_by_team.values())
        assert +model.ledger.lent_by_team == model.lent_by_team()
    model.set_owned(MODEL_TARGETS)
    for node in MODEL_NODES:
        model.apply_event("report", node, "t1", "desk")
    held = sum(model.slot_counts_by_node.values(), collections.Counter())
    assert +model.ledger.lent_by_team == collections.Counter(team for _, team in held.elements())
    for name in MODEL_TARGETS:
        lent = sum(count for (other, _), count in held.items() if other == name)
        assert model.ledger.free(name) == max(4 - lent, 0)

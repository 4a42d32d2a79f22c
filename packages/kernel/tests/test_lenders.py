"""Compares the lender's choice of targets with that of a plain scan of all owned targets."""

import collections
import copy
import datetime
import random

import hypothesis
import msgspec
from hypothesis import strategies

from chiveridge_kernel import (
    clocks,
    events,
    kernel_parts,
    kernels,
    lenders,
    records,
    slot_messages,
    slot_queues,
    slots,
    target_speeds,
    vms,
)

TARGETS = tuple(f"t{number}" for number in range(6))
SLOTS = 3
NODES = ("e1", "e2")
TYPICAL_MS = 100.0
ENDS = {
    "end": (1, "succeeded", TYPICAL_MS),
    "fail": (4, "failed", 0.0),
    "slow": (target_speeds.MIN_TARGET_SAMPLES, "succeeded", TYPICAL_MS * 4),
    "recover": (40, "succeeded", TYPICAL_MS),
    "lose": (1, "lost", 0.0),
    "leave": (1, "leaving", 0.0),
}
"""Repeats, outcome and run time in ms of the steps that end starts."""

STEPS = ("lend", *ENDS, "avoid", "wait", "list", "own")
TARGETS_BY_TEAM = {"desk": TARGETS, "field": TARGETS[::2]}


def target(name: str) -> vms.Vm:
    return vms.Vm(
        name=name, role=vms.VmRole.TARGET, domain="ikeja", address="127.0.0.1", port=3, slots=SLOTS
    )


def configuration() -> dict:
    kinds = records.ObjectKind
    writes = [records.ObjectWrite(kind=kinds.RULE, name="all", rule=records.RuleObject(name="all"))]
    writes += [
        records.ObjectWrite(kind=kinds.TEAM, name=name, team=records.TeamObject(name=name))
        for name in TARGETS_BY_TEAM
    ]
    for name in TARGETS:
        teams = [team for team, reached in TARGETS_BY_TEAM.items() if name in reached]
        described = records.TargetObject(name=name, approved_teams=teams)
        writes.append(records.ObjectWrite(kind=kinds.TARGET, name=name, target=described))
    change = records.ChangeRecord(change_id="1", actor="op", changed_at="now", writes=writes)
    return msgspec.to_builtins(change)


class Bench:
    """A lender that owns every target, and the state that the plain scan needs."""

    def __init__(self):
        settings = kernel_parts.KernelSettings(
            node="e1", domain="ikeja", incarnation="a", secret=b"k", policy="owners"
        )
        self.clock = clocks.ManualClock()
        self.kernel = kernels.Kernel(settings, random.Random(1))
        self.handle(events.RecordsRead(records=[(0, configuration())]))
        self.list_targets(TARGETS)
        self.lender: lenders.Lender = self.kernel.dispatcher.policy.lender
        self.lender.ledger.settle(self.now + slots.SETTLING_LIMIT)
        for _ in range(target_speeds.MIN_TEAM_SAMPLES):
            for team in TARGETS_BY_TEAM:
                self.lender.speeds.observe_team_run(team, TYPICAL_MS)
        self._refused_until: dict[tuple[str, str], datetime.datetime] = {}
        self._next_slow_probe_by_target: dict[str, datetime.datetime] = {}

    @property
    def now(self) -> datetime.datetime:
        return self.clock.now()

    def handle(self, event: events.Event) -> None:
        self.kernel.handle(event, self.now)

    def list_targets(self, names: tuple[str, ...]) -> None:
        self.handle(events.VmsListed(listing=vms.VmList(1, [target(name) for name in names])))

    def apply_step(self, step: str, node: str, name: str, team: str, count: int) -> None:
        if step in ENDS:
            repeats, outcome, run_ms = ENDS[step]
            for _ in range(repeats):
                self.lender.release(
                    node, slot_messages.SlotEnd(name, team, outcome, run_ms), self.now
                )
            if outcome == "lost" and self.lender.ledger.owns(name):
                self._refused_until[node, name] = self.now + lenders.UNREACHABLE_EXCLUSION_TIME
        elif step == "lend":
            self.lend(node, team, count)
        elif step == "avoid":
            table = self.kernel.dispatcher.target_table
            table.exclude_until(name, self.now + datetime.timedelta(seconds=count))
        elif step == "wait":
            self.wait(datetime.timedelta(milliseconds=count * 500), is_ticked=bool(count % 2))
        else:
            change = {"list": self.list_targets, "own": self.set_owned}[step]
            change(TARGETS if count % 2 else _without(name))

    def wait(self, time: datetime.timedelta, *, is_ticked: bool) -> None:
        self.clock.advance(time)
        if is_ticked:
            self.handle(events.Ticked())

    def set_owned(self, names: tuple[str, ...]) -> None:
        """Change the owned targets without a change of the list or state of any target."""
        table = self.kernel.dispatcher.policy.owner_table
        table.owned = frozenset(names) & table.owner_by_target.keys()
        self.lender.refresh(self.now)
        self.lender.ledger.settle(self.now + slots.SETTLING_LIMIT)

    def lend(self, node: str, team: str, count: int) -> None:
        waited_ms = 100.0 * count
        assert self.lender.free_count() == sum(
            self._free(name) for name in TARGETS if self._is_healthy(name)
        )
        expected = self._expected_choice(node, team, count, waited_ms)
        query = slot_queues.TargetQuery(team, "")
        assert self.lender.lend(node, query, count, waited_ms, self.now).names == expected

    def _expected_choice(self, node: str, team: str, count: int, waited_ms: float) -> list[str]:
        usable = [
            name
            for name in TARGETS_BY_TEAM[team]
            if self.kernel.dispatcher.target_table.is_usable(name)
            and self._refused_until.get((node, name), self.now) <= self.now
        ]
        chosen: list[str] = []
        for expect in (self._expect_healthy, self._expect_slow, self._expect_failing):
            chosen += expect(usable, count - len(chosen), waited_ms)
        return chosen

    def _expect_healthy(self, usable: list[str], count: int, _waited_ms: float) -> list[str]:
        remaining = {name: self._free(name) for name in usable if self._is_healthy(name)}
        chosen: list[str] = []
        while len(chosen) < count and max(remaining.values(), default=0) > 0:
            name = max(remaining, key=remaining.__getitem__)
            remaining[name] -= 1
            chosen.append(name)
        return chosen

    def _expect_slow(self, usable: list[str], count: int, waited_ms: float) -> list[str]:
        known = self.lender.speeds
        chosen: list[str] = []
        for name in usable:
            if self.lender.breakers.is_open(name) or not known.is_slow(name):
                continue
            free = self._free(name)
            if waited_ms >= (known.slowdown(name) - 1.0) * known.mean_run_ms():
                chosen += [name] * min(free, count - len(chosen))
            elif free and len(chosen) < count and self._is_slow_probe_due(name):
                self._next_slow_probe_by_target[name] = self.now + lenders.SLOW_PROBE_INTERVAL
                chosen.append(name)
        return chosen

    def _expect_failing(self, usable: list[str], count: int, _waited_ms: float) -> list[str]:
        breakers = copy.deepcopy(self.lender.breakers)
        chosen: list[str] = []
        for name in usable:
            if len(chosen) >= count or not breakers.is_open(name):
                continue
            if self._free(name) and breakers.claim_probe(name, self.now):
                chosen.append(name)
        return chosen

    def _is_slow_probe_due(self, name: str) -> bool:
        return self._next_slow_probe_by_target.get(name, self.now) <= self.now

    def _is_healthy(self, name: str) -> bool:
        is_usable = self.kernel.dispatcher.target_table.is_usable(name)
        is_open, is_slow = self.lender.breakers.is_open(name), self.lender.speeds.is_slow(name)
        return is_usable and not is_open and not is_slow

    def _free(self, name: str) -> int:
        """Compute the free slots of a target from the slots of each holder."""
        ledger = self.lender.ledger
        if not ledger.owns(name) or name in ledger.settling_targets():
            return 0
        held: collections.Counter[str] = collections.Counter()
        for holder in ledger.holders_by_node.values():
            for (other, _), count in holder.slot_counts.items():
                held[other] += count
        return max(SLOTS - held[name], 0)


def _without(name: str) -> tuple[str, ...]:
    return tuple(other for other in TARGETS if other != name)


def _step_on_first_target(step: str, count: int) -> tuple[str, str, str, str, int]:
    return step, NODES[0], TARGETS[0], "desk", count


steps = strategies.tuples(
    strategies.sampled_from(STEPS),
    strategies.sampled_from(NODES),
    strategies.sampled_from(TARGETS),
    strategies.sampled_from(sorted(TARGETS_BY_TEAM)),
    strategies.integers(1, 12),
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None, database=None)
@hypothesis.example([_step_on_first_target(step, 12) for step in ("slow", "recover", "lend")])
@hypothesis.example(
    [
        _step_on_first_target("fail", 1),
        _step_on_first_target("wait", 1),
        _step_on_first_target("end", 1),
        _step_on_first_target("lend", 12),
    ]
)
@hypothesis.example(
    [
        _step_on_first_target("lose", 1),
        _step_on_first_target("wait", 2),
        _step_on_first_target("lend", 12),
    ]
)
@hypothesis.given(strategies.lists(steps, max_size=50))
def test_lender_chooses_the_same_targets_as_a_scan_of_all_targets(drawn_steps):
    bench = Bench()
    for step in drawn_steps:
        bench.apply_step(*step)
    for team in TARGETS_BY_TEAM:
        for node in NODES:
            bench.lend(node, team, 2)

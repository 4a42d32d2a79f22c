"""Owners of targets weigh news that a target cannot be reached."""

import collections
import datetime
import random

import msgspec
import pytest

from chiveridge_kernel import (
    actions,
    clocks,
    errors,
    events,
    kernel_parts,
    kernels,
    messages,
    slot_messages,
    suspicions,
    target_messages,
    vms,
)

NODES = ("e1", "e2", "e3")
TARGETS = tuple(f"t{number}" for number in range(6))
SLOTS = 2
TEAM = "desk"
STEP = datetime.timedelta(milliseconds=20)
OUTCOMES = events.LeaseOutcome


class Domain:
    """Kernels of a domain; ``cut`` holds pairs of a node and a target that it cannot reach."""

    def __init__(self, change: dict):
        self.clock = clocks.ManualClock()
        self.cut: set[tuple[str, str]] = set()
        self.is_silent = False
        self.refused: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[type] = collections.Counter()
        self.answers: list[messages.JobAnswer] = []
        self._pending: collections.deque[tuple[str, events.Event]] = collections.deque()
        self.kernels_by_name = {name: self._kernel(name) for name in NODES}
        listing = vms.VmList(1, [_vm(name, vms.VmRole.ENTRY) for name in NODES])
        listing.vms.extend(_vm(name, vms.VmRole.TARGET) for name in TARGETS)
        for name in NODES:
            self._pending.append((name, events.RecordsRead(records=[(0, change)])))
            self._pending.append((name, events.VmsListed(listing=listing)))
        self.advance(1.0)

    def owner_of(self, target: str) -> str:
        policy = self.kernels_by_name["e1"].dispatcher.policy
        return policy.owner_table.owner_by_target[target]

    def advance(self, seconds: float, load: int = 0) -> None:
        """Let time pass; with a load, every node submits a job of so many tasks at each step."""
        until = self.clock.now() + datetime.timedelta(seconds=seconds)
        while self.clock.now() < until:
            self.clock.advance(STEP)
            for name in NODES:
                self._pending.append((name, events.Ticked()))
                if load:
                    self.submit(name, load)
            self._settle()

    def submit(self, name: str, count: int) -> None:
        issued = self.kernels_by_name[name].admissions.issue(TEAM, 1, self.clock.now())
        tasks = [messages.TaskSpec()] * count
        submission = messages.Submission(submission_id=issued.submission_ids[0], tasks=tasks)
        event = events.SubmissionReceived(team=TEAM, submission=submission, digest=b"")
        self._pending.append((name, event))

    def states(self, target: str) -> str:
        """Return the state of a target as its owner sees it."""
        return self.kernels_by_name[self.owner_of(target)].target_table.state_of(target).value

    def _kernel(self, name: str) -> kernels.Kernel:
        settings = kernel_parts.KernelSettings(
            node=name, domain="ikeja", incarnation=f"life-of-{name}", secret=b"k", policy="owners"
        )
        return kernels.Kernel(settings, random.Random(name))

    def _settle(self) -> None:
        while self._pending:
            name, event = self._pending.popleft()
            try:
                done = self.kernels_by_name[name].handle(event, self.clock.now())
            except errors.RefusedError:
                self.refusals[name] += 1
                done = self.kernels_by_name[name].take_actions()
            for action in done:
                self._perform(name, action)

    def _perform(self, name: str, action: actions.Action) -> None:
        if isinstance(action, actions.SendToPeer):
            self.sent[type(action.message)] += 1
            received = events.PeerMessageReceived(message=action.message)
            self._pending.append((action.peer.name, received))
        elif isinstance(action, actions.AnswerJob):
            self.answers.append(action.answer)
        elif isinstance(action, actions.StartTask):
            is_cut = (name, action.target.name) in self.cut
            self.refused[name] += is_cut
            outcome = OUTCOMES.REFUSED if is_cut else OUTCOMES.SUCCEEDED
            report = events.LeaseReported(lease_id=action.lease_id, outcome=outcome, run_ms=10.0)
            self._pending.append((name, report))
        elif isinstance(action, actions.ProbeTarget):
            self.sent[actions.ProbeTarget] += 1
            is_reachable = (name, action.target.name) not in self.cut
            event = events.TargetProbed(target=action.target, is_reachable=is_reachable)
            if not self.is_silent:
                self._pending.append((name, event))


def _vm(name: str, role: vms.VmRole) -> vms.Vm:
    return vms.Vm(
        name=name, role=role, domain="ikeja", address=name, port=3, peer_port=2, slots=SLOTS
    )


@pytest.fixture
def domain(make_change) -> Domain:
    return Domain(msgspec.to_builtins(make_change(TARGETS, TEAM)))


def cut_for(domain: Domain, target: str, *nodes: str) -> None:
    domain.cut = {(node, target) for node in nodes}


def test_an_unreachable_target_costs_the_domain_its_slots_once_for_each_node(domain):
    cut_for(domain, "t0", *NODES)
    domain.advance(40.0, load=3)
    assert 0 < domain.refused.total() <= len(NODES) * SLOTS
    assert domain.states("t0") == "avoided"
    assert {answer.code.name for answer in domain.answers} == {"COMPLETE"}
    domain.cut.clear()
    domain.advance((suspicions.MAX_HOLD + STEP).total_seconds(), load=3)
    assert domain.states("t0") == "usable"


def test_a_node_cut_off_from_every_target_makes_its_peers_hold_none(domain):
    domain.cut = {("e1", target) for target in TARGETS}
    near = [target for target in TARGETS if domain.owner_of(target) != "e1"]
    domain.advance(10.0, load=3)
    assert domain.refused["e1"] > 0
    assert {domain.states(target) for target in near} == {"usable"}
    assert domain.refusals.keys() <= {"e1"}
    # Wrong news cost ever fewer probes.
    before = domain.sent[actions.ProbeTarget]
    domain.advance(10.0, load=3)
    assert domain.sent[actions.ProbeTarget] - before <= len(TARGETS)


@pytest.mark.parametrize("with_peer", [False, True])
def test_an_owner_that_is_cut_off_believes_a_node_that_is_not(domain, with_peer):
    owner = domain.owner_of("t0")
    others = [name for name in NODES if name != owner]
    cut_for(domain, "t0", owner, *others[:with_peer])
    domain.submit(owner, len(TARGETS) * SLOTS)
    domain.advance(2.5)
    assert domain.sent[target_messages.ProbeRequest] > 0
    assert domain.states("t0") == "usable"


def test_an_owner_without_any_reply_lately_needs_two_other_witnesses(domain):
    owner = domain.owner_of("t0")
    other = next(name for name in NODES if name != owner)
    policy = domain.kernels_by_name[owner].dispatcher.policy
    end = slot_messages.SlotEnd("t0", TEAM, "refused")
    domain.is_silent = True
    for reached_at, state in ((None, "usable"), (domain.clock.now(), "avoided")):
        policy.suspicions._reached_at = reached_at
        policy.suspicions.learn(other, end, domain.clock.now())
        vm = policy.starter.target_table.vms_by_name["t0"]
        policy.suspicions.probed(vm, False, domain.clock.now())
        # The third node is asked and does not reply.
        domain.advance((suspicions.ASK_LIMIT + STEP).total_seconds())
        assert domain.states("t0") == state


def test_witnesses_expire_and_a_node_that_reaches_the_target_by_then_is_believed(domain):
    cut_for(domain, "t0", *NODES)
    domain.advance(2.0, load=3)
    owner = domain.owner_of("t0")
    cut_for(domain, "t0", owner)
    domain.advance(2.0, load=3)
    assert domain.states("t0") == "avoided"
    limit = suspicions.WITNESS_LIFETIME + suspicions.MAX_HOLD
    domain.advance(limit.total_seconds())
    assert domain.states("t0") == "usable"


def test_jobs_wait_for_a_target_in_doubt_and_a_probe_without_result_ends_the_doubt(domain):
    domain.is_silent = True
    owner = domain.owner_of("t0")
    policy = domain.kernels_by_name[owner].dispatcher.policy
    for target in policy.owner_table.owned:
        end = slot_messages.SlotEnd(target, TEAM, "refused")
        policy.suspicions.learn(owner, end, domain.clock.now())
    assert domain.states("t0") == "avoided"
    domain.submit(owner, len(TARGETS) * SLOTS)
    domain.advance((suspicions.PROBE_LIMIT + STEP).total_seconds())
    assert domain.states("t0") == "usable"
    assert [answer.code.name for answer in domain.answers] == ["COMPLETE"]


def test_probes_are_about_one_vm_of_a_name(domain):
    policy = domain.kernels_by_name["e1"].dispatcher.policy
    fields = {"sender": "e2", "target": "t0", "port": 3}
    for address, count in (("elsewhere", 0), ("t0", 1), ("t0", 1)):
        request = target_messages.ProbeRequest(address=address, **fields)
        policy.indirect_probes.ask(request, domain.clock.now())
        assert len(policy.starter.outbox) == count

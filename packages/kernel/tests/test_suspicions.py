"""How owners of targets handle reports that a target is unreachable."""

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
    """Kernels of a domain; ``cut_pairs`` holds the node and target names that are disconnected."""

    def __init__(self, change: dict):
        self.clock = clocks.ManualClock()
        self.cut_pairs: set[tuple[str, str]] = set()
        self.drops_probe_results = False
        self.refused_starts_by_node: collections.Counter[str] = collections.Counter()
        self.refused_jobs_by_node: collections.Counter[str] = collections.Counter()
        self.sent_by_type: collections.Counter[type] = collections.Counter()
        self.answers: list[messages.JobAnswer] = []
        self._pending: collections.deque[tuple[str, events.Event]] = collections.deque()
        self.kernels_by_name = {name: self._kernel(name) for name in NODES}
        listing = vms.VmList(1, [_make_vm(name, vms.VmRole.ENTRY) for name in NODES])
        listing.vms.extend(_make_vm(name, vms.VmRole.TARGET) for name in TARGETS)
        for name in NODES:
            self._pending.append((name, events.RecordsRead(records=[(0, change)])))
            self._pending.append((name, events.VmsListed(listing=listing)))
        self.advance(1.0)

    def owner_of(self, target: str) -> str:
        policy = self.kernels_by_name["e1"].dispatcher.policy
        return policy.owner_table.owner_by_target[target]

    def advance(self, seconds: float, load: int = 0) -> None:
        """Advance the clock; at each step every node submits a job of ``load`` tasks, if any."""
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

    def state_seen_by_owner(self, target: str) -> str:
        """Return the state of a target in the table of its owner."""
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
                self.refused_jobs_by_node[name] += 1
                done = self.kernels_by_name[name].pop_actions()
            for action in done:
                self._perform(name, action)

    def _perform(self, name: str, action: actions.Action) -> None:
        if isinstance(action, actions.SendToPeer):
            self.sent_by_type[type(action.message)] += 1
            received = events.PeerMessageReceived(message=action.message)
            self._pending.append((action.peer.name, received))
        elif isinstance(action, actions.AnswerJob):
            self.answers.append(action.answer)
        elif isinstance(action, actions.StartTask):
            is_cut = (name, action.target.name) in self.cut_pairs
            self.refused_starts_by_node[name] += is_cut
            outcome = OUTCOMES.REFUSED if is_cut else OUTCOMES.SUCCEEDED
            report = events.LeaseReported(lease_id=action.lease_id, outcome=outcome, run_ms=10.0)
            self._pending.append((name, report))
        elif isinstance(action, actions.ProbeTarget):
            self.sent_by_type[actions.ProbeTarget] += 1
            is_reachable = (name, action.target.name) not in self.cut_pairs
            event = events.TargetProbed(target=action.target, is_reachable=is_reachable)
            if not self.drops_probe_results:
                self._pending.append((name, event))


def _make_vm(name: str, role: vms.VmRole) -> vms.Vm:
    return vms.Vm(
        name=name, role=role, domain="ikeja", address=name, port=3, peer_port=2, slots=SLOTS
    )


@pytest.fixture
def domain(make_change) -> Domain:
    return Domain(msgspec.to_builtins(make_change(TARGETS, TEAM)))


def cut_target_from(domain: Domain, target: str, *nodes: str) -> None:
    domain.cut_pairs = {(node, target) for node in nodes}


def test_each_node_wastes_at_most_one_start_per_slot_on_an_unreachable_target(domain):
    cut_target_from(domain, "t0", *NODES)
    domain.advance(40.0, load=3)
    assert 0 < domain.refused_starts_by_node.total() <= len(NODES) * SLOTS
    assert domain.state_seen_by_owner("t0") == "avoided"
    assert {answer.code.name for answer in domain.answers} == {"COMPLETE"}
    domain.cut_pairs.clear()
    domain.advance((suspicions.MAX_HOLD + STEP).total_seconds(), load=3)
    assert domain.state_seen_by_owner("t0") == "usable"


def test_reports_of_an_isolated_node_make_no_owner_hold_a_target(domain):
    domain.cut_pairs = {("e1", target) for target in TARGETS}
    targets_of_others = [target for target in TARGETS if domain.owner_of(target) != "e1"]
    domain.advance(10.0, load=3)
    assert domain.refused_starts_by_node["e1"] > 0
    assert {domain.state_seen_by_owner(target) for target in targets_of_others} == {"usable"}
    assert domain.refused_jobs_by_node.keys() <= {"e1"}
    # The node is ignored for longer after each unconfirmed report, so there are few probes.
    before = domain.sent_by_type[actions.ProbeTarget]
    domain.advance(10.0, load=3)
    assert domain.sent_by_type[actions.ProbeTarget] - before <= len(TARGETS)


@pytest.mark.parametrize("with_peer", [False, True])
def test_a_successful_indirect_probe_overrides_the_probe_of_an_isolated_owner(domain, with_peer):
    owner = domain.owner_of("t0")
    others = [name for name in NODES if name != owner]
    cut_target_from(domain, "t0", owner, *others[:with_peer])
    domain.submit(owner, len(TARGETS) * SLOTS)
    domain.advance(2.5)
    assert domain.sent_by_type[target_messages.ProbeRequest] > 0
    assert domain.state_seen_by_owner("t0") == "usable"


def test_an_owner_without_a_recent_reply_needs_two_other_witnesses(domain):
    owner = domain.owner_of("t0")
    other = next(name for name in NODES if name != owner)
    policy = domain.kernels_by_name[owner].dispatcher.policy
    end = slot_messages.SlotEnd("t0", TEAM, "refused")
    domain.drops_probe_results = True
    for reached_at, state in ((None, "usable"), (domain.clock.now(), "avoided")):
        policy.suspicions._reached_at = reached_at
        policy.suspicions.record_start_outcome(other, end, domain.clock.now())
        vm = policy.starter.target_table.vms_by_name["t0"]
        policy.suspicions.handle_probe_result(vm, False, domain.clock.now())
        # The third node is asked for an indirect probe and does not reply.
        domain.advance((suspicions.INDIRECT_PROBE_TIMEOUT + STEP).total_seconds())
        assert domain.state_seen_by_owner("t0") == state


def test_a_held_target_is_usable_again_once_witnesses_expire_and_a_node_reaches_it(domain):
    cut_target_from(domain, "t0", *NODES)
    domain.advance(2.0, load=3)
    owner = domain.owner_of("t0")
    cut_target_from(domain, "t0", owner)
    domain.advance(2.0, load=3)
    assert domain.state_seen_by_owner("t0") == "avoided"
    limit = suspicions.WITNESS_LIFETIME + suspicions.MAX_HOLD
    domain.advance(limit.total_seconds())
    assert domain.state_seen_by_owner("t0") == "usable"


def test_jobs_wait_for_a_suspected_target_until_its_probe_times_out(domain):
    domain.drops_probe_results = True
    owner = domain.owner_of("t0")
    policy = domain.kernels_by_name[owner].dispatcher.policy
    for target in policy.owner_table.owned:
        end = slot_messages.SlotEnd(target, TEAM, "refused")
        policy.suspicions.record_start_outcome(owner, end, domain.clock.now())
    assert domain.state_seen_by_owner("t0") == "avoided"
    domain.submit(owner, len(TARGETS) * SLOTS)
    domain.advance((suspicions.PROBE_TIMEOUT + STEP).total_seconds())
    assert domain.state_seen_by_owner("t0") == "usable"
    assert [answer.code.name for answer in domain.answers] == ["COMPLETE"]


def test_a_probe_request_for_another_address_is_ignored(domain):
    policy = domain.kernels_by_name["e1"].dispatcher.policy
    fields = {"sender": "e2", "target": "t0", "port": 3}
    for address, count in (("elsewhere", 0), ("t0", 1), ("t0", 1)):
        request = target_messages.ProbeRequest(address=address, **fields)
        policy.indirect_probes.handle_request(request, domain.clock.now())
        assert len(policy.starter.outbox) == count

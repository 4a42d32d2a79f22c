"""Tests slot sharing between the nodes of one domain over a simulated network."""

import collections
import datetime
import random
from collections.abc import Iterable

import msgspec
import pytest

from chiveridge_kernel import (
    actions,
    clocks,
    events,
    kernel_parts,
    kernels,
    messages,
    peers,
    records,
    rendezvous_hashing,
    results,
    slot_messages,
    slot_returns,
    slots,
    vms,
)

NODES = ("e1", "e2", "e3")
TARGETS = tuple(f"t{number}" for number in range(6))
SLOTS = 2
TEAM = "desk"
MAX_FAILURES_PER_DOMAIN = 3
STEP = datetime.timedelta(milliseconds=20)


def entry(name: str, domain: str = "ikeja") -> vms.Vm:
    return vms.Vm(
        name=name, role=vms.VmRole.ENTRY, domain=domain, address="127.0.0.1", port=1, peer_port=2
    )


def target(name: str, domain: str = "ikeja") -> vms.Vm:
    return vms.Vm(
        name=name,
        role=vms.VmRole.TARGET,
        domain=domain,
        address="127.0.0.1",
        port=3,
        slots=SLOTS,
        memory_mb=1024,
        cores=8,
    )


def configuration() -> dict:
    writes = [
        records.ObjectWrite(
            kind=records.ObjectKind.TEAM, name=TEAM, team=records.TeamObject(name=TEAM)
        ),
        records.ObjectWrite(
            kind=records.ObjectKind.RULE, name="all", rule=records.RuleObject(name="all")
        ),
    ]
    writes += [
        records.ObjectWrite(
            kind=records.ObjectKind.TARGET,
            name=name,
            target=records.TargetObject(name=name, approved_teams=[TEAM]),
        )
        for name in TARGETS
    ]
    change = records.ChangeRecord(change_id="1", actor="op", changed_at="now", writes=writes)
    return msgspec.to_builtins(change)


def test_only_a_newly_heard_owner_is_sent_slot_reports():
    names = [f"e{number}" for number in range(1, 41)]
    listing = [entry(name, f"domain-{name}") for name in names]
    listing += [target(f"t{number}", f"domain-e{number}") for number in range(1, 41)]
    settings = kernel_parts.KernelSettings(
        node="e1", domain="domain-e1", incarnation="a", secret=b"k", policy="owners"
    )
    clock, kernel = clocks.ManualClock(), kernels.Kernel(settings, random.Random(1))
    kernel.handle(events.VmsListed(listing=vms.VmList(1, listing)), clock.now())
    for _ in range(100):
        clock.advance(STEP)
        kernel.handle(events.Ticked(), clock.now())
    beat = peers.Heartbeat(sender="e7", incarnation="b", sequence=1)
    performed = kernel.handle(events.PeerMessageReceived(message=beat), clock.now())
    for _ in range(100):
        clock.advance(STEP)
        performed += kernel.handle(events.Ticked(), clock.now())
    sends = [action for action in performed if isinstance(action, actions.SendToPeer)]
    reports = [
        send.peer.name for send in sends if isinstance(send.message, slot_messages.SlotReport)
    ]
    assert set(reports) == {"e7"}
    assert len(reports) <= slot_returns.REPORTS_AFTER_CONTACT


class Network:
    """Kernels whose messages are delivered in order without delay; some types can be dropped."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.kernels_by_name = {name: self._new_kernel(name) for name in NODES}
        self.running_starts: dict[str, tuple[str, actions.StartTask]] = {}
        self.start_count_by_node: collections.Counter[str] = collections.Counter()
        self.max_running_by_target: collections.Counter[str] = collections.Counter()
        self.answers: list[messages.JobAnswer] = []
        self.dropped_types: tuple[type, ...] = ()
        self._messages: collections.deque[tuple[str, peers.PeerMessage]] = collections.deque()
        for name in NODES:
            self.configure(name)
        self.advance(1.0)

    def configure(self, name: str) -> None:
        """Give a node its configuration and the list of VMs."""
        self.handle(name, events.RecordsRead(records=[(0, configuration())]))
        self.list_nodes(name, NODES)

    def list_nodes(self, name: str, listed: Iterable[str]) -> None:
        """Give a node a list of VMs with some of the nodes."""
        listing = vms.VmList(1, [entry(n) for n in listed] + [target(n) for n in TARGETS])
        self.handle(name, events.VmsListed(listing=listing))

    def kill(self, name: str) -> None:
        """Remove a node without notice; its starts keep running."""
        del self.kernels_by_name[name]

    def replace(self, name: str) -> None:
        """Replace a node by a new incarnation."""
        self.kernels_by_name[name] = self._new_kernel(name, incarnation_prefix="next-life")
        self.configure(name)

    def _new_kernel(self, name: str, incarnation_prefix: str = "life") -> kernels.Kernel:
        settings = kernel_parts.KernelSettings(
            node=name,
            domain="ikeja",
            incarnation=f"{incarnation_prefix}-of-{name}",
            secret=b"k",
            policy="owners",
        )
        return kernels.Kernel(settings, random.Random(name))

    def handle(self, name: str, event: events.Event) -> None:
        for action in self.kernels_by_name[name].handle(event, self.clock.now()):
            self._perform(name, action)

    def deliver(self) -> None:
        while self._messages:
            name, message = self._messages.popleft()
            if name not in self.kernels_by_name:
                continue
            self.handle(name, events.PeerMessageReceived(message=message))

    def advance(self, seconds: float) -> None:
        until = self.clock.now() + datetime.timedelta(seconds=seconds)
        while self.clock.now() < until:
            self.clock.advance(STEP)
            for name in self.kernels_by_name:
                self.handle(name, events.Ticked())
            self.deliver()

    def submit(self, name: str, task_count: int) -> None:
        kernel = self.kernels_by_name[name]
        issued = kernel.admissions.issue(TEAM, 1, self.clock.now())
        submission = messages.Submission(
            submission_id=issued.submission_ids[0],
            tasks=[messages.TaskSpec()] * task_count,
            deadline_ms=60_000,
        )
        event = events.SubmissionReceived(team=TEAM, submission=submission, digest=b"")
        self.handle(name, event)
        self.deliver()

    def end_lease(
        self, lease_id: str, outcome: events.LeaseOutcome = events.LeaseOutcome.SUCCEEDED
    ) -> None:
        name, _ = self.running_starts.pop(lease_id)
        self.handle(name, events.LeaseReported(lease_id=lease_id, outcome=outcome, run_ms=100.0))
        self.deliver()

    def running_on(self, target_name: str) -> int:
        return sum(start.target.name == target_name for _, start in self.running_starts.values())

    def _perform(self, name: str, action: actions.Action) -> None:
        if isinstance(action, actions.StartTask):
            self.running_starts[action.lease_id] = (name, action)
            self.start_count_by_node[name] += 1
            used = action.target.name
            self.max_running_by_target[used] = max(
                self.max_running_by_target[used], self.running_on(used)
            )
        elif isinstance(action, actions.StopTask):
            self.running_starts.pop(action.lease_id, None)
        elif isinstance(action, actions.AnswerJob):
            self.answers.append(action.answer)
        elif isinstance(action, actions.SendToPeer):
            self._send(action)

    def _send(self, action: actions.SendToPeer) -> None:
        if not isinstance(action.message, self.dropped_types):
            self._messages.append((action.peer.name, action.message))


@pytest.fixture
def network() -> Network:
    return Network()


def test_one_node_can_use_every_slot_of_the_domain(network):
    network.submit("e1", len(TARGETS) * SLOTS)
    assert len(network.running_starts) == len(TARGETS) * SLOTS
    assert all(count == SLOTS for count in network.max_running_by_target.values())


def test_a_freed_slot_is_lent_only_once_when_several_jobs_wait(network):
    network.submit("e1", len(TARGETS) * SLOTS)
    for name in NODES:
        network.submit(name, 2)
    while network.running_starts:
        network.end_lease(next(iter(network.running_starts)))
    assert max(network.max_running_by_target.values()) == SLOTS
    assert [answer.state for answer in network.answers] == [results.JobState.COMPLETE] * 4


def test_the_oldest_job_is_served_first_regardless_of_its_node(network):
    network.submit("e1", len(TARGETS) * SLOTS)
    for name in ("e3", "e2", "e1"):
        network.submit(name, 1)
        network.clock.advance(STEP)
    for expected in ("e3", "e2", "e1"):
        before = network.start_count_by_node.copy()
        network.end_lease(next(iter(network.running_starts)))
        assert network.start_count_by_node - before == {expected: 1}


@pytest.mark.parametrize(
    "lost_type", [slot_messages.SlotReturn, slot_messages.SlotGrant, slot_messages.SlotRequest]
)
def test_lost_messages_leak_no_slots(network, lost_type):
    network.dropped_types = (lost_type,)
    network.submit("e1", len(TARGETS) * SLOTS)
    for lease_id in list(network.running_starts):
        network.end_lease(lease_id)
    network.dropped_types = ()
    network.advance(3.0)
    while network.running_starts:
        network.end_lease(next(iter(network.running_starts)))
        network.advance(0.1)
    network.submit("e2", len(TARGETS) * SLOTS)
    assert len(network.running_starts) == len(TARGETS) * SLOTS
    assert max(network.max_running_by_target.values()) == SLOTS


def test_unused_granted_slots_are_returned_for_their_team(network):
    network.submit("e1", len(TARGETS) * SLOTS)
    network.submit("e2", 2)
    waiting = next(iter(network.kernels_by_name["e2"].dispatcher.jobs_by_id))
    for lease_id in list(network.running_starts):
        name, _ = network.running_starts.pop(lease_id)
        ended = events.LeaseReported(lease_id=lease_id, outcome=events.LeaseOutcome.SUCCEEDED)
        network.handle(name, ended)
    # The returned slots are granted to the job of e2, which is cancelled before the grants arrive.
    network.handle("e2", events.CancelReceived(team=TEAM, submission_id=waiting))
    network.deliver()
    for kernel in network.kernels_by_name.values():
        assert kernel.dispatcher.policy.lender.lent_count(TEAM) == 0


def lent_counts_by_node(network) -> dict[str, tuple[int, int]]:
    """Return for each node the lent slots by the team's count and by the free slots."""
    lenders = {name: k.dispatcher.policy.lender for name, k in network.kernels_by_name.items()}
    return {
        name: (lender.lent_count(TEAM), lender.slot_count() - lender.free_count())
        for name, lender in lenders.items()
    }


def test_slots_of_a_dead_holder_are_no_longer_counted_for_their_team(network):
    network.submit("e1", len(TARGETS) * SLOTS)
    network.kill("e1")
    network.advance(slots.HOLDER_SILENCE_LIMIT.total_seconds() + 0.1)
    assert lent_counts_by_node(network) == {"e2": (0, 0), "e3": (0, 0)}


def test_slots_whose_return_was_lost_are_no_longer_counted_for_their_team(network):
    network.submit("e1", len(TARGETS) * SLOTS)
    network.dropped_types = (slot_messages.SlotReturn,)
    for lease_id in list(network.running_starts):
        network.end_lease(lease_id)
    network.advance(3.0)
    assert lent_counts_by_node(network) == dict.fromkeys(NODES, (0, 0))


def test_slots_of_a_replaced_holder_are_no_longer_counted_for_their_team(network):
    network.submit("e1", len(TARGETS) * SLOTS)
    network.kill("e1")
    network.replace("e1")
    network.advance(3.0)
    assert lent_counts_by_node(network) == dict.fromkeys(NODES, (0, 0))


def test_slots_are_counted_for_their_team_by_their_current_owner(network):
    network.submit("e1", len(TARGETS) * SLOTS)
    network.kill("e2")
    for name in ("e1", "e3"):
        network.list_nodes(name, ("e1", "e3"))
    network.advance(1.0)
    counts = lent_counts_by_node(network)
    assert all(by_team == by_target for by_team, by_target in counts.values())
    assert sum(by_team for by_team, _ in counts.values()) == len(TARGETS) * SLOTS
    network.replace("e2")
    for name in ("e1", "e3"):
        network.list_nodes(name, NODES)
    network.advance(1.0)
    for lease_id in list(network.running_starts):
        network.end_lease(lease_id)
        assert all(
            by_team == by_target for by_team, by_target in lent_counts_by_node(network).values()
        )
    assert lent_counts_by_node(network) == dict.fromkeys(NODES, (0, 0))


def test_tasks_start_without_owners_that_never_answer(network):
    network.dropped_types = (slot_messages.SlotGrant,)
    network.submit("e1", len(TARGETS) * SLOTS)
    assert len(network.running_starts) < len(TARGETS) * SLOTS
    network.advance(5.0)
    assert len(network.running_starts) == len(TARGETS) * SLOTS
    assert max(network.max_running_by_target.values()) == SLOTS


def test_a_cancelled_job_returns_its_slots_and_leaves_no_request_queued(network):
    network.submit("e1", len(TARGETS) * SLOTS)
    network.submit("e2", 4)
    waiting = next(iter(network.kernels_by_name["e2"].dispatcher.jobs_by_id))
    running_starts = next(iter(network.kernels_by_name["e1"].dispatcher.jobs_by_id))
    network.handle("e2", events.CancelReceived(team=TEAM, submission_id=waiting))
    network.handle("e1", events.CancelReceived(team=TEAM, submission_id=running_starts))
    network.deliver()
    assert network.running_starts == {}
    for name in NODES:
        policy = network.kernels_by_name[name].dispatcher.policy
        assert len(policy.lender.queue) == 0
        assert policy.borrower.table.demands_by_id == {}
    network.submit("e3", len(TARGETS) * SLOTS)
    assert len(network.running_starts) == len(TARGETS) * SLOTS


@pytest.fixture
def network_with_queued_requests(network) -> Network:
    """Return a network with every slot in use and requests of e2 queued at e1 and e3."""
    network.submit("e1", len(TARGETS) * SLOTS)
    network.submit("e2", 2)
    assert count_queued_requests(network)
    return network


def count_queued_requests(network) -> int:
    """Count the requests queued at e1 and e3."""
    queues = [network.kernels_by_name[n].dispatcher.policy.lender.queue for n in ("e1", "e3")]
    return sum(len(queue) for queue in queues)


def test_requests_of_a_silent_node_are_dropped_with_its_slots(network_with_queued_requests):
    network_with_queued_requests.kill("e2")
    network_with_queued_requests.advance(slots.HOLDER_SILENCE_LIMIT.total_seconds() + 0.1)
    assert count_queued_requests(network_with_queued_requests) == 0


def test_requests_of_a_node_removed_from_the_list_are_dropped_at_once(network_with_queued_requests):
    network_with_queued_requests.kill("e2")
    for name in ("e1", "e3"):
        network_with_queued_requests.list_nodes(name, ("e1", "e3"))
    assert count_queued_requests(network_with_queued_requests) == 0


def test_requests_of_a_replaced_node_are_dropped_when_its_next_incarnation_is_heard(
    network_with_queued_requests,
):
    network_with_queued_requests.kill("e2")
    network_with_queued_requests.replace("e2")
    network_with_queued_requests.advance(0.1)
    assert count_queued_requests(network_with_queued_requests) == 0
    network_with_queued_requests.submit("e2", 1)
    network_with_queued_requests.advance(0.1)
    assert count_queued_requests(network_with_queued_requests)


def test_requests_of_a_live_node_never_expire(network_with_queued_requests):
    network_with_queued_requests.advance(2 * slots.HOLDER_SILENCE_LIMIT.total_seconds())
    before = network_with_queued_requests.start_count_by_node["e2"]
    for lease_id in list(network_with_queued_requests.running_starts)[:2]:
        network_with_queued_requests.end_lease(lease_id)
    assert network_with_queued_requests.start_count_by_node["e2"] == before + 2


def test_a_failing_target_causes_a_bounded_number_of_failures_per_domain(network):
    failed = events.LeaseOutcome.FAILED
    failures = 0
    for number in range(120):
        network.submit(NODES[number % len(NODES)], 1)
        lease_id, (_, start) = next(iter(network.running_starts.items()))
        is_broken = start.target.name == TARGETS[0]
        failures += is_broken
        network.end_lease(lease_id, failed if is_broken else events.LeaseOutcome.SUCCEEDED)
    assert failures <= MAX_FAILURES_PER_DOMAIN


def test_rendezvous_hashing_moves_only_the_targets_of_a_removed_node():
    names = [f"e{number}" for number in range(9)]
    targets = [f"t{number}" for number in range(64)]
    before = {t: max(names, key=lambda n, t=t: rendezvous_hashing.score(n, t)) for t in targets}
    remaining = names[1:]
    after = {t: max(remaining, key=lambda n, t=t: rendezvous_hashing.score(n, t)) for t in targets}
    assert all(after[t] == before[t] for t in targets if before[t] != names[0])
    assert set(before.values()) == set(names)

"""Several kernels with one clock and a network that loses, repeats and reorders messages."""

import collections
import datetime
import hashlib
import random

import hypothesis
import hypothesis.strategies as st
import msgspec
from hypothesis import stateful

from chiveridge_kernel import (
    actions,
    clocks,
    errors,
    events,
    kernel_parts,
    kernels,
    member_states,
    messages,
    peers,
    records,
    vms,
)

TEAM = "desk"
LIMIT = 3
DOMAINS_BY_NAME = {
    "ikeja-e1": "ikeja",
    "ikeja-e2": "ikeja",
    "ikeja-e3": "ikeja",
    "lekki-e1": "lekki",
}
NAMES = sorted(DOMAINS_BY_NAME)
TARGETS = ("ikeja-t1", "ikeja-t2")
STEP = datetime.timedelta(milliseconds=100)
SETTLE_STEPS = 200

nodes = st.sampled_from(NAMES)
indexes = st.integers(0, 1000)


def make_change_record(number: int) -> records.ChangeRecord:
    team = records.TeamObject(name=TEAM, max_starts=LIMIT, labels={"change": str(number)})
    writes = [records.ObjectWrite(kind=records.ObjectKind.TEAM, name=TEAM, team=team)]
    if number == 0:
        rule = records.RuleObject(name="all")
        writes.append(records.ObjectWrite(kind=records.ObjectKind.RULE, name="all", rule=rule))
        for name in TARGETS:
            target = records.TargetObject(name=name, approved_teams=[TEAM])
            writes.append(
                records.ObjectWrite(kind=records.ObjectKind.TARGET, name=name, target=target)
            )
    return records.ChangeRecord(
        change_id=f"c{number}", actor="ada", changed_at="2026-01-01T00:00:00Z", writes=writes
    )


class Node:
    """One incarnation of a node and the starts whose outcome it does not know yet."""

    def __init__(self, name: str, serial: int):
        self.vm = vms.Vm(
            name=name,
            role=vms.VmRole.ENTRY,
            domain=DOMAINS_BY_NAME[name],
            address=name,
            port=1,
            peer_port=serial,
        )
        settings = kernel_parts.KernelSettings(
            node=name,
            domain=DOMAINS_BY_NAME[name],
            incarnation=f"{serial:08}",
            secret=b"s" * 32,
            policy="power_of_two",
        )
        self.kernel = kernels.Kernel(settings, random.Random(serial))
        self.frozen = False
        self.offset = 0
        self.body_by_lease: dict[str, bytes] = {}


class Cluster(stateful.RuleBasedStateMachine):
    """Injects random faults into nodes that start tasks of a team with a limit."""

    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock(datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC))
        self.network: collections.deque = collections.deque()
        self.cut_names: set[str] = set()
        self.starts_by_body: collections.Counter = collections.Counter()
        self.records = [msgspec.json.encode(make_change_record(0))]
        self.serial = 0
        self.nodes_by_name: dict[str, Node] = {}
        for name in NAMES:
            self.start_node(name)
        self.published_list = self.current_list()
        for name in NAMES:
            self.read_list(name)
            self.read_log(name)

    def start_node(self, name: str) -> None:
        self.serial += 1
        self.nodes_by_name[name] = Node(name, self.serial)

    def current_list(self) -> vms.VmList:
        listed = [node.vm for node in self.nodes_by_name.values()]
        for index, name in enumerate(TARGETS):
            listed.append(
                vms.Vm(
                    name=name,
                    role=vms.VmRole.TARGET,
                    domain="ikeja",
                    address=name,
                    port=index,
                    slots=8,
                )
            )
        return vms.VmList(self.serial, listed)

    def handle(self, name: str, event: events.Event) -> None:
        node = self.nodes_by_name[name]
        if node.frozen:
            return
        for action in node.kernel.handle(event, self.clock.now()):
            self.perform(node, action)

    def perform(self, node: Node, action: actions.Action) -> None:
        if isinstance(action, actions.SendToPeer):
            data = peers.encode(action.message)
            self.network.append((node.vm.name, action.peer, data))
        elif isinstance(action, actions.StartTask):
            self.starts_by_body[action.body] += 1
            node.body_by_lease[action.lease_id] = action.body

    @stateful.rule(count=st.sampled_from([1, 1, 5, 40, 120]))
    def advance(self, count):
        self.clock.advance(STEP * count)

    @stateful.rule(name=nodes)
    def tick(self, name):
        self.handle(name, events.Ticked())

    @stateful.rule(index=indexes, repeated=st.booleans())
    def deliver(self, index, repeated):
        if not self.network:
            return
        self.network.rotate(-index)
        sender, peer, data = self.network[0] if repeated else self.network.popleft()
        receiver = self.nodes_by_name[peer.name]
        if receiver.vm != peer or {sender, peer.name} & self.cut_names:
            self.handle(sender, events.PeerUnreachable(peer=peer))
            return
        self.handle(peer.name, events.PeerMessageReceived(message=peers.decode(data)))

    @stateful.rule(index=indexes)
    def drop_message(self, index):
        if self.network:
            self.network.rotate(-index)
            self.network.popleft()

    @stateful.rule(name=nodes)
    def toggle_cut(self, name):
        self.cut_names ^= {name}

    @stateful.rule(name=nodes)
    def toggle_freeze(self, name):
        node = self.nodes_by_name[name]
        node.frozen = not node.frozen

    @stateful.rule(name=nodes)
    def replace(self, name):
        self.start_node(name)

    @stateful.rule()
    def publish(self):
        self.published_list = self.current_list()

    @stateful.rule(name=nodes)
    def read_list(self, name):
        self.handle(name, events.VmsListed(listing=self.published_list))

    @stateful.rule()
    def change_configuration(self):
        self.records.append(msgspec.json.encode(make_change_record(len(self.records))))

    @stateful.rule(name=nodes)
    def read_log(self, name):
        start = self.nodes_by_name[name].kernel.configuration.offset
        new_records = list(enumerate(self.records))[start:]
        self.handle(name, events.RecordsRead(records=new_records, next_offset=len(self.records)))

    @stateful.rule(name=nodes, count=st.integers(1, 6))
    def submit(self, name, count):
        node = self.nodes_by_name[name]
        if node.frozen or not node.kernel.is_ready():
            return
        now = self.clock.now()
        (submission_id,) = node.kernel.admissions.issue(TEAM, 1, now).submission_ids
        tasks = [
            messages.TaskSpec(body=msgspec.Raw(msgspec.json.encode(f"{submission_id}/{number}")))
            for number in range(count)
        ]
        submission = messages.Submission(submission_id=submission_id, tasks=tasks)
        digest = hashlib.sha256(submission_id.encode()).digest()
        event = events.SubmissionReceived(team=TEAM, submission=submission, digest=digest)
        for _ in range(2):
            try:
                self.handle(name, event)
            except errors.RefusedError:
                return

    @stateful.rule(name=nodes, outcome=st.sampled_from(events.LeaseOutcome))
    def report(self, name, outcome):
        node = self.nodes_by_name[name]
        if node.frozen or not node.body_by_lease:
            return
        lease_id, body = next(iter(node.body_by_lease.items()))
        if outcome in (events.LeaseOutcome.NOT_STARTED, events.LeaseOutcome.REFUSED):
            self.starts_by_body[body] -= 1
        if outcome not in (events.LeaseOutcome.RUNNING, events.LeaseOutcome.LOST):
            del node.body_by_lease[lease_id]
        self.handle(name, events.LeaseReported(lease_id=lease_id, outcome=outcome, reason="busy"))

    @stateful.invariant()
    def no_task_is_started_twice(self):
        assert max(self.starts_by_body.values(), default=0) <= 1

    @stateful.invariant()
    def the_applied_offset_never_goes_back(self):
        for node in self.nodes_by_name.values():
            assert node.kernel.configuration.offset >= node.offset
            node.offset = node.kernel.configuration.offset

    @stateful.invariant()
    def no_node_exceeds_the_limit(self):
        for node in self.nodes_by_name.values():
            assert sum(node.kernel.dispatcher.start_counts_by_target.values()) <= LIMIT

    def teardown(self):
        self.heal()
        for name in NAMES:
            table = self.nodes_by_name[name].kernel.members
            assert table.live_names() == NAMES
            for other in table.others_in_domain():
                current = self.nodes_by_name[other.name]
                assert other.state is member_states.MemberState.LIVE
                assert other.incarnation == current.kernel.settings.incarnation
                assert other.config_offset == len(self.records)
        self.check_limit()

    def heal(self) -> None:
        self.cut_names.clear()
        for node in self.nodes_by_name.values():
            node.frozen = False
        self.publish()
        for name in NAMES:
            self.read_list(name)
            self.read_log(name)
        self.run_until_settled()

    def run_until_settled(self) -> None:
        for _ in range(SETTLE_STEPS):
            self.clock.advance(STEP)
            for name in NAMES:
                self.handle(name, events.Ticked())
            while self.network:
                self.deliver(0, False)

    def check_limit(self) -> None:
        self.end_all_jobs()
        for name in NAMES[:3]:
            self.submit(name, 6)
        self.run_until_settled()
        running = [
            sum(self.nodes_by_name[name].kernel.dispatcher.start_counts_by_target.values())
            for name in NAMES[:3]
        ]
        assert sum(running) == LIMIT

    def end_all_jobs(self) -> None:
        """Advance the clock past the deadline of every job and the expiry of reclaimed shares."""
        self.clock.advance(datetime.timedelta(minutes=10))
        for name in NAMES:
            self.handle(name, events.Ticked())
        self.run_until_settled()


TestCluster = Cluster.TestCase
TestCluster.settings = hypothesis.settings(
    derandomize=True, max_examples=25, stateful_step_count=40, deadline=None, database=None
)

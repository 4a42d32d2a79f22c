"""Connects the kernels of several nodes in memory, to time decisions without sockets.

Messages between nodes are delivered at once. Each call of :meth:`Mesh.finish_oldest` reports the
success of the oldest start.
"""

import collections
import datetime
import random

import msgspec

from chiveridge_kernel import actions, events, identifiers, kernel_parts, kernels, messages, vms
from chiveridge_load import deployments

TARGET_MEMORY_MB = 128 * 1024
START_AT = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
TICK = datetime.timedelta(milliseconds=50)
TASKS_PER_TICK = 20
DOMAINS = 3
_DIGEST = b"digest"


class MeshPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of a mesh; the caller keeps ``jobs`` jobs of one task each in progress."""

    policy: str
    nodes: int = 9
    targets: int = 24
    teams: int = 2
    rules: int = 1
    jobs: int = 100


class Mesh:
    """Nodes, targets and teams; every team may use every target."""

    def __init__(self, plan: MeshPlan, seed: int):
        self.answers = 0
        self._plan = plan
        self._rng = random.Random(seed)
        self._now = START_AT
        self._teams = [f"team-{number}" for number in range(plan.teams)]
        self._listing = self._make_listing()
        self._kernels_by_name = {
            vm.name: self._make_kernel(vm)
            for vm in self._listing.vms
            if vm.role is vms.VmRole.ENTRY
        }
        self._names = list(self._kernels_by_name)
        self._starts: collections.deque[tuple[str, identifiers.LeaseId]] = collections.deque()
        self._load_configuration()

    @property
    def running(self) -> int:
        """Number of starts in progress."""
        return len(self._starts)

    def submit(self) -> None:
        """Submit a job of one task to a random node."""
        name = self._rng.choice(self._names)
        team = identifiers.TeamName(self._rng.choice(self._teams))
        kernel = self._kernels_by_name[name]
        submission_id = kernel.admissions.issue(team, 1, self._now).submission_ids[0]
        submission = messages.Submission(
            submission_id=submission_id, tasks=[messages.TaskSpec()], deadline_ms=300_000
        )
        event = events.SubmissionReceived(team=team, submission=submission, digest=_DIGEST)
        self._handle(name, event)

    def finish_oldest(self) -> None:
        """Report the success of the oldest start in progress."""
        name, lease_id = self._starts.popleft()
        outcome = events.LeaseOutcome.SUCCEEDED
        self._handle(name, events.LeaseReported(lease_id=lease_id, outcome=outcome, run_ms=1.0))

    def tick(self) -> None:
        """Advance the clock by one tick and let every node handle it."""
        self._now += TICK
        for name in self._names:
            self._handle(name, events.Ticked())

    def _handle(self, name: str, event: events.Event) -> None:
        """Let a node handle an event, and its peers the messages that follow from it."""
        pending = collections.deque([(name, event)])
        while pending:
            name, event = pending.popleft()
            for action in self._kernels_by_name[name].handle(event, self._now):
                if isinstance(action, actions.StartTask):
                    self._starts.append((name, action.lease_id))
                elif isinstance(action, actions.AnswerJob):
                    self.answers += 1
                elif isinstance(action, actions.SendToPeer):
                    message = events.PeerMessageReceived(message=action.message)
                    pending.append((action.peer.name, message))

    def _make_kernel(self, vm: vms.Vm) -> kernels.Kernel:
        settings = kernel_parts.KernelSettings(
            node=identifiers.NodeName(vm.name),
            domain=identifiers.DomainName(vm.domain),
            incarnation=identifiers.Incarnation(f"boot-{vm.name}"),
            secret=vm.name.encode(),
            policy=self._plan.policy,
        )
        return kernels.Kernel(settings, random.Random(self._rng.random()))

    def _load_configuration(self) -> None:
        """Give every node the configuration and the VM list, and tick until all have started."""
        names = [vm.name for vm in self._listing.vms if vm.role is vms.VmRole.TARGET]
        teams = [deployments.TeamPlan(name=name, secret="unused") for name in self._teams]
        change = deployments.first_change(teams, names, rules=self._plan.rules)
        records = [(identifiers.Offset(0), msgspec.to_builtins(change))]
        for name in self._names:
            self._handle(name, events.RecordsRead(records=records))
            self._handle(name, events.VmsListed(listing=self._listing))
        for _ in range(TASKS_PER_TICK):
            self.tick()

    def _make_listing(self) -> vms.VmList:
        slots = max(2 * self._plan.jobs // self._plan.targets, 8)
        entry_vms = [_vm(number, vms.VmRole.ENTRY, 0) for number in range(self._plan.nodes)]
        targets = [_vm(number, vms.VmRole.TARGET, slots) for number in range(self._plan.targets)]
        return vms.VmList(1, entry_vms + targets)


def _vm(number: int, role: vms.VmRole, slots: int) -> vms.Vm:
    domain = f"domain{number % DOMAINS}"
    return vms.Vm(
        name=f"{domain}-{role.value[0]}{number}",
        role=role,
        domain=domain,
        address="127.0.0.1",
        port=1,
        peer_port=1,
        slots=slots,
        memory_mb=TARGET_MEMORY_MB,
        cores=64,
    )

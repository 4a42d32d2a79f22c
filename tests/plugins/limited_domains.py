"""A failure domain of limiters with a shared clock and a network that the test controls."""

import collections
import datetime

import msgspec

from chiveridge_kernel import (
    actions,
    candidate_sets,
    clocks,
    heartbeats,
    jobs,
    limit_outboxes,
    limits,
    members,
    messages,
    peers,
    vms,
)

TEAM = "desk"
LIMIT = 5
STEP = datetime.timedelta(milliseconds=100)
NAMES = ("e1", "e2", "e3")


def listed_vm(name: str) -> vms.Vm:
    return vms.Vm(
        name=name, role=vms.VmRole.ENTRY, domain="ikeja", address=name, port=1, peer_port=2
    )


class Node:
    """A node with a limiter; its tasks run until the test ends them."""

    def __init__(self, name: str, incarnation: str, domain: "Domain"):
        self.name = name
        self.is_paused = False
        self.running: list[jobs.Task] = []
        self.domain = domain
        self.table = members.MemberTable(name, "ikeja")
        self.update_listing(domain.names)
        self.limiter = limits.Limiter(self.table, incarnation, self._send)
        self.limiter.find_limit = lambda team: domain.limit
        self.limiter.bytes_per_second = domain.limit_bytes_per_second()

    def update_listing(self, names) -> None:
        self.table.apply_listing(
            vms.VmList(1, [listed_vm(name) for name in names]), self.domain.now()
        )

    def _send(self, action: actions.SendToPeer) -> None:
        data = peers.encode(action.message)
        self.domain.sent_bytes_by_name[self.name] += len(data) + heartbeats.WIRE_BYTES_PER_MESSAGE
        message = peers.decode(data)
        self.domain.network.append((self.name, action.peer.name, message))

    def submit(self, count: int, team: str = TEAM) -> jobs.Job:
        tasks = [messages.TaskSpec(body=msgspec.Raw(b"null"))] * count
        submission = messages.Submission(submission_id="id", tasks=tasks)
        job = jobs.Job(team, submission, candidate_sets.Candidates(()), self.domain.now())
        self.limiter.hold_excess_tasks(job, self.domain.now())
        self.place(job)
        self.admit_tasks()
        return job

    def admit_tasks(self) -> None:
        for job in self.limiter.admit_tasks(self.domain.now()):
            self.place(job)

    def place(self, job: jobs.Job) -> None:
        self.running.extend(job.waiting)
        job.waiting.clear()

    def end_task(self, index: int) -> None:
        self.limiter.release_task(self.running.pop(index % len(self.running)))
        self.admit_tasks()

    def tick(self) -> None:
        self.limiter.tick(self.domain.now())
        self.admit_tasks()

    def receive(self, message: peers.PeerMessage) -> None:
        self.limiter.handle_batch(message, self.domain.now())
        self.admit_tasks()


class Domain:
    """Nodes of one failure domain, with a network whose messages the test delivers."""

    node_type = Node

    def __init__(self, names: tuple[str, ...] = NAMES):
        self.names = names
        self.clock = clocks.ManualClock()
        self.limit: int | None = LIMIT
        self.network: collections.deque = collections.deque()
        self.sent_bytes_by_name: collections.Counter = collections.Counter()
        self.nodes_by_name = {name: self.node_type(name, "a", self) for name in names}

    def now(self) -> datetime.datetime:
        return self.clock.now()

    def heartbeat_interval(self) -> datetime.timedelta:
        """Return the heartbeat interval that the kernel uses for this number of nodes."""
        settings = heartbeats.HeartbeatSettings()
        size = heartbeats.HEARTBEAT_BYTES + heartbeats.WIRE_BYTES_PER_MESSAGE
        outside = heartbeats.WIRE_BYTES_PER_CONTACT / heartbeats.ROUNDS_PER_OUTSIDE_PARTNER
        round_bytes = (len(self.names) - 1) * size + outside
        seconds = round_bytes / settings.bytes_per_second
        return max(settings.interval, datetime.timedelta(seconds=seconds))

    def limit_bytes_per_second(self) -> float:
        partners = len(self.names) - 1
        return limit_outboxes.limit_bytes_per_second(partners, self.heartbeat_interval())

    def running_count(self) -> int:
        return sum(len(node.running) for node in self.nodes_by_name.values())

    def advance(self, steps: int) -> None:
        for _ in range(steps):
            self.clock.advance(STEP)
            for node in self.nodes_by_name.values():
                if not node.is_paused:
                    node.tick()
            while self.network:
                self.deliver(0)

    def deliver(self, index: int) -> None:
        self.network.rotate(-index)
        _, receiver, message = self.network.popleft()
        if not self.nodes_by_name[receiver].is_paused:
            self.nodes_by_name[receiver].receive(message)

    def partition(self, *groups) -> None:
        for group in groups:
            for name in group:
                self.nodes_by_name[name].update_listing(group)

    def restart(self, name: str, incarnation: str) -> None:
        """Replace a node; tasks of the old one run on, but :meth:`running_count` omits them."""
        self.nodes_by_name[name] = self.node_type(name, incarnation, self)

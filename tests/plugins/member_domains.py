"""A failure domain of limiters that learn of each other only by heartbeats, with one clock."""

import collections
import random

import limited_domains

from chiveridge_kernel import actions, heartbeats, peers

NOTICED_PAUSE_STEPS = 10
"""Length in steps from which on a process notices its own pause."""


class Node(limited_domains.Node):
    """A limiter with heartbeats that can be paused, drained and killed."""

    def __init__(self, name: str, incarnation: str, domain: "Domain"):
        self.domain = domain
        self.incarnation = incarnation
        self.paused_steps_left = 0
        self.is_pause_noticed = False
        self.loses_messages = False
        self.is_draining = False
        self.inbox: collections.deque = collections.deque()
        super().__init__(name, incarnation, domain)
        settings = heartbeats.HeartbeatSettings()
        rng = random.Random(name + incarnation)
        self.heartbeats = heartbeats.Heartbeats(settings, self.table, incarnation, rng)
        self.heartbeats.update_interval(domain.now())
        self.limiter.takeovers.max_grace_period = self.heartbeats.timeouts().dead_after
        if domain.lease_scale is not None:
            self.limiter._sender.interval_scale = domain.lease_scale
            self.limiter._sender.update_scale = lambda grants_by_team: None

    def send_actions(self, pending: list[actions.Action]) -> None:
        for action in pending:
            if isinstance(action, actions.SendToPeer):
                self.domain.network.append((self.name, action.peer.name, action.message))

    def pause(self, steps: int, *, loses_messages: bool = False) -> None:
        self.is_paused = True
        self.loses_messages = loses_messages
        self.paused_steps_left = steps
        self.is_pause_noticed = steps >= NOTICED_PAUSE_STEPS

    def step(self) -> None:
        if self.paused_steps_left:
            self.paused_steps_left -= 1
            return
        if self.is_paused:
            self.resume()
        self.send_actions(self.heartbeats.tick(self.domain.now()))
        self.tick()
        if self.is_draining and not self.running and not self.limiter._jobs_by_team.get("desk"):
            self.send_actions(self.heartbeats.announce_exit())
            self.domain.remove_node(self)

    def resume(self) -> None:
        self.is_paused = False
        if self.is_pause_noticed:
            self.limiter.reset_after_pause()
        if self.loses_messages:
            self.inbox.clear()
        while self.inbox:
            self.receive(self.inbox.popleft())

    def drain(self) -> None:
        self.is_draining = True
        self.table.leave()
        self.send_actions(self.heartbeats.announce_leaving())

    def receive(self, message: peers.PeerMessage) -> None:
        if isinstance(message, peers.Heartbeat):
            self.send_actions(self.heartbeats.receive(message, self.domain.now()))
            self.tick()
        else:
            super().receive(message)


class Domain(limited_domains.Domain):
    """Nodes that are always listed; the network drops messages over blocked links."""

    node_type = Node

    def __init__(
        self,
        names: tuple[str, ...] = limited_domains.NAMES,
        lease_scale: float | None = None,
    ):
        self.lease_scale = lease_scale
        super().__init__(names)
        self.blocked_links: set[frozenset[str]] = set()
        self.incarnation_count = 0

    def allocator_name(self, team: str = limited_domains.TEAM) -> str:
        node = next(each for each in self.nodes_by_name.values() if not each.is_draining)
        return node.limiter._allocator_selector.allocator_for(team)

    def advance(self, steps: int) -> None:
        for _ in range(steps):
            self.clock.advance(limited_domains.STEP)
            for node in list(self.nodes_by_name.values()):
                node.step()
            while self.network:
                self.deliver(0)

    def deliver(self, index: int) -> None:
        self.network.rotate(-index)
        sender, receiver, message = self.network.popleft()
        node = self.nodes_by_name.get(receiver)
        if node is None or frozenset((sender, receiver)) in self.blocked_links:
            return
        if node.is_paused:
            node.inbox.append(message)
        else:
            node.receive(message)

    def kill_node(self, name: str) -> None:
        """Kill a node; the nodes that are connected to it notice its closed connections."""
        self.remove_node(self.nodes_by_name[name])

    def remove_node(self, node: Node) -> None:
        del self.nodes_by_name[node.name]
        for other in self.nodes_by_name.values():
            if frozenset((other.name, node.name)) not in self.blocked_links:
                other.table.mark_unreachable(limited_domains.listed_vm(node.name))

    def start_node(self, name: str) -> Node:
        self.incarnation_count += 1
        node = self.nodes_by_name[name] = Node(name, f"b{self.incarnation_count:04}", self)
        return node

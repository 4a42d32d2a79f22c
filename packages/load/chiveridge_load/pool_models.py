"""Simulates a pool on a fake clock: kernels of several nodes, targets, network and callers.

Everything is seeded and runs in one process without I/O, so that each run is reproducible. The
simulated targets record when each run of each task actually ran.
"""

import datetime
import heapq
import itertools
import random
from collections.abc import Callable

from chiveridge_load import pool_targets
from chiveridge_pool import (
    actions,
    crash_histories,
    events,
    identifiers,
    jobs,
    kernels,
    messages,
    node_lists,
    notes,
    ranks,
    target_preferences,
    targets,
    timings,
)

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SAME_DOMAIN_LATENCY = datetime.timedelta(milliseconds=0.2)
CROSS_DOMAIN_LATENCY = datetime.timedelta(milliseconds=0.9)
STORE_LATENCY = datetime.timedelta(milliseconds=20)
"""Time from a write to the store until all nodes have read it."""

PORT = 7000


class Simulation:
    """A discrete-event simulation: calls each callback at its time on a simulated clock."""

    def __init__(self):
        self.now = EPOCH
        self._queue: list[tuple[datetime.datetime, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_at(self, when: datetime.datetime, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time; a time in the past means now."""
        heapq.heappush(self._queue, (max(when, self.now), next(self._sequence), callback))

    def call_later(self, delay: datetime.timedelta, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now + delay, callback)

    def run_for(self, duration: datetime.timedelta) -> None:
        """Advance the clock by a duration, running the callbacks that become due."""
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end


class NodeModel:
    """A simulated node: a kernel whose actions the simulated pool performs."""

    def __init__(self, pool: "PoolModel", name: str, domain: str, address: str, strength: int = 0):
        self.strength = strength
        self.pool = pool
        self.name = name
        self.domain = domain
        self.endpoint = identifiers.Endpoint(f"{address}:{PORT}")
        self.kernel: kernels.Kernel | None = None
        self.is_frozen = False
        self.slowness = 1.0
        # Processor time that an event takes; events that arrive meanwhile wait.
        self.event_cost = datetime.timedelta()
        self._busy_until = pool.simulation.now
        self._inbox: list[events.Event] = []
        self._incarnations = itertools.count(1)

    @property
    def is_running(self) -> bool:
        """Tell whether the node's process is running."""
        return self.kernel is not None

    def boot(self) -> None:
        """Start a process without any state of an earlier one, and give it all listings."""
        self._start()
        self.handle(events.ConfigurationRead(version=1, text=b"first"))
        listed = tuple(node.listing() for node in self.pool.nodes_by_name.values())
        self.handle(events.NodesListed(nodes=listed, is_complete=True))
        self.handle(events.TargetsListed(targets=self.pool.listed()))
        if not self.pool.is_store_away:
            self.handle(events.CrashesRead(crashes=tuple(self.pool.published_crashes)))

    def boot_without_store(self) -> None:
        """Start a process that has no configuration or targets and knows one peer endpoint."""
        self._start()
        others = [node for node in self.pool.nodes_by_name.values() if node is not self]
        self.handle(events.NodesListed(nodes=(node_lists.ListedNode(others[-1].endpoint),)))

    def listing(self) -> node_lists.ListedNode:
        """Return the node's entry in the platform's list, as of its last start."""
        identity = identifiers.NodeId("" if self.kernel is None else self.kernel.settings.node)
        domain = identifiers.DomainName(self.domain)
        return node_lists.ListedNode(self.endpoint, identity, domain, self.strength)

    def _start(self) -> None:
        now = self.pool.simulation.now
        identity = identifiers.NodeId(f"{self.name}-{next(self._incarnations)}")
        settings = kernels.KernelSettings(
            node=identity,
            domain=identifiers.DomainName(self.domain),
            endpoint=self.endpoint,
            strength=self.strength,
            order=self.pool.order,
            preferences=self.pool.preferences,
        )
        self.kernel = kernels.Kernel(settings, random.Random(f"{identity}"), now)
        self.is_frozen = False
        self._inbox.clear()
        self._tick(self.kernel)

    def kill(self) -> None:
        """End the process at once, which breaks the connections of its callers."""
        self.kernel = None
        self.pool.mark_callers_disconnected(self)

    def freeze(self) -> None:
        """Suspend the process; events that arrive are queued."""
        self.is_frozen = True

    def wake(self) -> None:
        """Resume a suspended process and handle the events queued meanwhile."""
        self.is_frozen = False
        queued_events, self._inbox = self._inbox, []
        for event in queued_events:
            self.handle(event)

    def drain(self) -> None:
        """Request a drain of the node."""
        self.handle(events.DrainRequested())

    def handle(self, event: events.Event) -> None:
        """Pass an event to the kernel and perform the actions that it returns."""
        if self.kernel is None:
            return
        if self.is_frozen:
            self._inbox.append(event)
        elif self.event_cost:
            self._handle_in_turn(event)
        else:
            self._handle_now(event)

    def _handle_in_turn(self, event: events.Event) -> None:
        """Handle an event once the processor has handled all earlier ones."""
        kernel = self.kernel
        self._busy_until = max(self._busy_until, self.pool.simulation.now) + self.event_cost

        def handle_if_alive() -> None:
            if self.kernel is kernel:
                self._handle_now(event)

        self.pool.simulation.call_at(self._busy_until, handle_if_alive)

    def _handle_now(self, event: events.Event) -> None:
        if isinstance(event, events.JobSubmitted) and self._refuse_if_overloaded(event):
            return
        kernel_actions = self.kernel.handle(event, self.pool.simulation.now)
        for action in kernel_actions:
            self.pool.perform(self, action)

    def _refuse_if_overloaded(self, event: events.JobSubmitted) -> bool:
        """Refuse a job like the node's ingress does, before the kernel sees it."""
        reason = self.kernel.overload_reason(event.job.id, self.pool.simulation.now)
        if reason is None:
            return False
        refusal = actions.AnswerCaller(
            caller=event.caller, job=event.job.id, verdict=actions.Verdict.REFUSED, reason=reason
        )
        self.pool.perform(self, refusal)
        return True

    def _tick(self, kernel: kernels.Kernel) -> None:
        if self.kernel is not kernel:
            return
        if not self.is_frozen:
            self.handle(events.Ticked())
        interval = max(
            timings.TICK_INTERVAL * self.slowness, self._busy_until - self.pool.simulation.now
        )
        self.pool.simulation.call_later(interval, lambda: self._tick(kernel))


class PoolModel:
    """A simulated pool: nodes, targets, and the messages and commands between them."""

    def __init__(
        self,
        seed: int = 1,
        order: ranks.RankingPolicy = ranks.RankingPolicy.SHARES,
        preferences: frozenset[target_preferences.Preference] = target_preferences.ALL,
    ):
        self.order = order
        self.preferences = preferences
        self.simulation = Simulation()
        self.rng = random.Random(seed)
        self.nodes_by_name: dict[str, NodeModel] = {}
        self.targets_by_id: dict[identifiers.TargetId, pool_targets.TargetModel] = {}
        self.partitions: set[frozenset[str]] = set()
        self.late_orders = 0.0
        self.answers_by_caller: dict[identifiers.CallerId, actions.AnswerCaller] = {}
        self.submitted_at: dict[identifiers.CallerId, datetime.datetime] = {}
        self.answered_at: dict[identifiers.CallerId, datetime.datetime] = {}
        self.broken_callers: set[identifiers.CallerId] = set()
        self.exited: list[NodeModel] = []
        self.notes: list[actions.Note] = []
        # Whether targets that have restarted write their entries.
        self.lists_restarted_targets = True
        # Whether a fault that a kernel contains is only noted; otherwise it ends the simulation.
        self.tolerates_faults = False
        self.on_note: Callable[[NodeModel, actions.Note], None] = _ignore_note
        self.on_send: Callable[[NodeModel, messages.AnyMessage], None] = _ignore_message
        # Crashes in the platform's store, which nodes read unless it is away.
        self.published_crashes: list[crash_histories.Crash] = []
        self.is_store_away = False
        self.applied: list[actions.ApplyConfiguration] = []
        self.drops: Callable[[NodeModel, NodeModel, messages.AnyMessage], bool] = _drop_none
        # Takes over commands that it returns True for, which then get no reply.
        self.delays: Callable[[pool_targets.TargetModel, actions.Action], bool] = _delay_none
        self._node_by_caller: dict[identifiers.CallerId, NodeModel] = {}
        self._caller_numbers = itertools.count(1)

    def add_node(self, domain: str, strength: int = 0) -> NodeModel:
        """Add a node without starting it; ``strength`` is its processor in hundredths of a core."""
        number = len(self.nodes_by_name) + 1
        address = f"10.0.{number // 256}.{number % 256}"
        node = NodeModel(self, f"{domain}-e{number}", domain, address, strength)
        self.nodes_by_name[node.name] = node
        return node

    def add_target(self, domain: str, **options) -> pool_targets.TargetModel:
        """Add a target; the options are those of :class:`pool_targets.TargetModel`."""
        number = len(self.targets_by_id) + 1
        target = pool_targets.TargetModel(self.simulation, f"t{number:03d}", domain, **options)
        self.targets_by_id[target.target.id] = target
        return target

    def boot_all(self) -> None:
        """Start all nodes and run until they have claimed the targets."""
        for node in self.nodes_by_name.values():
            node.boot()
        self.run(seconds=2)

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        self.simulation.run_for(datetime.timedelta(seconds=seconds))

    def listed(self) -> tuple[targets.Target, ...]:
        """Return the targets that the platform lists."""
        return tuple(model.target for model in self.targets_by_id.values() if not model.is_unlisted)

    def submit(self, node: NodeModel, request: jobs.JobRequest) -> identifiers.CallerId:
        """Submit a job to a node and return the id of the caller waiting for the answer."""
        caller = identifiers.CallerId(next(self._caller_numbers))
        self._node_by_caller[caller] = node
        self.submitted_at[caller] = self.simulation.now
        if node.is_running:
            node.handle(events.JobSubmitted(caller=caller, job=request))
        else:
            self.broken_callers.add(caller)
        return caller

    def leave(self, caller: identifiers.CallerId) -> None:
        """Close the connection of a caller, as the caller would."""
        self._node_by_caller[caller].handle(events.CallerLeft(caller=caller))

    def mark_callers_disconnected(self, node: NodeModel) -> None:
        """Record that the connections of a node's unanswered callers have broken."""
        self.broken_callers |= {
            caller
            for caller, at in self._node_by_caller.items()
            if at is node and caller not in self.answers_by_caller
        }

    def cut(self, one: str, other: str) -> None:
        """Partition the network between two nodes, targets or domains."""
        self.partitions.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all network partitions."""
        self.partitions.clear()

    def perform(self, node: NodeModel, action: actions.Action) -> None:
        """Perform an action that a node's kernel has returned."""
        performer = _PERFORMER_BY_TYPE.get(type(action))
        if performer is not None:
            performer(self, node, action)

    def _answer(self, node: NodeModel, action: actions.AnswerCaller) -> None:
        self.answers_by_caller[action.caller] = action
        self.answered_at[action.caller] = self.simulation.now

    def _exit(self, node: NodeModel, action: actions.Exit) -> None:
        self.exited.append(node)
        node.kill()

    def _apply(self, node: NodeModel, action: actions.ApplyConfiguration) -> None:
        self.applied.append(action)
        node.handle(events.ConfigurationRead(version=action.version, text=action.text))

    def _read_targets(self, node: NodeModel, action: actions.ReadTargets) -> None:
        if not self.is_store_away and self.lists_restarted_targets:
            listed = events.TargetsListed(targets=self.listed())
            self._handle_later(node, listed, STORE_LATENCY)

    def _record_note(self, node: NodeModel, note: actions.Note) -> None:
        if note.event is notes.NoteEvent.PART_FAILED and not self.tolerates_faults:
            raise AssertionError(note.fields["traceback"])
        self.notes.append(note)
        self.on_note(node, note)

    def _publish(self, node: NodeModel, action: actions.PublishCrashes) -> None:
        if self.is_store_away:
            return
        self.published_crashes += action.crashes
        for node in self.nodes_by_name.values():
            if node.is_running:
                self._handle_later(node, events.CrashesRead(crashes=action.crashes), STORE_LATENCY)

    def _send(self, sender: NodeModel, action: actions.SendMessage) -> None:
        self.on_send(sender, action.message)
        for node in self._nodes_at(action.endpoint):
            if not node.is_running:
                continue
            is_partitioned = self._is_partitioned(sender, node.name, node.domain)
            if is_partitioned or self.drops(sender, node, action.message):
                continue
            # Encode and decode the message, so that nodes share no objects.
            message = messages.decode(messages.encode(action.message))
            self._deliver_later(sender, node, events.MessageReceived(message=message))

    def _nodes_at(self, endpoint: identifiers.Endpoint) -> list[NodeModel]:
        return [node for node in self.nodes_by_name.values() if node.endpoint == endpoint]

    def _deliver_later(self, sender: NodeModel, node: NodeModel, event: events.Event) -> None:
        self._handle_later(node, event, self._latency(sender.domain, node.domain))

    def _handle_later(
        self, node: NodeModel, event: events.Event, delay: datetime.timedelta
    ) -> None:
        """Pass an event to a node after a delay, unless it has restarted meanwhile."""
        kernel = node.kernel

        def handle_if_same() -> None:
            if node.kernel is kernel:
                node.handle(event)

        self.simulation.call_later(delay, handle_if_same)

    def _send_command(
        self, node: NodeModel, action: actions.Hold | actions.StartRun | actions.StopRun
    ) -> None:
        """Send a command to a target; its reply, or a timeout, is handled as an event."""
        model = self.targets_by_id[action.target.id]
        delay = self._latency(node.domain, model.target.domain)
        exchange = _CommandExchange(self, node, action, delay)
        is_lost = self._is_partitioned(node, model.target.id, model.target.domain) or model.is_dark
        if is_lost:
            return
        if self.delays(model, action):
            return
        if self.late_orders and self.rng.random() < self.late_orders:
            lateness = datetime.timedelta(seconds=self.rng.uniform(2, 12))
            self.simulation.call_later(lateness, lambda: model.carry_out(action, _ignore_reply))
            return
        self._deliver(model, action, exchange.reply, delay)

    def _deliver(
        self,
        model: pool_targets.TargetModel,
        action: actions.Hold | actions.StartRun | actions.StopRun,
        reply: Callable[[pool_targets.Reply], None],
        delay: datetime.timedelta,
    ) -> None:
        """Have a target execute a command after a delay; a subclass may disturb that."""
        self.simulation.call_later(delay, lambda: model.carry_out(action, reply))

    def _is_partitioned(self, node: NodeModel, name: str, domain: str) -> bool:
        pairs = itertools.product((node.name, node.domain), (name, domain))
        return any(frozenset(pair) in self.partitions for pair in pairs if pair[0] != pair[1])

    def _latency(self, domain: str, other: str) -> datetime.timedelta:
        return SAME_DOMAIN_LATENCY if domain == other else CROSS_DOMAIN_LATENCY

    def overlaps(self) -> list[str]:
        """Return the tasks that had two runs at the same time."""
        spans_by_task: dict[str, list[tuple[datetime.datetime, datetime.datetime]]] = {}
        for model in self.targets_by_id.values():
            for task, start, end in model.spans(self.simulation.now):
                spans_by_task.setdefault(task, []).append((start, end))
        return [task for task, spans in spans_by_task.items() if _has_overlap(sorted(spans))]


_PERFORMER_BY_TYPE = {
    actions.SendMessage: PoolModel._send,
    actions.AnswerCaller: PoolModel._answer,
    actions.Hold: PoolModel._send_command,
    actions.StartRun: PoolModel._send_command,
    actions.StopRun: PoolModel._send_command,
    actions.Exit: PoolModel._exit,
    actions.ApplyConfiguration: PoolModel._apply,
    actions.PublishCrashes: PoolModel._publish,
    actions.ReadTargets: PoolModel._read_targets,
    actions.Note: PoolModel._record_note,
}


class _CommandExchange:
    """A command sent to a target, its reply and its timeout."""

    def __init__(
        self,
        pool: PoolModel,
        node: NodeModel,
        action: actions.Hold | actions.StartRun | actions.StopRun,
        delay: datetime.timedelta,
    ):
        self._pool = pool
        self._node = node
        self._kernel = node.kernel
        self._action = action
        self._latency = delay
        self._sent_at = pool.simulation.now
        self._is_finished = False
        pool.simulation.call_later(action.timeout, self._time_out)

    def reply(self, reply: pool_targets.Reply) -> None:
        """Deliver the target's reply to the node, unless the network has lost it."""
        model = self._pool.targets_by_id[self._action.target.id]
        is_partitioned = self._pool._is_partitioned(
            self._node, model.target.id, model.target.domain
        )
        if not is_partitioned and not model.is_dark:
            self._pool.simulation.call_later(self._latency, lambda: self._finish(reply))

    def _time_out(self) -> None:
        self._finish(pool_targets.Reply(failure=events.Failure.TIMEOUT))

    def _finish(self, reply: pool_targets.Reply) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        if self._node.kernel is self._kernel:
            self._node.handle(pool_targets.reply_event(self._action, reply, self._sent_at))


def _drop_none(sender: NodeModel, receiver: NodeModel, message: messages.AnyMessage) -> bool:
    """Return False, so that no message is dropped."""
    return False


def _delay_none(target: pool_targets.TargetModel, action: actions.Action) -> bool:
    """Return False, so that no command is delayed."""
    return False


def _ignore_message(sender: NodeModel, message: messages.AnyMessage) -> None:
    """Do not count a message."""


def _ignore_note(node: NodeModel, note: actions.Note) -> None:
    """Discard a note."""


def _ignore_reply(reply: pool_targets.Reply) -> None:
    """Discard the reply to a command that has already timed out at its sender."""


def _has_overlap(spans: list[tuple[datetime.datetime, datetime.datetime]]) -> bool:
    return any(earlier[1] > later[0] for earlier, later in itertools.pairwise(spans))

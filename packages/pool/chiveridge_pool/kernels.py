"""The pool's state machine: maps typed events to typed actions, without I/O or a clock."""

import datetime
import functools
import random

import msgspec

from chiveridge_kernel import clocks
from chiveridge_pool import (
    actions,
    coordinators,
    events,
    heartbeats,
    identifiers,
    loop_lags,
    members,
    message_handlers,
    messages,
    notes,
    outboxes,
    ranks,
    target_owners,
    timings,
)

_ACCEPT_JOBS_AFTER_DRAIN = datetime.timedelta(milliseconds=2500)
"""Time for the load balancer to see that a node is not ready: two probes one second apart."""


class KernelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Fixed settings of a kernel."""

    node: identifiers.NodeId
    domain: identifiers.DomainName
    endpoint: identifiers.Endpoint
    order: ranks.RankingPolicy = ranks.RankingPolicy.SHARES


class Kernel:
    """The state machine of one node; only :meth:`handle` changes its state."""

    def __init__(self, settings: KernelSettings, rng: random.Random, now: datetime.datetime):
        self.settings = settings
        self.members = members.Membership(settings.node, settings.domain, settings.endpoint)
        self.outbox = outboxes.Outbox(self.members)
        self.loop_lag = loop_lags.LoopLag()
        self.target_owner = target_owners.TargetOwner(
            self.members, self.outbox, rng, now, self.loop_lag
        )
        self.coordinator = coordinators.Coordinator(
            self.members, self.outbox, self.target_owner, settings.order
        )
        self.configuration_version = 0
        self.configuration = b""
        self.draining_since: datetime.datetime | None = None
        self.last_start_by_node: dict[identifiers.NodeId, int] = {}
        self.heartbeats = heartbeats.HeartbeatSender(self, now)
        self._previously_live: set[identifiers.NodeId] = set()
        self._share_due_by_node: dict[identifiers.NodeId, datetime.datetime] = {}
        self._has_exited = False

    def handle(self, event: events.Event, now: datetime.datetime) -> list[actions.Action]:
        """Handle an event and return the actions to perform."""
        handle(event, self, now)
        self._handle_own_messages(now)
        return self.outbox.take_actions()

    def _handle_own_messages(self, now: datetime.datetime) -> None:
        """Handle the messages that this node has sent to itself."""
        self.outbox.flush_ends()
        while self.outbox.own_messages:
            message_handlers.handle_message(self.outbox.own_messages.popleft(), self, now)
            self.outbox.flush_ends()

    def is_ready(self, now: datetime.datetime) -> bool:
        """Return whether this node can serve callers.

        It must have a configuration and not be draining, and it or a live peer must own targets.
        """
        if self.draining_since is not None or not self.configuration_version:
            return False
        if self.target_owner.owned_tokens():
            return True
        return any(member.owned_tokens for member in self.members.live(now))

    def tick(self, now: datetime.datetime) -> None:
        """Advance all timers of the node."""
        was_slow = self.loop_lag.is_slow
        self.loop_lag.tick(now)
        if self.loop_lag.is_slow != was_slow:
            self.outbox.note(
                notes.NoteEvent.NODE_SLOW,
                is_slow=self.loop_lag.is_slow,
                allowance_ms=clocks.to_ms(self.loop_lag.timeout_allowance()),
            )
        self._note_silent_members(now)
        if self.draining_since is not None:
            self._exit_if_drained(now)
        self.target_owner.tick(now)
        self.coordinator.tick(now)
        self.members.forget_silent(now)
        self.heartbeats.tick(now)

    def _note_silent_members(self, now: datetime.datetime) -> None:
        """Log the members that are no longer live."""
        live = {member.id: member for member in self.members.live(now)}
        for node in sorted(self._previously_live - live.keys()):
            heard = self.members.heard_by_id.get(node)
            silent = None if heard is None else clocks.to_ms(now - heard)
            self.outbox.note(notes.NoteEvent.MEMBER_LOST, member=node, silent_ms=silent)
        self._previously_live = set(live)

    def share_configuration(self, member: members.Member, now: datetime.datetime) -> None:
        """Send the configuration to a member with an older version, at a limited rate."""
        due = self._share_due_by_node.get(member.id, now)
        if member.version >= self.configuration_version or not self.configuration or now < due:
            return
        self._share_due_by_node[member.id] = now + timings.CONFIGURATION_SEND_INTERVAL
        message = messages.Configuration(
            sender=self.settings.node, version=self.configuration_version, text=self.configuration
        )
        self.outbox.send(member.id, message)

    def sync_new_member(self, member: members.Member, now: datetime.datetime) -> None:
        """Reconnect to a node that has just started, without backoff, and send it the targets."""
        member.has_received_targets = True
        self.outbox.note(
            notes.NoteEvent.MEMBER_HEARD,
            member=member.id,
            endpoint=member.endpoint,
            zone=member.domain,
            version=member.version,
        )
        self.outbox.add(actions.Reconnect(endpoint=member.endpoint))
        self.heartbeats.send_soon(now)
        known = tuple(self.target_owner.target_list.by_id.values())
        if known:
            message = messages.Targets(sender=self.settings.node, targets=known)
            self.outbox.send(member.id, message)

    def _exit_if_drained(self, now: datetime.datetime) -> None:
        if now - self.draining_since >= _ACCEPT_JOBS_AFTER_DRAIN:
            self.coordinator.accepts_jobs = False
        is_idle = not self.coordinator.accepts_jobs and not self.coordinator.has_work_in_progress()
        has_successors = any(not member.is_draining for member in self.members.live(now))
        is_handover_done = not self.target_owner.owned_by_target or not has_successors
        if is_idle and is_handover_done and not self._has_exited:
            self._has_exited = True
            self.heartbeats.send_goodbyes()
            self.outbox.add(actions.Exit())


@functools.singledispatch
def handle(event: events.Event, kernel: Kernel, now: datetime.datetime) -> None:
    """Dispatch an event to the components of a kernel."""
    raise TypeError(f"no handler for event {type(event).__name__}")


@handle.register
def _(event: events.JobSubmitted, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.coordinator.submit(event, now)


@handle.register
def _(event: events.CallerLeft, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.coordinator.caller_left(event.caller, now)


@handle.register
def _(event: events.JobCancelled, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.coordinator.cancel(event.job, now)


@handle.register
def _(event: events.TargetsListed, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.target_owner.update_targets(event.targets, now)


@handle.register
def _(event: events.ConfigurationRead, kernel: Kernel, now: datetime.datetime) -> None:
    if event.version > kernel.configuration_version:
        kernel.configuration_version = event.version
        kernel.configuration = event.text


@handle.register
def _(event: events.EndpointsListed, kernel: Kernel, now: datetime.datetime) -> None:
    for endpoint in event.endpoints:
        kernel.members.add(endpoint, now)
    if event.is_complete:
        kernel.target_owner.shorten_startup_wait(now)


@handle.register
def _(event: events.MessageReceived, kernel: Kernel, now: datetime.datetime) -> None:
    message_handlers.handle_message(event.message, kernel, now)


@handle.register
def _(event: events.HoldReplied, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.target_owner.handle_hold_reply(event, now)


@handle.register
def _(event: events.StartReplied, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.target_owner.handle_start_reply(event, now)


@handle.register
def _(event: events.StopReplied, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.target_owner.handle_stop_reply(event, now)


@handle.register
def _(event: events.Ticked, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.tick(now)


@handle.register
def _(event: events.DrainRequested, kernel: Kernel, now: datetime.datetime) -> None:
    if kernel.draining_since is None:
        kernel.draining_since = now
        kernel.target_owner.is_draining = True
        # Announce the drain before handing over targets, or peers would hand them back.
        kernel.heartbeats.send(now)
        kernel.tick(now)

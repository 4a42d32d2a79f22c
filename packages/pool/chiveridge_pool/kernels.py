"""The pool's state machine: maps typed events to typed actions, without I/O or a clock."""

import datetime
import functools
import random

import msgspec

from chiveridge_kernel import clocks
from chiveridge_pool import (
    actions,
    beats,
    coordinators,
    deliveries,
    events,
    holders,
    identifiers,
    lags,
    mailboxes,
    members,
    messages,
    notes,
    ranks,
    timings,
)

_ACCEPT_JOBS_AFTER_DRAIN = datetime.timedelta(milliseconds=2500)
"""Time for the load balancer to see that a node is not ready: two probes one second apart."""


class KernelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Fixed settings of a kernel."""

    node: identifiers.NodeId
    zone: identifiers.ZoneName
    endpoint: identifiers.Endpoint
    order: ranks.Order = ranks.Order.SHARES


class Kernel:
    """The state machine of one node; only :meth:`handle` changes its state."""

    def __init__(self, settings: KernelSettings, rng: random.Random, now: datetime.datetime):
        self.settings = settings
        self.members = members.Members(settings.node, settings.zone, settings.endpoint)
        self.mailbox = mailboxes.Mailbox(self.members)
        self.lag = lags.Lag()
        self.holder = holders.Holder(self.members, self.mailbox, rng, now, self.lag)
        self.coordinator = coordinators.Coordinator(
            self.members, self.mailbox, self.holder, settings.order
        )
        self.version = 0
        self.configuration = b""
        self.draining_since: datetime.datetime | None = None
        self.started_by_node: dict[identifiers.NodeId, int] = {}
        self.beats = beats.HeartbeatSender(self, now)
        self._previously_live: set[identifiers.NodeId] = set()
        self._share_due_by_node: dict[identifiers.NodeId, datetime.datetime] = {}
        self._has_exited = False

    def handle(self, event: events.Event, now: datetime.datetime) -> list[actions.Action]:
        """Handle an event and return the actions to perform."""
        handle(event, self, now)
        self._handle_own_messages(now)
        return self.mailbox.take()

    def _handle_own_messages(self, now: datetime.datetime) -> None:
        """Handle the messages that this node has sent to itself."""
        self.mailbox.flush_ends()
        while self.mailbox.own:
            deliveries.take_message(self.mailbox.own.popleft(), self, now)
            self.mailbox.flush_ends()

    def is_ready(self, now: datetime.datetime) -> bool:
        """Return whether this node can serve callers.

        It must have a configuration and not be draining, and it or a live peer must own targets.
        """
        if self.draining_since is not None or not self.version:
            return False
        if self.holder.held():
            return True
        return any(member.held for member in self.members.live(now))

    def tick(self, now: datetime.datetime) -> None:
        """Advance all timers of the node."""
        was_slow = self.lag.is_slow
        self.lag.tick(now)
        if self.lag.is_slow != was_slow:
            self.mailbox.note(
                notes.NoteEvent.NODE_SLOW,
                is_slow=self.lag.is_slow,
                allowance_ms=clocks.to_ms(self.lag.allowance()),
            )
        self._note_silent_members(now)
        if self.draining_since is not None:
            self._exit_if_drained(now)
        self.holder.tick(now)
        self.coordinator.tick(now)
        self.members.forget_silent(now)
        self.beats.tick(now)

    def _note_silent_members(self, now: datetime.datetime) -> None:
        """Log the members that are no longer live."""
        live = {member.id: member for member in self.members.live(now)}
        for node in sorted(self._previously_live - live.keys()):
            heard = self.members.heard_by_id.get(node)
            silent = None if heard is None else clocks.to_ms(now - heard)
            self.mailbox.note(notes.NoteEvent.MEMBER_LOST, member=node, silent_ms=silent)
        self._previously_live = set(live)

    def share_configuration(self, member: members.Member, now: datetime.datetime) -> None:
        """Send the configuration to a member with an older version, at a limited rate."""
        due = self._share_due_by_node.get(member.id, now)
        if member.version >= self.version or not self.configuration or now < due:
            return
        self._share_due_by_node[member.id] = now + timings.SHARE_INTERVAL
        message = messages.Configuration(
            sender=self.settings.node, version=self.version, text=self.configuration
        )
        self.mailbox.send(member.id, message)

    def greet(self, member: members.Member, now: datetime.datetime) -> None:
        """Reconnect to a node that has just started, without backoff, and send it the targets."""
        member.is_greeted = True
        self.mailbox.note(
            notes.NoteEvent.MEMBER_HEARD,
            member=member.id,
            endpoint=member.endpoint,
            zone=member.zone,
            version=member.version,
        )
        self.mailbox.add(actions.Reconnect(endpoint=member.endpoint))
        self.beats.send_soon(now)
        known = tuple(self.holder.listing.by_id.values())
        if known:
            message = messages.Targets(sender=self.settings.node, targets=known)
            self.mailbox.send(member.id, message)

    def _exit_if_drained(self, now: datetime.datetime) -> None:
        if now - self.draining_since >= _ACCEPT_JOBS_AFTER_DRAIN:
            self.coordinator.accepts_jobs = False
        is_idle = not self.coordinator.accepts_jobs and not self.coordinator.has_callers()
        has_successors = any(not member.is_leaving for member in self.members.live(now))
        is_handover_done = not self.holder.holdings_by_target or not has_successors
        if is_idle and is_handover_done and not self._has_exited:
            self._has_exited = True
            self.beats.send_goodbyes()
            self.mailbox.add(actions.Exit())


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
    kernel.holder.update_targets(event.targets, now)


@handle.register
def _(event: events.ConfigurationRead, kernel: Kernel, now: datetime.datetime) -> None:
    if event.version > kernel.version:
        kernel.version = event.version
        kernel.configuration = event.text


@handle.register
def _(event: events.EndpointsListed, kernel: Kernel, now: datetime.datetime) -> None:
    for endpoint in event.endpoints:
        kernel.members.add(endpoint, now)
    if event.is_complete:
        kernel.holder.shorten_startup_wait(now)


@handle.register
def _(event: events.MessageReceived, kernel: Kernel, now: datetime.datetime) -> None:
    deliveries.take_message(event.message, kernel, now)


@handle.register
def _(event: events.HoldReplied, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.holder.handle_hold_reply(event, now)


@handle.register
def _(event: events.StartReplied, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.holder.handle_start_reply(event, now)


@handle.register
def _(event: events.StopReplied, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.holder.handle_stop_reply(event, now)


@handle.register
def _(event: events.Ticked, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.tick(now)


@handle.register
def _(event: events.DrainRequested, kernel: Kernel, now: datetime.datetime) -> None:
    if kernel.draining_since is None:
        kernel.draining_since = now
        kernel.holder.is_leaving = True
        # Announce the drain before handing over targets, or peers would hand them back.
        kernel.beats.send(now)
        kernel.tick(now)

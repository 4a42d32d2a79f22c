"""The pool's state machine: maps typed events to typed actions, without I/O or a clock."""

import datetime
import functools
import random

import msgspec

from chiveridge_kernel import clocks
from chiveridge_pool import (
    actions,
    coordinators,
    crash_histories,
    crash_reports,
    evacuations,
    events,
    faults,
    heartbeats,
    identifiers,
    loop_lags,
    members,
    message_handlers,
    messages,
    node_lists,
    notes,
    outboxes,
    peer_selection,
    ranks,
    target_owners,
    target_preferences,
    timings,
)

_ACCEPT_JOBS_AFTER_DRAIN = datetime.timedelta(milliseconds=2500)
"""Time for the load balancer to see that a node is not ready: two probes one second apart."""

_PAUSED_AFTER = datetime.timedelta(milliseconds=900)
"""Time without a tick after which the process was paused; callers resend their jobs after 1.3 s."""

_PAUSE_BACKLOG_TIME = datetime.timedelta(milliseconds=200)
"""Time after a pause within which the requests that arrived during it are read."""

_FORGET_INTERVAL = datetime.timedelta(seconds=2)
"""Time between two searches for members that have been silent for a long time."""


class KernelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Fixed settings of a kernel.

    ``strength`` is the processor share of the machine in hundredths of a core; the strongest nodes
    of a failure domain own its targets. ``preferences`` are followed when a target is chosen.
    """

    node: identifiers.NodeId
    domain: identifiers.DomainName
    endpoint: identifiers.Endpoint
    strength: int = 0
    order: ranks.RankingPolicy = ranks.RankingPolicy.SHARES
    preferences: frozenset[target_preferences.Preference] = target_preferences.ALL


class Kernel:
    """The state machine of one node; only :meth:`handle` changes its state."""

    def __init__(self, settings: KernelSettings, rng: random.Random, now: datetime.datetime):
        self.settings = settings
        self.members = members.Membership(
            settings.node, settings.domain, settings.endpoint, settings.strength
        )
        self.outbox = outboxes.Outbox(self.members)
        self.faults = faults.Faults(self.outbox)
        self.loop_lag = loop_lags.LoopLag()
        self.crash_reports = crash_reports.CrashReports(self.members, self.outbox)
        self.evacuations = evacuations.Evacuations()
        self.target_owner = target_owners.TargetOwner(
            self.members,
            self.outbox,
            rng,
            now,
            self.loop_lag,
            self.crash_reports,
            self.evacuations,
            self.faults,
            settings.preferences,
        )
        self.coordinator = coordinators.Coordinator(
            self.members,
            self.outbox,
            self.target_owner,
            settings.order,
            self.crash_reports,
            self.faults,
        )
        self.configuration_version = 0
        self.configuration = b""
        self.draining_since: datetime.datetime | None = None
        self.last_start_by_node: dict[identifiers.NodeId, int] = {}
        self.heartbeats = heartbeats.HeartbeatSender(self, now)
        self._now = now
        self.outbox.introduce = lambda member: self.heartbeats.introduce(member, self._now)
        self._peer_selector = peer_selection.PeerSelector(self)
        self._next_review_at = now
        self._next_forget_at = now
        self._has_node_list = False
        self._share_due_by_node: dict[identifiers.NodeId, datetime.datetime] = {}
        self._lists_due_by_node: dict[identifiers.NodeId, datetime.datetime] = {}
        self._has_exited = False
        self._ticked_at = now
        self._refuses_until = now

    def handle(self, event: events.Event, now: datetime.datetime) -> list[actions.Action]:
        """Handle an event and return the actions to perform."""
        self._now = now
        handle(event, self, now)
        self._handle_own_messages(now)
        return self.outbox.take_actions()

    def _handle_own_messages(self, now: datetime.datetime) -> None:
        """Handle the messages that this node has sent to itself."""
        self.outbox.flush_ends()
        while self.outbox.own_messages:
            message = self.outbox.own_messages.popleft()
            kind = type(message).__name__
            self.faults.contain(
                "own message", kind, message_handlers.handle_message, message, self, now
            )
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

    def was_paused(self, now: datetime.datetime) -> bool:
        """Return whether requests that are read now may have waited while the process was paused.

        Their callers may have sent them to another node meanwhile.
        """
        if now - self._ticked_at >= _PAUSED_AFTER:
            self._refuses_until = now + _PAUSE_BACKLOG_TIME
        return now < self._refuses_until

    def overload_reason(self, job: identifiers.JobId, now: datetime.datetime) -> str | None:
        """Return why a request is refused before it is read, or None.

        A request for a job in progress here or elsewhere is not refused, since the job has run.
        """
        if not self.loop_lag.is_overloaded() or self.coordinator.has_job(job, now):
            return None
        return "the node is overloaded"

    def tick_interval(self) -> datetime.timedelta:
        """Return the time until the next tick is due."""
        is_busy = (
            self.draining_since is not None
            or self.coordinator.has_work_in_progress()
            or self.target_owner.has_work()
        )
        return timings.TICK_INTERVAL if is_busy else timings.IDLE_TICK_INTERVAL

    def tick(self, now: datetime.datetime, due_at: datetime.datetime | None = None) -> None:
        """Advance all timers of the node."""
        self.was_paused(now)
        self._ticked_at = now
        was_slow = self.loop_lag.is_slow
        self.loop_lag.tick(now, due_at)
        if self.loop_lag.is_slow != was_slow:
            self.outbox.note(
                notes.NoteEvent.NODE_SLOW,
                is_slow=self.loop_lag.is_slow,
                allowance_ms=clocks.to_ms(self.loop_lag.timeout_allowance()),
            )
        # What fails in one part must not keep the others from their timers.
        self.faults.contain("members", "", self._review_members, now)
        if self.draining_since is not None:
            self._exit_if_drained(now)
        self.faults.contain("targets", "", self.target_owner.tick, now)
        self.faults.contain("jobs", "", self.coordinator.tick, now)
        self.faults.contain("crash reports", "", self.crash_reports.tick, now)
        self.faults.contain("heartbeats", "", self.heartbeats.tick, now)

    def _review_members(self, now: datetime.datetime) -> None:
        """Log the members that are no longer live, and choose the ones to watch."""
        if now < self._next_review_at:
            return
        self._next_review_at = now + timings.ROUND_INTERVAL
        if now >= self._next_forget_at:
            self._next_forget_at = now + _FORGET_INTERVAL
            self.members.forget_silent(now)
        for member in self.members.review(now):
            silent_ms = clocks.to_ms(now - member.heard_at)
            self.outbox.note(
                notes.NoteEvent.MEMBER_LOST,
                member=member.id,
                silent_ms=silent_ms,
                watched=member.watched_since is not None,
            )
        self.members.set_own_fitness(
            is_draining=self.draining_since is not None, is_slow=self.loop_lag.is_slow
        )
        self._peer_selector.update(now)

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

    def apply_evacuations(
        self,
        version: int,
        domains: tuple[identifiers.DomainName, ...],
        source: str,
        now: datetime.datetime,
    ) -> None:
        """Put a version of the evacuations into force, and tell the nodes that are heard.

        ``source`` is the node that told this one, or says that the platform did.
        """
        changed = self.evacuations.apply(version, domains, now)
        if not changed:
            return
        for domain in sorted(changed):
            is_evacuated = domain in self.evacuations
            runs_left = self.target_owner.count_runs_in(domain)
            self.outbox.note(
                notes.NoteEvent.EVACUATION_CHANGED,
                domain=domain,
                version=version,
                evacuated=is_evacuated,
                source=source,
                runs=runs_left,
            )
        for member in self.members.audience():
            self._send_evacuations(member)
        self.target_owner.withdraw_evacuated(now)
        self.coordinator.refuse_unplaceable(now)

    def follow_interferences(self, now: datetime.datetime) -> None:
        """Take over which queues' tasks other owners have found to slow each other down."""
        if target_preferences.Preference.SEPARATION not in self.settings.preferences:
            return
        reported = {pair for member in self.members.live(now) for pair in member.interferences}
        self.target_owner.orders.preferences.interferences.set_reported(reported)

    def share_evacuations(self, member: members.Member, known_version: int) -> None:
        """Send the evacuations to a member that knows an earlier version."""
        if self.evacuations.has_been_used and known_version < self.evacuations.version:
            self._send_evacuations(member)

    def _send_evacuations(self, member: members.Member) -> None:
        message = messages.Evacuations(
            sender=self.settings.node,
            version=self.evacuations.version,
            domains=self.evacuations.domains(),
        )
        self.outbox.add(actions.SendMessage(endpoint=member.endpoint, message=message))

    def needs_lists(self) -> bool:
        """Return whether this node has not read the platform's lists of targets and nodes."""
        return not (self._has_node_list and self.target_owner.target_list.has_platform_list)

    def send_lists(self, member: members.Member, now: datetime.datetime) -> None:
        """Send the known targets and nodes to a member that needs them, at a limited rate."""
        if now < self._lists_due_by_node.get(member.id, now):
            return
        self._lists_due_by_node[member.id] = now + timings.LISTS_SEND_INTERVAL
        nodes = messages.Nodes(sender=self.settings.node, nodes=self.members.listed())
        self.outbox.send(member.id, nodes)
        known = tuple(self.target_owner.target_list.by_id.values())
        if known:
            message = messages.Targets(sender=self.settings.node, targets=known)
            self.outbox.send(member.id, message)

    def announce_drain(self, now: datetime.datetime) -> None:
        """Tell all members at once that this node drains."""
        self._next_review_at = now
        for member in self.members.audience():
            self.heartbeats.send_to(member, now)

    def add_listed_nodes(
        self, listed: tuple[node_lists.ListedNode, ...], now: datetime.datetime
    ) -> None:
        """Add nodes from the platform's list or from a peer's."""
        for node in listed:
            self.members.add_listed(node, now)
        self._next_review_at = now

    def list_read(self, now: datetime.datetime) -> None:
        """Record that the platform's list of nodes was read completely."""
        self._has_node_list = True
        self.target_owner.shorten_startup_wait(now)

    def welcome(self, member: members.Member, now: datetime.datetime) -> None:
        """Reconnect to a node that has just started, without backoff, and introduce this node."""
        member.is_known = True
        self.outbox.note(
            notes.NoteEvent.MEMBER_HEARD,
            member=member.id,
            endpoint=member.endpoint,
            zone=member.domain,
            version=member.version,
        )
        self.outbox.add(actions.Reconnect(endpoint=member.endpoint))
        self.heartbeats.send_to(member, now)

    def record_crashes(
        self, crashes: tuple[crash_histories.Crash, ...], now: datetime.datetime
    ) -> None:
        """Record crashes that a peer or the store tells of, and end the jobs that cause them."""
        for job in sorted(self.crash_reports.record_all(crashes, now)):
            self.coordinator.end_if_crashing(job, now)

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
    kernel.coordinator.submit(event, now, was_paused=kernel.was_paused(now))


@handle.register
def _(event: events.CallerLeft, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.coordinator.caller_left(event.caller, now)


@handle.register
def _(event: events.JobCancelled, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.coordinator.cancel(event.job, now)


@handle.register
def _(event: events.TargetsListed, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.target_owner.update_targets(event.targets, now, event.unusable)


@handle.register
def _(event: events.ConfigurationRead, kernel: Kernel, now: datetime.datetime) -> None:
    if event.version > kernel.configuration_version:
        kernel.configuration_version = event.version
        kernel.configuration = event.text


@handle.register
def _(event: events.NodesListed, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.add_listed_nodes(event.nodes, now)
    if event.is_complete:
        kernel.list_read(now)


@handle.register
def _(event: events.EvacuationsRead, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.apply_evacuations(event.version, event.domains, "store", now)


@handle.register
def _(event: events.CrashesRead, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.record_crashes(event.crashes, now)


@handle.register
def _(event: events.MessageReceived, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.members.record_heard(event.message.sender, now)
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
    kernel.tick(now, event.due_at)


@handle.register
def _(event: events.DrainRequested, kernel: Kernel, now: datetime.datetime) -> None:
    if kernel.draining_since is None:
        kernel.draining_since = now
        kernel.target_owner.is_draining = True
        # Announce the drain before handing over targets, or peers would hand them back.
        kernel.announce_drain(now)
        kernel.tick(now)

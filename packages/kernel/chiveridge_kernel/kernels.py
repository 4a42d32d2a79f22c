"""The kernel: typed events in, typed actions out, no I/O and no clock of its own."""

import datetime
import functools
import random

import msgspec

from chiveridge_kernel import (
    actions,
    admissions,
    answers,
    configurations,
    dispatchers,
    errors,
    events,
    handovers,
    identifiers,
    members,
    peers,
    policies,
    probes,
    reaches,
    results,
    submissions,
    targets,
)


class KernelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the kernel must know before its first event."""

    node: identifiers.NodeName
    domain: identifiers.DomainName
    incarnation: identifiers.Incarnation
    secret: bytes
    policy: str = policies.DEFAULT
    answer_budget_bytes: int = answers.DEFAULT_BUDGET_BYTES
    linger: datetime.timedelta = handovers.DEFAULT_LINGER
    probe_limits: probes.ProbeLimits = probes.ProbeLimits()


class Kernel:
    """Decides for one node; :meth:`handle` is the only way to change it."""

    def __init__(self, settings: KernelSettings, rng: random.Random):
        self.settings = settings
        self.configuration = configurations.Configuration()
        self.target_table = targets.TargetTable()
        self.members = members.MemberTable(settings.node, settings.domain)
        self.reach = reaches.Reach(self.configuration)
        self.dispatcher = dispatchers.Dispatcher(
            self.reach,
            self.target_table,
            self.members,
            rng,
            settings.policy,
            settings.incarnation,
            settings.probe_limits,
        )
        self.draining = False
        self.has_listing = False
        self.answers = answers.AnswerStore(settings.answer_budget_bytes)
        self.admissions = admissions.Admissions(
            submissions.Issuer(settings.node, settings.incarnation, settings.secret),
            self.dispatcher,
            self.answers,
            self._check_serving,
        )
        self.handovers = handovers.HandoverTable(self.answers)
        self._leaving: handovers.Sender | None = None

    def handle(self, event: events.Event, now: datetime.datetime) -> list[actions.Action]:
        """Handle one event and return what is to be done, in order.

        :raises errors.RefusedError: when the event is a request that is refused; what else is
            to be done is then left to :meth:`take_actions`.
        """
        # Whatever woke the process up, nothing is started past a deadline.
        self.dispatcher.expire(now)
        _handle(event, self, now)
        if self.draining and not self.dispatcher.jobs_by_id:
            self._leave(now)
        return self.take_actions()

    def take_actions(self) -> list[actions.Action]:
        """Return what is to be done and was not returned yet, in order."""
        self.dispatcher.policy.flush()
        done = self.dispatcher.outbox
        self.dispatcher.outbox = []
        for action in done:
            if isinstance(action, actions.AnswerJob):
                self.admissions.keep(action)
        return done

    def is_ready(self) -> bool:
        """Tell whether new jobs may be sent here."""
        return self.has_listing and self.configuration.offset > 0 and not self.draining

    def next_wakeup(self) -> datetime.datetime | None:
        """Return when the next :class:`events.Ticked` is due."""
        moments = [
            self.dispatcher.next_deadline(),
            self.target_table.next_expiry(),
            self.dispatcher.policy.next_wakeup(),
            None if self._leaving is None else self._leaving.due,
        ]
        return min((moment for moment in moments if moment is not None), default=None)

    def drain(self, forced: bool, now: datetime.datetime) -> None:
        """Take no new jobs; with ``forced``, end those in progress as failed."""
        self.draining = True
        if forced:
            message = "the node was told to stop at once"
            self.dispatcher.fail_all(results.ResultCode.NODE_STOPPED, message, now)

    def handover_kept(self, message: peers.HandoverKept, now: datetime.datetime) -> None:
        """Learn that a peer keeps a part of what this node leaves."""
        if self._leaving is not None and message.incarnation == self.settings.incarnation:
            self._leaving.confirmed(message, now)

    def _leave(self, now: datetime.datetime) -> None:
        """Hand over to peers, and exit once they have it."""
        # Answers that are given in this same step are kept before they are handed over.
        done = self.take_actions()
        if self._leaving is None:
            self._leaving = self._new_handover(now)
        due = self._leaving.messages_due(now)
        done += [actions.SendToPeer(peer=vm, message=part) for vm, part in due]
        if self._leaving.is_over(now):
            done.append(actions.Exit())
        self.dispatcher.outbox = done

    def _new_handover(self, now: datetime.datetime) -> handovers.Sender:
        admitted = self.admissions.admitted()
        kept = self.answers.newest(handovers.MAX_ANSWER_BYTES) if admitted else {}
        parts = handovers.parts_of(self.settings.node, self.settings.incarnation, admitted, kept)
        # Without an unexpired id there is nothing that anybody could ask for.
        listed = list(self.members.vms_by_name.values()) if admitted else []
        to_peers = handovers.choose_peers(self.settings.node, self.settings.domain, listed)
        return handovers.Sender(parts, to_peers, now, self.settings.linger)

    def _check_serving(self) -> None:
        if self.draining:
            message = "this node is draining; ask another node for new submission ids"
            raise errors.RefusedError(results.ResultCode.DRAINING, message, 0)
        if not self.is_ready():
            message = "this node has no configuration or no list of VMs yet"
            raise errors.RefusedError(
                results.ResultCode.NOT_READY, message, dispatchers.RETRY_AFTER_MS
            )


@functools.singledispatch
def _handle(event: events.Event, kernel: Kernel, now: datetime.datetime) -> None:
    raise TypeError(f"no handler for event {type(event).__name__}")


@_handle.register
def _(event: events.SubmissionReceived, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.admissions.submit(event, now)


@_handle.register
def _(event: events.CancelReceived, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.admissions.cancel(event.submission_id, event.team, now)


@_handle.register
def _(event: events.LeaseReported, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.dispatcher.report(event, now)


@_handle.register
def _(event: events.RecordsRead, kernel: Kernel, now: datetime.datetime) -> None:
    changes = [kernel.configuration.apply(offset, value) for offset, value in event.records]
    applied = [change for change in changes if change is not None]
    kernel.dispatcher.outbox.extend(actions.NoteChange(result=change) for change in applied)
    if applied:
        kernel.reach.invalidate()


@_handle.register
def _(event: events.VmsListed, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.members.replace(event.listing)
    kernel.target_table.replace(event.listing)
    kernel.reach.replace_vms(kernel.target_table.vms_by_name)
    kernel.has_listing = True
    kernel.dispatcher.place_waiting(now)


@_handle.register
def _(event: events.Ticked, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.dispatcher.probe(now)
    kernel.admissions.forget_expired(now)
    kernel.handovers.forget_expired(now)
    if kernel.target_table.expire(now):
        kernel.dispatcher.place_waiting(now)
    kernel.dispatcher.policy.ticked(now)


@_handle.register
def _(event: events.DrainRequested, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.drain(event.forced, now)


@_handle.register
def _(event: events.PeerMessageReceived, kernel: Kernel, now: datetime.datetime) -> None:
    _take_message(event.message, kernel, now)


@functools.singledispatch
def _take_message(message: peers.PeerMessage, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.dispatcher.policy.received(message, now)


@_take_message.register
def _(message: peers.Handover, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.handovers.receive(message, now)
    sender = kernel.members.find(message.sender)
    if sender is not None:
        kept = peers.HandoverKept(
            sender=kernel.settings.node, incarnation=message.incarnation, part=message.part
        )
        kernel.dispatcher.outbox.append(actions.SendToPeer(peer=sender, message=kept))


@_take_message.register
def _(message: peers.HandoverKept, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.handover_kept(message, now)

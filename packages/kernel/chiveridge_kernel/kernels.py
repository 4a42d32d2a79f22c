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
    identifiers,
    members,
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
    policy: str = "power_of_two"
    answer_budget_bytes: int = answers.DEFAULT_BUDGET_BYTES
    probe_limits: probes.ProbeLimits = probes.ProbeLimits()


class Kernel:
    """Decides for one node; :meth:`handle` is the only way to change it."""

    def __init__(self, settings: KernelSettings, rng: random.Random):
        self.settings = settings
        self.configuration = configurations.Configuration()
        self.target_table = targets.TargetTable()
        self.reach = reaches.Reach(self.configuration)
        self.dispatcher = dispatchers.Dispatcher(
            self.reach,
            self.target_table,
            rng,
            settings.policy,
            settings.incarnation,
            settings.probe_limits,
        )
        self.members = members.MemberTable(settings.node, settings.domain)
        self.draining = False
        self.has_listing = False
        self.answers = answers.AnswerStore(settings.answer_budget_bytes)
        self.admissions = admissions.Admissions(
            submissions.Issuer(settings.node, settings.incarnation, settings.secret),
            self.dispatcher,
            self.answers,
            self._check_serving,
        )

    def handle(self, event: events.Event, now: datetime.datetime) -> list[actions.Action]:
        """Handle one event and return what is to be done, in order.

        :raises errors.RefusedError: when the event is a request that is refused; what else is
            to be done is then left to :meth:`take_actions`.
        """
        # Whatever woke the process up, nothing is started past a deadline.
        self.dispatcher.expire(now)
        _handle(event, self, now)
        return self.take_actions()

    def take_actions(self) -> list[actions.Action]:
        """Return what is to be done and was not returned yet, in order."""
        done = self.dispatcher.outbox
        self.dispatcher.outbox = []
        for action in done:
            if isinstance(action, actions.AnswerJob):
                self.admissions.keep(action)
        if self.draining and not self.dispatcher.jobs_by_id:
            done.append(actions.Exit())
        return done

    def is_ready(self) -> bool:
        """Tell whether new jobs may be sent here."""
        return self.has_listing and self.configuration.offset > 0 and not self.draining

    def next_wakeup(self) -> datetime.datetime | None:
        """Return when the next :class:`events.Ticked` is due."""
        moments = (self.dispatcher.next_deadline(), self.target_table.next_expiry())
        return min((moment for moment in moments if moment is not None), default=None)

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
    if kernel.target_table.expire(now):
        kernel.dispatcher.place_waiting(now)
    kernel.dispatcher.policy.ticked(now)


@_handle.register
def _(event: events.DrainRequested, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.draining = True

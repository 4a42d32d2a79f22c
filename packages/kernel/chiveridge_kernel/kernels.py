"""The kernel: typed events in, typed actions out, no I/O and no clock of its own."""

import datetime
import functools
import heapq
import random

import msgspec

from chiveridge_kernel import (
    actions,
    catch_ups,
    clocks,
    configurations,
    dispatchers,
    errors,
    events,
    evidence,
    followers,
    heartbeats,
    identifiers,
    members,
    messages,
    peers,
    policies,
    reaches,
    records,
    results,
    revocations,
    snapshot_schedules,
    submissions,
    targets,
    vms,
)


class KernelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the kernel must know before its first event."""

    node: identifiers.NodeName
    domain: identifiers.DomainName
    incarnation: identifiers.Incarnation
    secret: bytes
    policy: str = policies.DEFAULT
    snapshots: snapshot_schedules.SnapshotSettings = snapshot_schedules.SnapshotSettings()
    catch_up: catch_ups.CatchUpSettings = catch_ups.CatchUpSettings()
    heartbeat: heartbeats.HeartbeatSettings = heartbeats.HeartbeatSettings()


class UsedId(msgspec.Struct):
    """A submission id that was used, with its final answer or its refusal once there is one."""

    team: identifiers.TeamName
    digest: bytes
    answer: messages.JobAnswer | None = None
    refusal: errors.RefusedError | None = None


class Kernel:
    """Decides for one node; :meth:`handle` is the only way to change it."""

    def __init__(self, settings: KernelSettings, rng: random.Random):
        self.settings = settings
        self.configuration = configurations.Configuration()
        self.target_table = targets.TargetTable()
        self.members = members.MemberTable(settings.node, settings.domain)
        self.reach = reaches.Reach(self.configuration)
        self.issuer = submissions.Issuer(settings.node, settings.incarnation, settings.secret)
        self.dispatcher = dispatchers.Dispatcher(
            self.reach, self.target_table, self.members, rng, settings.policy, settings.incarnation
        )
        self.dispatcher.limiter.limit_of = self._limit_of
        self.revoker = revocations.Revoker(self.dispatcher, self.reach)
        self.snapshot_schedule = snapshot_schedules.SnapshotSchedule(settings.snapshots, rng)
        self.follower = followers.Follower(self.configuration, self.snapshot_schedule.saw_chunk)
        self.catch_up = catch_ups.CatchUp(settings.catch_up, self.configuration, self.members, rng)
        self.heartbeats = heartbeats.Heartbeats(
            settings.heartbeat, self.members, settings.incarnation, rng
        )
        self.draining = False
        self.has_listing = False
        self._used_by_id: dict[identifiers.SubmissionId, UsedId] = {}
        self._expiries: list[tuple[int, identifiers.SubmissionId]] = []

    def handle(self, event: events.Event, now: datetime.datetime) -> list[actions.Action]:
        """Handle one event and return what is to be done, in order.

        :raises errors.RefusedError: when the event is a request that is refused.
        """
        _handle(event, self, now)
        self.dispatcher.place_permitted(now)
        return self._drain_outbox()

    def is_ready(self) -> bool:
        """Tell whether new jobs may be sent here."""
        return self.has_listing and self.configuration.offset > 0 and not self.draining

    def used(
        self, submission_id: identifiers.SubmissionId, team: identifiers.TeamName
    ) -> UsedId | None:
        """Return what is known of an id that a team has used here, or None."""
        found = self._used_by_id.get(submission_id)
        return found if found is not None and found.team == team else None

    def next_wakeup(self) -> datetime.datetime | None:
        """Return when the next :class:`events.Ticked` is due."""
        moments = (
            self.dispatcher.next_deadline(),
            self.target_table.next_expiry(),
            self.dispatcher.policy.next_wakeup(),
            self.heartbeats.next_due(),
            self.dispatcher.limiter.next_wakeup(),
        )
        return min((moment for moment in moments if moment is not None), default=None)

    def issue(
        self, team: identifiers.TeamName, count: int, now: datetime.datetime
    ) -> messages.IdsAnswer:
        """Issue submission ids to a team.

        :raises errors.RefusedError: when this node drains or is not ready.
        """
        self._check_serving()
        ids, expires_at_ms = self.issuer.issue(team, count, now)
        return messages.IdsAnswer(results.ResultCode.ACCEPTED, ids, expires_at_ms)

    def submit(self, event: events.SubmissionReceived, now: datetime.datetime) -> None:
        """Admit a submission once; the same submission again changes nothing.

        A refusal is final for its id: a copy that arrives later gets the same refusal, so
        that a caller who was told "not run" can rely on it.
        """
        submission_id = identifiers.SubmissionId(event.submission.submission_id)
        if not self.issuer.verify(submission_id, event.team):
            message = f"submission_id: {submission_id!r} was not issued to team {event.team!r} here"
            raise errors.RefusedError(results.ResultCode.UNKNOWN_SUBMISSION, message)
        known = self._used_by_id.get(submission_id)
        if known is not None:
            _check_same_content(known, event.digest)
            return
        expires_at_ms = submissions.parse(submission_id).expires_at_ms
        _check_lifetime(expires_at_ms, event.submission.deadline_ms, now)
        used = UsedId(event.team, event.digest)
        self._used_by_id[submission_id] = used
        heapq.heappush(self._expiries, (expires_at_ms, submission_id))
        try:
            self._check_serving()
            self.dispatcher.admit(event, now)
        except errors.RefusedError as refusal:
            used.refusal = refusal
            raise

    def configuration_moved(
        self, changes: list[configurations.ChangeResult], now: datetime.datetime
    ) -> None:
        """Bring everything that depends on the configuration up to date."""
        self.dispatcher.outbox.extend(actions.NoteChange(result=change) for change in changes)
        touched = self.configuration.take_touched()
        if not touched:
            return
        changes = self.reach.update(touched)
        self.revoker.reconsider(changes.affected_teams(), now)
        self.revoker.refuse(self._teams_without_key(touched), now)
        self.dispatcher.place_waiting(now)

    def _teams_without_key(self, touched: set[configurations.ObjectKey]) -> set[str]:
        teams = self.configuration.teams_by_name
        return {
            name
            for kind, name in touched
            if kind is records.ObjectKind.TEAM
            and (name not in teams or not teams[name].key_digests)
        }

    def take_listing(self, listing: vms.VmList, now: datetime.datetime) -> None:
        """Take a list of VMs, of the platform or of a peer."""
        self.catch_up.listing = listing
        gone = self.members.replace(listing, now)
        self.dispatcher.outbox.extend(actions.DisconnectPeer(peer=vm) for vm in gone)
        self.heartbeats.listed(now)
        self.target_table.replace(listing)
        self.reach.replace_vms(self.target_table.vms_by_name)
        self.has_listing = True
        self.dispatcher.place_waiting(now)

    def plan_snapshot(self, now: datetime.datetime) -> None:
        """Note when to write a snapshot, once every record of the log has been read."""
        offset = self.configuration.offset
        if offset and offset >= self.follower.next:
            count = len(self.members.live_names())
            self.snapshot_schedule.update(offset, self.follower.first, count, now)

    def forget_expired(self, now: datetime.datetime) -> None:
        """Forget ids that can no longer be used."""
        now_ms = clocks.to_epoch_ms(now)
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, submission_id = heapq.heappop(self._expiries)
            self._used_by_id.pop(submission_id, None)

    def _limit_of(self, team: identifiers.TeamName) -> int | None:
        found = self.configuration.teams_by_name.get(team)
        return None if found is None else found.max_starts

    def _check_serving(self) -> None:
        if self.draining:
            message = "this node is draining; ask another node for new submission ids"
            raise errors.RefusedError(results.ResultCode.DRAINING, message, 0)
        if not self.is_ready():
            message = "this node has no configuration or no list of VMs yet"
            raise errors.RefusedError(
                results.ResultCode.NOT_READY, message, dispatchers.RETRY_AFTER_MS
            )

    def _drain_outbox(self) -> list[actions.Action]:
        self.dispatcher.policy.flush()
        done = self.dispatcher.outbox
        self.dispatcher.outbox = []
        for action in done:
            if isinstance(action, actions.AnswerJob):
                self._used_by_id[action.answer.submission_id].answer = action.answer
        if self.draining and not self.dispatcher.jobs_by_id:
            done.append(actions.Exit())
        return done


def _check_same_content(known: UsedId, digest: bytes) -> None:
    if known.digest != digest:
        message = "submission_id: it was used before with other content"
        raise errors.RefusedError(results.ResultCode.SUBMISSION_ID_REUSED, message)
    if known.refusal is not None:
        raise known.refusal


def _check_lifetime(expires_at_ms: int, deadline_ms: int, now: datetime.datetime) -> None:
    left_ms = expires_at_ms - clocks.to_epoch_ms(now)
    if left_ms <= 0:
        message = "submission_id: it has expired; ask for a new one"
        raise errors.RefusedError(results.ResultCode.SUBMISSION_ID_EXPIRED, message)
    if deadline_ms > left_ms:
        message = (
            f"deadline_ms: {deadline_ms} is over the {left_ms} that the submission id has left"
        )
        raise errors.RefusedError(results.ResultCode.DEADLINE_TOO_LATE, message)


@functools.singledispatch
def _handle(event: events.Event, kernel: Kernel, now: datetime.datetime) -> None:
    raise TypeError(f"no handler for event {type(event).__name__}")


@_handle.register
def _(event: events.SubmissionReceived, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.submit(event, now)


@_handle.register
def _(event: events.CancelReceived, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.dispatcher.cancel(event.submission_id, now)


@_handle.register
def _(event: events.LeaseReported, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.dispatcher.report(event, now)


@_handle.register
def _(event: events.RecordsRead, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.catch_up.log_read_at = now
    changes = kernel.follower.read(event.records, event.first, event.next_offset)
    for change in changes:
        kernel.snapshot_schedule.saw_change(change.offset)
    kernel.configuration_moved(changes, now)
    kernel.plan_snapshot(now)


@_handle.register
def _(event: events.RecordsExpired, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.catch_up.log_read_at = now
    kernel.follower.expired(event.first, event.next_offset)


@_handle.register
def _(event: events.VmsListed, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.catch_up.vms_read_at = now
    kernel.take_listing(event.listing, now)


@_handle.register
def _(event: events.VmsConfirmed, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.catch_up.vms_read_at = now


@_handle.register
def _(event: events.PeerMessageReceived, kernel: Kernel, now: datetime.datetime) -> None:
    _take_message(event.message, kernel, event.route, now)


@_handle.register
def _(event: events.Ticked, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.dispatcher.expire(now)
    kernel.forget_expired(now)
    if kernel.target_table.expire(now):
        kernel.dispatcher.place_waiting(now)
    kernel.dispatcher.policy.ticked(now)
    kernel.dispatcher.limiter.tick(now)
    outbox = kernel.dispatcher.outbox
    if kernel.snapshot_schedule.take_due(now):
        outbox.append(actions.AppendSnapshot(snapshot=kernel.configuration.snapshot()))
    outbox.extend(kernel.catch_up.ask_if_due(now, kernel.follower.is_scanning))
    kernel.heartbeats.offset = kernel.configuration.offset
    kernel.dispatcher.outbox.extend(kernel.heartbeats.tick(now))


@_handle.register
def _(event: events.PeerUnreachable, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.members.unreachable(event.peer)


@_handle.register
def _(event: events.DrainRequested, kernel: Kernel, now: datetime.datetime) -> None:
    kernel.draining = True
    kernel.dispatcher.outbox.extend(kernel.heartbeats.farewell())


@functools.singledispatch
def _take_message(
    message: peers.PeerMessage, kernel: Kernel, route: bytes, now: datetime.datetime
) -> None:
    """Handle a message from another node; those that no part handles are the policy's."""
    kernel.dispatcher.policy.received(message, now)


@_take_message.register
def _(
    message: peers.ConfigurationAsk, kernel: Kernel, route: bytes, now: datetime.datetime
) -> None:
    kernel.dispatcher.outbox.extend(kernel.catch_up.answer(message, route))


@_take_message.register
def _(
    message: peers.ConfigurationChunk, kernel: Kernel, route: bytes, now: datetime.datetime
) -> None:
    if kernel.catch_up.take(message):
        kernel.snapshot_schedule.assume_base(kernel.configuration.offset)
        kernel.configuration_moved([], now)


@_take_message.register
def _(message: peers.ListingReply, kernel: Kernel, route: bytes, now: datetime.datetime) -> None:
    if kernel.catch_up.listing is None:
        kernel.take_listing(message.listing, now)


@_take_message.register
def _(message: peers.Heartbeat, kernel: Kernel, route: bytes, now: datetime.datetime) -> None:
    kernel.dispatcher.outbox.extend(kernel.heartbeats.receive(message, now))


@_take_message.register
def _(message: peers.TargetLeaving, kernel: Kernel, route: bytes, now: datetime.datetime) -> None:
    evidence.take_leaving(message, kernel.target_table, now)


@_take_message.register
def _(message: peers.LimitReport, kernel: Kernel, route: bytes, now: datetime.datetime) -> None:
    kernel.dispatcher.limiter.take_report(message, now)


@_take_message.register
def _(message: peers.LimitGrant, kernel: Kernel, route: bytes, now: datetime.datetime) -> None:
    kernel.dispatcher.limiter.take_grant(message)

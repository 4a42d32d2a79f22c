"""The parts of a kernel, how they are wired, and the operations that use several of them."""

import datetime
import functools
import random

import msgspec

from chiveridge_kernel import (
    actions,
    admissions,
    answers,
    catch_ups,
    clocks,
    configurations,
    dispatchers,
    errors,
    followers,
    handovers,
    heartbeats,
    identifiers,
    jobchecks,
    limit_outboxes,
    loadings,
    members,
    peers,
    policies,
    probes,
    reach_indexes,
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
    """Settings that the kernel needs before its first event."""

    node: identifiers.NodeName
    domain: identifiers.DomainName
    incarnation: identifiers.Incarnation
    secret: bytes
    policy: str = policies.DEFAULT
    snapshots: snapshot_schedules.SnapshotSettings = snapshot_schedules.SnapshotSettings()
    catch_up: catch_ups.CatchUpSettings = catch_ups.CatchUpSettings()
    heartbeat: heartbeats.HeartbeatSettings = heartbeats.HeartbeatSettings()
    answer_budget_bytes: int = answers.DEFAULT_BUDGET_BYTES
    linger: datetime.timedelta = handovers.DEFAULT_LINGER
    probe_limits: probes.ProbeLimits = probes.ProbeLimits()


class KernelParts:
    """The state of one node's kernel; :class:`kernels.Kernel` applies events to it."""

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
        self.dispatcher.limiter.limit_of = self._find_team_limit
        self.revoker = revocations.Revoker(self.dispatcher, self.reach)
        self.snapshot_schedule = snapshot_schedules.SnapshotSchedule(settings.snapshots, rng)
        self.loader = loadings.Loader()
        self.follower = followers.Follower(
            self.configuration,
            self.snapshot_schedule.saw_chunk,
            functools.partial(self.loader.offer, is_from_peer=False),
        )
        self.catch_up = catch_ups.CatchUp(
            settings.catch_up,
            self.configuration,
            self.members,
            rng,
            functools.partial(self.loader.offer, is_from_peer=True),
        )
        self.heartbeats = heartbeats.Heartbeats(
            settings.heartbeat, self.members, settings.incarnation, rng
        )
        self._is_loading_step_requested = False
        self.draining = False
        self.has_listing = False
        self.answers = answers.AnswerStore(settings.answer_budget_bytes)
        self.admissions = admissions.Admissions(
            submissions.Issuer(settings.node, settings.incarnation, settings.secret),
            self.dispatcher,
            self.answers,
            self._check_accepts_jobs,
        )
        self.handovers = handovers.HandoverTable(self.answers)
        self._handover_sender: handovers.HandoverSender | None = None

    def take_actions(self) -> list[actions.Action]:
        """Remove and return the pending actions, in order."""
        self.dispatcher.policy.flush()
        pending = self.dispatcher.outbox
        self.dispatcher.outbox = []
        for action in pending:
            if isinstance(action, actions.AnswerJob):
                self.admissions.keep(action)
        return pending

    def is_ready(self) -> bool:
        """Tell whether this node accepts new jobs."""
        return self.has_listing and self.configuration.offset > 0 and not self.draining

    def next_wakeup(self) -> datetime.datetime | None:
        """Return when the next :class:`events.Ticked` is due."""
        moments = [
            self.dispatcher.next_deadline(),
            self.target_table.next_expiry(),
            self.dispatcher.policy.next_wakeup(),
            self.heartbeats.next_due(),
            self.dispatcher.limiter.next_wakeup(),
            self.dispatcher.stops.next_wakeup(),
            None if self._handover_sender is None else self._handover_sender.due,
        ]
        return clocks.earliest(moments)

    def drain(self, forced: bool, now: datetime.datetime) -> None:
        """Accept no new jobs; with ``forced``, fail those in progress."""
        self.draining = True
        self.members.leave()
        self.dispatcher.outbox.extend(self.heartbeats.announce_leaving())
        if forced:
            message = "the node was told to stop at once"
            self.dispatcher.fail_all(results.ResultCode.NODE_STOPPED, message, now)

    def handle_handover_kept(self, message: peers.HandoverKept, now: datetime.datetime) -> None:
        """Handle a peer's confirmation of a part of this node's handover."""
        if self._handover_sender is not None and message.incarnation == self.settings.incarnation:
            self._handover_sender.confirm_part(message, now)

    def leave(self, now: datetime.datetime) -> None:
        """Send the handover to peers, and exit once it has ended."""
        # Stores the answers of this step, so that they are part of the handover.
        pending = self.take_actions()
        if self._handover_sender is None:
            self._handover_sender = self._make_handover_sender(now)
            pending += self.heartbeats.announce_exit()
        self._handover_sender.set_peers(handovers.choose_peers(self.members))
        silent = self._handover_sender.pop_silent_peers(now)
        pending += [actions.DisconnectPeer(peer=vm) for vm in silent]
        due = self._handover_sender.messages_due(now)
        pending += [actions.SendToPeer(peer=vm, message=part) for vm, part in due]
        if self._handover_sender.is_finished(now):
            pending.append(actions.Exit())
        self.dispatcher.outbox = pending

    def _make_handover_sender(self, now: datetime.datetime) -> handovers.HandoverSender:
        admitted = self.admissions.admitted()
        if not admitted:
            # Without an unexpired id no caller can query anything from this node.
            return handovers.HandoverSender([], [], now, self.settings.linger)
        kept = self.answers.newest(handovers.MAX_ANSWER_BYTES)
        parts = handovers.make_parts(
            self.settings.node, self.settings.incarnation, admitted, kept, now
        )
        return handovers.HandoverSender(parts, [], now, self.settings.linger)

    def handle_changes(
        self, changes: list[configurations.ChangeResult], now: datetime.datetime
    ) -> None:
        """Report changes of the configuration and update the parts that depend on it."""
        self.dispatcher.outbox.extend(actions.NoteChange(result=change) for change in changes)
        touched = self.configuration.take_touched()
        if touched:
            self._handle_reach_changes(self.reach.update(touched), touched, now)

    def continue_loading(self, now: datetime.datetime) -> None:
        """Run one step of loading a snapshot."""
        self._is_loading_step_requested = False
        if self.loader.is_busy():
            self.loader.step()
        elif self.follower.is_decoding():
            self.follower.step()
        else:
            self.catch_up.step()
        self.adopt_finished_loading(now)

    def adopt_finished_loading(self, now: datetime.datetime) -> None:
        """Adopt a completely loaded snapshot, unless it is out of date by now."""
        loading = self.loader.take_finished()
        if loading is not None:
            self._adopt_snapshot(loading, now)
        self.request_loading_step()

    def request_loading_step(self) -> None:
        """Schedule the next step of loading, if there is one."""
        parts = (self.loader.is_busy, self.follower.is_decoding, self.catch_up.is_decoding)
        if not self._is_loading_step_requested and any(has_work() for has_work in parts):
            self._is_loading_step_requested = True
            self.dispatcher.outbox.append(actions.ContinueLoading())

    def _adopt_snapshot(self, loading: loadings.Loading, now: datetime.datetime) -> None:
        is_expired = not loading.is_from_peer and loading.base < self.follower.first
        if is_expired or not self.configuration.adopt(loading.configuration):
            return
        loading.index.bind(self.configuration)
        if loading.is_from_peer:
            self.snapshot_schedule.assume_base(self.configuration.offset)
        self.note_restored(is_from_peer=loading.is_from_peer)
        touched = self.configuration.take_touched()
        self._handle_reach_changes(self.reach.adopt(loading.index), touched, now)

    def _handle_reach_changes(
        self,
        changes: reach_indexes.ReachChanges,
        touched: set[configurations.ObjectKey],
        now: datetime.datetime,
    ) -> None:
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

    def apply_listing(self, listing: vms.VmList, now: datetime.datetime) -> None:
        """Apply a list of VMs from the platform or a peer."""
        self.catch_up.listing = listing
        removed = self.members.replace(listing, now)
        self.dispatcher.outbox.extend(actions.DisconnectPeer(peer=vm) for vm in removed)
        self.heartbeats.update_interval(now)
        partners = len(self.members.others_in_domain())
        self.dispatcher.limiter.bytes_per_second = limit_outboxes.left_by_heartbeats(
            partners, self.heartbeats.interval
        )
        self.dispatcher.limiter.takeovers.longest_wait = self.heartbeats.times().dead_after
        self.target_table.replace(listing)
        self.reach.replace_vms(self.target_table.vms_by_name)
        self.has_listing = True
        self.dispatcher.place_waiting(now)

    def note_restored(self, *, is_from_peer: bool) -> None:
        """Report that the configuration was restored from a snapshot."""
        self.dispatcher.outbox.append(
            actions.NoteRestored(offset=self.configuration.offset, is_from_peer=is_from_peer)
        )

    def plan_snapshot(self, now: datetime.datetime) -> None:
        """Schedule the next snapshot, once every record of the log has been read."""
        offset = self.configuration.offset
        if offset and offset >= self.follower.next:
            count = len(self.members.live_names())
            self.snapshot_schedule.update(offset, self.follower.first, count, now)

    def _find_team_limit(self, team: identifiers.TeamName) -> int | None:
        team_object = self.configuration.teams_by_name.get(team)
        return None if team_object is None else team_object.max_starts

    def _check_accepts_jobs(self) -> None:
        if self.draining:
            message = "this node is draining; ask another node for new submission ids"
            raise errors.RefusedError(results.ResultCode.DRAINING, message, 0)
        if not self.is_ready():
            message = "this node has no configuration or no list of VMs yet"
            raise errors.RefusedError(
                results.ResultCode.NOT_READY, message, jobchecks.RETRY_AFTER_MS
            )

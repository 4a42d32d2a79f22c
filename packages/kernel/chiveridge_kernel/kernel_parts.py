"""The parts of a kernel, how they are wired, and the operations that use several of them."""

import datetime
import functools
import random

import msgspec

from chiveridge_kernel import (
    actions,
    admission_checks,
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
    limit_outboxes,
    members,
    outcome_queries,
    peers,
    policies,
    reach_indexes,
    reaches,
    records,
    results,
    revocations,
    snapshot_loaders,
    snapshot_schedules,
    submission_ids,
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
    probe_limits: outcome_queries.QueryDelayLimits = outcome_queries.QueryDelayLimits()


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
        self.dispatcher.limiter.find_limit = self._find_team_limit
        self.revoker = revocations.Revoker(self.dispatcher, self.reach)
        self.snapshot_schedule = snapshot_schedules.SnapshotSchedule(settings.snapshots, rng)
        self.loader = snapshot_loaders.SnapshotLoader()
        self.follower = followers.Follower(
            self.configuration,
            self.snapshot_schedule.record_chunk,
            functools.partial(self.loader.start_if_newer, is_from_peer=False),
        )
        self.catch_up = catch_ups.CatchUp(
            settings.catch_up,
            self.configuration,
            self.members,
            rng,
            functools.partial(self.loader.start_if_newer, is_from_peer=True),
        )
        self.heartbeats = heartbeats.Heartbeats(
            settings.heartbeat, self.members, settings.incarnation, rng
        )
        self._is_loading_step_requested = False
        self.is_draining = False
        self.has_vm_list = False
        self.answers = answers.AnswerStore(settings.answer_budget_bytes)
        self.admissions = admissions.Admissions(
            submission_ids.Issuer(settings.node, settings.incarnation, settings.secret),
            self.dispatcher,
            self.answers,
            self._check_accepts_jobs,
        )
        self.handovers = handovers.HandoverTable(self.answers)
        self._handover_sender: handovers.HandoverSender | None = None

    def pop_actions(self) -> list[actions.Action]:
        """Remove and return the pending actions, in order."""
        self.dispatcher.policy.flush()
        pending = self.dispatcher.outbox
        self.dispatcher.outbox = []
        for action in pending:
            if isinstance(action, actions.AnswerJob):
                self.admissions.store_answer(action)
        return pending

    def is_ready(self) -> bool:
        """Tell whether this node accepts new jobs."""
        return self.has_vm_list and self.configuration.offset > 0 and not self.is_draining

    def next_wakeup_at(self) -> datetime.datetime | None:
        """Return when the next :class:`events.Ticked` is due."""
        moments = [
            self.dispatcher.next_deadline(),
            self.target_table.next_expiry(),
            self.dispatcher.policy.next_wakeup_at(),
            self.heartbeats.next_due(),
            self.dispatcher.limiter.next_wakeup_at(),
            self.dispatcher.stops.next_wakeup_at(),
            None if self._handover_sender is None else self._handover_sender.due,
        ]
        return clocks.earliest(moments)

    def drain(self, forced: bool, now: datetime.datetime) -> None:
        """Accept no new jobs; with ``forced``, fail those in progress."""
        self.is_draining = True
        self.members.leave()
        self.dispatcher.outbox.extend(self.heartbeats.announce_leaving())
        if forced:
            message = "the node was told to stop at once"
            self.dispatcher.fail_all_jobs(results.ResultCode.NODE_STOPPED, message, now)

    def handle_handover_kept(self, message: peers.HandoverKept, now: datetime.datetime) -> None:
        """Handle a peer's confirmation of a part of this node's handover."""
        if self._handover_sender is not None and message.incarnation == self.settings.incarnation:
            self._handover_sender.confirm_part(message, now)

    def leave(self, now: datetime.datetime) -> None:
        """Send the handover to peers, and exit once it has ended."""
        # Stores the answers of this step, so that they are part of the handover.
        pending = self.pop_actions()
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
        admitted = self.admissions.admitted_bitmaps()
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
        changed_keys = self.configuration.pop_changed_keys()
        if changed_keys:
            self._handle_reach_changes(self.reach.update(changed_keys), changed_keys, now)

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
        loading = self.loader.pop_finished()
        if loading is not None:
            self._adopt_snapshot(loading, now)
        self.request_loading_step()

    def request_loading_step(self) -> None:
        """Schedule the next step of loading, if there is one."""
        parts = (self.loader.is_busy, self.follower.is_decoding, self.catch_up.is_decoding)
        if not self._is_loading_step_requested and any(has_work() for has_work in parts):
            self._is_loading_step_requested = True
            self.dispatcher.outbox.append(actions.ContinueLoading())

    def _adopt_snapshot(
        self, loading: snapshot_loaders.SnapshotLoad, now: datetime.datetime
    ) -> None:
        is_expired = not loading.is_from_peer and loading.base < self.follower.first_offset
        if is_expired or not self.configuration.replace_with(loading.configuration):
            return
        loading.index.set_configuration(self.configuration)
        if loading.is_from_peer:
            self.snapshot_schedule.set_base(self.configuration.offset)
        self.note_restored(is_from_peer=loading.is_from_peer)
        changed_keys = self.configuration.pop_changed_keys()
        self._handle_reach_changes(self.reach.replace_index(loading.index), changed_keys, now)

    def _handle_reach_changes(
        self,
        changes: reach_indexes.ReachChanges,
        changed_keys: set[configurations.ObjectKey],
        now: datetime.datetime,
    ) -> None:
        self.revoker.recheck_jobs(changes.affected_teams(), now)
        self.revoker.revoke_jobs(self._teams_without_key(changed_keys), now)
        self.dispatcher.place_waiting(now)

    def _teams_without_key(self, changed_keys: set[configurations.ObjectKey]) -> set[str]:
        teams = self.configuration.teams_by_name
        return {
            name
            for kind, name in changed_keys
            if kind is records.ObjectKind.TEAM
            and (name not in teams or not teams[name].key_digests)
        }

    def apply_listing(self, listing: vms.VmList, now: datetime.datetime) -> None:
        """Apply a list of VMs from the platform or a peer."""
        self.catch_up.vm_list = listing
        removed = self.members.apply_listing(listing, now)
        self.dispatcher.outbox.extend(actions.DisconnectPeer(peer=vm) for vm in removed)
        self.heartbeats.update_interval(now)
        partners = len(self.members.others_in_domain())
        self.dispatcher.limiter.bytes_per_second = limit_outboxes.limit_bytes_per_second(
            partners, self.heartbeats.interval
        )
        self.dispatcher.limiter.takeovers.max_grace_period = self.heartbeats.timeouts().dead_after
        self.target_table.replace(listing)
        self.reach.replace_vms(self.target_table.vms_by_name)
        self.has_vm_list = True
        self.dispatcher.place_waiting(now)

    def note_restored(self, *, is_from_peer: bool) -> None:
        """Report that the configuration was restored from a snapshot."""
        self.dispatcher.outbox.append(
            actions.NoteRestored(offset=self.configuration.offset, is_from_peer=is_from_peer)
        )

    def plan_snapshot(self, now: datetime.datetime) -> None:
        """Schedule the next snapshot, once every record of the log has been read."""
        offset = self.configuration.offset
        if offset and offset >= self.follower.end_offset:
            count = len(self.members.live_names())
            self.snapshot_schedule.schedule_if_needed(
                offset, self.follower.first_offset, count, now
            )

    def _find_team_limit(self, team: identifiers.TeamName) -> int | None:
        team_object = self.configuration.teams_by_name.get(team)
        return None if team_object is None else team_object.max_starts

    def _check_accepts_jobs(self) -> None:
        if self.is_draining:
            message = "this node is draining; ask another node for new submission ids"
            raise errors.RefusedError(results.ResultCode.DRAINING, message, 0)
        if not self.is_ready():
            message = "this node has no configuration or no list of VMs yet"
            raise errors.RefusedError(
                results.ResultCode.NOT_READY, message, admission_checks.RETRY_AFTER_MS
            )

"""Target ownership: claims targets, renews leases, grants capacity and tracks the ends of runs."""

import collections
import datetime
import random
from collections.abc import Iterator

from chiveridge_pool import (
    attempts,
    crash_reports,
    end_proofs,
    evacuations,
    events,
    faults,
    grant_allocators,
    grants,
    handovers,
    identifiers,
    incarnations,
    job_leaders,
    loop_lags,
    lost_targets,
    members,
    messages,
    node_monitors,
    notes,
    orders,
    orphaned_grants,
    outboxes,
    owned_targets,
    ownerships,
    quorums,
    restart_signs,
    run_ends,
    runs,
    starts,
    target_lists,
    target_preferences,
    targets,
    timings,
    tokens,
)


class TargetOwner:
    """Manages all targets that this node owns."""

    def __init__(
        self,
        table: members.Membership,
        outbox: outboxes.Outbox,
        rng: random.Random,
        started_at: datetime.datetime,
        loop_lag: loop_lags.LoopLag,
        reports: crash_reports.CrashReports,
        evacuated: evacuations.Evacuations,
        contained: faults.Faults,
        preferences: frozenset[target_preferences.Preference] = target_preferences.ALL,
    ):
        self._members = table
        self._evacuated = evacuated
        self._crash_reports = reports
        self._faults = contained
        self._outbox = outbox
        self._loop_lag = loop_lag
        self._own_id = table.own_id
        self._startup_ends_at = started_at + timings.STARTUP_NODE_LIST_WAIT
        self._is_started_up = False
        self._tokens = tokens.TokenSource(rng)
        self.orders = orders.Orders(outbox, self, loop_lag, preferences)
        self._starts = starts.Starts(outbox, self, self.orders, loop_lag)
        self.target_list = target_lists.TargetList()
        self.incarnations = incarnations.Incarnations(outbox)
        self.owned_by_target: dict[identifiers.TargetId, owned_targets.OwnedTarget] = {}
        self._run_ends = run_ends.RunEnds(outbox)
        self.allocator = grant_allocators.GrantAllocator(
            self._own_id,
            outbox,
            self.orders,
            self._starts,
            self.owned_by_target,
            contained,
            self._run_ends,
        )
        self.orphaned_grants = orphaned_grants.OrphanedGrants(self._run_ends)
        self._handed_over = handovers.HandedOverGrants()
        self.lost_targets = lost_targets.LostTargets(outbox, self, self.orphaned_grants, reports)
        self._node_monitor = node_monitors.NodeMonitor(table, self.allocator)
        self._assignments = ownerships.Assignments(table)
        self._counted_revision = -1
        # Answered attempts to start runs, by answer.
        self.attempts_by_answer: collections.Counter[str] = collections.Counter()
        self.targets_in_handover: set[identifiers.TargetId] = set()
        self.is_draining = False

    # Targets and ownership

    def update_targets(
        self,
        listed: tuple[targets.Target, ...],
        now: datetime.datetime,
        unusable: frozenset[identifiers.TargetId] = frozenset(),
    ) -> None:
        """Update the known and owned targets from the list read from the platform.

        ``unusable`` targets are listed with entries that are not valid, and get no new runs.
        """
        new = [target for target in listed if self._is_new_incarnation(target)]
        had_list = self.target_list.has_platform_list
        self.target_list.replace(listed, now, unusable)
        for target in listed:
            self.incarnations.record_entry(target)
            self._update_owned(target, now)
        if had_list and new:
            self._tell_owners(new, now)

    def _is_new_incarnation(self, target: targets.Target) -> bool:
        """Return whether a listed target is new, or has restarted since it was last listed."""
        known = self.target_list.by_id.get(target.id)
        return known is None or known.started_at_ms != target.started_at_ms

    def _update_owned(self, target: targets.Target, now: datetime.datetime) -> None:
        owned = self.owned_by_target.get(target.id)
        if owned is not None:
            self._update_target(owned, target, now)

    def _tell_owners(self, new: list[targets.Target], now: datetime.datetime) -> None:
        """Tell the owners of new and restarted targets, as they may read the list later."""
        self._update_assignments(now)
        by_owner: dict[identifiers.NodeId, list[targets.Target]] = {}
        for target in new:
            endpoint = self._assignments.endpoint_of(target.id)
            member = self._members.by_endpoint.get(endpoint)
            if member is not None and member.is_live(now):
                by_owner.setdefault(member.id, []).append(target)
        for owner, of_owner in by_owner.items():
            message = messages.Targets(sender=self._own_id, targets=tuple(of_owner), are_new=True)
            self._outbox.send(owner, message)

    def add_reported_targets(self, message: messages.Targets, now: datetime.datetime) -> None:
        """Add targets of which a peer tells, unless this node knows better from the list."""
        if message.are_new:
            for target in message.targets:
                self.target_list.add(target)
        else:
            self.target_list.add_reported(message.targets)
        for target in message.targets:
            known = self.target_list.by_id.get(target.id)
            if known is not None:
                self._update_owned(known, now)

    def mark_draining(self, reported: tuple[tuple[identifiers.TargetId, int], ...]) -> None:
        """Start no more runs on targets that a peer reports as draining."""
        for target in self.target_list.mark_draining(reported):
            owned = self.owned_by_target.get(target.id)
            if owned is not None:
                owned.target = target

    def _update_target(
        self, owned: owned_targets.OwnedTarget, target: targets.Target, now: datetime.datetime
    ) -> None:
        has_restarted = bool(
            target.started_at_ms
            and owned.started_at_ms
            and target.started_at_ms > owned.started_at_ms
        )
        if has_restarted or target.address != owned.target.address:
            self.lost_targets.end_incarnation(owned, "the target started anew", now)
            return
        owned.target = target

    def tick(self, now: datetime.datetime) -> None:
        """Perform due claims, handovers, lease renewals, stops and expirations."""
        self._drop_missing(now)
        self._follow_target_list()
        self._update_assignments(now)
        self._faults.contain(
            "entries", "", self.incarnations.tick, self.owned_by_target.values(), now
        )
        for target in self._assignments.own_targets:
            if target.id not in self.owned_by_target:
                self._faults.contain("claim", target.id, self._claim_if_due, target.id, now)
        for owned in list(self.owned_by_target.values()):
            self._faults.contain("hand-over", owned.target.id, self._hand_over_if_due, owned, now)
        for owned in list(self.owned_by_target.values()):
            self._faults.contain("starts", owned.target.id, self._starts.resume_waiting, owned, now)
            self._faults.contain("target", owned.target.id, self.orders.tick, owned, now)
        self.orphaned_grants.tick(now)
        self._handed_over.forget_old(now)
        self._node_monitor.tick(now)
        self.serve_requests(now)

    def _update_assignments(self, now: datetime.datetime) -> None:
        listed = self.target_list.by_id.values()
        self._assignments.update(listed, self.target_list.revision, now)

    def _follow_target_list(self) -> None:
        """Tell what depends on it that the list of targets has changed."""
        if self._counted_revision != self.target_list.revision:
            self._counted_revision = self.target_list.revision
            self.orders.preferences.speeds.retain(self.target_list.by_id)
            self.incarnations.retain(self.target_list.by_id)
            self._members.set_target_counts(self.target_list.count_by_domain())

    def _drop_missing(self, now: datetime.datetime) -> None:
        for target_id in self.target_list.droppable():
            owned = self.owned_by_target.get(target_id)
            if owned is not None and owned.grants_by_id and now < owned.lease_expires_at:
                continue
            self.target_list.remove(target_id)
            if owned is not None:
                self._give_up(owned, "the target is no longer listed", now)

    def _claim_if_due(self, target_id: identifiers.TargetId, now: datetime.datetime) -> None:
        if not self._may_claim(now) or target_id in self.target_list.missing_since:
            return
        if not self._tokens.may_claim(target_id, now):
            return
        target = self.target_list.by_id[target_id]
        if self._members.is_owned(target.id, now):
            return
        if not quorums.may_claim(self._members, target.domain, now):
            return
        owned = owned_targets.OwnedTarget(target, self._tokens.next(target.id, now), now)
        self._add_owned(owned, "claimed", now)

    def shorten_startup_wait(self, now: datetime.datetime) -> None:
        """Shorten the startup wait, since few nodes stay unheard once all of them are listed."""
        self._startup_ends_at = min(self._startup_ends_at, now + timings.STARTUP_PEER_WAIT)

    def is_starting_up(self, now: datetime.datetime) -> bool:
        """Return whether this node has just started and may still find targets or peers."""
        return (
            now < self._startup_ends_at + timings.FIRST_CLAIM_TIME
            and not self.has_reachable_target(now)
        )

    def _may_claim(self, now: datetime.datetime) -> bool:
        """Return whether this node has heard all peers, or the startup wait has passed."""
        is_listed = self._startup_ends_at - now <= timings.STARTUP_PEER_WAIT
        if now >= self._startup_ends_at or (is_listed and self._members.are_owners_heard()):
            self._is_started_up = True
        return self._is_started_up

    def _add_owned(
        self, owned: owned_targets.OwnedTarget, how: str, now: datetime.datetime
    ) -> None:
        self.owned_by_target[owned.target.id] = owned
        self._outbox.note(
            notes.NoteEvent.OWNER_CHANGED, target=owned.target.id, token=owned.token, how=how
        )
        self.orders.send_hold(owned, now)

    def _hand_over_if_due(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        target_id = owned.target.id
        assigned = self._assignments.endpoint_of(target_id)
        new_owner = self._members.by_endpoint.get(assigned) if assigned is not None else None
        is_early = not self.is_draining and owned.was_just_taken_over(now)
        if new_owner is None or is_early or not self._is_reachable(new_owner, now):
            self.targets_in_handover.discard(target_id)
            return
        self.targets_in_handover.add(target_id)
        if owned.has_pending_grants():
            return
        self._hand_over(owned, new_owner, now)

    def _is_reachable(self, member: members.Member, now: datetime.datetime) -> bool:
        """Return whether messages pass in both directions between a member and this node."""
        return member.is_live(now) and member.hears_this_node

    def _hand_over(
        self, owned: owned_targets.OwnedTarget, new_owner: members.Member, now: datetime.datetime
    ) -> None:
        speeds = self.orders.preferences.speeds
        self._outbox.send(new_owner.id, handovers.build_handover(owned, self._own_id, speeds, now))
        for node, moved in handovers.grants_by_node(owned).items():
            message = messages.OwnerChanged(sender=self._own_id, grants=moved, owner=new_owner.id)
            self._outbox.send(node, message)
        self._outbox.note(
            notes.NoteEvent.OWNER_CHANGED,
            target=owned.target.id,
            how="handed over",
            to=new_owner.endpoint,
        )
        self._handed_over.add(owned.sent_grants(), new_owner.id, now)
        for grant in owned.sent_grants():
            self._run_ends.log_handed_over(grant, owned.target.id)
        self._remove_owned(owned)

    def handle_handover(self, message: messages.Handover, now: datetime.datetime) -> None:
        """Take over a target and its runs from another owner, under a higher fencing token."""
        known = self.owned_by_target.get(message.target.id)
        if known is not None and known.token > message.token:
            return
        if known is not None:
            self._give_up(known, "a higher token was handed over", now)
        target = self.target_list.add(message.target)
        token = self._tokens.next(target.id, now, above=message.token)
        owned = handovers.restore_owned_target(message, target, token, now)
        self._handed_over.add(owned.sent_grants(), self._own_id, now)
        owned.taken_over_at = now
        owned.extend_lease(now)
        speeds = self.orders.preferences.speeds
        speeds.adopt(target.id, message.speed_excess, message.speed_runs)
        self._add_owned(owned, "taken over", now)

    # Replies from targets

    def handle_hold_reply(self, event: events.HoldReplied, now: datetime.datetime) -> None:
        """Handle the reply to a hold request, or its failure."""
        owned = self._find_owned(event.target, event.token)
        if owned is None:
            self._note_unanswered(event.target, "hold", event.failure, now)
            return
        failures = owned.failures
        self.orders.handle_hold_reply(owned, event, now)
        if owned.failures > failures:
            self._starts.refuse_waiting(owned, now)
        self.serve_requests(now)

    def resume_starts(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Send the starts that wait for a target that has replied."""
        self._starts.resume_waiting(owned, now)

    def handle_start_reply(self, event: events.StartReplied, now: datetime.datetime) -> None:
        """Handle the reply to a start request, or its failure."""
        self.attempts_by_answer[attempts.answer_value(event.failure)] += 1
        self._note_unanswered(event.target, "start", event.failure, now)
        owned = self._find_owned(event.target, event.token)
        if owned is not None:
            owned.restart_signs.record_start_reply((event.grant, event.attempt))
        grant = None if owned is None else owned.grants_by_id.get(event.grant)
        if grant is None:
            self.orphaned_grants.record_start_reply(event, now)
        else:
            self._starts.handle_reply(owned, grant, event, now)

    def handle_stop_reply(self, event: events.StopReplied, now: datetime.datetime) -> None:
        """Handle the reply to a stop request, or its failure."""
        self._note_unanswered(event.target, "stop", event.failure, now)
        owned = self._find_owned(event.target, event.token)
        if owned is None:
            return
        self.orders.check_clock(owned, event.clock_ms, now)
        if event.failure is events.Failure.FENCED:
            self.handle_fencing(owned, now)
            return
        grant = owned.grants_by_id.get(event.grant)
        if grant is None:
            return
        grant.stop_answer = attempts.answer_value(event.failure)
        if event.failure is None:
            grant.is_confirmed_stopped = True
            grant.state_changed_at = now

    def _note_unanswered(
        self,
        target: identifiers.TargetId,
        order: str,
        failure: events.Failure | None,
        now: datetime.datetime,
    ) -> None:
        """Take an order without an answer, under any token, for a sign of a restart."""
        owned = self.owned_by_target.get(target)
        if owned is not None and failure in restart_signs.UNANSWERED_ORDERS:
            self.orders.suspect_restart(owned, f"{order} {failure.value}", now)

    def _find_owned(
        self, target: identifiers.TargetId, token: identifiers.FencingToken
    ) -> owned_targets.OwnedTarget | None:
        owned = self.owned_by_target.get(target)
        return owned if owned is not None and owned.token == token else None

    def record_accepted_claim(
        self, owned: owned_targets.OwnedTarget, now: datetime.datetime
    ) -> None:
        """Record that a target has accepted this owner's token."""
        self._tokens.record_acceptance(owned.target.id)
        self.orphaned_grants.end_fenced(owned.target.id, owned.grants_by_id, now)
        self._crash_reports.report_incarnation(owned.target.id, owned.started_at_ms, now)

    def handle_fencing(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Give up a target that has seen a higher token."""
        self._tokens.record_rejection(owned.target.id, owned.token, now)
        self._give_up(owned, "a higher token is in use", now, is_fenced=True)

    def end_grant(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        how: runs.RunEnd,
        proof: end_proofs.EndProof,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        """End a grant and notify the job's node, or stop its run if the proof does not suffice."""
        if self._run_ends.report(grant, owned.target.id, how, proof, reason, now):
            owned.remove(grant)
        else:
            self.orders.stop(owned, grant, reason, now)

    def release_target(self, owned: owned_targets.OwnedTarget) -> None:
        """Release a target; the next claim's token fences off all requests sent so far."""
        self._tokens.raise_floor(owned.target.id, owned.token)
        self._remove_owned(owned)

    def handle_wrong_instance(
        self, owned: owned_targets.OwnedTarget, now: datetime.datetime
    ) -> None:
        """Release a target whose address now belongs to another instance."""
        self.lost_targets.end_replaced(owned, now)
        self._crash_reports.report_incarnation(owned.target.id, None, now)
        self._tokens.record_rejection(owned.target.id, owned.token, now)

    def _give_up(
        self,
        owned: owned_targets.OwnedTarget,
        reason: str,
        now: datetime.datetime,
        *,
        is_fenced: bool = False,
    ) -> None:
        """Give up a target on which runs may continue until their leases expire."""
        self.lost_targets.give_up(owned, now, is_fenced=is_fenced)
        self._outbox.note(
            notes.NoteEvent.OWNER_CHANGED, target=owned.target.id, how="given up", reason=reason
        )
        self._remove_owned(owned)

    def _remove_owned(self, owned: owned_targets.OwnedTarget) -> None:
        self.owned_by_target.pop(owned.target.id, None)
        self.targets_in_handover.discard(owned.target.id)

    # Capacity

    def request_capacity(self, message: messages.CapacityRequest, now: datetime.datetime) -> None:
        """Handle a job's request for capacity; reject it if another node has the job."""
        leader = self._members.find_leader(message.job, now)
        if leader is None:
            # Until a job is advertised, only the grants tell that another node has started it.
            leader = job_leaders.find_other_leader(message, self._grants())
        if leader not in (None, message.sender, message.former_leader):
            elsewhere = messages.JobElsewhere(sender=self._own_id, job=message.job, leader=leader)
            self._outbox.send(message.sender, elsewhere)
            return
        usable = self.usable_targets(now, min_cpu=message.size.cpu)
        self.allocator.request_capacity(message, usable, now)

    def _grants(self) -> Iterator[grants.Grant]:
        """Yield the grants whose runs may be in progress, also on targets that were given up."""
        for owned in self.owned_by_target.values():
            yield from owned.grants_by_id.values()
        yield from self.orphaned_grants.in_progress()

    def serve_requests(self, now: datetime.datetime) -> None:
        """Grant free capacity to pending requests."""
        if self.allocator.capacity_queue:
            min_cpu = self.allocator.capacity_queue.min_cpu()
            self.allocator.serve_requests(self.usable_targets(now, min_cpu=min_cpu), now)

    def usable_targets(
        self, now: datetime.datetime, *, min_cpu: int = 0
    ) -> list[owned_targets.OwnedTarget]:
        """Return the owned targets on which new runs may be started.

        ``min_cpu`` is the processor capacity that must be free, in thousandths of a core.
        """
        return [
            owned
            for owned in self.owned_by_target.values()
            # First, as most targets of a busy owner are full.
            if owned.free_cpu() >= min_cpu
            and owned.accepts_runs(now)
            and self.orders.is_fast_or_trial_due(owned, now)
            and owned.target.id not in self.targets_in_handover
            and not owned.has_isolated_run()
            and self.is_described(owned)
            and owned.target.domain not in self._evacuated
        ]

    def is_described(self, owned: owned_targets.OwnedTarget) -> bool:
        """Return whether a valid entry of a target's present incarnation was read."""
        is_usable = owned.target.id not in self.target_list.unusable
        return is_usable and self.incarnations.is_described(owned)

    def is_evacuated(self, target: targets.Target) -> bool:
        """Return whether an operator has asked for no new runs on a target's failure domain."""
        return target.domain in self._evacuated

    def withdraw_evacuated(self, now: datetime.datetime) -> None:
        """Take back grants on evacuated targets whose start was not sent."""
        for owned in list(self.owned_by_target.values()):
            if not self.is_evacuated(owned.target):
                continue
            for grant in list(owned.grants_by_id.values()):
                if not grant.is_sent():
                    self.orders.stop(owned, grant, evacuations.STOP_REASON, now)

    def count_runs_in(self, domain: identifiers.DomainName) -> int:
        """Return the number of runs on owned targets of a failure domain."""
        return sum(
            len(owned.sent_grants())
            for owned in self.owned_by_target.values()
            if owned.target.domain == domain
        )

    def has_missing_target(self) -> bool:
        """Return whether the platform's list lacked an owned target when it was last read."""
        return not self.owned_by_target.keys().isdisjoint(self.target_list.missing_since)

    def release(self, message: messages.GrantRelease, now: datetime.datetime) -> None:
        """Take back unused grants."""
        self.allocator.release(message)
        self.serve_requests(now)

    def stop(self, message: messages.StopRuns, now: datetime.datetime) -> None:
        """Stop runs that their job no longer needs."""
        for grant_id in message.grants:
            found = self.allocator.find(grant_id)
            if found is not None:
                self.orders.stop(found[0], found[1], "its job does not want it", now)
            elif grant_id not in self.orphaned_grants:
                self._answer_unknown(message.sender, grant_id)

    def _answer_unknown(self, node: identifiers.NodeId, grant: identifiers.GrantId) -> None:
        """Answer a node that asks to stop a run that is not on a target owned here.

        A grant that was never here has no answer: its target may just be handed to this node.
        """
        owner = self._handed_over.owner_of(grant)
        if owner is None and grants.is_issued_by(self._own_id, grant):
            owner = self._own_id
        if owner == self._own_id:
            proof = end_proofs.EndProof.UNKNOWN_HERE
            self._run_ends.report_unknown(node, grant, runs.RunEnd.LOST, proof)
        elif owner is not None:
            moved = messages.OwnerChanged(sender=self._own_id, grants=(grant,), owner=owner)
            self._outbox.send(node, moved)

    def has_work(self) -> bool:
        """Return whether requests, grants or claims are in progress."""
        return (
            not self._is_started_up
            or bool(self.allocator.capacity_queue)
            or bool(self.targets_in_handover)
            or any(
                owned.grants_by_id or owned.state is owned_targets.OwnershipState.CLAIMING
                for owned in self.owned_by_target.values()
            )
        )

    # Information for other nodes

    def owned_tokens(self) -> dict[identifiers.TargetId, identifiers.FencingToken]:
        """Return the tokens of the targets that run only what this owner knows, by target."""
        return {
            target: owned.token
            for target, owned in self.owned_by_target.items()
            if owned.state is owned_targets.OwnershipState.OWNED
        }

    def has_reachable_target(self, now: datetime.datetime) -> bool:
        """Return whether a target that this node owns has answered its last hold."""
        return any(
            owned.replied_at is not None and not owned.failures
            for owned in self.owned_by_target.values()
        )

    def grants_by_node(self) -> dict[identifiers.NodeId, list[identifiers.GrantId]]:
        """Return, by node, the grants whose runs it has requested and which may be running."""
        by_node = self.orphaned_grants.by_node()
        for owned in self.owned_by_target.values():
            for grant in owned.requested_grants():
                by_node.setdefault(grant.node, []).append(grant.id)
        return by_node

    def unfinished_jobs(self, now: datetime.datetime) -> tuple[identifiers.JobId, ...]:
        """Return the jobs of lost nodes of which runs may still be in progress here."""
        unfinished = {
            grant.job for grant in self._sent_grants() if self._is_node_lost(grant.node, now)
        }
        return tuple(sorted(unfinished))

    def has_unfinished(self, job: identifiers.JobId, now: datetime.datetime) -> bool:
        """Return whether runs of a job may have outlived the job's node here."""
        return any(
            grant.job == job and self._is_node_lost(grant.node, now)
            for grant in self._sent_grants()
        )

    def _sent_grants(self) -> Iterator[grants.Grant]:
        return (grant for grant in self._grants() if grant.is_sent())

    def _is_node_lost(self, node: identifiers.NodeId, now: datetime.datetime) -> bool:
        return node != self._own_id and self._members.find_live(node, now) is None

    def related_nodes(self) -> set[identifiers.NodeId]:
        """Return the nodes that have requests, grants or orphaned runs here."""
        return self.allocator.nodes() | self.orphaned_grants.by_node().keys()

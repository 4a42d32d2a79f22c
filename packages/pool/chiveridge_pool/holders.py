"""Target ownership: claims targets, renews leases, grants capacity and tracks the ends of runs."""

import datetime
import random

from chiveridge_pool import (
    events,
    grants,
    handovers,
    holdings,
    identifiers,
    lags,
    lendings,
    listings,
    mailboxes,
    members,
    messages,
    notes,
    orders,
    orphans,
    ownerships,
    runs,
    starts,
    targets,
    timings,
    tokens,
    watches,
)


class Holder:
    """Manages all targets that this node owns."""

    def __init__(
        self,
        table: members.Members,
        mailbox: mailboxes.Mailbox,
        rng: random.Random,
        started_at: datetime.datetime,
        lag: lags.Lag,
    ):
        self._members = table
        self._mailbox = mailbox
        self._lag = lag
        self._own_id = table.own_id
        self._startup_ends_at = started_at + timings.SETTLING_UNLISTED
        self._is_started_up = False
        self._tokens = tokens.TokenSource(rng)
        self.orders = orders.Orders(mailbox, self, lag)
        self._starts = starts.Starts(mailbox, self, self.orders, lag)
        self.listing = listings.TargetList()
        self.holdings_by_target: dict[identifiers.TargetId, holdings.Holding] = {}
        self.lending = lendings.GrantAllocator(
            self._own_id, mailbox, self.orders, self._starts, self.holdings_by_target
        )
        self.orphans = orphans.OrphanedGrants(mailbox)
        self._node_monitor = watches.NodeMonitor(table, self.lending)
        self._candidates: ownerships.Candidates | None = None
        self.targets_in_handover: set[identifiers.TargetId] = set()
        self.is_leaving = False

    # Targets and ownership

    def update_targets(self, listed: tuple[targets.Target, ...], now: datetime.datetime) -> None:
        """Update the known and owned targets from the list read from the platform."""
        self.listing.replace(listed, now)
        for target in listed:
            holding = self.holdings_by_target.get(target.id)
            if holding is not None:
                self._update_target(holding, target, now)

    def note_leaving(self, reported: tuple[tuple[identifiers.TargetId, int], ...]) -> None:
        """Start no more runs on targets that a peer reports as draining."""
        for target in self.listing.note_leaving(reported):
            holding = self.holdings_by_target.get(target.id)
            if holding is not None:
                holding.target = target

    def _update_target(
        self, holding: holdings.Holding, target: targets.Target, now: datetime.datetime
    ) -> None:
        has_restarted = bool(target.born and holding.born and target.born > holding.born)
        if has_restarted or target.address != holding.target.address:
            self.end_incarnation(holding, "the target started anew", now)
            return
        holding.target = target

    def tick(self, now: datetime.datetime) -> None:
        """Perform due claims, handovers, lease renewals, stops and expirations."""
        is_ineligible = self.is_leaving or self._lag.is_slow
        candidates = ownerships.current_candidates(
            self._members, self._candidates, now, is_ineligible=is_ineligible
        )
        self._candidates = candidates
        self._drop_missing(now)
        for target in list(self.listing.by_id.values()):
            assigned = candidates.choose(target)
            holding = self.holdings_by_target.get(target.id)
            if holding is None:
                self._claim_if_due(target, candidates.is_own(assigned), now)
            else:
                self._hand_over_if_due(holding, assigned, candidates, now)
        for holding in list(self.holdings_by_target.values()):
            self.orders.tick(holding, now)
        self.orphans.tick(now)
        self._node_monitor.tick(now)
        self.serve(now)

    def _drop_missing(self, now: datetime.datetime) -> None:
        for target_id in self.listing.droppable(now):
            holding = self.holdings_by_target.get(target_id)
            if holding is not None and holding.grants_by_id and now < holding.lease_expires_at:
                continue
            self.listing.remove(target_id)
            if holding is not None:
                self._give_up(holding, "the target is no longer listed", now)

    def _claim_if_due(
        self, target: targets.Target, is_assigned_here: bool, now: datetime.datetime
    ) -> None:
        if (
            not is_assigned_here
            or not self._may_claim(now)
            or target.id in self.listing.missing_since
        ):
            return
        if self._members.is_held(target.id, now):
            return
        if not self._tokens.may_claim(target.id, now) or not self._has_quorum_for(target, now):
            return
        holding = holdings.Holding(target, self._tokens.next(target.id, now), now)
        self._add_holding(holding, "claimed", now)

    def shorten_startup_wait(self, now: datetime.datetime) -> None:
        """Shorten the startup wait, since few nodes stay unheard once all of them are listed."""
        self._startup_ends_at = min(self._startup_ends_at, now + timings.SETTLING)

    def is_settling(self, now: datetime.datetime) -> bool:
        """Return whether this node has just started and may still find targets or peers."""
        return now < self._startup_ends_at + timings.FIRST_HOLD and not self.reaches_any(now)

    def _may_claim(self, now: datetime.datetime) -> bool:
        """Return whether this node has heard all peers, or the startup wait has passed."""
        is_listed = self._startup_ends_at - now <= timings.SETTLING
        if now >= self._startup_ends_at or (is_listed and self._members.are_all_heard()):
            self._is_started_up = True
        return self._is_started_up

    def _has_quorum_for(self, target: targets.Target, now: datetime.datetime) -> bool:
        """Return whether this node hears enough peers to claim a target from a silent owner."""
        if self._members.has_majority(now):
            return True
        return target.zone == self._members.own_zone and self._members.has_zone_majority(now)

    def _add_holding(self, holding: holdings.Holding, how: str, now: datetime.datetime) -> None:
        self.holdings_by_target[holding.target.id] = holding
        self._mailbox.note(
            notes.NoteEvent.OWNER_CHANGED, target=holding.target.id, token=holding.token, how=how
        )
        self.orders.send_hold(holding, now)

    def _hand_over_if_due(
        self,
        holding: holdings.Holding,
        assigned: identifiers.Endpoint | None,
        candidates: ownerships.Candidates,
        now: datetime.datetime,
    ) -> None:
        target_id = holding.target.id
        new_owner = self._members.by_endpoint.get(assigned) if assigned is not None else None
        if (
            candidates.is_own(assigned)
            or new_owner is None
            or not self._is_reachable(new_owner, now)
        ):
            self.targets_in_handover.discard(target_id)
            return
        self.targets_in_handover.add(target_id)
        if holding.has_pending_grants():
            return
        self._hand_over(holding, new_owner, now)

    def _is_reachable(self, member: members.Member, now: datetime.datetime) -> bool:
        """Return whether messages pass in both directions between a member and this node."""
        return member.is_live(now) and self._own_id in member.heard_nodes

    def _hand_over(
        self, holding: holdings.Holding, new_owner: members.Member, now: datetime.datetime
    ) -> None:
        self._mailbox.send(new_owner.id, handovers.build_handover(holding, self._own_id))
        for node, moved in handovers.grants_by_node(holding).items():
            message = messages.Moved(sender=self._own_id, grants=moved, owner=new_owner.id)
            self._mailbox.send(node, message)
        self._mailbox.note(
            notes.NoteEvent.OWNER_CHANGED,
            target=holding.target.id,
            how="handed over",
            to=new_owner.endpoint,
        )
        self._remove_holding(holding)

    def take_handover(self, message: messages.Handover, now: datetime.datetime) -> None:
        """Take over a target and its runs from another owner, under a higher fencing token."""
        known = self.holdings_by_target.get(message.target.id)
        if known is not None and known.token > message.token:
            return
        if known is not None:
            self._give_up(known, "a higher token was handed over", now)
        target = self.listing.by_id.setdefault(message.target.id, message.target)
        token = self._tokens.next(target.id, now, above=message.token)
        holding = handovers.restore_holding(message, target, token, now)
        holding.extend_lease(now)
        self._add_holding(holding, "taken over", now)

    # Replies from targets

    def handle_hold_reply(self, event: events.HoldReplied, now: datetime.datetime) -> None:
        """Handle the reply to a hold request, or its failure."""
        holding = self._find_holding(event.target, event.token)
        if holding is not None:
            self.orders.handle_hold_reply(holding, event, now)
            self.serve(now)

    def handle_start_reply(self, event: events.StartReplied, now: datetime.datetime) -> None:
        """Handle the reply to a start request, or its failure."""
        holding = self._find_holding(event.target, event.token)
        if holding is None:
            return
        grant = holding.grants_by_id.get(event.grant)
        if grant is not None and grant.state is runs.GrantState.STARTING:
            self._starts.handle_reply(holding, grant, event, now)

    def handle_stop_reply(self, event: events.StopReplied, now: datetime.datetime) -> None:
        """Handle the reply to a stop request, or its failure."""
        holding = self._find_holding(event.target, event.token)
        if holding is None:
            return
        if event.failure is events.Failure.FENCED:
            self.handle_fencing(holding, now)
            return
        grant = holding.grants_by_id.get(event.grant)
        if grant is not None and event.failure is None:
            grant.is_confirmed_stopped = True
            grant.state_changed_at = now

    def _find_holding(
        self, target: identifiers.TargetId, token: identifiers.FencingToken
    ) -> holdings.Holding | None:
        holding = self.holdings_by_target.get(target)
        return holding if holding is not None and holding.token == token else None

    def record_accepted_claim(self, holding: holdings.Holding) -> None:
        """Record that a target has accepted this owner's token."""
        self._tokens.record_acceptance(holding.target.id)

    def handle_fencing(self, holding: holdings.Holding, now: datetime.datetime) -> None:
        """Give up a target that has seen a higher token."""
        self._tokens.record_rejection(holding.target.id, holding.token, now)
        self._give_up(holding, "a higher token is in use", now)

    def end_grant(
        self, holding: holdings.Holding, grant: grants.Grant, how: runs.RunEnd, reason: str = ""
    ) -> None:
        """End a grant and notify the job's node."""
        holding.remove(grant)
        self._mailbox.send_end(grant.node, grant.id, how.value)
        if how is not runs.RunEnd.DONE:
            self._mailbox.note(
                notes.NoteEvent.RUN_ENDED,
                job=grant.job,
                task=grant.task,
                run=grant.run,
                target=holding.target.id,
                how=how.value,
                reason=reason,
            )

    def end_incarnation(
        self, holding: holdings.Holding, reason: str, now: datetime.datetime
    ) -> None:
        """End the grants of a previous incarnation of a target, and release the target.

        The new incarnation may have executed a recent start. Such a grant is orphaned, so that it
        ends only when its lease must have expired.
        """
        lease_expires_at = now + timings.LEASE_OVER_AFTER
        for grant in holding.sent_grants():
            if not holding.was_running_at_last_reply(grant):
                holding.remove(grant)
                self.orphans.add(grant, lease_expires_at)
        self._end_grants(holding, reason)
        self.release_target(holding)

    def _end_grants(self, holding: holdings.Holding, reason: str) -> None:
        for grant in list(holding.grants_by_id.values()):
            how = runs.RunEnd.LOST if grant.is_sent() else runs.RunEnd.REFUSED
            self.end_grant(holding, grant, how, reason)

    def release_target(self, holding: holdings.Holding) -> None:
        """Release a target; the next claim's token fences off all requests sent so far."""
        self._tokens.raise_floor(holding.target.id, holding.token)
        self._remove_holding(holding)

    def handle_wrong_instance(self, holding: holdings.Holding, now: datetime.datetime) -> None:
        """Release a target whose address now belongs to another instance.

        The other instance rejects all requests that are meant for this target.
        """
        self._end_grants(holding, "another instance answers at its address")
        self.release_target(holding)
        self._tokens.record_rejection(holding.target.id, holding.token, now)

    def _give_up(self, holding: holdings.Holding, reason: str, now: datetime.datetime) -> None:
        """Give up a target on which runs may continue until their leases expire."""
        for grant in holding.sent_grants():
            self.orphans.add(grant, holding.lease_expires_at)
        self._mailbox.note(
            notes.NoteEvent.OWNER_CHANGED, target=holding.target.id, how="given up", reason=reason
        )
        self._remove_holding(holding)

    def _remove_holding(self, holding: holdings.Holding) -> None:
        self.holdings_by_target.pop(holding.target.id, None)
        self.targets_in_handover.discard(holding.target.id)

    # Capacity

    def ask(self, message: messages.Ask, now: datetime.datetime) -> None:
        """Handle a job's request for capacity."""
        self.lending.ask(message, self.usable(now), now)

    def serve(self, now: datetime.datetime) -> None:
        """Grant free capacity to pending requests."""
        if self.lending.requests:
            self.lending.serve(self.usable(now), now)

    def usable(self, now: datetime.datetime) -> list[holdings.Holding]:
        """Return the owned targets on which new runs may be started."""
        return [
            holding
            for holding in self.holdings_by_target.values()
            if holding.accepts_runs(now)
            and self.orders.is_fast_or_trial_due(holding, now)
            and holding.target.id not in self.targets_in_handover
            and holding.target.id not in self.listing.missing_since
        ]

    def release(self, message: messages.Release, now: datetime.datetime) -> None:
        """Take back unused grants."""
        self.lending.release(message)
        self.serve(now)

    def stop(self, message: messages.Stop, now: datetime.datetime) -> None:
        """Stop runs that their job no longer needs."""
        for grant_id in message.grants:
            found = self.lending.find(grant_id)
            if found is not None:
                self.orders.stop(found[0], found[1], "its job does not want it", now)
            elif grant_id not in self.orphans:
                lost = runs.RunEnd.LOST.value
                self._mailbox.send_end(message.sender, grant_id, lost)

    # Information for other nodes

    def held(self) -> dict[identifiers.TargetId, identifiers.FencingToken]:
        """Return the tokens of the targets that run only what this owner knows, by target."""
        return {
            target: holding.token
            for target, holding in self.holdings_by_target.items()
            if holding.state is holdings.HoldingState.HELD
        }

    def reaches_any(self, now: datetime.datetime) -> bool:
        """Return whether a target that this node owns has replied recently."""
        return any(
            holding.replied_at is not None and now - holding.replied_at < timings.DEAD_AFTER
            for holding in self.holdings_by_target.values()
        )

    def grants_of(self, node: identifiers.NodeId) -> list[identifiers.GrantId]:
        """Return the grants whose runs a node has requested and which may still be running."""
        used = [
            grant.id
            for holding in self.holdings_by_target.values()
            for grant in holding.sent_grants()
            if grant.node == node
        ]
        return used + self.orphans.for_node(node)

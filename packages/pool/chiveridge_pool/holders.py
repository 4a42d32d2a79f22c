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
        self._settled_at = started_at + timings.SETTLING_UNLISTED
        self._is_settled = False
        self._tokens = tokens.TokenSource(rng)
        self.orders = orders.Orders(mailbox, self, lag)
        self._starts = starts.Starts(mailbox, self, self.orders, lag)
        self.listing = listings.Listing()
        self.holdings_by_target: dict[identifiers.TargetId, holdings.Holding] = {}
        self.lending = lendings.Lending(
            self._own_id, mailbox, self.orders, self._starts, self.holdings_by_target
        )
        self.orphans = orphans.Orphans(mailbox)
        self._watch = watches.Watch(table, self.lending)
        self._candidates: ownerships.Candidates | None = None
        self.moving: set[identifiers.TargetId] = set()
        self.is_leaving = False

    # Targets and ownership

    def list_targets(self, listed: tuple[targets.Target, ...], now: datetime.datetime) -> None:
        """Replace the known targets with the list read from the platform."""
        self.listing.replace(listed, now)
        for target in listed:
            holding = self.holdings_by_target.get(target.id)
            if holding is not None:
                self._update(holding, target, now)

    def note_leaving(self, told: tuple[tuple[identifiers.TargetId, int], ...]) -> None:
        """Start no more runs on targets that a peer reports as draining."""
        for target in self.listing.note_leaving(told):
            holding = self.holdings_by_target.get(target.id)
            if holding is not None:
                holding.target = target

    def _update(
        self, holding: holdings.Holding, target: targets.Target, now: datetime.datetime
    ) -> None:
        is_reborn = bool(target.born and holding.born and target.born > holding.born)
        if is_reborn or target.address != holding.target.address:
            self.drop_life(holding, "the target started anew", now)
            return
        holding.target = target

    def tick(self, now: datetime.datetime) -> None:
        """Perform due claims, handovers, lease renewals, stops and expirations."""
        is_unfit = self.is_leaving or self._lag.is_slow
        candidates = ownerships.current(self._members, self._candidates, now, is_unfit=is_unfit)
        self._candidates = candidates
        self._drop_missing(now)
        for target in list(self.listing.by_id.values()):
            chosen = candidates.choose(target)
            holding = self.holdings_by_target.get(target.id)
            if holding is None:
                self._claim_if_due(target, candidates.is_own(chosen), now)
            else:
                self._hand_over_if_due(holding, chosen, candidates, now)
        for holding in list(self.holdings_by_target.values()):
            self.orders.tick(holding, now)
        self.orphans.tick(now)
        self._watch.tick(now)
        self.serve(now)

    def _drop_missing(self, now: datetime.datetime) -> None:
        for target_id in self.listing.gone(now):
            holding = self.holdings_by_target.get(target_id)
            if holding is not None and holding.grants_by_id and now < holding.lapses_at:
                continue
            self.listing.drop(target_id)
            if holding is not None:
                self._drop(holding, "the target is no longer listed", now)

    def _claim_if_due(
        self, target: targets.Target, is_chosen: bool, now: datetime.datetime
    ) -> None:
        if not is_chosen or not self._may_claim(now) or target.id in self.listing.missing_since:
            return
        if self._members.is_held(target.id, now):
            return
        if not self._tokens.may_claim(target.id, now) or not self._is_trusted(target, now):
            return
        holding = holdings.Holding(target, self._tokens.next(target.id, now), now)
        self._hold(holding, "claimed", now)

    def nodes_listed(self, now: datetime.datetime) -> None:
        """Shorten the startup wait, now that the complete list of nodes is known."""
        self._settled_at = min(self._settled_at, now + timings.SETTLING)

    def is_settling(self, now: datetime.datetime) -> bool:
        """Return whether this node has just started and may still find targets or peers."""
        return now < self._settled_at + timings.FIRST_HOLD and not self.reaches_any(now)

    def _may_claim(self, now: datetime.datetime) -> bool:
        """Return whether this node has heard all peers, or the startup wait has passed."""
        is_listed = self._settled_at - now <= timings.SETTLING
        if now >= self._settled_at or (is_listed and self._members.are_all_heard()):
            self._is_settled = True
        return self._is_settled

    def _is_trusted(self, target: targets.Target, now: datetime.datetime) -> bool:
        """Return whether this node hears enough peers to claim a target from a silent owner."""
        if self._members.has_majority(now):
            return True
        return target.zone == self._members.own_zone and self._members.has_zone_majority(now)

    def _hold(self, holding: holdings.Holding, how: str, now: datetime.datetime) -> None:
        self.holdings_by_target[holding.target.id] = holding
        self._mailbox.note(
            notes.NoteEvent.OWNER_CHANGED, target=holding.target.id, token=holding.token, how=how
        )
        self.orders.hold(holding, now)

    def _hand_over_if_due(
        self,
        holding: holdings.Holding,
        chosen: identifiers.Endpoint | None,
        candidates: ownerships.Candidates,
        now: datetime.datetime,
    ) -> None:
        target_id = holding.target.id
        heir = self._members.by_endpoint.get(chosen) if chosen is not None else None
        if candidates.is_own(chosen) or heir is None or not self._is_reached(heir, now):
            self.moving.discard(target_id)
            return
        self.moving.add(target_id)
        if holding.has_unsettled():
            return
        self._hand_over(holding, heir, now)

    def _is_reached(self, member: members.Member, now: datetime.datetime) -> bool:
        """Return whether messages pass in both directions between a member and this node."""
        return member.is_live(now) and self._own_id in member.hears

    def _hand_over(
        self, holding: holdings.Holding, heir: members.Member, now: datetime.datetime
    ) -> None:
        self._mailbox.send(heir.id, handovers.handover_of(holding, self._own_id))
        for node, moved in handovers.grants_by_node(holding).items():
            message = messages.Moved(sender=self._own_id, grants=moved, owner=heir.id)
            self._mailbox.send(node, message)
        self._mailbox.note(
            notes.NoteEvent.OWNER_CHANGED,
            target=holding.target.id,
            how="handed over",
            to=heir.endpoint,
        )
        self._forget(holding)

    def take_handover(self, message: messages.Handover, now: datetime.datetime) -> None:
        """Take over a target and its runs from another owner, under a higher fencing token."""
        known = self.holdings_by_target.get(message.target.id)
        if known is not None and known.token > message.token:
            return
        if known is not None:
            self._drop(known, "a higher token was handed over", now)
        target = self.listing.by_id.setdefault(message.target.id, message.target)
        token = self._tokens.next(target.id, now, above=message.token)
        holding = handovers.holding_of(message, target, token, now)
        holding.note_renewal(now)
        self._hold(holding, "taken over", now)

    # Replies from targets

    def hold_replied(self, event: events.HoldReplied, now: datetime.datetime) -> None:
        """Handle the reply to a hold request, or its failure."""
        holding = self._current(event.target, event.token)
        if holding is not None:
            self.orders.hold_replied(holding, event, now)
            self.serve(now)

    def start_replied(self, event: events.StartReplied, now: datetime.datetime) -> None:
        """Handle the reply to a start request, or its failure."""
        holding = self._current(event.target, event.token)
        if holding is None:
            return
        grant = holding.grants_by_id.get(event.grant)
        if grant is not None and grant.state is runs.GrantState.STARTING:
            self._starts.replied(holding, grant, event, now)

    def stop_replied(self, event: events.StopReplied, now: datetime.datetime) -> None:
        """Handle the reply to a stop request, or its failure."""
        holding = self._current(event.target, event.token)
        if holding is None:
            return
        if event.failure is events.Failure.FENCED:
            self.fenced(holding, now)
            return
        grant = holding.grants_by_id.get(event.grant)
        if grant is not None and event.failure is None:
            grant.is_confirmed_stopped = True
            grant.changed_at = now

    def _current(
        self, target: identifiers.TargetId, token: identifiers.FencingToken
    ) -> holdings.Holding | None:
        holding = self.holdings_by_target.get(target)
        return holding if holding is not None and holding.token == token else None

    def claimed(self, holding: holdings.Holding) -> None:
        """Record that a target has accepted this owner's token."""
        self._tokens.accepted(holding.target.id)

    def fenced(self, holding: holdings.Holding, now: datetime.datetime) -> None:
        """Give up a target that has seen a higher token."""
        self._tokens.refused(holding.target.id, holding.token, now)
        self._drop(holding, "a higher token is in use", now)

    def finish(
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

    def drop_life(self, holding: holdings.Holding, reason: str, now: datetime.datetime) -> None:
        """End the grants of a previous incarnation of a target, and release the target.

        The new incarnation may have executed a recent start. Such a grant is orphaned, so that it
        ends only when its lease must have expired.
        """
        lapses_at = now + timings.LEASE_OVER_AFTER
        for grant in holding.sent_grants():
            if not holding.ran_in_this_life(grant):
                holding.remove(grant)
                self.orphans.add(grant, lapses_at)
        self._end_grants(holding, reason)
        self.renounce(holding)

    def _end_grants(self, holding: holdings.Holding, reason: str) -> None:
        for grant in list(holding.grants_by_id.values()):
            how = runs.RunEnd.LOST if grant.is_sent() else runs.RunEnd.REFUSED
            self.finish(holding, grant, how, reason)

    def renounce(self, holding: holdings.Holding) -> None:
        """Release a target; the next claim's token fences off all requests sent so far."""
        self._tokens.exceed(holding.target.id, holding.token)
        self._forget(holding)

    def target_gone(self, holding: holdings.Holding, now: datetime.datetime) -> None:
        """Release a target whose address now belongs to another instance."""
        self._end_grants(holding, "another instance answers at its address")
        self.renounce(holding)
        self._tokens.refused(holding.target.id, holding.token, now)

    def _drop(self, holding: holdings.Holding, reason: str, now: datetime.datetime) -> None:
        """Give up a target on which runs may continue until their leases expire."""
        for grant in holding.sent_grants():
            self.orphans.add(grant, holding.lapses_at)
        self._mailbox.note(
            notes.NoteEvent.OWNER_CHANGED, target=holding.target.id, how="given up", reason=reason
        )
        self._forget(holding)

    def _forget(self, holding: holdings.Holding) -> None:
        self.holdings_by_target.pop(holding.target.id, None)
        self.moving.discard(holding.target.id)

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
            if holding.may_grant(now)
            and self.orders.may_use(holding, now)
            and holding.target.id not in self.moving
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
        return used + self.orphans.of(node)

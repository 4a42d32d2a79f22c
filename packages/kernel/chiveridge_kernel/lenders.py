"""Owner side of slot sharing: lends the slots of its targets, earliest due request first."""

import datetime

import msgspec

from chiveridge_kernel import (
    clocks,
    errors,
    fair_shares,
    free_slots,
    lending_exclusions,
    messages,
    owners,
    placements,
    requesters,
    slot_messages,
    slot_queues,
    slots,
    target_health,
    targets,
    vms,
)

SLOW_PROBE_INTERVAL = datetime.timedelta(seconds=5)
# Time for which a node is not lent slots of a target that it could not use.
UNREACHABLE_EXCLUSION_TIME = datetime.timedelta(seconds=1)


class Loan(msgspec.Struct, frozen=True):
    """Slots lent to a node: one for each entry of ``names``, and the serial number of the grant."""

    names: list[str]
    serial: int


class Lender:
    """Lends slots of the owned targets and tracks target health from the results of starts."""

    def __init__(self, starter: placements.TaskStarter, owner_table: owners.OwnerTable):
        self.ledger = slots.SlotLedger()
        self.queue = slot_queues.SlotQueue()
        self.target_health = target_health.TargetHealth(starter.target_table)
        self.breakers = self.target_health.breakers
        self.speeds = self.target_health.speeds
        self.shares = fair_shares.FairShares()
        self.requesters = requesters.RequesterTable(starter.members)
        self._starter = starter
        self._owner_table = owner_table
        self._next_slow_probe_by_target: dict[str, datetime.datetime] = {}
        self._owned_by_query: dict[slot_queues.TargetQuery, free_slots.Mask] = {}
        self._query_version: tuple[int, int] | None = None
        self._lending_exclusions = lending_exclusions.LendingExclusions()

    def refresh(self, now: datetime.datetime) -> None:
        """Adopt the current set of owned targets."""
        owned = self._owner_table.owned
        known = self._starter.target_table.vms_by_name
        others = set(self._starter.members.live_names()) - {self._starter.members.own_name}
        self.ledger.set_owned_targets({name: known[name] for name in owned}, others, now)
        self.target_health.set_owned_targets(owned, self.ledger.index)
        self._owned_by_query.clear()
        self.shares.divide(self.slot_count(), (), self.ledger.lent_by_team)

    def queue_request(self, request: slot_queues.WaitingRequest, now: datetime.datetime) -> None:
        """Queue a request of another node."""
        self.ledger.record_contact(request.node, now)
        if self.requesters.record_request(request.node):
            self.queue.drop_node(request.node)
        self.queue.put(request)

    def drop_departed_nodes(self) -> None:
        """Drop the requests of nodes that are dead, replaced or no longer listed."""
        for node in self.requesters.pop_departed():
            self.queue.drop_node(node)

    def expire(self, now: datetime.datetime) -> None:
        """Reclaim the slots of nodes that were silent for too long, and drop their requests."""
        for node in self.ledger.expire(now):
            # This node queues its own requests only once, so they must not be dropped.
            if node != self._starter.members.own_name:
                self.queue.drop_node(node)

    def free_count(self) -> int:
        """Count the free slots of healthy owned targets."""
        return self.ledger.index.count(self.target_health.healthy())

    def slot_count(self) -> int:
        """Count all slots of the owned targets."""
        return self.ledger.slot_count

    def lent_count(self, team: str) -> int:
        """Count the slots lent to a team."""
        return self.ledger.lent_by_team[team]

    def lend(
        self,
        node: str,
        query: slot_queues.TargetQuery,
        count: int,
        waited_ms: float,
        now: datetime.datetime,
    ) -> Loan:
        """Lend a node up to ``count`` slots, of healthy, then slow, then failing targets."""
        chosen: list[str] = []
        allowed = self._lendable_targets(node, query, now)
        for choose in (self._choose_healthy, self._choose_slow, self._choose_failing):
            if len(chosen) < count:
                chosen += choose(allowed, count - len(chosen), waited_ms, now)
        self.shares.update_credit(query.team, self.lent_count(query.team), now)
        return Loan(chosen, self.ledger.lend(node, query.team, chosen, now))

    def release(self, node: str, end: slot_messages.SlotEnd, now: datetime.datetime) -> None:
        """Take back a slot and record the outcome of its start."""
        self.shares.update_credit(end.team, self.lent_count(end.team), now)
        self.ledger.release(node, end.target, end.team, now)
        record = _RECORDERS_BY_OUTCOME.get(end.outcome)
        if record is not None and self.ledger.owns(end.target):
            record(self, end, node, now)
            self.target_health.update_target(end.target)

    def serve_queue(
        self, now: datetime.datetime, *, probing: bool = False
    ) -> list[tuple[slot_queues.WaitingRequest, Loan]]:
        """Lend free slots to queued requests; return the requests with their loans.

        Without ``probing``, stop when no healthy target has a free slot.
        """
        if probing:
            self._lending_exclusions.drop_expired(now)
        granted = []
        has_progress = len(self.queue) > 0
        while has_progress and (probing or self.free_count() > 0):
            has_progress = False
            for head in self._ranked_heads(now):
                loan = self._lend_to(head, now)
                if loan.names:
                    granted.append((head, loan))
                    has_progress = True
                    break
        return granted

    def _owned_targets(self, query: slot_queues.TargetQuery) -> free_slots.Mask:
        """Return the owned targets that match a query, whatever their state."""
        version = (self._starter.reach.version, self._starter.target_table.list_version)
        if version != self._query_version:
            self._query_version = version
            self._owned_by_query.clear()
        found = self._owned_by_query.get(query)
        if found is None:
            found = self.ledger.index.mask_of(vm.name for vm in self.targets_of(query))
            self._owned_by_query[query] = found
        return found

    def _ranked_heads(self, now: datetime.datetime) -> list[slot_queues.WaitingRequest]:
        heads = self.queue.heads()
        if len(heads) > 1:
            waiting_teams = {head.query.team for head in heads}
            self.shares.divide(self.slot_count(), waiting_teams, self.ledger.lent_by_team)
        return slot_queues.order_by_rank(
            heads, lambda team: self.shares.rank(team, self.lent_count(team), now)
        )

    def _lend_to(self, head: slot_queues.WaitingRequest, now: datetime.datetime) -> Loan:
        waited_ms = clocks.to_epoch_ms(now) - head.arrived_at_ms
        loan = self.lend(head.node, head.query, head.wanted, waited_ms, now)
        if loan.names:
            self.queue.record_grant(head, len(loan.names))
        return loan

    def targets_of(self, query: slot_queues.TargetQuery) -> tuple[vms.Vm, ...]:
        """Return the targets that match a query, whichever node owns them."""
        needs = messages.TaskSpec(
            memory_mb=query.memory_mb, cores=query.cores, accelerators=query.accelerators
        )
        try:
            return self._starter.reach.candidates(query.team, query.selector).fitting_vms(needs)
        except errors.RefusedError:
            return ()

    def _choose_healthy(
        self, allowed: free_slots.Mask, count: int, waited_ms: float, now: datetime.datetime
    ) -> list[str]:
        """Choose slots of healthy targets, those with the most free slots first."""
        return self.ledger.index.spread(allowed & self.target_health.healthy(), count)

    def _choose_slow(
        self, allowed: free_slots.Mask, count: int, waited_ms: float, now: datetime.datetime
    ) -> list[str]:
        """Choose slow targets if waiting cost more than their delay, or for occasional probes."""
        chosen: list[str] = []
        for name in self.ledger.index.names_in(allowed & self.target_health.slow()):
            penalty_ms = (self.speeds.slowdown(name) - 1.0) * self.speeds.mean_run_ms()
            free = self.ledger.free(name)
            if waited_ms >= penalty_ms:
                chosen += [name] * min(free, count - len(chosen))
            elif free and len(chosen) < count and self._claim_slow_probe(name, now):
                chosen.append(name)
        return chosen

    def _choose_failing(
        self, allowed: free_slots.Mask, count: int, waited_ms: float, now: datetime.datetime
    ) -> list[str]:
        """Choose one slot of each failing target whose probe is due."""
        chosen: list[str] = []
        for name in self.ledger.index.names_in(allowed & self.target_health.failing()):
            if len(chosen) >= count:
                break
            if self.ledger.free(name) and self.breakers.claim_probe(name, now):
                chosen.append(name)
        return chosen

    def _lendable_targets(
        self, node: str, query: slot_queues.TargetQuery, now: datetime.datetime
    ) -> free_slots.Mask:
        eligible = self._owned_targets(query)
        excluded = self._lending_exclusions.excluded_targets(node, now)
        return eligible & ~self.ledger.index.mask_of(excluded) if excluded else eligible

    def _claim_slow_probe(self, name: str, now: datetime.datetime) -> bool:
        next_probe_at = self._next_slow_probe_by_target.get(name, now)
        if next_probe_at > now:
            return False
        self._next_slow_probe_by_target[name] = now + SLOW_PROBE_INTERVAL
        return True

    def _record_success(
        self, end: slot_messages.SlotEnd, node: str, now: datetime.datetime
    ) -> None:
        started_at = now - datetime.timedelta(milliseconds=end.run_ms)
        self.breakers.record_success(end.target, end.team, started_at)
        self.speeds.observe_target_run(end.target, end.team, end.run_ms)

    def _record_failure(
        self, end: slot_messages.SlotEnd, node: str, now: datetime.datetime
    ) -> None:
        self.breakers.record_failure(end.target, end.team, len(self._owner_table.owned), now)

    def _record_unusable(
        self, end: slot_messages.SlotEnd, node: str, now: datetime.datetime
    ) -> None:
        # Recorded for this node only: a target that it cannot reach may be reachable from others.
        self._lending_exclusions.add(node, end.target, now + UNREACHABLE_EXCLUSION_TIME)

    def _record_leaving(
        self, end: slot_messages.SlotEnd, node: str, now: datetime.datetime
    ) -> None:
        self._starter.target_table.exclude_until(end.target, now + targets.LEAVING_REPORT_TTL)


_RECORDERS_BY_OUTCOME = {
    "succeeded": Lender._record_success,
    "failed": Lender._record_failure,
    "refused": Lender._record_unusable,
    "lost": Lender._record_unusable,
    "not_started": Lender._record_unusable,
    "unusable": Lender._record_unusable,
    "leaving": Lender._record_leaving,
}

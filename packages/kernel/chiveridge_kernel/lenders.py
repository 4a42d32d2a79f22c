"""The owner's side of slot sharing: lends the slots of its targets, oldest job first."""

import datetime

import msgspec

from chiveridge_kernel import (
    clocks,
    errors,
    free_slots,
    messages,
    owners,
    placements,
    refusals,
    requesters,
    shares,
    slot_messages,
    slotqueues,
    slots,
    targets,
    tiers,
    vms,
)

SLOW_PROBE_INTERVAL = datetime.timedelta(seconds=5)
UNREACHABLE_TIME = datetime.timedelta(seconds=1)


class Loan(msgspec.Struct, frozen=True):
    """Slots lent to a node: one for each target named, and the serial number of the grant."""

    names: list[str]
    serial: int


class Lender:
    """Lends slots of the owned targets and learns from what comes back."""

    def __init__(self, starter: placements.Starter, owner_table: owners.OwnerTable):
        self.ledger = slots.SlotLedger()
        self.queue = slotqueues.SlotQueue()
        self.tiers = tiers.Tiers(starter.target_table)
        self.breakers = self.tiers.breakers
        self.speeds = self.tiers.speeds
        self.shares = shares.Shares()
        self.requesters = requesters.Requesters(starter.members)
        self._starter = starter
        self._owner_table = owner_table
        self._next_slow_probe_by_target: dict[str, datetime.datetime] = {}
        self._owned_by_query: dict[slotqueues.Query, free_slots.Mask] = {}
        self._query_version: tuple[int, int] | None = None
        self._refusals = refusals.Refusals()

    def refresh(self, now: datetime.datetime) -> None:
        """Take the targets that this node owns now."""
        owned = self._owner_table.owned
        known = self._starter.target_table.vms_by_name
        others = set(self._starter.members.live_names()) - {self._starter.members.own_name}
        self.ledger.set_owned_targets({name: known[name] for name in owned}, others, now)
        self.tiers.set_owned_targets(owned, self.ledger.index)
        self._owned_by_query.clear()
        self.shares.divide(self.slot_count(), (), self.ledger.lent_by_team)

    def queue_request(self, request: slotqueues.WaitingRequest, now: datetime.datetime) -> None:
        """Have a request of another node wait."""
        self.ledger.record_contact(request.node, now)
        if self.requesters.asked(request.node):
            self.queue.drop_node(request.node)
        self.queue.put(request)

    def drop_departed_nodes(self) -> None:
        """Drop the requests of nodes that are dead, replaced or not listed any more."""
        for node in self.requesters.take_gone():
            self.queue.drop_node(node)

    def expire(self, now: datetime.datetime) -> None:
        """Take back the slots of nodes that were silent for too long, and drop their requests."""
        for node in self.ledger.expire(now):
            # This node itself goes on waiting, as it puts its requests only once.
            if node != self._starter.members.own_name:
                self.queue.drop_node(node)

    def free_count(self) -> int:
        """Return the free slots of healthy owned targets."""
        return self.ledger.index.count(self.tiers.healthy())

    def slot_count(self) -> int:
        """Return all slots of the owned targets."""
        return self.ledger.slot_count

    def lent_count(self, team: str) -> int:
        """Return the slots lent to a team."""
        return self.ledger.lent_by_team[team]

    def lend(
        self,
        node: str,
        query: slotqueues.Query,
        count: int,
        waited_ms: float,
        now: datetime.datetime,
    ) -> Loan:
        """Lend a node up to ``count`` slots, as many as are free."""
        chosen: list[str] = []
        allowed = self._allowed(node, query, now)
        for choose in (self._choose_healthy, self._choose_slow, self._choose_failing):
            if len(chosen) < count:
                chosen += choose(allowed, count - len(chosen), waited_ms, now)
        self.shares.update_credit(query.team, self.lent_count(query.team), now)
        return Loan(chosen, self.ledger.lend(node, query.team, chosen, now))

    def release(self, node: str, end: slot_messages.SlotEnd, now: datetime.datetime) -> None:
        """Take a slot back and learn from the outcome of its start."""
        self.shares.update_credit(end.team, self.lent_count(end.team), now)
        self.ledger.release(node, end.target, end.team, now)
        record = _RECORDERS_BY_OUTCOME.get(end.outcome)
        if record is not None and self.ledger.owns(end.target):
            record(self, end, node, now)
            self.tiers.update_target(end.target)

    def serve_queue(
        self, now: datetime.datetime, *, probing: bool = False
    ) -> list[tuple[slotqueues.WaitingRequest, Loan]]:
        """Lend free slots to waiting requests; return what each was granted.

        Without ``probing`` only slots of healthy targets are looked for.
        """
        if probing:
            self._refusals.forget(now)
        granted = []
        progress = len(self.queue) > 0
        while progress and (probing or self.free_count() > 0):
            progress = False
            for head in self._heads(now):
                loan = self._lend_to(head, now)
                if loan.names:
                    granted.append((head, loan))
                    progress = True
                    break
        return granted

    def _eligible(self, query: slotqueues.Query) -> free_slots.Mask:
        """Return the owned targets that a query may use, without regard to their state."""
        version = (self._starter.reach.version, self._starter.target_table.list_version)
        if version != self._query_version:
            self._query_version = version
            self._owned_by_query.clear()
        found = self._owned_by_query.get(query)
        if found is None:
            found = self.ledger.index.mask_of(vm.name for vm in self.targets_of(query))
            self._owned_by_query[query] = found
        return found

    def _heads(self, now: datetime.datetime) -> list[slotqueues.WaitingRequest]:
        heads = self.queue.heads()
        if len(heads) > 1:
            waiting_teams = {head.query.team for head in heads}
            self.shares.divide(self.slot_count(), waiting_teams, self.ledger.lent_by_team)
        return slotqueues.order_by_rank(
            heads, lambda team: self.shares.rank(team, self.lent_count(team), now)
        )

    def _lend_to(self, head: slotqueues.WaitingRequest, now: datetime.datetime) -> Loan:
        waited_ms = clocks.to_epoch_ms(now) - head.arrived_at_ms
        loan = self.lend(head.node, head.query, head.wanted, waited_ms, now)
        if loan.names:
            self.queue.record_grant(head, len(loan.names))
        return loan

    def targets_of(self, query: slotqueues.Query) -> tuple[vms.Vm, ...]:
        """Return the targets that a query may use, whoever owns them."""
        needs = messages.TaskSpec(
            memory_mb=query.memory_mb, cores=query.cores, accelerators=query.accelerators
        )
        try:
            return self._starter.reach.candidates(query.team, query.selector).fitting(needs)
        except errors.RefusedError:
            return ()

    def _choose_healthy(
        self, allowed: free_slots.Mask, count: int, waited_ms: float, now: datetime.datetime
    ) -> list[str]:
        """Spread over the targets with most free slots."""
        return self.ledger.index.spread(allowed & self.tiers.healthy(), count)

    def _choose_slow(
        self, allowed: free_slots.Mask, count: int, waited_ms: float, now: datetime.datetime
    ) -> list[str]:
        """Use a slow target when waiting has cost more than it would, and for rare probes."""
        chosen: list[str] = []
        for name in self.ledger.index.names_in(allowed & self.tiers.slow()):
            penalty_ms = (self.speeds.ratio(name) - 1.0) * self.speeds.mean_run_ms()
            free = self.ledger.free(name)
            if waited_ms >= penalty_ms:
                chosen += [name] * min(free, count - len(chosen))
            elif free and len(chosen) < count and self._claim_slow_probe(name, now):
                chosen.append(name)
        return chosen

    def _choose_failing(
        self, allowed: free_slots.Mask, count: int, waited_ms: float, now: datetime.datetime
    ) -> list[str]:
        """Send one probe to each failing target whose time has come."""
        chosen: list[str] = []
        for name in self.ledger.index.names_in(allowed & self.tiers.failing()):
            if len(chosen) >= count:
                break
            if self.ledger.free(name) and self.breakers.take_probe(name, now):
                chosen.append(name)
        return chosen

    def _allowed(
        self, node: str, query: slotqueues.Query, now: datetime.datetime
    ) -> free_slots.Mask:
        eligible = self._eligible(query)
        refused = self._refusals.targets(node, now)
        return eligible & ~self.ledger.index.mask_of(refused) if refused else eligible

    def _claim_slow_probe(self, name: str, now: datetime.datetime) -> bool:
        due = self._next_slow_probe_by_target.get(name, now)
        if due > now:
            return False
        self._next_slow_probe_by_target[name] = now + SLOW_PROBE_INTERVAL
        return True

    def _record_success(
        self, end: slot_messages.SlotEnd, node: str, now: datetime.datetime
    ) -> None:
        started_at = now - datetime.timedelta(milliseconds=end.run_ms)
        self.breakers.succeeded(end.target, end.team, started_at)
        self.speeds.learn_target(end.target, end.team, end.run_ms)

    def _record_failure(
        self, end: slot_messages.SlotEnd, node: str, now: datetime.datetime
    ) -> None:
        self.breakers.failed(end.target, end.team, len(self._owner_table.owned), now)

    def _record_unusable(
        self, end: slot_messages.SlotEnd, node: str, now: datetime.datetime
    ) -> None:
        # Only for this node: a target that it cannot reach may be well for others.
        self._refusals.add(node, end.target, now + UNREACHABLE_TIME)

    def _record_leaving(
        self, end: slot_messages.SlotEnd, node: str, now: datetime.datetime
    ) -> None:
        self._starter.target_table.avoid(end.target, now + targets.LEAVING_EVIDENCE_LIFETIME)


_RECORDERS_BY_OUTCOME = {
    "succeeded": Lender._record_success,
    "failed": Lender._record_failure,
    "refused": Lender._record_unusable,
    "lost": Lender._record_unusable,
    "not_started": Lender._record_unusable,
    "unusable": Lender._record_unusable,
    "leaving": Lender._record_leaving,
}

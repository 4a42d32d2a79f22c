"""Requester side of slot sharing: requests slots from owners and starts tasks on them."""

import datetime
import heapq

from chiveridge_kernel import (
    clocks,
    demands,
    identifiers,
    jobs,
    lenders,
    owners,
    placements,
    slot_messages,
    slot_queues,
    slot_returns,
    vms,
)

# Time for the likely owners to answer before all owners are sent requests.
LIKELY_OWNER_TIMEOUT = datetime.timedelta(milliseconds=60)
# Time between requests to all owners, multiplied by the round up to MAX_RETRY_INTERVAL.
RETRY_INTERVAL = datetime.timedelta(milliseconds=500)
MAX_RETRY_INTERVAL = datetime.timedelta(seconds=4)
# Time for which an owner that did not answer is no longer taken for a likely owner.
UNRESPONSIVE_OWNER_TIME = datetime.timedelta(seconds=1)
MAX_REQUESTED_OWNERS = 12
MAX_UNANSWERED_ROUNDS = 3
"""Rounds of unanswered requests after which tasks start without slots granted by owners."""


class OwnerHints:
    """Estimates of the free slots of other owners; they are some milliseconds out of date."""

    def __init__(self):
        self._free_by_node: dict[str, int] = {}
        self._avoided_until_by_node: dict[str, datetime.datetime] = {}

    def update_free(self, node: str, free: int) -> None:
        """Store the free slots that an owner sent, and treat the owner as responsive again."""
        self._free_by_node[node] = free
        self._avoided_until_by_node.pop(node, None)

    def reserve(self, node: str, count: int) -> None:
        """Subtract requested slots from the estimate of an owner."""
        self._free_by_node[node] = max(self._free_by_node.get(node, 0) - count, 0)

    def free(self, node: str) -> int:
        """Return the estimated free slots of an owner, 1 when nothing is known of it."""
        return self._free_by_node.get(node, 1)

    def mark_unresponsive(self, node: str, now: datetime.datetime) -> None:
        """Exclude an owner that did not answer from the likely owners for a while."""
        self._avoided_until_by_node[node] = now + UNRESPONSIVE_OWNER_TIME

    def is_unresponsive(self, node: str, now: datetime.datetime) -> bool:
        """Return whether an owner recently failed to answer."""
        until = self._avoided_until_by_node.get(node)
        return until is not None and until > now


class Borrower:
    """Obtains slots for the waiting tasks of this node's jobs, from its own targets first."""

    def __init__(
        self,
        starter: placements.TaskStarter,
        owner_table: owners.OwnerTable,
        lender: lenders.Lender,
        returns: slot_returns.SlotReturns,
    ):
        self.table = demands.DemandTable()
        self.hints = OwnerHints()
        self._starter = starter
        self._owner_table = owner_table
        self._lender = lender
        self._returns = returns
        self._own_name = starter.members.own_name
        self._window = demands.RequestWindow()
        self._timeouts: list[tuple[datetime.datetime, int]] = []
        self._owners_by_query: dict[slot_queues.TargetQuery, list[str]] = {}
        self._query_version: tuple[int, int] | None = None

    def place_tasks(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Start tasks on free slots of own targets; request the rest from other owners."""
        for demand in self.table.add(job, self._lender.speeds.mean_run_ms()):
            self._serve_locally(demand, now)
            if demand.wanted:
                self._queue_locally(demand)
                self._request_likely_owners(demand, now)

    def handle_job_end(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Cancel the slot requests of a job."""
        for demand in self.table.remove_job(job):
            demand.tasks.clear()
            self._cancel_requests(demand, now)

    def owners_changed(self, now: datetime.datetime) -> None:
        """Repeat the pending requests to the current owners."""
        self._owners_by_query.clear()
        for demand in list(self.table.demands_by_id.values()):
            if demand.wanted and demand.request_rounds:
                self._request_all_owners(demand, now)

    def start_tasks(self, demand: demands.Demand, names: list[str], now: datetime.datetime) -> None:
        """Start tasks on granted slots, and return the slots that cannot be used."""
        table = self._starter.target_table
        for name in names:
            vm = table.vms_by_name.get(name)
            is_allowed = demand.job.candidates.contains(name)
            if vm is None or not is_allowed or not table.is_usable(name):
                self._release(name, demand.query.team, "unusable", now)
            elif demand.tasks and not demand.job.has_ended:
                self._starter.start(demand.tasks.popleft(), vm, now)
            else:
                self._release(name, demand.query.team, "", now)
        if not demand.wanted:
            self._cancel_requests(demand, now)

    def handle_grant(self, message: slot_messages.SlotGrant, now: datetime.datetime) -> None:
        """Start tasks on slots granted by another owner."""
        self.hints.update_free(message.sender, message.free)
        self._returns.record_grant(message.sender, message.serial)
        demand = self.table.find(message.demand_id)
        if demand is None:
            for name in message.targets:
                self._release(name, message.team, "", now)
            return
        demand.was_answered = True
        self.start_tasks(demand, message.targets, now)
        if demand.wanted and not demand.requested_all:
            self._request_all_owners(demand, now)

    def handle_timeouts(self, now: datetime.datetime) -> None:
        """Repeat overdue requests; start tasks without owners that repeatedly do not answer."""
        while self._timeouts and self._timeouts[0][0] <= now:
            due, demand_id = heapq.heappop(self._timeouts)
            demand = self.table.find(demand_id)
            if demand is None or demand.retry_at != due or not demand.wanted:
                continue
            if not demand.was_answered:
                for node in demand.requested_owners:
                    self.hints.mark_unresponsive(node, now)
            if not demand.was_answered and demand.request_rounds >= MAX_UNANSWERED_ROUNDS:
                self._start_without_owners(demand, now)
            if demand.wanted:
                self._request_all_owners(demand, now)

    def next_timeout(self) -> datetime.datetime | None:
        """Return when the next request times out, or None."""
        return self._timeouts[0][0] if self._timeouts else None

    def _serve_locally(self, demand: demands.Demand, now: datetime.datetime) -> None:
        waited_ms = clocks.to_epoch_ms(now) - demand.arrived_at_ms
        loan = self._lender.lend(self._own_name, demand.query, demand.wanted, waited_ms, now)
        self.start_tasks(demand, loan.names, now)

    def _queue_locally(self, demand: demands.Demand) -> None:
        self._lender.queue.put(
            slot_queues.WaitingRequest(
                node=self._own_name,
                demand_id=demand.demand_id,
                query=demand.query,
                arrived_at_ms=demand.arrived_at_ms,
                due_ms=demand.due_ms,
                wanted=demand.wanted,
            )
        )

    def _request_likely_owners(self, demand: demands.Demand, now: datetime.datetime) -> None:
        """Request slots from owners that probably have enough free; from all if these do not."""
        if not self._window.admit(demand):
            return
        remaining = demand.wanted
        planned = []
        for node in self._likely_owners(demand, now):
            if remaining <= 0:
                break
            planned.append((node, min(remaining, self.hints.free(node))))
            remaining -= self.hints.free(node)
        if remaining > 0:
            self._request_all_owners(demand, now)
            return
        demand.request_rounds += 1
        for node, count in planned:
            self._send_request(demand, node, count)
        self._set_timeout(demand, now + LIKELY_OWNER_TIMEOUT)

    def _request_all_owners(self, demand: demands.Demand, now: datetime.datetime) -> None:
        if not self._window.admit(demand):
            return
        demand.requested_all = True
        demand.request_rounds += 1
        demand.was_answered = False
        for node in self._other_owners(demand.query)[:MAX_REQUESTED_OWNERS]:
            self._send_request(demand, node, demand.wanted)
        delay = min(RETRY_INTERVAL * demand.request_rounds, MAX_RETRY_INTERVAL)
        self._set_timeout(demand, now + delay)

    def _set_timeout(self, demand: demands.Demand, due: datetime.datetime) -> None:
        demand.retry_at = due
        heapq.heappush(self._timeouts, (due, demand.demand_id))

    def _start_without_owners(self, demand: demands.Demand, now: datetime.datetime) -> None:
        """Start tasks on targets on which this node itself runs fewer starts than there are slots.

        The owners are unreachable, but the targets may be reachable. In the worst case a target
        is given more tasks than it has slots.
        """
        counts = self._starter.start_counts_by_target
        while demand.tasks:
            usable = self._starter.usable_targets(demand.job, demand.tasks[0])
            found = [vm for vm in usable if counts.get(vm.name, 0) < vm.slots]
            if not found:
                return
            vm = min(self._starter.rng.choices(found, k=2), key=lambda vm: counts.get(vm.name, 0))
            self._starter.start(demand.tasks.popleft(), vm, now)
        self._cancel_requests(demand, now)

    def _likely_owners(self, demand: demands.Demand, now: datetime.datetime) -> list[str]:
        """Return owners estimated to have free slots: own domain first, then most free slots."""
        found = [
            node
            for node in self._other_owners(demand.query)
            if self.hints.free(node) > 0 and not self.hints.is_unresponsive(node, now)
        ]
        return sorted(
            found, key=lambda node: (not self._is_in_own_domain(node), -self.hints.free(node))
        )

    def _other_owners(self, query: slot_queues.TargetQuery) -> list[str]:
        """Return the other nodes that own targets matching a query, in random order."""
        version = (self._starter.reach.version, self._starter.target_table.list_version)
        if version != self._query_version:
            self._query_version = version
            self._owners_by_query.clear()
        found = self._owners_by_query.get(query)
        if found is None:
            targets = self._lender.targets_of(query)
            names = {self._owner_table.owner_by_target.get(vm.name) for vm in targets}
            found = sorted(names - {None, self._own_name})
            self._owners_by_query[query] = found
        self._starter.rng.shuffle(found)
        return found

    def _is_in_own_domain(self, node: str) -> bool:
        vm: vms.Vm | None = self._starter.members.find_vm(node)
        return vm is not None and vm.domain == self._starter.members.own_domain

    def _send_request(self, demand: demands.Demand, node: str, count: int) -> None:
        query = demand.query
        self.hints.reserve(node, count)
        self._returns.schedule_reports(node)
        demand.requested_owners.add(node)
        message = slot_messages.SlotRequest(
            sender=self._own_name,
            demand_id=demand.demand_id,
            team=query.team,
            selector=query.selector,
            wanted=count,
            arrived_at_ms=demand.arrived_at_ms,
            due_ms=demand.due_ms,
            memory_mb=query.memory_mb,
            cores=query.cores,
            accelerators=query.accelerators,
        )
        self._returns.send(node, message)

    def _cancel_requests(self, demand: demands.Demand, now: datetime.datetime) -> None:
        """Cancel the requests of a demand, and send those of the next demand of the team."""
        self._lender.queue.cancel(self._own_name, demand.demand_id)
        if demand.requested_all:
            for node in demand.requested_owners:
                self._send_request(demand, node, 0)
        demand.requested_owners.clear()
        demand.requested_all = False
        demand.retry_at = None
        next_demand = self._window.release(demand)
        if next_demand is not None:
            self._request_all_owners(next_demand, now)

    def _release(
        self, name: str, team: identifiers.TeamName, outcome: str, now: datetime.datetime
    ) -> None:
        self._returns.release(
            slot_messages.SlotEnd(identifiers.TargetName(name), team, outcome), now
        )

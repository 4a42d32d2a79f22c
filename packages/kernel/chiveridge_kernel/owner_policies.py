"""The ``owners`` policy: every target has one owner node, which lends its slots.

A node starts tasks on free slots of its own targets at once, without a message. For the rest it
asks other owners, first those that probably have free slots, then all of them; owners serve the
oldest job first. See ``docs/design/placement.md``.
"""

import collections
import datetime
import functools
import heapq

from chiveridge_kernel import (
    actions,
    borrowers,
    clocks,
    events,
    identifiers,
    jobs,
    lenders,
    owners,
    peers,
    placements,
    slotqueues,
    vms,
)

SECOND_REPORT_DELAY = datetime.timedelta(milliseconds=100)
REPORT_INTERVAL = datetime.timedelta(seconds=1)
ASK_AGAIN_INTERVAL = datetime.timedelta(milliseconds=500)
REPORTS_AFTER_REQUEST = 3
"""Reports by which an owner is told of grants that were lost."""

MAX_ASKED_NODES = 12


@placements.register("owners")
class OwnersPolicy(placements.Policy):
    """Shares exact knowledge of free slots at the price of a short trip when it is needed."""

    def __init__(self, starter: placements.Starter):
        super().__init__(starter)
        self.owner_table = owners.OwnerTable(starter.members, starter.target_table)
        self.lender = lenders.Lender(starter, self.owner_table)
        self.demands = borrowers.DemandTable()
        self.hints = borrowers.OwnerHints()
        self._own_name = starter.members.own_name
        self._last_serial_by_owner: dict[str, int] = {}
        self._reports_due_by_owner: dict[str, int] = {}
        self._report_at: datetime.datetime | None = None
        self._timeouts: list[tuple[datetime.datetime, int]] = []
        self._ends_by_owner: dict[str, list[peers.SlotEnd]] = {}
        self._owners_by_query: dict[slotqueues.Query, list[str]] = {}
        self._query_version: tuple[int, int] | None = None

    def job_waiting(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Start what own slots allow and ask other owners for the rest."""
        self._refresh(now)
        for demand in self.demands.add(job, self.lender.speeds.mean_run_ms()):
            self._serve_here(demand, now)
            if demand.wanted:
                self._ask(demand, now)

    def start_ended(
        self,
        task: jobs.Task,
        vm: vms.Vm,
        report: events.LeaseReported | None,
        now: datetime.datetime,
    ) -> None:
        """Give the slot back to its owner, with what the start showed."""
        outcome, run_ms = _describe(report)
        team = task.job.team
        if report is not None and report.outcome is events.LeaseOutcome.SUCCEEDED:
            self.lender.speeds.learn_team(team, run_ms)
        self._give_back(vm.name, team, outcome, run_ms, now)

    def job_ended(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Withdraw what was asked for the job."""
        for demand in self.demands.remove_job(job):
            self._withdraw(demand)

    def targets_changed(self, waiting: list[jobs.Job], now: datetime.datetime) -> None:
        """Serve what waits with targets that became usable."""
        self._refresh(now)
        self._serve_queue(now)

    def received(self, message: peers.PeerMessage, now: datetime.datetime) -> None:
        """Handle a message about slots."""
        self._refresh(now)
        _receive(message, self, now)

    def ticked(self, now: datetime.datetime) -> None:
        """Handle time limits and report held slots."""
        self._refresh(now)
        self.lender.ledger.settle(now)
        self.lender.ledger.expire(now)
        self._serve_queue(now, probing=True)
        self._handle_timeouts(now)
        if self._report_at is None or self._report_at <= now:
            self._report_at = now + REPORT_INTERVAL
            self._report(now)

    def next_wakeup(self) -> datetime.datetime | None:
        """Return when an owner's answer or a settling time is due."""
        timeout = self._timeouts[0][0] if self._timeouts else None
        moments = (timeout, self.lender.ledger.next_settling(), self._report_at)
        return min((moment for moment in moments if moment is not None), default=None)

    def flush(self) -> None:
        """Send the slots given back during one event together."""
        if not self._ends_by_owner:
            return
        free = self.lender.free_count()
        for owner, ends in self._ends_by_owner.items():
            self._send(owner, peers.SlotReturn(sender=self._own_name, ends=ends, free=free))
        self._ends_by_owner = {}

    def handle_request(self, message: peers.SlotRequest, now: datetime.datetime) -> None:
        """Lend what is free at once, and queue the rest."""
        self.lender.queue.cancel(message.sender, message.demand_id)
        if message.wanted <= 0:
            return
        query = slotqueues.Query(
            message.team,
            message.selector,
            message.memory_mb,
            message.cores,
            message.accelerators,
        )
        waited_ms = clocks.to_epoch_ms(now) - message.arrived_at_ms
        loan = self.lender.lend(message.sender, query, message.wanted, waited_ms, now)
        self._grant(message.sender, message.demand_id, loan)
        self.lender.queue.put(
            slotqueues.Waiting(
                node=message.sender,
                demand_id=message.demand_id,
                query=query,
                arrived_at_ms=message.arrived_at_ms,
                due_ms=message.due_ms,
                wanted=message.wanted - len(loan.names),
            )
        )

    def handle_grant(self, message: peers.SlotGrant, now: datetime.datetime) -> None:
        """Start tasks on the slots lent, and give back those no longer needed."""
        self.hints.learn(message.sender, message.free)
        self._last_serial_by_owner[message.sender] = message.serial
        demand = self.demands.demands_by_id.get(message.demand_id)
        if demand is None:
            for name in message.targets:
                self._give_back(name, identifiers.TeamName(""), "", 0.0, now)
            return
        self._start(demand, message.targets, now)
        if not demand.wanted:
            self._withdraw(demand, but=message.sender)
        elif not demand.asked_all:
            self._ask_all(demand, now)

    def handle_return(self, message: peers.SlotReturn, now: datetime.datetime) -> None:
        """Take slots back and lend them on."""
        self.hints.learn(message.sender, message.free)
        for end in message.ends:
            self.lender.ended(message.sender, end.target, end.team, end.outcome, end.run_ms, now)
        self._serve_queue(now)

    def handle_report(self, message: peers.SlotReport, now: datetime.datetime) -> None:
        """Correct the ledger by a holder's own account."""
        self.hints.learn(message.sender, message.free)
        self.lender.ledger.report(message.sender, message.last_serial, message.held_by_target, now)
        self._serve_queue(now)

    def _refresh(self, now: datetime.datetime) -> None:
        if not self.owner_table.refresh():
            return
        self.lender.refresh(now)
        self._owners_by_query.clear()
        # Every owner hears from every holder, so that it need not wait for silent ones.
        for owner in set(self.owner_table.owner_by_target.values()) - {self._own_name}:
            self._reports_due_by_owner[owner] = REPORTS_AFTER_REQUEST
        self._report(now)
        self._report_at = now + SECOND_REPORT_DELAY
        for demand in list(self.demands.demands_by_id.values()):
            if demand.wanted:
                demand.asked_all = False
                self._ask(demand, now)

    def _serve_here(self, demand: borrowers.Demand, now: datetime.datetime) -> None:
        waited_ms = clocks.to_epoch_ms(now) - demand.arrived_at_ms
        loan = self.lender.lend(self._own_name, demand.query, demand.wanted, waited_ms, now)
        self._start(demand, loan.names, now)

    def _start(self, demand: borrowers.Demand, names: list[str], now: datetime.datetime) -> None:
        table = self.starter.target_table
        for name in names:
            vm = table.vms_by_name.get(name)
            is_allowed = name in demand.job.candidates.names
            if vm is None or not is_allowed or not table.is_usable(name):
                self._give_back(name, demand.query.team, "unusable", 0.0, now)
            elif demand.tasks and not demand.job.ended:
                self.starter.start(demand.tasks.popleft(), vm, now)
            else:
                self._give_back(name, demand.query.team, "", 0.0, now)

    def _ask(self, demand: borrowers.Demand, now: datetime.datetime) -> None:
        """Ask the owners that probably have enough free slots; all when they are too few."""
        self._queue_here(demand)
        missing = demand.wanted
        likely = []
        for node in self._likely_owners(demand, now):
            if missing <= 0:
                break
            likely.append((node, min(missing, self.hints.free(node))))
            missing -= self.hints.free(node)
        if missing > 0:
            self._ask_all(demand, now)
            return
        for node, count in likely:
            self._request(demand, node, count)
        self._set_timeout(demand, now + borrowers.ANSWER_TIME)

    def _set_timeout(self, demand: borrowers.Demand, due: datetime.datetime) -> None:
        demand.ask_all_at = due
        heapq.heappush(self._timeouts, (due, demand.demand_id))

    def _ask_all(self, demand: borrowers.Demand, now: datetime.datetime) -> None:
        demand.asked_all = True
        self._set_timeout(demand, now + ASK_AGAIN_INTERVAL)
        for node in self._other_owners(demand.query)[:MAX_ASKED_NODES]:
            self._request(demand, node, demand.wanted)

    def _queue_here(self, demand: borrowers.Demand) -> None:
        self.lender.queue.put(
            slotqueues.Waiting(
                node=self._own_name,
                demand_id=demand.demand_id,
                query=demand.query,
                arrived_at_ms=demand.arrived_at_ms,
                due_ms=demand.due_ms,
                wanted=demand.wanted,
            )
        )

    def _likely_owners(self, demand: borrowers.Demand, now: datetime.datetime) -> list[str]:
        """Return owners with free slots, those of this domain first, then by free slots."""
        found = [
            node
            for node in self._other_owners(demand.query)
            if self.hints.free(node) > 0 and not self.hints.is_silent(node, now)
        ]
        return sorted(found, key=lambda node: (not self._is_near(node), -self.hints.free(node)))

    def _other_owners(self, query: slotqueues.Query) -> list[str]:
        """Return the other nodes that own a target the query may use, in a random order."""
        version = (self.starter.reach.version, self.starter.target_table.list_version)
        if version != self._query_version:
            self._query_version = version
            self._owners_by_query.clear()
        found = self._owners_by_query.get(query)
        if found is None:
            candidates = self.starter.reach.candidates(query.team, query.selector)
            by_target = self.owner_table.owner_by_target
            names = {by_target.get(vm.name) for vm in candidates.vms}
            found = sorted(names - {None, self._own_name})
            self._owners_by_query[query] = found
        self.starter.rng.shuffle(found)
        return found

    def _is_near(self, node: str) -> bool:
        vm = self.starter.members.find(node)
        return vm is not None and vm.domain == self.starter.members.own_domain

    def _request(self, demand: borrowers.Demand, node: str, count: int) -> None:
        query = demand.query
        self.hints.spend(node, count)
        self._reports_due_by_owner[node] = REPORTS_AFTER_REQUEST
        demand.asked_nodes.add(node)
        message = peers.SlotRequest(
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
        self._send(node, message)

    def _withdraw(self, demand: borrowers.Demand, but: str = "") -> None:
        """Cancel what was asked for a demand; the owner that just granted it all knows."""
        self.lender.queue.cancel(self._own_name, demand.demand_id)
        for node in demand.asked_nodes - {but} if demand.asked_all else ():
            self._request(demand, node, 0)
        demand.asked_nodes.clear()
        demand.ask_all_at = None

    def _grant(self, node: str, demand_id: int, loan: lenders.Loan) -> None:
        message = peers.SlotGrant(
            sender=self._own_name,
            demand_id=demand_id,
            serial=loan.serial,
            targets=loan.names,
            free=self.lender.free_count(),
        )
        self._send(node, message)

    def _give_back(
        self,
        name: str,
        team: identifiers.TeamName,
        outcome: str,
        run_ms: float,
        now: datetime.datetime,
    ) -> None:
        owner = self.owner_table.owner_by_target.get(name)
        if owner == self._own_name:
            self.lender.ended(self._own_name, name, team, outcome, run_ms, now)
            self._serve_queue(now)
        elif owner is not None:
            end = peers.SlotEnd(identifiers.TargetName(name), team, outcome, run_ms)
            self._ends_by_owner.setdefault(owner, []).append(end)

    def _serve_queue(self, now: datetime.datetime, *, probing: bool = False) -> None:
        for waiting, loan in self.lender.serve_queue(now, probing=probing):
            if waiting.node != self._own_name:
                self._grant(waiting.node, waiting.demand_id, loan)
                continue
            demand = self.demands.demands_by_id.get(waiting.demand_id)
            if demand is None:
                for name in loan.names:
                    self.lender.ledger.give_back(self._own_name, name, now)
                continue
            self._start(demand, loan.names, now)
            if not demand.wanted:
                self._withdraw(demand)

    def _handle_timeouts(self, now: datetime.datetime) -> None:
        while self._timeouts and self._timeouts[0][0] <= now:
            due, demand_id = heapq.heappop(self._timeouts)
            demand = self.demands.demands_by_id.get(demand_id)
            if demand is None or demand.ask_all_at != due or not demand.wanted:
                continue
            if not demand.asked_all:
                for node in demand.asked_nodes:
                    self.hints.silent(node, now)
            self._ask_all(demand, now)

    def _report(self, now: datetime.datetime) -> None:
        """Tell every owner which of its slots this node holds."""
        held_by_owner: dict[str, dict[str, int]] = collections.defaultdict(dict)
        for target, count in self.starter.in_flight_by_target.items():
            owner = self.owner_table.owner_by_target.get(target)
            if owner is not None:
                held_by_owner[owner][target] = count
        own = held_by_owner.pop(self._own_name, {})
        ledger = self.lender.ledger
        holder = ledger.holders_by_node.get(self._own_name)
        ledger.report(self._own_name, holder.serial if holder else 0, own, now)
        free = self.lender.free_count()
        for owner in self._reports_due_by_owner.keys() | held_by_owner.keys():
            message = peers.SlotReport(
                sender=self._own_name,
                last_serial=self._last_serial_by_owner.get(owner, 0),
                held_by_target=held_by_owner.get(owner, {}),
                free=free,
            )
            self._send(owner, message)
        self._reports_due_by_owner = {
            owner: count - 1 for owner, count in self._reports_due_by_owner.items() if count > 1
        }

    def _send(self, node: str, message: peers.PeerMessage) -> None:
        vm = self.starter.members.find(node)
        if vm is not None:
            self.starter.outbox.append(actions.SendToPeer(peer=vm, message=message))


@functools.singledispatch
def _receive(message: peers.PeerMessage, policy: OwnersPolicy, now: datetime.datetime) -> None:
    """Handle a message about slots; others are for other parts of the kernel."""


@_receive.register
def _(message: peers.SlotRequest, policy: OwnersPolicy, now: datetime.datetime) -> None:
    policy.handle_request(message, now)


@_receive.register
def _(message: peers.SlotGrant, policy: OwnersPolicy, now: datetime.datetime) -> None:
    policy.handle_grant(message, now)


@_receive.register
def _(message: peers.SlotReturn, policy: OwnersPolicy, now: datetime.datetime) -> None:
    policy.handle_return(message, now)


@_receive.register
def _(message: peers.SlotReport, policy: OwnersPolicy, now: datetime.datetime) -> None:
    policy.handle_report(message, now)


def _describe(report: events.LeaseReported | None) -> tuple[str, float]:
    if report is None:
        return "", 0.0
    if report.reason == "leaving":
        return "leaving", 0.0
    return report.outcome.value, report.run_ms

"""The ``owners`` policy: every target has one owner node, which lends the target's slots.

A node starts tasks on free slots of its own targets at once, without a message. For further tasks
it requests slots from other owners: first from those that probably have free slots, then from
all of them. Owners serve the request with the earliest due time first, fairly between teams.
See ``docs/design/placement.md``.
"""

import datetime
import functools

from chiveridge_kernel import (
    actions,
    borrowers,
    clocks,
    events,
    identifiers,
    indirect_probes,
    jobs,
    lenders,
    owners,
    peers,
    placements,
    slot_messages,
    slot_queues,
    slot_returns,
    slots,
    suspicions,
    target_messages,
    vms,
)


@placements.register("owners")
class OwnersPolicy(placements.Policy):
    """Assigns slots exactly, at the cost of a round trip when another node owns the target."""

    def __init__(self, starter: placements.TaskStarter):
        super().__init__(starter)
        self.owner_table = owners.OwnerTable(starter.members, starter.target_table)
        self.lender = lenders.Lender(starter, self.owner_table)
        self.returns = slot_returns.SlotReturns(starter, self.owner_table, self.lender)
        self.borrower = borrowers.Borrower(starter, self.owner_table, self.lender, self.returns)
        self.suspicions = suspicions.Suspicions(starter)
        self.indirect_probes = indirect_probes.IndirectProbes(starter, suspicions.PROBE_TIMEOUT)
        self._own_name = starter.members.own_name

    def place_tasks(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Start tasks on free slots of own targets; request the rest from other owners."""
        self._refresh(now)
        self.borrower.place_tasks(job, now)

    def handle_start_end(
        self,
        task: jobs.Task,
        vm: vms.Vm,
        report: events.LeaseReported | None,
        now: datetime.datetime,
    ) -> None:
        """Return the slot to its owner, with the outcome and run time of the start."""
        end = _slot_end_of(task, vm, report)
        if report is not None and report.outcome is events.LeaseOutcome.SUCCEEDED:
            self.lender.speeds.observe_team_run(end.team, end.run_ms)
        self.suspicions.record_own_outcome(end.outcome, now)
        if self.returns.release(end, now):
            self.suspicions.record_start_outcome(self._own_name, end, now)
            self._serve_queue(now)

    def handle_probe_result(self, event: events.TargetProbed, now: datetime.datetime) -> None:
        """Resume or stop lending the slots of a target after this node probed it."""
        self.indirect_probes.handle_probe_result(event.target, event.is_reachable)
        self.suspicions.handle_probe_result(event.target, event.is_reachable, now)
        self._serve_queue(now)

    def handle_job_end(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Cancel the slot requests of the job."""
        self.borrower.handle_job_end(job, now)

    def handle_target_changes(self, waiting: list[jobs.Job], now: datetime.datetime) -> None:
        """Serve queued requests with the targets that became usable."""
        self._refresh(now)
        self._serve_queue(now)

    def handle_message(self, message: peers.PeerMessage, now: datetime.datetime) -> None:
        """Handle a message about slots or probes of targets."""
        self._refresh(now)
        _receive(message, self, now)

    def handle_tick(self, now: datetime.datetime) -> None:
        """Handle time limits and send slot reports."""
        self._refresh(now)
        self.lender.ledger.settle(now)
        self.lender.expire(now)
        self.lender.drop_departed_nodes()
        self.suspicions.tick(now)
        self.indirect_probes.drop_expired(now)
        self._serve_queue(now, probing=True)
        self.borrower.handle_timeouts(now)
        self.returns.report_if_due(now)

    def next_wakeup_at(self) -> datetime.datetime | None:
        """Return when the next request timeout, settling time, report or suspicion check is due."""
        moments = (
            self.borrower.next_timeout(),
            self.lender.ledger.next_settling_at(),
            self.returns.next_report_at(),
            self.suspicions.next_wakeup_at(),
        )
        return clocks.earliest(moments)

    def flush(self) -> None:
        """Send the slots returned during one event, in one message to each owner."""
        self.returns.flush()

    def handle_request(self, message: slot_messages.SlotRequest, now: datetime.datetime) -> None:
        """Lend the free slots at once, and queue the request for the remaining ones."""
        self.lender.queue.cancel(message.sender, message.demand_id)
        if message.wanted <= 0:
            return
        query = slot_queues.TargetQuery(
            message.team,
            message.selector,
            message.memory_mb,
            message.cores,
            message.accelerators,
        )
        waited_ms = clocks.to_epoch_ms(now) - message.arrived_at_ms
        loan = self.lender.lend(message.sender, query, message.wanted, waited_ms, now)
        self._grant(message.sender, message.demand_id, query.team, loan)
        request = slot_queues.WaitingRequest(
            node=message.sender,
            demand_id=message.demand_id,
            query=query,
            arrived_at_ms=message.arrived_at_ms,
            due_ms=message.due_ms,
            wanted=message.wanted - len(loan.names),
        )
        self.lender.queue_request(request, now)

    def handle_grant(self, message: slot_messages.SlotGrant, now: datetime.datetime) -> None:
        """Start tasks on slots granted by another owner."""
        self.borrower.handle_grant(message, now)

    def handle_return(self, message: slot_messages.SlotReturn, now: datetime.datetime) -> None:
        """Take back slots and lend them to queued requests."""
        self.borrower.hints.update_free(message.sender, message.free)
        for end in message.ends:
            self.lender.release(message.sender, end, now)
            if self.lender.ledger.owns(end.target):
                self.suspicions.record_start_outcome(message.sender, end, now)
        self._serve_queue(now)

    def handle_report(self, message: slot_messages.SlotReport, now: datetime.datetime) -> None:
        """Correct the ledger by the report of a holder."""
        self.borrower.hints.update_free(message.sender, message.free)
        held = slots.slot_counts_of(message.held_by_target, message.teams_by_target)
        self.lender.ledger.apply_report(message.sender, message.last_serial, held, now)
        self._serve_queue(now)

    def handle_probe_reply(
        self, message: target_messages.ProbeReply, now: datetime.datetime
    ) -> None:
        """Resume or stop lending the slots of a target after another node probed it."""
        self.suspicions.handle_probe_reply(message, now)
        self._serve_queue(now)

    def _refresh(self, now: datetime.datetime) -> None:
        changes = self.owner_table.refresh()
        if changes is None:
            return
        self.lender.refresh(now)
        known = self.starter.target_table.vms_by_name
        self.suspicions.retain({name: known[name] for name in self.owner_table.owned})
        self.lender.drop_departed_nodes()
        if changes.uninformed or changes.owners_changed:
            self.returns.report_to(changes.uninformed, now)
            self.borrower.owners_changed(now)

    def _grant(
        self, node: str, demand_id: int, team: identifiers.TeamName, loan: lenders.Loan
    ) -> None:
        message = slot_messages.SlotGrant(
            sender=self._own_name,
            demand_id=demand_id,
            team=team,
            serial=loan.serial,
            targets=loan.names,
            free=self.lender.free_count(),
        )
        self.returns.send(node, message)

    def _serve_queue(self, now: datetime.datetime, *, probing: bool = False) -> None:
        for request, loan in self.lender.serve_queue(now, probing=probing):
            if request.node == self._own_name:
                self._start_on_own_slots(request, loan, now)
            else:
                self._grant(request.node, request.demand_id, request.query.team, loan)

    def _start_on_own_slots(
        self, request: slot_queues.WaitingRequest, loan: lenders.Loan, now: datetime.datetime
    ) -> None:
        demand = self.borrower.table.find(request.demand_id)
        if demand is not None:
            self.borrower.start_tasks(demand, loan.names, now)
            return
        for name in loan.names:
            self.lender.release(
                self._own_name, slot_messages.SlotEnd(name, request.query.team), now
            )


@functools.singledispatch
def _receive(message: peers.PeerMessage, policy: OwnersPolicy, now: datetime.datetime) -> None:
    """Handle a message about slots or probes; other parts of the kernel handle all others."""


@_receive.register
def _(message: slot_messages.SlotRequest, policy: OwnersPolicy, now: datetime.datetime) -> None:
    policy.handle_request(message, now)


@_receive.register
def _(message: slot_messages.SlotGrant, policy: OwnersPolicy, now: datetime.datetime) -> None:
    policy.handle_grant(message, now)


@_receive.register
def _(message: slot_messages.SlotReturn, policy: OwnersPolicy, now: datetime.datetime) -> None:
    policy.handle_return(message, now)


@_receive.register
def _(message: slot_messages.SlotReport, policy: OwnersPolicy, now: datetime.datetime) -> None:
    policy.handle_report(message, now)


@_receive.register
def _(message: target_messages.ProbeRequest, policy: OwnersPolicy, now: datetime.datetime) -> None:
    policy.indirect_probes.handle_request(message, now)


@_receive.register
def _(message: target_messages.ProbeReply, policy: OwnersPolicy, now: datetime.datetime) -> None:
    policy.handle_probe_reply(message, now)


def _slot_end_of(
    task: jobs.Task, vm: vms.Vm, report: events.LeaseReported | None
) -> slot_messages.SlotEnd:
    target = identifiers.TargetName(vm.name)
    if report is None or report.reason == actions.WITHDRAWN:
        return slot_messages.SlotEnd(target, task.job.team)
    if report.reason == "leaving":
        return slot_messages.SlotEnd(target, task.job.team, "leaving")
    return slot_messages.SlotEnd(target, task.job.team, report.outcome.value, report.run_ms)

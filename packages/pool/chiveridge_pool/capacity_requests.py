"""Capacity requests: which owners a job's coordinating node asks, for how much and when."""

import datetime

from chiveridge_kernel import clocks
from chiveridge_pool import (
    capacity_splits,
    crash_reports,
    identifiers,
    jobs,
    members,
    messages,
    outboxes,
    ranks,
    target_owners,
    timings,
)


class CapacityRequester:
    """Requests capacity for the tasks of the jobs that this node coordinates."""

    def __init__(
        self,
        table: members.Membership,
        outbox: outboxes.Outbox,
        target_owner: target_owners.TargetOwner,
        ranking: ranks.Ranks,
        reports: crash_reports.CrashReports,
    ):
        self._members = table
        self._outbox = outbox
        self._target_owner = target_owner
        self._ranks = ranking
        self._crash_reports = reports

    def request_capacity(
        self, job: jobs.Job, demand: jobs.CapacityDemand, now: datetime.datetime
    ) -> None:
        """Ask owners that probably have enough free capacity, or all owners if it falls short."""
        demand.short_owners.clear()
        if demand.is_isolated:
            self.request_from_all_owners(job, demand, now)
            return
        self._request_where_free(job, demand, len(demand.waiting_tasks), now)

    def handle_shortage(
        self,
        job: jobs.Job,
        demand: jobs.CapacityDemand,
        owner: identifiers.NodeId,
        now: datetime.datetime,
    ) -> None:
        """Ask other owners for what an owner does not have; its part stays queued there."""
        if demand.request_all_at is None:
            return
        demand.short_owners.add(owner)
        member = self._members.by_id.get(owner)
        if member is not None:
            member.free_capacities.clear()
        missing = min(demand.requested_by_owner.get(owner, 0), len(demand.waiting_tasks))
        self._request_where_free(job, demand, missing, now)

    def _request_where_free(
        self, job: jobs.Job, demand: jobs.CapacityDemand, count: int, now: datetime.datetime
    ) -> None:
        shares = capacity_splits.split_among_owners(
            count,
            demand.request.size,
            self._members,
            self._target_owner,
            now,
            excluded=demand.short_owners,
        )
        if sum(share for _, share in shares) < count:
            self.request_from_all_owners(job, demand, now)
            return
        for node, share in shares:
            outstanding = demand.requested_by_owner.get(node, 0)
            self._send(job, demand, node, outstanding + share, now, wants_answer=True)
        demand.request_all_at = now + timings.REQUEST_ALL_AFTER

    def request_from_all_owners(
        self, job: jobs.Job, demand: jobs.CapacityDemand, now: datetime.datetime
    ) -> None:
        """Ask several owners for capacity for all waiting tasks."""
        demand.request_all_at = None
        need = len(demand.waiting_tasks)
        if demand.is_isolated:
            probation_ends_at = job.probation_ends_at(now)
            if probation_ends_at is not None:
                demand.request_all_at = probation_ends_at
                return
            need = 1
        for node in self._nodes_to_ask(now):
            self._send(job, demand, node, need, now)

    def _nodes_to_ask(self, now: datetime.datetime) -> list[identifiers.NodeId]:
        """Return the owners of this domain, and those of other domains that have the most room.

        Owners hear those of other domains; any other node knows what the owners of its domain tell.
        """
        live = self._members.live_owners(now)
        near = [member.id for member in live if not member.is_remote]
        if self._target_owner.owned_by_target:
            near.insert(0, self._members.own_id)
        rooms = dict(self._members.remote_room_by_id)
        rooms.update((member.id, member.free_cpu()) for member in live if member.is_remote)
        far = sorted(rooms.keys() - near, key=lambda node: (-rooms[node], node))
        return near + far[: timings.MAX_REMOTE_OWNERS]

    def tick(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Ask all owners for the steps for which this is due."""
        for demand in job.startable_demands():
            if self._must_request_from_all(job, demand, now):
                self.request_from_all_owners(job, demand, now)

    def _must_request_from_all(
        self, job: jobs.Job, demand: jobs.CapacityDemand, now: datetime.datetime
    ) -> bool:
        """Tell whether all owners must be asked.

        That is the case when the selected owners did not grant enough in time, when the job has
        changed its priority group since the last request, or when a live owner was not asked yet.
        """
        if demand.request_all_at is not None:
            return now >= demand.request_all_at
        if demand.priority_group != self._ranks.priority_group(job, now):
            return True
        nodes = self._nodes_to_ask(now)
        return any(node not in demand.requested_by_owner for node in nodes)

    def withdraw(self, job: jobs.Job, demand: jobs.CapacityDemand) -> None:
        """Withdraw the outstanding requests for a step."""
        message = messages.CapacityWithdrawal(
            sender=self._members.own_id,
            job=job.request.id,
            step=demand.number,
            is_isolated=demand.is_isolated,
        )
        for node, outstanding in demand.requested_by_owner.items():
            if outstanding > 0:
                self._outbox.send(node, message)
        demand.requested_by_owner.clear()
        demand.request_all_at = None

    def record_grants(
        self, demand: jobs.CapacityDemand, owner: identifiers.NodeId, count: int
    ) -> None:
        """Subtract grants received from what is outstanding at their owner."""
        demand.requested_by_owner[owner] = max(demand.requested_by_owner.get(owner, 0) - count, 0)

    def _rank(
        self, job: jobs.Job, demand: jobs.CapacityDemand, now: datetime.datetime
    ) -> tuple[float, float]:
        """Return the rank of a demand; tasks that probably crash their target are served last."""
        history = self._crash_reports.history
        if demand.is_isolated:
            next_task = job.task_name(demand.waiting_tasks[-1])
            if history.is_likely_cause(job.request.id, next_task, now):
                return ranks.LAST
        return self._ranks.rank(job, now)

    def _send(
        self,
        job: jobs.Job,
        demand: jobs.CapacityDemand,
        node: identifiers.NodeId,
        count: int,
        now: datetime.datetime,
        *,
        wants_answer: bool = False,
    ) -> None:
        demand.requested_by_owner[node] = count
        demand.priority_group = self._ranks.priority_group(job, now)
        request = demand.request
        message = messages.CapacityRequest(
            sender=self._members.own_id,
            job=job.request.id,
            step=demand.number,
            rank=self._rank(job, demand, now),
            queue=job.request.queue,
            service=job.request.service,
            size=request.size,
            count=count,
            estimate_ms=clocks.to_ms(request.estimate),
            label=request.label,
            rack=request.rack,
            remote_factor=request.remote_factor,
            per_target=request.per_target,
            former_leader=job.former_leader,
            wants_answer=wants_answer,
            is_isolated=demand.is_isolated,
            avoided=demand.avoided_targets(),
        )
        self._outbox.send(node, message)

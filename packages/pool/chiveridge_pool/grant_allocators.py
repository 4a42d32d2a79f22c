"""Grants of the owned targets' capacity to the nodes that run jobs."""

import datetime
import itertools

from chiveridge_pool import (
    capacity_queues,
    end_proofs,
    faults,
    grants,
    identifiers,
    messages,
    orders,
    outboxes,
    owned_targets,
    run_ends,
    runs,
    starts,
    timings,
)


class GrantAllocator:
    """Grants capacity of the targets that this node owns."""

    def __init__(
        self,
        own_id: identifiers.NodeId,
        outbox: outboxes.Outbox,
        target_orders: orders.Orders,
        target_starts: starts.Starts,
        owned_by_target: dict[identifiers.TargetId, owned_targets.OwnedTarget],
        contained: faults.Faults,
        ends: run_ends.RunEnds,
    ):
        self._own_id = own_id
        self._outbox = outbox
        self._orders = target_orders
        self._starts = target_starts
        self._owned_by_target = owned_by_target
        self._faults = contained
        self._run_ends = ends
        self._grant_numbers = itertools.count(1)
        self.capacity_queue = capacity_queues.CapacityQueue()

    def request_capacity(
        self,
        message: messages.CapacityRequest,
        usable_targets: list[owned_targets.OwnedTarget],
        now: datetime.datetime,
    ) -> None:
        """Queue a job's request for capacity and serve it from what the others have left.

        Whatever frees capacity serves the whole queue.
        """
        queued = self.capacity_queue.put_or_replace(message)
        self._serve_one(queued, usable_targets, now)
        if message.wants_answer and queued.outstanding > 0:
            answer = messages.CapacityGranted(
                sender=self._own_id,
                job=message.job,
                step=message.step,
                grants=(),
                is_short=True,
                is_isolated=message.is_isolated,
            )
            self._outbox.send(message.sender, answer)

    def serve_requests(
        self, usable_targets: list[owned_targets.OwnedTarget], now: datetime.datetime
    ) -> None:
        """Grant free capacity to pending requests, in queue order."""
        if not usable_targets:
            return
        min_cpu = self.capacity_queue.min_cpu()
        unfit_sizes = capacity_queues.UnfitSizes()
        for request in self.capacity_queue.by_rank():
            if unfit_sizes.cover(request.message):
                continue
            outstanding = request.outstanding
            job = request.message.job
            if not self._faults.contain(
                "request", job, self._serve_one, request, usable_targets, now
            ):
                self.capacity_queue.remove(request)
            elif request.outstanding < outstanding:
                usable_targets = [t for t in usable_targets if t.free_cpu() >= min_cpu]
                if not usable_targets:
                    return
            if request.outstanding > 0:
                unfit_sizes.add(request.message)

    def _serve_one(
        self,
        request: capacity_queues.QueuedRequest,
        usable_targets: list[owned_targets.OwnedTarget],
        now: datetime.datetime,
    ) -> int:
        """Grant a request what there is room for, and return the number of grants."""
        capacity_request = request.message
        granted = []
        while request.outstanding > 0:
            owned = capacity_queues.choose_target(
                capacity_request, usable_targets, self._orders.preferences
            )
            if owned is None:
                break
            grant = self._reserve(capacity_request, owned, now)
            if not self._orders.is_fast_or_trial_due(owned, now):
                usable_targets.remove(owned)
            granted.append((grant.id, owned.target.id, owned.token))
            request.outstanding -= 1
        if granted:
            self.capacity_queue.remove_if_served(request)
            message = messages.CapacityGranted(
                sender=self._own_id,
                job=capacity_request.job,
                step=capacity_request.step,
                grants=tuple(granted),
                is_isolated=capacity_request.is_isolated,
            )
            self._outbox.send(capacity_request.sender, message)
        return len(granted)

    def _reserve(
        self,
        capacity_request: messages.CapacityRequest,
        owned: owned_targets.OwnedTarget,
        now: datetime.datetime,
    ) -> grants.Grant:
        grant = grants.Grant(
            grants.full_id(self._own_id, next(self._grant_numbers)),
            capacity_request.sender,
            capacity_request.job,
            capacity_request.step,
            capacity_request.queue,
            capacity_request.size,
            capacity_queues.declared_run_time(capacity_request, owned),
            now + timings.GRANT_RESERVATION_TIMEOUT,
        )
        grant.is_isolated = capacity_request.is_isolated
        self._orders.preferences.record_start(owned, grant)
        owned.add(grant)
        self._orders.record_use(owned, now)
        return grant

    def release(self, message: messages.GrantRelease) -> None:
        """Take back unused grants."""
        for grant_id in message.grants:
            found = self.find(grant_id)
            if found is not None and not found[1].is_sent():
                found[0].remove(found[1])

    def start(self, message: messages.StartRuns, now: datetime.datetime) -> None:
        """Start runs on granted capacity; refuse those whose grant has expired."""
        for grant_id, task, run in message.runs:
            found = self._find_unexpired(grant_id, now)
            if found is None:
                self._run_ends.report_unknown(
                    message.sender,
                    grant_id,
                    runs.RunEnd.REFUSED,
                    end_proofs.EndProof.GRANT_EXPIRED,
                )
                continue
            owned, grant = found
            if not grant.is_sent():
                grant.task, grant.run, grant.spec = task, run, message.spec
                grant.retry_by = now + datetime.timedelta(milliseconds=message.retry_slack_ms)
                self._starts.start(owned, grant, now)

    def _find_unexpired(
        self, grant_id: identifiers.GrantId, now: datetime.datetime
    ) -> tuple[owned_targets.OwnedTarget, grants.Grant] | None:
        """Return a grant and its target, or None; a paused owner finds requests before it ticks."""
        found = self.find(grant_id)
        if found is not None and not found[1].is_sent() and now >= found[1].expires_at:
            found[0].remove(found[1])
            return None
        return found

    def forget_node(self, node: identifiers.NodeId, now: datetime.datetime) -> None:
        """Drop the requests and stop the runs of a node that is dead or does not hear this one."""
        self.capacity_queue.forget_node(node)
        for owned in list(self._owned_by_target.values()):
            for grant in list(owned.grants_by_id.values()):
                if grant.node == node:
                    self._orders.stop(owned, grant, "its node is silent", now)

    def nodes(self) -> set[identifiers.NodeId]:
        """Return the nodes that have grants or pending requests."""
        nodes_with_grants = {
            grant.node
            for owned in self._owned_by_target.values()
            for grant in owned.grants_by_id.values()
        }
        return nodes_with_grants | self.capacity_queue.nodes()

    def find(
        self, grant_id: identifiers.GrantId
    ) -> tuple[owned_targets.OwnedTarget, grants.Grant] | None:
        """Return a grant and the target that it belongs to, or None."""
        for owned in self._owned_by_target.values():
            grant = owned.grants_by_id.get(grant_id)
            if grant is not None:
                return owned, grant
        return None

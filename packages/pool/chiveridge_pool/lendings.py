"""Grants of the owned targets' capacity to the nodes that run jobs."""

import datetime
import itertools

from chiveridge_pool import (
    grants,
    holdings,
    identifiers,
    mailboxes,
    messages,
    orders,
    requests,
    runs,
    starts,
    timings,
)


class GrantAllocator:
    """Grants capacity of the targets that this node owns."""

    def __init__(
        self,
        own_id: identifiers.NodeId,
        mailbox: mailboxes.Mailbox,
        target_orders: orders.Orders,
        target_starts: starts.Starts,
        holdings_by_target: dict[identifiers.TargetId, holdings.Holding],
    ):
        self._own_id = own_id
        self._mailbox = mailbox
        self._orders = target_orders
        self._starts = target_starts
        self._holdings_by_target = holdings_by_target
        self._grant_numbers = itertools.count(1)
        self.requests = requests.Requests()

    def ask(
        self, message: messages.Ask, usable: list[holdings.Holding], now: datetime.datetime
    ) -> None:
        """Queue a job's request for capacity and serve the queue."""
        self.requests.put(message)
        self.serve(usable, now)

    def serve(self, usable: list[holdings.Holding], now: datetime.datetime) -> None:
        """Grant free capacity to pending requests, in queue order."""
        for request in self.requests.in_order():
            if not usable:
                return
            self._serve_one(request, usable, now)

    def _serve_one(
        self, request: requests.Request, usable: list[holdings.Holding], now: datetime.datetime
    ) -> None:
        ask = request.ask
        granted = []
        while request.left > 0:
            holding = requests.choose_target(ask, usable)
            if holding is None:
                break
            grant = self._reserve(ask, holding, now)
            if not self._orders.is_fast_or_trial_due(holding, now):
                usable.remove(holding)
            granted.append((grant.id, holding.target.id, holding.token))
            request.left -= 1
        if granted:
            self.requests.settle(request)
            message = messages.Granted(
                sender=self._own_id, job=ask.job, step=ask.step, grants=tuple(granted)
            )
            self._mailbox.send(ask.sender, message)

    def _reserve(
        self, ask: messages.Ask, holding: holdings.Holding, now: datetime.datetime
    ) -> grants.Grant:
        grant = grants.Grant(
            grants.full_id(self._own_id, next(self._grant_numbers)),
            ask.sender,
            ask.job,
            ask.step,
            ask.queue,
            ask.size,
            requests.expected_time(ask, holding),
            now + timings.GRANT_LIFE,
        )
        holding.add(grant)
        self._orders.record_use(holding, now)
        return grant

    def release(self, message: messages.Release) -> None:
        """Take back unused grants."""
        for grant_id in message.grants:
            found = self.find(grant_id)
            if found is not None and not found[1].is_sent():
                found[0].remove(found[1])

    def start(self, message: messages.Start, now: datetime.datetime) -> None:
        """Start runs on granted capacity; refuse those whose grant no longer exists."""
        for grant_id, task, run in message.runs:
            found = self.find(grant_id)
            if found is None:
                self._mailbox.send_end(message.sender, grant_id, runs.RunEnd.REFUSED.value)
                continue
            holding, grant = found
            if not grant.is_sent():
                grant.task, grant.run, grant.spec = task, run, message.spec
                self._starts.start(holding, grant, now)

    def forget_node(self, node: identifiers.NodeId, now: datetime.datetime) -> None:
        """Drop the requests and stop the runs of a node that is dead or does not hear this one."""
        self.requests.forget_node(node)
        for holding in list(self._holdings_by_target.values()):
            for grant in list(holding.grants_by_id.values()):
                if grant.node == node:
                    self._orders.stop(holding, grant, "its node is silent", now)

    def nodes(self) -> set[identifiers.NodeId]:
        """Return the nodes that have grants or pending requests."""
        nodes_with_grants = {
            grant.node
            for holding in self._holdings_by_target.values()
            for grant in holding.grants_by_id.values()
        }
        return nodes_with_grants | self.requests.nodes()

    def find(self, grant_id: identifiers.GrantId) -> tuple[holdings.Holding, grants.Grant] | None:
        """Return a grant and the target that it belongs to, or None."""
        for holding in self._holdings_by_target.values():
            grant = holding.grants_by_id.get(grant_id)
            if grant is not None:
                return holding, grant
        return None

"""Monitors the nodes that have runs here, and stops the runs of dead nodes."""

import datetime

from chiveridge_pool import grant_allocators, identifiers, members, timings


class NodeMonitor:
    """Monitors the nodes that have grants or pending requests at this owner."""

    def __init__(self, table: members.Membership, allocator: grant_allocators.GrantAllocator):
        self._members = table
        self._allocator = allocator
        self._related_since: dict[identifiers.NodeId, datetime.datetime] = {}

    def tick(self, now: datetime.datetime) -> None:
        """Stop the runs of nodes that are dead or do not hear this one."""
        nodes = self._allocator.nodes() - {self._members.own_id}
        self._related_since = {node: self._related_since.get(node, now) for node in nodes}
        for node in sorted(nodes):
            if not self._may_keep_runs(node, now):
                self._allocator.forget_node(node, now)

    def _may_keep_runs(self, node: identifiers.NodeId, now: datetime.datetime) -> bool:
        since = self._related_since[node]
        member = self._members.by_id.get(node)
        is_heard = member is not None and member.was_heard_within(timings.DEAD_AFTER, now)
        if not is_heard:
            return self._may_still_be_heard(member, since, now)
        is_new = now - max(member.joined_at, since) < timings.DEAD_AFTER
        return is_new or member.hears_this_node

    def _may_still_be_heard(
        self, member: members.Member | None, since: datetime.datetime, now: datetime.datetime
    ) -> bool:
        """Return whether a node whose runs were handed over has time left for its first message.

        A node that was silent while this one watched it has none.
        """
        if member is not None and member.is_suspected:
            return False
        return now - since < timings.FIRST_HEARTBEAT_TIMEOUT

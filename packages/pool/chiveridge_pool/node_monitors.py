"""Monitors the nodes that have runs here, and stops the runs of dead nodes."""

import datetime

from chiveridge_pool import grant_allocators, identifiers, members, timings


class NodeMonitor:
    """Monitors the nodes that have grants or pending requests at this owner."""

    def __init__(self, table: members.Membership, allocator: grant_allocators.GrantAllocator):
        self._members = table
        self._allocator = allocator
        self._unheard_since: dict[identifiers.NodeId, datetime.datetime] = {}

    def tick(self, now: datetime.datetime) -> None:
        """Stop the runs of nodes that are dead or do not hear this one."""
        nodes = self._allocator.nodes() - {self._members.own_id}
        self._unheard_since = {
            node: since for node, since in self._unheard_since.items() if node in nodes
        }
        for node in sorted(nodes):
            if not self._may_keep_runs(node, now):
                self._allocator.forget_node(node, now)

    def _may_keep_runs(self, node: identifiers.NodeId, now: datetime.datetime) -> bool:
        member = self._members.find_live(node, now)
        if member is None and node not in self._members.heard_by_id:
            since = self._unheard_since.setdefault(node, now)
            return now - since < timings.FIRST_HEARTBEAT_TIMEOUT
        if member is None:
            return False
        is_new = now - member.joined_at < timings.DEAD_AFTER
        return is_new or self._members.own_id in member.heard_nodes

"""Runs on targets that this node gave up; they may continue until their leases expire."""

import datetime

from chiveridge_pool import grants, identifiers, outboxes, runs


class OrphanedGrants:
    """Grants of targets no longer owned here, each with its node and the end of its lease."""

    def __init__(self, outbox: outboxes.Outbox):
        self._outbox = outbox
        self._by_grant: dict[
            identifiers.GrantId, tuple[identifiers.NodeId, datetime.datetime, runs.RunEnd]
        ] = {}

    def __contains__(self, grant: identifiers.GrantId) -> bool:
        return grant in self._by_grant

    def add(
        self,
        grant: grants.Grant,
        lease_expires_at: datetime.datetime,
        how: runs.RunEnd = runs.RunEnd.LOST,
    ) -> None:
        """Add a grant of a target that was given up; ``how`` is reported when its lease ends."""
        self._by_grant[grant.id] = (grant.node, lease_expires_at, how)

    def by_node(self) -> dict[identifiers.NodeId, list[identifiers.GrantId]]:
        """Return, by node, the grants whose runs may still be running."""
        by_node: dict[identifiers.NodeId, list[identifiers.GrantId]] = {}
        for grant, (node, _, _) in self._by_grant.items():
            by_node.setdefault(node, []).append(grant)
        return by_node

    def tick(self, now: datetime.datetime) -> None:
        """Report the ends of runs to their jobs' nodes when their leases have expired."""
        for grant, (node, lease_expires_at, how) in list(self._by_grant.items()):
            if now >= lease_expires_at:
                del self._by_grant[grant]
                self._outbox.queue_end(node, grant, how.value)

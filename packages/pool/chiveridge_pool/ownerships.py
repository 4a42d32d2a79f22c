"""Assignment of targets to owners by rendezvous hashing over the owners of their failure domain.

Nodes with different membership views may assign a target differently for a while. The target's
fencing token then decides, so that a wrong view costs time but never lets two nodes control a
target.
"""

import datetime
import functools
from collections.abc import Iterable

from chiveridge_kernel import rendezvous_hashing
from chiveridge_pool import identifiers, members, targets

_score = functools.lru_cache(maxsize=65_536)(rendezvous_hashing.score)


class Assignments:
    """The owner assigned to each target; updated only when nodes or targets have changed."""

    def __init__(self, table: members.Membership):
        self._members = table
        self._revision = -1
        self._list_revision = -1
        self._domains_in_reach: frozenset[identifiers.DomainName] = frozenset()
        self._endpoint_by_target: dict[identifiers.TargetId, identifiers.Endpoint | None] = {}
        self.own_targets: list[targets.Target] = []

    def update(
        self, listed: Iterable[targets.Target], list_revision: int, now: datetime.datetime
    ) -> None:
        """Assign the targets anew if the owners, the list or the reach of domains have changed."""
        in_reach = self._find_domains_in_reach(now)
        revisions = (self._members.revision, list_revision, in_reach)
        if revisions == (self._revision, self._list_revision, self._domains_in_reach):
            return
        self._revision, self._list_revision, self._domains_in_reach = revisions
        own = self._members.own_endpoint
        self._endpoint_by_target = {target.id: self._choose(target) for target in listed}
        self.own_targets = [
            target for target in listed if self._endpoint_by_target[target.id] == own
        ]

    def _find_domains_in_reach(self, now: datetime.datetime) -> frozenset[identifiers.DomainName]:
        """Return the domains of which a node is heard, or none was silent yet."""
        live = {member.domain for member in self._members.live(now)}
        silent = {member.domain for member in self._members.watched() if member.is_suspected} - live
        return self._members.domains() - silent | {self._members.own_domain}

    def _choose(self, target: targets.Target) -> identifiers.Endpoint | None:
        """Return a node of the target's failure domain, or of another if none is in reach."""
        endpoints: Iterable[identifiers.Endpoint] = ()
        if target.domain in self._domains_in_reach:
            endpoints = self._members.owner_set(target.domain)
        if not endpoints:
            endpoints = [
                endpoint
                for domain in sorted(self._domains_in_reach)
                for endpoint in self._members.owner_set(domain)
            ]
        return max(endpoints, key=lambda endpoint: _score(endpoint, target.id), default=None)

    def endpoint_of(self, target: identifiers.TargetId) -> identifiers.Endpoint | None:
        """Return the node to which a target is assigned, or None if it is not known."""
        return self._endpoint_by_target.get(target)

"""Assignment of targets to owners by rendezvous hashing over the live nodes.

Nodes with different membership views may assign a target differently for a while. The target's
fencing token then decides, so that a wrong view costs time but never lets two nodes control a
target.
"""

import datetime
import functools

from chiveridge_kernel import rendezvous_hashing
from chiveridge_pool import identifiers, members, targets

_score = functools.lru_cache(maxsize=65_536)(rendezvous_hashing.score)


Candidate = tuple[identifiers.Endpoint, identifiers.DomainName]
"""Endpoint and failure domain of a node that may own targets."""


class Candidates:
    """The nodes that may own targets, and the assignment of targets to them."""

    def __init__(self, nodes: tuple[Candidate, ...], own: identifiers.Endpoint):
        self.nodes = nodes
        self._own = own
        self._by_domain: dict[identifiers.DomainName, list[identifiers.Endpoint]] = {}
        for endpoint, domain in nodes:
            self._by_domain.setdefault(domain, []).append(endpoint)
        self._all = [endpoint for endpoint, _ in nodes]
        self._owner_by_target: dict[
            tuple[identifiers.TargetId, identifiers.DomainName], identifiers.Endpoint | None
        ] = {}

    def choose(self, target: targets.Target) -> identifiers.Endpoint | None:
        """Return the owner assigned to a target: a node of its failure domain, if one is live."""
        key = target.id, target.domain
        if key not in self._owner_by_target:
            endpoints = self._by_domain.get(target.domain) or self._all
            self._owner_by_target[key] = max(
                endpoints, key=lambda endpoint: _score(endpoint, target.id), default=None
            )
        return self._owner_by_target[key]

    def is_own(self, endpoint: identifiers.Endpoint | None) -> bool:
        """Return whether an endpoint is this node's."""
        return endpoint == self._own


def current_candidates(
    table: members.Membership,
    known: Candidates | None,
    now: datetime.datetime,
    *,
    is_ineligible: bool,
) -> Candidates:
    """Return the current candidates; reuses ``known`` if the nodes have not changed."""
    nodes = tuple(
        (member.endpoint, member.domain) for member in table.live(now) if member.is_eligible()
    )
    if not is_ineligible:
        nodes += ((table.own_endpoint, table.own_domain),)
    if known is not None and known.nodes == nodes:
        return known
    return Candidates(nodes, table.own_endpoint)

"""Which node should hold which target: rendezvous hashing over the live nodes.

Nodes whose views differ may disagree for a while. The target's fencing token decides then, so that
a wrong view costs time and never lets two nodes give orders.
"""

import datetime
import functools

from chiveridge_kernel import scores
from chiveridge_pool import identifiers, members, targets

_score = functools.lru_cache(maxsize=65_536)(scores.score)


Node = tuple[identifiers.Endpoint, identifiers.ZoneName]
"""A node that may hold targets, and its failure domain."""


class Candidates:
    """The nodes that may hold targets, and what each of them should hold."""

    def __init__(self, nodes: tuple[Node, ...], own: identifiers.Endpoint):
        self.nodes = nodes
        self._own = own
        self._by_zone: dict[identifiers.ZoneName, list[identifiers.Endpoint]] = {}
        for endpoint, zone in nodes:
            self._by_zone.setdefault(zone, []).append(endpoint)
        self._all = [endpoint for endpoint, _ in nodes]
        self._chosen: dict[
            tuple[identifiers.TargetId, identifiers.ZoneName], identifiers.Endpoint | None
        ] = {}

    def choose(self, target: targets.Target) -> identifiers.Endpoint | None:
        """Return who should hold a target: a node of its failure domain, if one lives."""
        key = target.id, target.zone
        if key not in self._chosen:
            endpoints = self._by_zone.get(target.zone) or self._all
            self._chosen[key] = max(
                endpoints, key=lambda endpoint: _score(endpoint, target.id), default=None
            )
        return self._chosen[key]

    def is_own(self, endpoint: identifiers.Endpoint | None) -> bool:
        """Tell whether an endpoint is this node's."""
        return endpoint == self._own


def current(
    table: members.Members, known: Candidates | None, now: datetime.datetime, *, is_unfit: bool
) -> Candidates:
    """Return the candidates of this moment: those known already, if none came or went."""
    nodes = tuple((member.endpoint, member.zone) for member in table.live(now) if member.is_fit())
    if not is_unfit:
        nodes += ((table.own_endpoint, table.own_zone),)
    if known is not None and known.nodes == nodes:
        return known
    return Candidates(nodes, table.own_endpoint)

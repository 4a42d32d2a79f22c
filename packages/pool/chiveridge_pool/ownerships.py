"""Which node should hold which target: rendezvous hashing over the live nodes.

Nodes whose views differ may disagree for a while. The target's fencing token decides then, so that
a wrong view costs time and never lets two nodes give orders.
"""

import datetime
import functools

from chiveridge_kernel import scores
from chiveridge_pool import identifiers, members, targets

_score = functools.lru_cache(maxsize=65_536)(scores.score)


class Candidates:
    """The nodes that may hold targets at one moment, by failure domain."""

    def __init__(self, table: members.Members, now: datetime.datetime, *, is_unfit: bool):
        self._own = table.own_endpoint
        self._by_zone: dict[identifiers.ZoneName, list[identifiers.Endpoint]] = {}
        fit = [member for member in table.live(now) if member.is_fit()]
        for member in fit:
            self._by_zone.setdefault(member.zone, []).append(member.endpoint)
        if not is_unfit:
            self._by_zone.setdefault(table.own_zone, []).append(table.own_endpoint)
        self._all = [endpoint for zone in self._by_zone.values() for endpoint in zone]

    def choose(self, target: targets.Target) -> identifiers.Endpoint | None:
        """Return who should hold a target: a node of its failure domain, if one lives."""
        endpoints = self._by_zone.get(target.zone) or self._all
        return max(endpoints, key=lambda endpoint: _score(endpoint, target.id), default=None)

    def is_own(self, endpoint: identifiers.Endpoint | None) -> bool:
        """Tell whether an endpoint is this node's."""
        return endpoint == self._own

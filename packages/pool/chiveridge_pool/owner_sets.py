"""Chooses which nodes of a failure domain own its targets.

A few owners with many targets each know more free capacity exactly, and need fewer messages, than
many owners with few targets. All nodes choose the same ones as long as they know the same nodes.
"""

import functools
import math
from collections.abc import Iterable

from chiveridge_kernel import rendezvous_hashing
from chiveridge_pool import identifiers, members

TARGETS_PER_OWNER = 18
"""Targets of a domain for each of its owners."""

MIN_OWNERS = 3
"""Owners of a domain, so that the loss of one leaves most of its targets in use."""

_score = functools.lru_cache(maxsize=65_536)(rendezvous_hashing.score)


def owner_count(target_count: int) -> int:
    """Return how many owners a domain with this many targets has."""
    return max(math.ceil(target_count / TARGETS_PER_OWNER), MIN_OWNERS)


def choose(
    candidates: Iterable["members.Member"], domain: identifiers.DomainName, count: int
) -> tuple[identifiers.Endpoint, ...]:
    """Return the owners of a domain: the strongest nodes, in an order that is equal at all nodes.

    Nodes of the same strength are ordered by a hash, so that domains do not favour low addresses.
    """
    ranked = sorted(
        candidates, key=lambda member: (-member.strength, -_score(member.endpoint, domain))
    )
    return tuple(member.endpoint for member in ranked[:count])

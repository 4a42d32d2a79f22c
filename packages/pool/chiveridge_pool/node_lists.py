"""Nodes of the pool, as registered in the platform's store."""

import msgspec

from chiveridge_pool import identifiers


class ListedNode(msgspec.Struct, frozen=True, array_like=True):
    """A registered node.

    ``node`` and ``domain`` are empty for an endpoint of which nothing else is known. ``strength``
    is the processor share of its machine in hundredths of a core.
    """

    endpoint: identifiers.Endpoint
    node: identifiers.NodeId = identifiers.NodeId("")
    domain: identifiers.DomainName = identifiers.DomainName("")
    strength: int = 0

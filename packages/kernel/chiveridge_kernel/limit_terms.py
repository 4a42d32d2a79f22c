"""What a node and the keeper of a team's limit tell each other, one team at a time.

:mod:`limit_batches` puts it into messages.
"""

import msgspec

from chiveridge_kernel import identifiers

REPORT_REQUEST_SEQUENCE = 0
"""Sequence of a grant that answers no report: it allows nothing and asks for a report."""


class LimitReport(msgspec.Struct, frozen=True, kw_only=True):
    """Tells the keeper of a team's limit what a node uses and wants.

    ``sequence`` counts the reports of this incarnation; ``keeper_seen`` and ``serial_seen`` name
    the incarnation and the serial of the last grant that the sender follows. A grant that
    answers the report holds for ``lease_ms`` from when the report was sent.
    """

    sender: identifiers.NodeName
    incarnation: identifiers.Incarnation
    team: identifiers.TeamName
    sequence: int
    in_use: int
    wanted: int
    keeper_seen: str = ""
    serial_seen: int = 0
    lease_ms: int = 4000


class LimitGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Lets a node have ``allowed`` starts of a team in progress, for a lease.

    The lease counts from when the node sent the report ``sequence``; ``serial`` counts the
    changes of the grant.
    """

    sender: identifiers.NodeName
    incarnation: identifiers.Incarnation
    holder_incarnation: identifiers.Incarnation
    team: identifiers.TeamName
    sequence: int
    serial: int
    allowed: int

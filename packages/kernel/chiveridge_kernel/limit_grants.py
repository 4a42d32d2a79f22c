"""Reports and grants that a node and the allocator of a team's limit exchange, one per team.

:mod:`limit_batches` packs them into messages.
"""

import msgspec

from chiveridge_kernel import identifiers

REPORT_REQUEST_SEQUENCE = 0
"""Sequence of a grant that answers no report; it allows nothing and requests a report."""


class LimitReport(msgspec.Struct, frozen=True, kw_only=True):
    """A node's report to the allocator of a team's limit on its use and demand.

    ``in_use`` counts starts in progress, ``wanted`` the tasks that are held back. ``sequence``
    numbers the reports of this incarnation. ``allocator_seen`` and ``serial_seen`` are the
    allocator's incarnation and the serial of the last grant or request that the sender follows.
    A grant that answers the report is valid for ``lease_ms`` from the time the report was sent.
    """

    sender: identifiers.NodeName
    incarnation: identifiers.Incarnation
    team: identifiers.TeamName
    sequence: int
    in_use: int
    wanted: int
    allocator_seen: str = ""
    serial_seen: int = 0
    lease_ms: int = 4000


class LimitGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Permission for a node to have ``allowed`` starts of a team in progress during a lease.

    The lease runs from the time the node sent the report numbered ``sequence``. ``serial``
    increases with each change of the allowance.
    """

    sender: identifiers.NodeName
    incarnation: identifiers.Incarnation
    holder_incarnation: identifiers.Incarnation
    team: identifiers.TeamName
    sequence: int
    serial: int
    allowed: int

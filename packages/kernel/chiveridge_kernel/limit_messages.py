"""Messages between nodes about the limits of teams."""

from typing import Annotated

import msgspec

from chiveridge_kernel import identifiers

MAX_LIMIT_LEASE_MS = 600_000

# Short keys, because limit messages are a large part of the control traffic.
_LIMIT_KEYS_BY_FIELD = {
    "sender": "s",
    "incarnation": "i",
    "sequence": "q",
    "lease_ms": "d",
    "allocator_seen": "k",
    "uses": "u",
    "holder_incarnation": "h",
    "allowances": "a",
}


class LimitUse(msgspec.Struct, frozen=True, array_like=True):
    """The fields of a :class:`limit_grants.LimitReport` that are specific to one team."""

    team: identifiers.TeamName
    in_use: Annotated[int, msgspec.Meta(ge=0)]
    wanted: Annotated[int, msgspec.Meta(ge=0)]
    serial_seen: int


class LimitAllowance(msgspec.Struct, frozen=True, array_like=True):
    """The fields of a :class:`limit_grants.LimitGrant` that are specific to one team."""

    team: identifiers.TeamName
    sequence: int
    serial: int
    allowed: Annotated[int, msgspec.Meta(ge=0)]


class LimitBatch(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag="limits",
    rename=_LIMIT_KEYS_BY_FIELD.get,
):
    """Reports and grants for many teams, sent to one node.

    The fields have the same meaning as in the types of :mod:`limit_grants`.
    """

    sender: identifiers.NodeName
    incarnation: identifiers.Incarnation
    sequence: int = 0
    lease_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_LIMIT_LEASE_MS)] = 0
    allocator_seen: str = ""
    uses: list[LimitUse] = []
    holder_incarnation: identifiers.Incarnation = identifiers.Incarnation("")
    allowances: list[LimitAllowance] = []

"""Targets, as the platform lists them."""

import re
from typing import Annotated

import msgspec

from chiveridge_pool import addresses, identifiers, resources, value_ranges

_ID = re.compile(r"[!-~]{1,128}")
"""Ids are sent in HTTP headers and are parts of keys in the store, of at most 255 bytes."""

_MAX_LABELS = 100

# Nodes of an earlier version read these keys in messages.
_TARGET_KEYS_BY_FIELD = {
    "domain": "zone",
    "started_at_ms": "born",
}


class Target(msgspec.Struct, frozen=True, kw_only=True, rename=_TARGET_KEYS_BY_FIELD.get):
    """A target, as it registered itself.

    ``started_at_ms`` is its start time in Unix milliseconds, or 0 if unknown.

    :raises ValueError: if its id, address or labels cannot be used.
    """

    id: identifiers.TargetId
    service: Annotated[
        identifiers.ServiceName, msgspec.Meta(max_length=value_ranges.MAX_NAME_CHARACTERS)
    ]
    address: str
    domain: Annotated[
        identifiers.DomainName, msgspec.Meta(max_length=value_ranges.MAX_NAME_CHARACTERS)
    ]
    capacity: resources.Resources
    labels: Annotated[tuple[value_ranges.Name, ...], msgspec.Meta(max_length=_MAX_LABELS)] = ()
    is_draining: bool = False
    started_at_ms: value_ranges.Count = 0

    def __post_init__(self):
        if not _ID.fullmatch(self.id):
            raise ValueError(f"id {self.id[:80]!r} has other characters than visible ASCII")
        addresses.check(self.address)

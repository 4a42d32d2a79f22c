"""Targets, as the platform lists them."""

import msgspec

from chiveridge_pool import identifiers, resources

# Nodes of an earlier version read these keys in messages.
_TARGET_KEYS_BY_FIELD = {
    "domain": "zone",
    "started_at_ms": "born",
}


class Target(msgspec.Struct, frozen=True, kw_only=True, rename=_TARGET_KEYS_BY_FIELD.get):
    """A target, as it registered itself.

    ``started_at_ms`` is its start time in Unix milliseconds, or 0 if unknown.
    """

    id: identifiers.TargetId
    service: identifiers.ServiceName
    address: str
    domain: identifiers.DomainName
    capacity: resources.Resources
    labels: tuple[str, ...] = ()
    is_draining: bool = False
    started_at_ms: int = 0

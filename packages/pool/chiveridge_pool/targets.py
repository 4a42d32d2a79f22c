"""Targets, as the platform lists them."""

import msgspec

from chiveridge_pool import identifiers, resources


class Target(msgspec.Struct, frozen=True, kw_only=True):
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

"""What is known of targets from the platform's list."""

import msgspec

from chiveridge_pool import identifiers, resources


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """One target as it registered itself.

    ``born`` is the Unix millisecond of its start, 0 when it is unknown.
    """

    id: identifiers.TargetId
    service: identifiers.ServiceName
    address: str
    zone: identifiers.ZoneName
    capacity: resources.Resources
    labels: tuple[str, ...] = ()
    is_draining: bool = False
    born: int = 0

"""Splits capacity requests by the free capacity that owners have last reported."""

import datetime
from collections.abc import Container

from chiveridge_pool import identifiers, members, resources, target_owners


def take_capacity(free: list[resources.Resources], size: resources.Resources, count: int) -> int:
    """Subtract ``size`` from ``free`` in place up to ``count`` times; return how often it fits."""
    taken = 0
    for index, capacity in enumerate(free):
        fits = min(size.fit_count(capacity), count - taken)
        for _ in range(fits):
            capacity = capacity.minus(size)
        free[index] = capacity
        taken += fits
        if taken == count:
            break
    return taken


def split_among_owners(
    count: int,
    size: resources.Resources,
    table: members.Membership,
    target_owner: target_owners.TargetOwner,
    now: datetime.datetime,
    *,
    excluded: Container[identifiers.NodeId] = (),
) -> list[tuple[identifiers.NodeId, int]]:
    """Split tasks among owners that probably have capacity, but those ``excluded``.

    This node comes first, then the nodes of its failure domain. Among these an owner that has room
    for all remaining tasks is preferred. The capacity assigned is subtracted from what is known of
    the owners, until their next heartbeats.
    """
    shares = []
    remaining = count
    if table.own_id not in excluded:
        own_free = [owned.free() for owned in target_owner.usable_targets(now)]
        taken = take_capacity(own_free, size, count)
        shares.append((table.own_id, taken))
        remaining -= taken
    if remaining:
        owners = [owner for owner in table.live_owners(now) if owner.id not in excluded]
        for is_remote in (False, True):
            group = [owner for owner in owners if owner.is_remote is is_remote]
            remaining -= _take_from_group(group, size, remaining, shares)
    return [(node, share) for node, share in shares if share]


def _take_from_group(
    owners: list[members.Member],
    size: resources.Resources,
    count: int,
    shares: list[tuple[identifiers.NodeId, int]],
) -> int:
    """Add the shares of owners that are equally near to ``shares``; return their sum."""
    remaining = count
    if remaining:
        owners.sort(key=lambda owner: not _has_room_for(owner, size, remaining))
    for owner in owners:
        if remaining == 0:
            break
        taken = take_capacity(owner.free_capacities, size, remaining)
        shares.append((owner.id, taken))
        remaining -= taken
    return count - remaining


def _has_room_for(owner: members.Member, size: resources.Resources, count: int) -> bool:
    room = 0
    for capacity in owner.free_capacities:
        room += size.fit_count(capacity)
        if room >= count:
            return True
    return False

"""Decides whether a node hears enough others to claim a target whose owner is silent.

A node that is cut off must not claim the targets of those that it does not hear. A wrong decision
costs time but is safe, as the fencing token puts any two owners in order.
"""

import datetime

from chiveridge_pool import identifiers, members, timings


def may_claim(
    table: members.Membership, domain: identifiers.DomainName, now: datetime.datetime
) -> bool:
    """Return whether a target of a failure domain may be claimed by this node."""
    if domain != table.own_domain:
        return _hears_most_domains(table, now)
    heard = _heard_lately(table, now)
    near = [member for member in heard if member.domain == table.own_domain]
    if _is_majority(near, now):
        return True
    return _is_majority(heard, now) and not _may_be_isolated(table, near, now)


def _heard_lately(table: members.Membership, now: datetime.datetime) -> list[members.Member]:
    """Return the watched members that were heard recently enough to count."""
    limit = timings.MEMBER_REMOVED_AFTER
    return [member for member in table.watched() if member.was_heard_within(limit, now)]


def _is_majority(heard: list[members.Member], now: datetime.datetime) -> bool:
    """Return whether this node and the live members are more than half of those heard."""
    live = sum(member.was_heard_within(timings.DEAD_AFTER, now) for member in heard)
    return 2 * (live + 1) > len(heard) + 1


def _may_be_isolated(
    table: members.Membership, near: list[members.Member], now: datetime.datetime
) -> bool:
    """Return whether others hear nodes of this node's domain that it does not hear itself.

    With a single such node it cannot be told from a node that others have just lost, too.
    """
    silent = {member.endpoint for member in near if not member.is_live(now)}
    return len(silent) > 1 and any(
        not silent.isdisjoint(member.heard_owners) for member in table.live(now)
    )


def _hears_most_domains(table: members.Membership, now: datetime.datetime) -> bool:
    """Return whether more than half of all failure domains heard have a live member."""
    heard = {member.domain for member in _heard_lately(table, now)} | {table.own_domain}
    live = {member.domain for member in table.live(now)} | {table.own_domain}
    return 2 * len(live) > len(heard)

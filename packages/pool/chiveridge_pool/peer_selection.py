"""Selects which members a node watches, and with which it is related."""

import datetime
from typing import TYPE_CHECKING

from chiveridge_pool import identifiers

if TYPE_CHECKING:
    from chiveridge_pool import kernels

_PROBE_REVIEW_INTERVAL = datetime.timedelta(seconds=2)
"""Time after which silent members are looked at again without a change of the members."""


class PeerSelector:
    """Keeps the watched and the related members of one node up to date."""

    def __init__(self, kernel: "kernels.Kernel"):
        self._kernel = kernel
        self._members = kernel.members
        self._watched_in_revision: tuple[int, bool] | None = None
        self._next_review_at: datetime.datetime | None = None

    def update(self, now: datetime.datetime) -> None:
        """Update the related members, and the watched ones if any member has changed."""
        is_owner = self._members.is_owner() or bool(self._kernel.target_owner.owned_by_target)
        self._members.relate(self._related(is_owner, now), now)
        revision = (self._members.revision, is_owner)
        is_due = self._next_review_at is None or now >= self._next_review_at
        if revision != self._watched_in_revision or is_due:
            self._next_review_at = now + _PROBE_REVIEW_INTERVAL
            self._watched_in_revision = revision
            self._members.watch(self._watched(is_owner, now), now)

    def _watched(self, is_owner: bool, now: datetime.datetime) -> set[identifiers.Endpoint]:
        """Return the members from which heartbeats are expected.

        These are the owners of the own domain; for an owner also the nodes of its domain and the
        owners of other domains; and endpoints of which nothing but the address is known.
        """
        table = self._members
        watched = {member.endpoint for member in table.by_endpoint.values() if not member.domain}
        domains = sorted(table.domains()) if is_owner else [table.own_domain]
        for domain in domains:
            watched.update(table.owner_set(domain))
            watched.update(table.preferred_owners(domain, now))
        if is_owner:
            watched.update(table.lately_present(table.own_domain, now))
        return watched - {table.own_endpoint}

    def _related(self, is_owner: bool, now: datetime.datetime) -> set[identifiers.Endpoint]:
        """Return the members with which runs, requests or jobs are shared, and fellow owners."""
        table = self._members
        nodes = self._kernel.coordinator.related_nodes() | self._kernel.target_owner.related_nodes()
        related = {table.by_id[node].endpoint for node in nodes if node in table.by_id}
        if is_owner:
            related.update(
                endpoint
                for endpoint in table.owner_set(table.own_domain)
                if endpoint != table.own_endpoint
            )
        return related

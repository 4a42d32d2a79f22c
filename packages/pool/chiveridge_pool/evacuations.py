"""Failure domains whose targets get no new runs because an operator evacuates them."""

import datetime
from collections.abc import Iterable

from chiveridge_pool import identifiers

STOP_REASON = "its failure domain is evacuated"
"""Reason of the stop of a start that was on its way as its domain was evacuated."""


class Evacuations:
    """The evacuated failure domains in force at this node, by the newest known version.

    Versions increase with each change. All nodes read them from the platform, and tell them to each
    other so that a node that does not reach the platform learns of them too.
    """

    def __init__(self):
        self.version = 0
        self.has_been_used = False
        self.since_by_domain: dict[identifiers.DomainName, datetime.datetime] = {}

    def __contains__(self, domain: identifiers.DomainName) -> bool:
        return domain in self.since_by_domain

    def domains(self) -> tuple[identifiers.DomainName, ...]:
        """Return the evacuated domains, sorted."""
        return tuple(sorted(self.since_by_domain))

    def apply(
        self,
        version: int,
        domains: Iterable[identifiers.DomainName],
        now: datetime.datetime,
    ) -> set[identifiers.DomainName]:
        """Put a version into force unless a newer one is; return the domains that have changed.

        A domain that stays evacuated keeps the time since when it is.
        """
        if version <= self.version:
            return set()
        self.version = version
        wanted = set(domains)
        self.has_been_used |= bool(wanted)
        changed = wanted ^ self.since_by_domain.keys()
        self.since_by_domain = {
            domain: self.since_by_domain.get(domain, now) for domain in sorted(wanted)
        }
        return changed

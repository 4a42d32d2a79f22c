"""Makes this node the allocator of teams' limits in place of earlier allocators.

Every node that may have a grant is asked to follow this one; see ``docs/design/limits.md``.
"""

import datetime
import itertools
from collections.abc import Callable, Iterator

import msgspec

from chiveridge_kernel import (
    identifiers,
    limit_allocators,
    limit_grants,
    member_states,
    members,
)

MIN_REQUEST_INTERVAL = datetime.timedelta(seconds=1)
MAX_REQUEST_INTERVAL = datetime.timedelta(seconds=8)

AddressedGrant = tuple[identifiers.NodeName, limit_grants.LimitGrant]
LimitOf = Callable[[identifiers.TeamName], int | None]


class Takeover(msgspec.Struct):
    """Schedule of report requests to the nodes that do not yet follow a new allocator."""

    request_at: datetime.datetime
    interval: datetime.timedelta = MIN_REQUEST_INTERVAL


class Takeovers:
    """Starts and ends the allocators on this node, and requests reports from unconfirmed nodes.

    A new allocator waits at most ``max_grace_period`` for silent nodes. By then all other nodes
    must have detected that the earlier allocator does not serve, and must have dropped its grants.
    """

    def __init__(
        self,
        member_table: members.MemberTable,
        incarnation: identifiers.Incarnation,
        allocator_selector: limit_allocators.AllocatorSelector,
        allocators_by_team: dict[identifiers.TeamName, limit_allocators.LimitAllocator],
    ):
        self._members = member_table
        self._incarnation = incarnation
        self._allocator_selector = allocator_selector
        self._allocators_by_team = allocators_by_team
        self.max_grace_period = limit_allocators.LEASE
        self._serials = itertools.count(1)
        self._version = -1
        self._takeovers_by_team: dict[identifiers.TeamName, Takeover] = {}

    def start_allocator(
        self, team: identifiers.TeamName, lease: datetime.timedelta, now: datetime.datetime
    ) -> limit_allocators.LimitAllocator:
        """Start and return a team's allocator that waits for every node that may have a grant."""
        allocator = limit_allocators.LimitAllocator(
            team,
            self._members.own_name,
            self._incarnation,
            now,
            min(lease, self.max_grace_period),
            unconfirmed_nodes=self._present_names(),
            serials=self._serials,
        )
        self._allocators_by_team[team] = allocator
        self._takeovers_by_team[team] = Takeover(now)
        return allocator

    def end_all(self) -> None:
        """End all allocators on this node."""
        self._allocators_by_team.clear()
        self._takeovers_by_team.clear()

    def next_request_at(self) -> datetime.datetime | None:
        """Return when the next report requests are due, or None if there are none."""
        request_times = (takeover.request_at for takeover in self._takeovers_by_team.values())
        return min(request_times, default=None)

    def update(self, find_limit: LimitOf, now: datetime.datetime) -> list[AddressedGrant]:
        """Update the allocators from the member table; return the grants and requests to send."""
        grants: list[AddressedGrant] = []
        if self._version != self._members.version:
            self._version = self._members.version
            for team in list(self._allocators_by_team):
                grants.extend(self._update_members(team, find_limit(team), now))
        for team in list(self._takeovers_by_team):
            grants.extend(self._request_reports_if_due(team, find_limit(team), now))
        return grants

    def _update_members(
        self, team: identifiers.TeamName, limit: int | None, now: datetime.datetime
    ) -> list[AddressedGrant]:
        if limit is None or self._allocator_selector.allocator_for(team) != self._members.own_name:
            del self._allocators_by_team[team]
            return []
        allocator = self._allocators_by_team[team]
        return allocator.update_members(self._present_names(), self._exited_names(), limit, now)

    def _request_reports_if_due(
        self, team: identifiers.TeamName, limit: int | None, now: datetime.datetime
    ) -> Iterator[AddressedGrant]:
        takeover = self._takeovers_by_team[team]
        allocator = self._allocators_by_team.get(team)
        if allocator is None or not allocator.is_in_grace_period(now):
            del self._takeovers_by_team[team]
            if allocator is not None:
                yield from self._update_members(team, limit, now)
            return
        if takeover.request_at > now:
            return
        takeover.request_at = min(now + takeover.interval, allocator.grace_ends_at)
        takeover.interval = min(takeover.interval * 2, MAX_REQUEST_INTERVAL)
        for name in sorted(allocator.unconfirmed_nodes()):
            if self._is_reachable(name):
                yield name, allocator.report_request()

    def _present_names(self) -> set[identifiers.NodeName]:
        others = {member.name for member in self._members.others_in_domain()}
        return (others | {self._members.own_name}) - self._exited_names()

    def _exited_names(self) -> set[identifiers.NodeName]:
        return {member.name for member in self._members.others_in_domain() if member.has_exited}

    def _is_reachable(self, name: identifiers.NodeName) -> bool:
        member = self._members.members_by_name.get(name)
        if member is None:
            return name == self._members.own_name
        return member.is_serving() or member.state is member_states.MemberState.LEAVING

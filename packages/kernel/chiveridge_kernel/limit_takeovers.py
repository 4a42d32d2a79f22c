"""Makes this node the keeper of teams' limits in place of earlier keepers.

Every node that may have a grant is asked to follow this one; see ``docs/design/limits.md``.
"""

import datetime
import itertools
from collections.abc import Callable, Iterator

import msgspec

from chiveridge_kernel import (
    identifiers,
    limit_keepers,
    limit_terms,
    member_states,
    members,
)

MIN_REQUEST_INTERVAL = datetime.timedelta(seconds=1)
MAX_REQUEST_INTERVAL = datetime.timedelta(seconds=8)

AddressedGrant = tuple[identifiers.NodeName, limit_terms.LimitGrant]
LimitOf = Callable[[identifiers.TeamName], int | None]


class Takeover(msgspec.Struct):
    """Schedule of report requests to the nodes that do not yet follow a new keeper."""

    request_at: datetime.datetime
    interval: datetime.timedelta = MIN_REQUEST_INTERVAL


class Takeovers:
    """Starts and ends the keepers on this node, and requests reports from unconfirmed nodes.

    A new keeper waits at most ``longest_wait`` for silent nodes. By then all other nodes must
    have detected that the earlier keeper does not serve, and must have dropped its grants.
    """

    def __init__(
        self,
        member_table: members.MemberTable,
        incarnation: identifiers.Incarnation,
        keeper_names: limit_keepers.KeeperNames,
        keepers_by_team: dict[identifiers.TeamName, limit_keepers.Keeper],
    ):
        self._members = member_table
        self._incarnation = incarnation
        self._keeper_names = keeper_names
        self._keepers_by_team = keepers_by_team
        self.longest_wait = limit_keepers.LEASE
        self._serials = itertools.count(1)
        self._version = -1
        self._takeovers_by_team: dict[identifiers.TeamName, Takeover] = {}

    def start_keeper(
        self, team: identifiers.TeamName, lease: datetime.timedelta, now: datetime.datetime
    ) -> limit_keepers.Keeper:
        """Start and return a keeper for a team that waits for every node that may have a grant."""
        keeper = limit_keepers.Keeper(
            team,
            self._members.own_name,
            self._incarnation,
            now,
            min(lease, self.longest_wait),
            unconfirmed_nodes=self._present_names(),
            serials=self._serials,
        )
        self._keepers_by_team[team] = keeper
        self._takeovers_by_team[team] = Takeover(now)
        return keeper

    def end_all(self) -> None:
        """End all keepers on this node."""
        self._keepers_by_team.clear()
        self._takeovers_by_team.clear()

    def next_request_at(self) -> datetime.datetime | None:
        """Return when the next report requests are due, or None if there are none."""
        request_times = (takeover.request_at for takeover in self._takeovers_by_team.values())
        return min(request_times, default=None)

    def update(self, limit_of: LimitOf, now: datetime.datetime) -> list[AddressedGrant]:
        """Update the keepers from the member table; return the grants and requests to send."""
        grants: list[AddressedGrant] = []
        if self._version != self._members.version:
            self._version = self._members.version
            for team in list(self._keepers_by_team):
                grants.extend(self._update_members(team, limit_of(team), now))
        for team in list(self._takeovers_by_team):
            grants.extend(self._request_reports_if_due(team, limit_of(team), now))
        return grants

    def _update_members(
        self, team: identifiers.TeamName, limit: int | None, now: datetime.datetime
    ) -> list[AddressedGrant]:
        if limit is None or self._keeper_names.of(team) != self._members.own_name:
            del self._keepers_by_team[team]
            return []
        keeper = self._keepers_by_team[team]
        return keeper.update_members(self._present_names(), self._exited_names(), limit, now)

    def _request_reports_if_due(
        self, team: identifiers.TeamName, limit: int | None, now: datetime.datetime
    ) -> Iterator[AddressedGrant]:
        takeover = self._takeovers_by_team[team]
        keeper = self._keepers_by_team.get(team)
        if keeper is None or not keeper.is_in_grace_period(now):
            del self._takeovers_by_team[team]
            if keeper is not None:
                yield from self._update_members(team, limit, now)
            return
        if takeover.request_at > now:
            return
        takeover.request_at = min(now + takeover.interval, keeper.grace_ends_at)
        takeover.interval = min(takeover.interval * 2, MAX_REQUEST_INTERVAL)
        for name in sorted(keeper.unconfirmed_nodes()):
            if self._is_reachable(name):
                yield name, keeper.report_request()

    def _present_names(self) -> set[identifiers.NodeName]:
        others = {member.name for member in self._members.others_in_domain()}
        return (others | {self._members.own_name}) - self._exited_names()

    def _exited_names(self) -> set[identifiers.NodeName]:
        return {member.name for member in self._members.others_in_domain() if member.exited}

    def _is_reachable(self, name: identifiers.NodeName) -> bool:
        member = self._members.members_by_name.get(name)
        if member is None:
            return name == self._members.own_name
        return member.serves() or member.state is member_states.MemberState.LEAVING

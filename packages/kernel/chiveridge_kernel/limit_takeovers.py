"""Takes over the limits of teams from the nodes that kept them before.

Every node that may hold starts is asked to follow this one; see ``docs/design/limits.md``.
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

FIRST_ASK_INTERVAL = datetime.timedelta(seconds=1)
LAST_ASK_INTERVAL = datetime.timedelta(seconds=8)

AddressedGrant = tuple[identifiers.NodeName, limit_terms.LimitGrant]
LimitOf = Callable[[identifiers.TeamName], int | None]


class Takeover(msgspec.Struct):
    """When the nodes that a keeper awaits are asked next."""

    ask_at: datetime.datetime
    interval: datetime.timedelta = FIRST_ASK_INTERVAL


class Takeovers:
    """Begins and ends the keepers of this node, and asks those whom they await.

    A keeper waits at most ``longest_wait`` for silent nodes: by then all others must have found
    that the keeper before it does not serve, and have given up what it granted.
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

    def begin(
        self, team: identifiers.TeamName, lease: datetime.timedelta, now: datetime.datetime
    ) -> limit_keepers.Keeper:
        """Keep the limit of a team, awaiting every node that may hold starts of it."""
        keeper = limit_keepers.Keeper(
            team,
            self._members.own_name,
            self._incarnation,
            now,
            min(lease, self.longest_wait),
            awaited=self._present(),
            serials=self._serials,
        )
        self._keepers_by_team[team] = keeper
        self._takeovers_by_team[team] = Takeover(now)
        return keeper

    def clear(self) -> None:
        """Keep no limit any more."""
        self._keepers_by_team.clear()
        self._takeovers_by_team.clear()

    def next_at(self) -> datetime.datetime | None:
        """Return when nodes are to be asked next."""
        moments = (takeover.ask_at for takeover in self._takeovers_by_team.values())
        return min(moments, default=None)

    def follow(self, limit_of: LimitOf, now: datetime.datetime) -> list[AddressedGrant]:
        """Follow the members; return the grants and the questions that are to be sent."""
        found: list[AddressedGrant] = []
        if self._version != self._members.version:
            self._version = self._members.version
            for team in list(self._keepers_by_team):
                found.extend(self._follow_members(team, limit_of(team), now))
        for team in list(self._takeovers_by_team):
            found.extend(self._ask_if_due(team, limit_of(team), now))
        return found

    def _follow_members(
        self, team: identifiers.TeamName, limit: int | None, now: datetime.datetime
    ) -> list[AddressedGrant]:
        if limit is None or self._keeper_names.of(team) != self._members.own_name:
            del self._keepers_by_team[team]
            return []
        keeper = self._keepers_by_team[team]
        return keeper.follow_members(self._present(), self._exited(), limit, now)

    def _ask_if_due(
        self, team: identifiers.TeamName, limit: int | None, now: datetime.datetime
    ) -> Iterator[AddressedGrant]:
        takeover = self._takeovers_by_team[team]
        keeper = self._keepers_by_team.get(team)
        if keeper is None or not keeper.is_quiet(now):
            del self._takeovers_by_team[team]
            if keeper is not None:
                yield from self._follow_members(team, limit, now)
            return
        if takeover.ask_at > now:
            return
        takeover.ask_at = min(now + takeover.interval, keeper.quiet_until)
        takeover.interval = min(takeover.interval * 2, LAST_ASK_INTERVAL)
        for name in sorted(keeper.awaited()):
            if self._is_reached(name):
                yield name, keeper.ask()

    def _present(self) -> set[identifiers.NodeName]:
        others = {member.name for member in self._members.others_in_domain()}
        return (others | {self._members.own_name}) - self._exited()

    def _exited(self) -> set[identifiers.NodeName]:
        return {member.name for member in self._members.others_in_domain() if member.exited}

    def _is_reached(self, name: identifiers.NodeName) -> bool:
        member = self._members.members_by_name.get(name)
        if member is None:
            return name == self._members.own_name
        return member.serves() or member.state is member_states.MemberState.LEAVING

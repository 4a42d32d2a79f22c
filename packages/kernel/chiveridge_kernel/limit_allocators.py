"""Divides a team's limit on starts in progress among the nodes of a failure domain.

The node that does this for a team is the allocator of its limit.
"""

import datetime
import functools
import hashlib
import itertools
from collections.abc import Collection, Iterator

import msgspec

from chiveridge_kernel import identifiers, limit_grants, members

LEASE = datetime.timedelta(seconds=4)
RECLAIM_LEASES = 2  # leases after which the share of a silent holder is reclaimed
MAX_UNACKNOWLEDGED_GRANTS = 16

Holder = tuple[identifiers.NodeName, identifiers.Incarnation]


class HolderState(msgspec.Struct):
    """What the allocator knows about one holder.

    ``reserved`` is what the holder may be using on grants of an earlier allocator.
    ``unacknowledged_by_serial`` has the allowances of the grants that it may still act on.
    """

    last_report_at: datetime.datetime
    lease: datetime.timedelta = LEASE
    sequence: int = 0
    in_use: int = 0
    wanted: int = 0
    reserved: int = 0
    serial: int = 0
    allowed: int = 0
    unacknowledged_by_serial: dict[int, int] = msgspec.field(default_factory=dict)

    def max_in_progress(self) -> int:
        """Return an upper bound on the starts that the holder has in progress."""
        return max(self.in_use, self.reserved, *self.unacknowledged_by_serial.values(), 0)

    def discard_grants_before(self, serial_seen: int) -> None:
        """Discard grants with a lower serial, on which the holder no longer acts."""
        for serial in [known for known in self.unacknowledged_by_serial if known < serial_seen]:
            del self.unacknowledged_by_serial[serial]


class LimitAllocator:
    """Divide one team's limit among the holders, so that their grants never exceed it in total.

    Grants of an earlier allocator may still be valid, so this one grants nothing in a grace period.
    It ends when every node of ``unconfirmed_nodes`` follows this allocator, or after ``lease``.

    A process never reuses a serial. A holder follows this allocator, and not an earlier one of the
    same process, once it has seen a serial that is not below this allocator's first.
    """

    def __init__(
        self,
        team: identifiers.TeamName,
        node: identifiers.NodeName,
        incarnation: identifiers.Incarnation,
        now: datetime.datetime,
        lease: datetime.timedelta = LEASE,
        unconfirmed_nodes: Collection[identifiers.NodeName] | None = None,
        serials: Iterator[int] | None = None,
    ):
        self._serials = itertools.count() if serials is None else serials
        self._first_serial = next(self._serials)
        self._unconfirmed_nodes = None if unconfirmed_nodes is None else set(unconfirmed_nodes)
        self._team = team
        self._node = node
        self._incarnation = incarnation
        self.grace_ends_at = now + lease
        self._states_by_holder: dict[Holder, HolderState] = {}

    def handle_report(
        self, report: limit_grants.LimitReport, limit: int, now: datetime.datetime
    ) -> list[tuple[identifiers.NodeName, limit_grants.LimitGrant]]:
        """Record a holder's report; return the resulting grants, each with its receiver."""
        holder = (report.sender, report.incarnation)
        state = self._states_by_holder.setdefault(
            holder, HolderState(now, serial=self._first_serial)
        )
        if report.sequence <= state.sequence:
            return []
        self._record_report(state, report, limit, now)
        self._expire_silent_holders(now)
        if not self.is_in_grace_period(now):
            return [self._new_grant(each) for each in self._reallocate(limit) | {holder}]
        # Unconfirmed nodes get their request from the takeover, all in one round.
        needs_no_request = self._follows(report) or report.sender in self.unconfirmed_nodes()
        return [] if needs_no_request else [(report.sender, self.report_request())]

    def is_in_grace_period(self, now: datetime.datetime) -> bool:
        """Return whether grants of an earlier allocator may still be valid."""
        return now < self.grace_ends_at

    def unconfirmed_nodes(self) -> frozenset[identifiers.NodeName]:
        """Return the nodes that have not yet confirmed that they follow this allocator."""
        return frozenset(self._unconfirmed_nodes or ())

    def update_members(
        self,
        present_names: Collection[identifiers.NodeName],
        exited_names: Collection[identifiers.NodeName],
        limit: int,
        now: datetime.datetime,
    ) -> list[tuple[identifiers.NodeName, limit_grants.LimitGrant]]:
        """Update the members of the domain; return the resulting grants.

        Stops waiting for nodes that are not present, and discards holders that have exited.
        """
        for holder in [each for each in self._states_by_holder if each[0] in exited_names]:
            del self._states_by_holder[holder]
        self._mark_confirmed(self.unconfirmed_nodes() - set(present_names), now)
        return (
            []
            if self.is_in_grace_period(now)
            else [self._new_grant(each) for each in self._reallocate(limit)]
        )

    def report_request(self) -> limit_grants.LimitGrant:
        """Return a message that asks a node to drop an earlier allocator's grants and to report."""
        return limit_grants.LimitGrant(
            sender=self._node,
            incarnation=self._incarnation,
            holder_incarnation=identifiers.Incarnation(""),
            team=self._team,
            sequence=limit_grants.REPORT_REQUEST_SEQUENCE,
            serial=self._first_serial,
            allowed=0,
        )

    def _follows(self, report: limit_grants.LimitReport) -> bool:
        return (
            report.allocator_seen == self._incarnation and report.serial_seen >= self._first_serial
        )

    def _mark_confirmed(
        self, names: Collection[identifiers.NodeName], now: datetime.datetime
    ) -> None:
        if self._unconfirmed_nodes is not None:
            self._unconfirmed_nodes.difference_update(names)
            if not self._unconfirmed_nodes:
                self.grace_ends_at = min(self.grace_ends_at, now)

    def _record_report(
        self,
        state: HolderState,
        report: limit_grants.LimitReport,
        limit: int,
        now: datetime.datetime,
    ) -> None:
        state.last_report_at = now
        state.lease = datetime.timedelta(milliseconds=report.lease_ms)
        state.sequence = report.sequence
        state.in_use = report.in_use
        state.wanted = report.wanted
        # Until a holder follows this allocator, it may use the whole limit on grants of an earlier
        # one. A delayed report may have been sent before it received such a grant.
        follows_this_allocator = self._follows(report)
        state.reserved = 0 if follows_this_allocator else limit
        if follows_this_allocator:
            state.discard_grants_before(report.serial_seen)
            self._mark_confirmed([report.sender], now)

    def holder_count(self) -> int:
        """Return the number of known holders."""
        return len(self._states_by_holder)

    def max_in_progress(self) -> int:
        """Return an upper bound on the starts that all holders have in progress."""
        return sum(state.max_in_progress() for state in self._states_by_holder.values())

    def _reallocate(self, limit: int) -> set[Holder]:
        needs = {
            holder: state.in_use + state.wanted for holder, state in self._states_by_holder.items()
        }
        shares = max_min_shares(limit, needs)
        return {holder for holder in needs if self._update_allowance(holder, shares[holder], limit)}

    def _update_allowance(self, holder: Holder, share: int, limit: int) -> bool:
        state = self._states_by_holder[holder]
        available = limit - (self.max_in_progress() - state.max_in_progress())
        # A holder keeps its allowance up to its share even when others are assumed to use the
        # rest of the limit, because they may turn out to use nothing.
        allowed = max(0, min(share, available), min(share, state.allowed))
        if (
            allowed == state.allowed
            or len(state.unacknowledged_by_serial) >= MAX_UNACKNOWLEDGED_GRANTS
        ):
            return False
        state.serial = next(self._serials)
        state.allowed = allowed
        state.unacknowledged_by_serial[state.serial] = allowed
        return True

    def _expire_silent_holders(self, now: datetime.datetime) -> None:
        for holder, state in list(self._states_by_holder.items()):
            if now - state.last_report_at >= state.lease * RECLAIM_LEASES:
                del self._states_by_holder[holder]

    def _new_grant(self, holder: Holder) -> tuple[identifiers.NodeName, limit_grants.LimitGrant]:
        state = self._states_by_holder[holder]
        grant = limit_grants.LimitGrant(
            sender=self._node,
            incarnation=self._incarnation,
            holder_incarnation=holder[1],
            team=self._team,
            sequence=state.sequence,
            serial=state.serial,
            allowed=state.allowed,
        )
        return holder[0], grant


class AllocatorSelector:
    """Chooses the allocator of each team's limit.

    Uses rendezvous hashing over the live nodes of the domain.
    """

    def __init__(self, member_table: members.MemberTable):
        self._members = member_table
        self._names_by_team: dict[identifiers.TeamName, identifiers.NodeName] = {}
        self._version = -1

    def allocator_for(self, team: identifiers.TeamName) -> identifiers.NodeName:
        """Return the name of the node that is the allocator of a team's limit."""
        if self._version != self._members.version:
            self._names_by_team.clear()
            self._version = self._members.version
        name = self._names_by_team.get(team)
        if name is None:
            names = self._members.live_names(self._members.own_domain)
            if self._members.is_leaving and len(names) > 1:
                names = [each for each in names if each != self._members.own_name]
            name = max(names, key=functools.partial(_weight, team))
            self._names_by_team[team] = name
        return name


def _weight(team: str, node: str) -> bytes:
    return hashlib.blake2b(f"{team}/{node}".encode(), digest_size=8).digest()


def max_min_shares(limit: int, needs: dict[Holder, int]) -> dict[Holder, int]:
    """Return the max-min fair shares of a limit; no holder gets more than it needs."""
    shares = {}
    remaining = limit
    for index, holder in enumerate(sorted(needs, key=needs.__getitem__)):
        shares[holder] = min(needs[holder], remaining // (len(needs) - index))
        remaining -= shares[holder]
    return shares

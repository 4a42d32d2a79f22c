"""The keeper of a team's limit: divides the starts that the team may have in a domain."""

import datetime
import functools
import hashlib
import itertools
from collections.abc import Collection, Iterator

import msgspec

from chiveridge_kernel import identifiers, limit_terms, members

LEASE = datetime.timedelta(seconds=4)
RECLAIM_LEASES = 2
MAX_UNSEEN_GRANTS = 16

Holder = tuple[identifiers.NodeName, identifiers.Incarnation]


class Account(msgspec.Struct):
    """What is known of one holder; ``unseen_by_serial`` are grants that it may act on."""

    heard_at: datetime.datetime
    lease: datetime.timedelta = LEASE
    sequence: int = 0
    in_use: int = 0
    wanted: int = 0
    reserved: int = 0
    serial: int = 0
    allowed: int = 0
    unseen_by_serial: dict[int, int] = msgspec.field(default_factory=dict)

    def counted(self) -> int:
        """Return the most starts that the holder may have in progress."""
        return max(self.in_use, self.reserved, *self.unseen_by_serial.values(), 0)

    def forget_older_grants(self, serial_seen: int) -> None:
        """Learn that the holder no longer acts on grants before a serial."""
        for serial in [known for known in self.unseen_by_serial if known < serial_seen]:
            del self.unseen_by_serial[serial]


class Keeper:
    """Grants for one team; what all holders may have together stays within the limit.

    Grants of an earlier keeper may hold, so nothing is granted until every node of ``awaited``
    follows this one, or for ``lease`` at most. Serials never come twice from a process: a
    holder follows this keeper, and not an earlier one of the same process, when it has seen one
    that is not below the first.
    """

    def __init__(
        self,
        team: identifiers.TeamName,
        node: identifiers.NodeName,
        incarnation: identifiers.Incarnation,
        now: datetime.datetime,
        lease: datetime.timedelta = LEASE,
        awaited: Collection[identifiers.NodeName] | None = None,
        serials: Iterator[int] | None = None,
    ):
        self._serials = itertools.count() if serials is None else serials
        self._first_serial = next(self._serials)
        self._awaited = None if awaited is None else set(awaited)
        self._team = team
        self._node = node
        self._incarnation = incarnation
        self.quiet_until = now + lease
        self._accounts_by_holder: dict[Holder, Account] = {}

    def report(
        self, report: limit_terms.LimitReport, limit: int, now: datetime.datetime
    ) -> list[tuple[identifiers.NodeName, limit_terms.LimitGrant]]:
        """Take a holder's report; return grants by the node that each is for."""
        holder = (report.sender, report.incarnation)
        account = self._accounts_by_holder.setdefault(
            holder, Account(now, serial=self._first_serial)
        )
        if report.sequence <= account.sequence:
            return []
        self._update(account, report, limit, now)
        self._forget_silent(now)
        if not self.is_quiet(now):
            return [self._grant(each) for each in self._divide(limit) | {holder}]
        # Those awaited are asked by the node, all at once.
        is_asked = self._follows(report) or report.sender in self.awaited()
        return [] if is_asked else [(report.sender, self.ask())]

    def is_quiet(self, now: datetime.datetime) -> bool:
        """Tell whether grants of an earlier keeper may still hold."""
        return now < self.quiet_until

    def awaited(self) -> frozenset[identifiers.NodeName]:
        """Return the nodes that are not known to follow this keeper."""
        return frozenset(self._awaited or ())

    def follow_members(
        self,
        present: Collection[identifiers.NodeName],
        exited: Collection[identifiers.NodeName],
        limit: int,
        now: datetime.datetime,
    ) -> list[tuple[identifiers.NodeName, limit_terms.LimitGrant]]:
        """Await nobody that is not present, forget who has exited; return grants to give."""
        for holder in [each for each in self._accounts_by_holder if each[0] in exited]:
            del self._accounts_by_holder[holder]
        self._cease_awaiting(self.awaited() - set(present), now)
        return [] if self.is_quiet(now) else [self._grant(each) for each in self._divide(limit)]

    def ask(self) -> limit_terms.LimitGrant:
        """Return what asks a node to give up grants of an earlier keeper and to report."""
        return limit_terms.LimitGrant(
            sender=self._node,
            incarnation=self._incarnation,
            holder_incarnation=identifiers.Incarnation(""),
            team=self._team,
            sequence=limit_terms.ASK_SEQUENCE,
            serial=self._first_serial,
            allowed=0,
        )

    def _follows(self, report: limit_terms.LimitReport) -> bool:
        return report.keeper_seen == self._incarnation and report.serial_seen >= self._first_serial

    def _cease_awaiting(
        self, names: Collection[identifiers.NodeName], now: datetime.datetime
    ) -> None:
        if self._awaited is not None:
            self._awaited.difference_update(names)
            if not self._awaited:
                self.quiet_until = min(self.quiet_until, now)

    def _update(
        self, account: Account, report: limit_terms.LimitReport, limit: int, now: datetime.datetime
    ) -> None:
        account.heard_at = now
        account.lease = datetime.timedelta(milliseconds=report.lease_ms)
        account.sequence = report.sequence
        account.in_use = report.in_use
        account.wanted = report.wanted
        # A holder may use all that an earlier keeper lends until it is seen to follow this one;
        # a report that was long on its way may be from before it had anything.
        follows_this = self._follows(report)
        account.reserved = 0 if follows_this else limit
        if follows_this:
            account.forget_older_grants(report.serial_seen)
            self._cease_awaiting([report.sender], now)

    def holder_count(self) -> int:
        """Return how many holders are known."""
        return len(self._accounts_by_holder)

    def counted(self) -> int:
        """Return the most starts that all holders may have in progress."""
        return sum(account.counted() for account in self._accounts_by_holder.values())

    def _divide(self, limit: int) -> set[Holder]:
        needs = {
            holder: account.in_use + account.wanted
            for holder, account in self._accounts_by_holder.items()
        }
        shares = divide(limit, needs)
        return {holder for holder in needs if self._change(holder, shares[holder], limit)}

    def _change(self, holder: Holder, share: int, limit: int) -> bool:
        account = self._accounts_by_holder[holder]
        room = limit - (self.counted() - account.counted())
        # What a holder has is not taken for one that may turn out to use nothing.
        allowed = max(0, min(share, room), min(share, account.allowed))
        if allowed == account.allowed or len(account.unseen_by_serial) >= MAX_UNSEEN_GRANTS:
            return False
        account.serial = next(self._serials)
        account.allowed = allowed
        account.unseen_by_serial[account.serial] = allowed
        return True

    def _forget_silent(self, now: datetime.datetime) -> None:
        for holder, account in list(self._accounts_by_holder.items()):
            if now - account.heard_at >= account.lease * RECLAIM_LEASES:
                del self._accounts_by_holder[holder]

    def _grant(self, holder: Holder) -> tuple[identifiers.NodeName, limit_terms.LimitGrant]:
        account = self._accounts_by_holder[holder]
        grant = limit_terms.LimitGrant(
            sender=self._node,
            incarnation=self._incarnation,
            holder_incarnation=holder[1],
            team=self._team,
            sequence=account.sequence,
            serial=account.serial,
            allowed=account.allowed,
        )
        return holder[0], grant


class KeeperNames:
    """Chooses the keeper of each team's limit by hashing over the live nodes of the domain."""

    def __init__(self, member_table: members.MemberTable):
        self._members = member_table
        self._names_by_team: dict[identifiers.TeamName, identifiers.NodeName] = {}
        self._version = -1

    def of(self, team: identifiers.TeamName) -> identifiers.NodeName:
        """Return the node that keeps the limit of a team."""
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


def divide(limit: int, needs: dict[Holder, int]) -> dict[Holder, int]:
    """Divide a limit evenly among needs, none of which gets more than it is."""
    shares = {}
    remaining = limit
    for index, holder in enumerate(sorted(needs, key=needs.__getitem__)):
        shares[holder] = min(needs[holder], remaining // (len(needs) - index))
        remaining -= shares[holder]
    return shares

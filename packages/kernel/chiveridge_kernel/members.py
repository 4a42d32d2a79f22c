"""The nodes of the system as this node sees them: the platform's list joined with heartbeats."""

import collections
import datetime
import enum

import msgspec

from chiveridge_kernel import identifiers, peers, vms

FORGET_AFTER = datetime.timedelta(minutes=10)
MAX_UNLISTED_MEMBERS = 1000
MAX_FORMER_INCARNATIONS = 100


class MemberState(enum.Enum):
    """What this node believes of another; a wrong belief costs speed, never a promise.

    ``REPLACED`` means that the list shows a new address under the name and the node there has
    not been heard yet.
    """

    UNKNOWN = "unknown"
    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"
    REPLACED = "replaced"


class MemberSignal(enum.Enum):
    """Evidence about a node."""

    HEARD = "heard"
    RENEWED = "renewed"
    MOVED = "moved"
    GOODBYE = "goodbye"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    LOST = "lost"


_TRANSITIONS = {
    (MemberState.UNKNOWN, MemberSignal.HEARD): MemberState.LIVE,
    (MemberState.UNKNOWN, MemberSignal.UNREACHABLE): MemberState.SUSPECT,
    (MemberState.UNKNOWN, MemberSignal.SILENT): MemberState.SUSPECT,
    (MemberState.LIVE, MemberSignal.UNREACHABLE): MemberState.SUSPECT,
    (MemberState.LIVE, MemberSignal.SILENT): MemberState.SUSPECT,
    (MemberState.SUSPECT, MemberSignal.HEARD): MemberState.LIVE,
    (MemberState.SUSPECT, MemberSignal.LOST): MemberState.DEAD,
    (MemberState.DEAD, MemberSignal.HEARD): MemberState.LIVE,
    (MemberState.LEAVING, MemberSignal.LOST): MemberState.DEAD,
    (MemberState.REPLACED, MemberSignal.HEARD): MemberState.LIVE,
    (MemberState.REPLACED, MemberSignal.UNREACHABLE): MemberState.SUSPECT,
    (MemberState.REPLACED, MemberSignal.SILENT): MemberState.SUSPECT,
}
_TRANSITIONS |= {(state, MemberSignal.RENEWED): MemberState.LIVE for state in MemberState}
_TRANSITIONS |= {(state, MemberSignal.MOVED): MemberState.REPLACED for state in MemberState}
_TRANSITIONS |= {(state, MemberSignal.GOODBYE): MemberState.LEAVING for state in MemberState}

_SERVING_STATES = frozenset({MemberState.UNKNOWN, MemberState.LIVE, MemberState.REPLACED})


class MemberTimes(msgspec.Struct, frozen=True, kw_only=True):
    """After how long a silent node is suspected, and then held to be dead."""

    suspect_after: datetime.timedelta
    dead_after: datetime.timedelta


class Member(msgspec.Struct, kw_only=True):
    """One node; ``vm`` is None while the list does not show it.

    ``sent`` counts the heartbeats sent to it, ``echoed`` is the last of them that it has
    confirmed, and ``received`` the last that it sent here.
    """

    name: str
    vm: vms.Vm | None = None
    state: MemberState = MemberState.UNKNOWN
    incarnation: identifiers.Incarnation | None = None
    former_incarnations: collections.deque[identifiers.Incarnation] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=MAX_FORMER_INCARNATIONS)
    )
    offset: int = 0
    sent: int = 0
    echoed: int = 0
    received: int = 0
    unreachable_at: int = 0
    heard_at: datetime.datetime | None = None
    proved_at: datetime.datetime | None = None
    reconnected_at: datetime.datetime | None = None

    def signal(self, signal: MemberSignal) -> bool:
        """Follow the state table; tell whether the state changed."""
        before = self.state
        self.state = _TRANSITIONS.get((before, signal), before)
        return self.state is not before

    def serves(self) -> bool:
        """Tell whether the node is to be counted on."""
        listed = self.vm is not None and self.vm.state is vms.VmState.LIVE
        return listed and self.state in _SERVING_STATES


class MemberTable:
    """Nodes by name; ``version`` grows when the nodes that take part, or their VMs, change."""

    def __init__(self, own_name: identifiers.NodeName, own_domain: identifiers.DomainName):
        self.own_name = own_name
        self.own_domain = own_domain
        self.vms_by_name: dict[str, vms.Vm] = {}
        self.members_by_name: dict[str, Member] = {}
        self.version = 0
        self._live_names_by_domain: dict[str | None, list[str]] = {}

    def replace(self, listing: vms.VmList, now: datetime.datetime) -> list[vms.Vm]:
        """Take the platform's list; return the VMs that are gone or have moved."""
        before = self.vms_by_name
        self.vms_by_name = {vm.name: vm for vm in listing.vms if vm.role is vms.VmRole.ENTRY}
        for name, vm in self.vms_by_name.items():
            if name != self.own_name:
                self._list(name, vm, now)
        for name, member in self.members_by_name.items():
            if name not in self.vms_by_name:
                member.vm = None
        self._changed()
        return [vm for name, vm in before.items() if not _is_at(self.find(name), vm)]

    def find(self, name: str) -> vms.Vm | None:
        """Return a node's VM when it is listed."""
        return self.vms_by_name.get(name)

    def live_names(self, domain: str | None = None) -> list[str]:
        """Return the names of the nodes that take part now, this one included, in order.

        With ``domain``, only those of that failure domain.
        """
        found = self._live_names_by_domain.get(domain)
        if found is None:
            found = sorted(self._live_names(domain))
            self._live_names_by_domain[domain] = found
        return found

    def others_in_domain(self) -> list[Member]:
        """Return the listed members of this node's domain, in whatever state."""
        listed = self.members_by_name.values()
        return [found for found in listed if found.vm and found.vm.domain == self.own_domain]

    def others_outside(self) -> list[Member]:
        """Return the listed members of other domains, in whatever state."""
        listed = self.members_by_name.values()
        return [found for found in listed if found.vm and found.vm.domain != self.own_domain]

    def is_current(self, name: str, incarnation: identifiers.Incarnation) -> bool:
        """Tell whether an incarnation is the one last known under a name."""
        member = self.members_by_name.get(name)
        return member is not None and member.incarnation == incarnation

    def was_replaced(self, name: str, incarnation: identifiers.Incarnation) -> bool:
        """Tell whether a later incarnation of the node is known.

        Incarnations sort by the time of their start; one that was seen to follow another
        despite a clock that is behind counts as later too.
        """
        member = self.members_by_name.get(name)
        if member is None or member.incarnation is None or member.incarnation == incarnation:
            return False
        return incarnation in member.former_incarnations or incarnation < member.incarnation

    def heard(self, heartbeat: peers.Heartbeat, times: MemberTimes, now: datetime.datetime) -> bool:
        """Take a heartbeat; tell whether it was from the current incarnation."""
        member = self.members_by_name.get(heartbeat.sender)
        if member is None:
            if len(self.members_by_name) >= len(self.vms_by_name) + MAX_UNLISTED_MEMBERS:
                return False
            member = self.members_by_name[heartbeat.sender] = Member(name=heartbeat.sender)
        if heartbeat.incarnation != member.incarnation:
            if not _may_follow(member, heartbeat.incarnation, times, now):
                return False
            _renew(member, heartbeat.incarnation, now)
            self._signal(member, MemberSignal.RENEWED)
        elif heartbeat.sequence <= member.received:
            return False
        member.received = heartbeat.sequence
        member.offset = max(member.offset, heartbeat.offset)
        member.heard_at = now
        if heartbeat.leaving:
            self._signal(member, MemberSignal.GOODBYE)
        elif member.echoed < heartbeat.echo <= member.sent:
            self._confirmed(member, heartbeat.echo, now)
        return True

    def unreachable(self, vm: vms.Vm) -> None:
        """Learn that nothing can be sent to a VM now."""
        member = self.members_by_name.get(vm.name)
        if member is not None and _is_at(member.vm, vm):
            member.unreachable_at = member.sent
            self._signal(member, MemberSignal.UNREACHABLE)

    def forgive(self, now: datetime.datetime) -> None:
        """Count every silence from now on, as this node itself did not run for a while."""
        for member in self.members_by_name.values():
            if member.heard_at is not None:
                member.heard_at = now
            if member.proved_at is not None:
                member.proved_at = now

    def expire(self, times: MemberTimes, now: datetime.datetime) -> list[vms.Vm]:
        """Suspect members of the domain that are silent, and forget those long gone.

        Return the VMs to which another connection is to be tried.
        """
        silent = []
        for member in list(self.members_by_name.values()):
            silence = now - min(member.heard_at or now, member.proved_at or now)
            if member.vm is None and silence > FORGET_AFTER:
                del self.members_by_name[member.name]
            if member.vm is None or member.vm.domain != self.own_domain:
                continue
            if silence > times.suspect_after:
                self._signal(member, MemberSignal.SILENT)
                if (
                    member.reconnected_at is None
                    or now - member.reconnected_at > times.suspect_after
                ):
                    member.reconnected_at = now
                    silent.append(member.vm)
            if silence > times.dead_after:
                self._signal(member, MemberSignal.LOST)
        return silent

    def _list(self, name: str, vm: vms.Vm, now: datetime.datetime) -> None:
        member = self.members_by_name.setdefault(name, Member(name=name))
        known = member.vm
        member.vm = vm
        if known is None:
            member.heard_at = member.proved_at = now
        moved = known is not None and not _is_at(known, vm)
        if moved:
            member.heard_at = member.proved_at = now
            member.unreachable_at = member.sent
            self._signal(member, MemberSignal.MOVED)

    def _confirmed(self, member: Member, echo: int, now: datetime.datetime) -> None:
        member.echoed = echo
        member.proved_at = now
        if echo > member.unreachable_at:
            self._signal(member, MemberSignal.HEARD)

    def _signal(self, member: Member, signal: MemberSignal) -> None:
        if member.signal(signal):
            self._changed()

    def _changed(self) -> None:
        self.version += 1
        self._live_names_by_domain.clear()

    def _live_names(self, domain: str | None) -> set[str]:
        names = {
            member.name
            for member in self.members_by_name.values()
            if member.serves() and domain in (None, member.vm.domain)
        }
        return names | {self.own_name} if domain in (None, self.own_domain) else names


def _may_follow(
    member: Member,
    incarnation: identifiers.Incarnation,
    times: MemberTimes,
    now: datetime.datetime,
) -> bool:
    if incarnation in member.former_incarnations:
        return False
    if member.incarnation is None or incarnation > member.incarnation:
        return True
    # The clock of the new node may be behind that of the old one.
    return now - member.heard_at > times.dead_after


def _renew(member: Member, incarnation: identifiers.Incarnation, now: datetime.datetime) -> None:
    if member.incarnation is not None:
        member.former_incarnations.append(member.incarnation)
    member.incarnation = incarnation
    member.received = 0
    member.offset = 0
    member.proved_at = now


def _is_at(found: vms.Vm | None, vm: vms.Vm) -> bool:
    """Tell whether a listed VM has the address and the peer port of another."""
    if found is None:
        return False
    return (found.address, found.peer_port) == (vm.address, vm.peer_port)

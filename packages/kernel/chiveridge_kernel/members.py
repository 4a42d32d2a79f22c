"""The membership as this node sees it: the platform's list of VMs joined with heartbeats."""

import datetime

import msgspec

from chiveridge_kernel import identifiers, member_states, peers, vms

UNLISTED_MEMBER_LIFETIME = datetime.timedelta(minutes=10)
MAX_UNLISTED_MEMBERS = 1000


class MemberTimeouts(msgspec.Struct, frozen=True, kw_only=True):
    """Silence after which a node becomes suspect, and after which it counts as dead."""

    suspect_after: datetime.timedelta
    dead_after: datetime.timedelta


class MemberTable:
    """Nodes by name; ``version`` grows whenever the live nodes or their VMs may have changed."""

    def __init__(self, own_name: identifiers.NodeName, own_domain: identifiers.DomainName):
        self.own_name = own_name
        self.own_domain = own_domain
        self.vms_by_name: dict[str, vms.Vm] = {}
        self.members_by_name: dict[str, member_states.Member] = {}
        self.version = 0
        self.is_leaving = False
        self._live_names_by_domain: dict[str | None, list[str]] = {}

    def apply_listing(self, listing: vms.VmList, now: datetime.datetime) -> list[vms.Vm]:
        """Apply the platform's list; return the VMs that were removed or changed their address."""
        before = {name: member.vm for name, member in self.members_by_name.items() if member.vm}
        self.vms_by_name = {vm.name: vm for vm in listing.vms if vm.role is vms.VmRole.ENTRY}
        for name, vm in self.vms_by_name.items():
            if name != self.own_name:
                self._set_listed_vm(name, vm, now)
        for name, member in self.members_by_name.items():
            if name not in self.vms_by_name:
                _clear_listed_vm(member)
        self._increment_version()
        return [vm for name, vm in before.items() if not _has_same_address(self.find_vm(name), vm)]

    def find_vm(self, name: str) -> vms.Vm | None:
        """Return the VM in use for a node, this one included, or None."""
        member = self.members_by_name.get(name)
        return self.vms_by_name.get(name) if member is None else member.vm

    def live_names(self, domain: str | None = None) -> list[str]:
        """Return the sorted names of the nodes that can be given work, this one included.

        With ``domain``, only those of that failure domain.
        """
        names = self._live_names_by_domain.get(domain)
        if names is None:
            names = sorted(self._live_names(domain))
            self._live_names_by_domain[domain] = names
        return names

    def leave(self) -> None:
        """Mark this node as leaving."""
        self.is_leaving = True
        self._increment_version()

    def others_in_domain(self) -> list[member_states.Member]:
        """Return the members of this node's domain that have a VM, in any state."""
        known = self.members_by_name.values()
        return [member for member in known if member.vm and member.vm.domain == self.own_domain]

    def serving_nodes_near(self, name: str) -> list[vms.Vm]:
        """Return the other serving nodes in the current or last known domain of a node."""
        member = self.members_by_name.get(name)
        domain = self.own_domain if name == self.own_name else member and member.domain
        others = self.members_by_name.values()
        return [
            other.vm
            for other in others
            if other.is_serving() and other.vm.domain == domain and other.name != name
        ]

    def others_outside_domain(self) -> list[member_states.Member]:
        """Return the members of other domains that have a VM, in any state."""
        known = self.members_by_name.values()
        return [member for member in known if member.vm and member.vm.domain != self.own_domain]

    def is_current(self, name: str, incarnation: identifiers.Incarnation) -> bool:
        """Tell whether an incarnation is the latest known one of a node."""
        member = self.members_by_name.get(name)
        return member is not None and member.incarnation == incarnation

    def was_replaced(self, name: str, incarnation: identifiers.Incarnation) -> bool:
        """Tell whether a later incarnation of the node is known.

        Incarnations sort by their start time. One that was accepted after another counts as later
        even if it sorts lower, because the clock of the new node may be behind.
        """
        member = self.members_by_name.get(name)
        if member is None or member.incarnation is None or member.incarnation == incarnation:
            return False
        return incarnation in member.former_incarnations or incarnation < member.incarnation

    def record_heartbeat(
        self, heartbeat: peers.Heartbeat, timeouts: MemberTimeouts, now: datetime.datetime
    ) -> bool:
        """Record a heartbeat; return False when it is stale or there is no room for its sender."""
        member = self.members_by_name.get(heartbeat.sender)
        if member is None:
            if len(self.members_by_name) >= len(self.vms_by_name) + MAX_UNLISTED_MEMBERS:
                return False
            member = self.members_by_name[heartbeat.sender] = member_states.Member(
                name=heartbeat.sender
            )
        if heartbeat.incarnation != member.incarnation:
            if not _is_successor(member, heartbeat.incarnation, timeouts, now):
                return False
            _start_incarnation(member, heartbeat, now)
            member.apply_signal(member_states.MemberSignal.RENEWED)
            self._increment_version()
        elif heartbeat.sequence <= member.last_received_sequence:
            return False
        member.last_received_sequence = heartbeat.sequence
        member.config_offset = max(member.config_offset, heartbeat.offset)
        member.heard_at = now
        if heartbeat.leaving:
            self._handle_leaving(member, heartbeat)
        elif member.confirmed_sequence < heartbeat.echo <= member.last_sent_sequence:
            self._handle_confirmation(member, heartbeat.echo, now)
        return True

    def mark_unreachable(self, vm: vms.Vm) -> None:
        """Mark a VM as unreachable, or switch to the announced VM if that is another one."""
        member = self.members_by_name.get(vm.name)
        if member is None or not _has_same_address(member.vm, vm):
            return
        member.unreachable_sequence = member.last_sent_sequence
        if member.announced is not None and not _has_same_address(member.announced, vm):
            member.vm = member.announced
            self._increment_version()
            return
        self._apply_signal(member, member_states.MemberSignal.UNREACHABLE)

    def reset_silence(self, now: datetime.datetime) -> None:
        """Restart every silence timeout, because this node itself was paused."""
        for member in self.members_by_name.values():
            if member.heard_at is not None:
                member.heard_at = now
            if member.confirmed_at is not None:
                member.confirmed_at = now

    def check_timeouts(self, timeouts: MemberTimeouts, now: datetime.datetime) -> list[vms.Vm]:
        """Mark silent members of the domain as suspect or dead.

        Members that are not listed are dropped after :data:`UNLISTED_MEMBER_LIFETIME` without a
        heartbeat.

        Return the VMs of silent members whose connection should be replaced by a new one.
        """
        silent = []
        for member in list(self.members_by_name.values()):
            silence = now - min(member.heard_at or now, member.confirmed_at or now)
            if member.listed is None and silence > UNLISTED_MEMBER_LIFETIME:
                del self.members_by_name[member.name]
            if member.vm is None or member.vm.domain != self.own_domain:
                continue
            if silence > timeouts.suspect_after:
                self._apply_signal(member, member_states.MemberSignal.SILENT)
                if (
                    member.reconnected_at is None
                    or now - member.reconnected_at > timeouts.suspect_after
                ):
                    member.reconnected_at = now
                    silent.append(member.vm)
            if silence > timeouts.dead_after:
                self._apply_signal(member, member_states.MemberSignal.LOST)
                self._drop_announced_vm(member)
        return silent

    def _set_listed_vm(self, name: str, vm: vms.Vm, now: datetime.datetime) -> None:
        member = self.members_by_name.setdefault(name, member_states.Member(name=name))
        member.domain = vm.domain
        used, listed_before = member.vm, member.listed
        member.listed = vm
        if used is not None and used is member.announced and _has_same_address(listed_before, vm):
            return
        member.vm = vm
        if used is None:
            member.heard_at = member.confirmed_at = now
        elif not _has_same_address(used, vm):
            member.heard_at = member.confirmed_at = now
            member.unreachable_sequence = member.last_sent_sequence
            self._apply_signal(member, member_states.MemberSignal.MOVED)

    def _handle_confirmation(
        self, member: member_states.Member, echo: int, now: datetime.datetime
    ) -> None:
        member.confirmed_sequence = echo
        member.confirmed_at = now
        if member.vm is not member.announced:
            member.announced = None
        if echo > member.unreachable_sequence:
            self._apply_signal(member, member_states.MemberSignal.HEARD)

    def _handle_leaving(self, member: member_states.Member, heartbeat: peers.Heartbeat) -> None:
        if heartbeat.exited and not member.has_exited:
            member.has_exited = True
            self._increment_version()
        self._apply_signal(member, member_states.MemberSignal.GOODBYE)

    def _drop_announced_vm(self, member: member_states.Member) -> None:
        if member.vm is not None and member.vm is member.announced:
            member.vm = member.listed
            member.announced = None
            self._increment_version()

    def _apply_signal(
        self, member: member_states.Member, signal: member_states.MemberSignal
    ) -> None:
        if member.apply_signal(signal):
            self._increment_version()

    def _increment_version(self) -> None:
        self.version += 1
        self._live_names_by_domain.clear()

    def _live_names(self, domain: str | None) -> set[str]:
        names = {
            member.name
            for member in self.members_by_name.values()
            if member.is_serving() and domain in (None, member.vm.domain)
        }
        return names | {self.own_name} if domain in (None, self.own_domain) else names


def _is_successor(
    member: member_states.Member,
    incarnation: identifiers.Incarnation,
    timeouts: MemberTimeouts,
    now: datetime.datetime,
) -> bool:
    if incarnation in member.former_incarnations:
        return False
    if member.incarnation is None or incarnation > member.incarnation:
        return True
    # A restarted node whose clock is behind has an incarnation that sorts lower than the old one.
    return now - member.heard_at > timeouts.dead_after


def _start_incarnation(
    member: member_states.Member, heartbeat: peers.Heartbeat, now: datetime.datetime
) -> None:
    if member.incarnation is not None:
        member.former_incarnations.append(member.incarnation)
    member.incarnation = heartbeat.incarnation
    member.last_received_sequence = 0
    member.confirmed_sequence = 0
    member.announcement_count = 0
    member.config_offset = 0
    member.has_exited = False
    member.confirmed_at = now
    member.announced = _announced_vm(heartbeat)
    if member.listed is None and member.announced is not None:
        member.vm = member.announced
        member.domain = member.announced.domain


def _announced_vm(heartbeat: peers.Heartbeat) -> vms.Vm | None:
    endpoint = heartbeat.endpoint
    if endpoint is None:
        return None
    return vms.Vm(
        name=heartbeat.sender,
        role=vms.VmRole.ENTRY,
        domain=endpoint.domain,
        address=endpoint.address,
        port=endpoint.port,
        peer_port=endpoint.peer_port,
    )


def _clear_listed_vm(member: member_states.Member) -> None:
    """Clear the listed VM of a member; an announced VM stays in use."""
    if member.vm is member.listed:
        member.vm = None
    member.listed = None


def _has_same_address(other: vms.Vm | None, vm: vms.Vm) -> bool:
    """Tell whether two VMs have the same address and peer port."""
    if other is None:
        return False
    return (other.address, other.peer_port) == (vm.address, vm.peer_port)

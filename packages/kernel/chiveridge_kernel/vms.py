"""The VMs in the platform's list, and the merging of changes into the list."""

import enum

import msgspec

from chiveridge_kernel import errors


class VmRole(enum.Enum):
    """Role of a VM: ENTRY runs a node, TARGET runs tasks."""

    ENTRY = "entry"
    TARGET = "target"


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True, kw_only=True):
    """One VM; ``port`` is the TCP port for HTTP, ``peer_port`` the one for other nodes."""

    name: str
    role: VmRole
    domain: str
    address: str
    port: int
    peer_port: int = 0
    state: VmState = VmState.LIVE
    rack: str = ""
    slots: int = 0
    memory_mb: int = 0
    cores: int = 0
    accelerators: int = 0


class VmList(msgspec.Struct, frozen=True):
    """The platform's list, which may be out of date; the version never decreases."""

    version: int
    vms: list[Vm]


class VmListReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a read of the list: the full list, or the changes since version ``since``.

    With ``since``, ``vms`` has the VMs that were added or changed, and ``gone`` the names of those
    that were removed.
    """

    version: int
    vms: list[Vm] = []
    since: int | None = None
    gone: list[str] = []


def merged(current: VmList | None, reply: VmListReply) -> VmList:
    """Apply a reply to the current list; unchanged VMs stay the same objects.

    :raises errors.VmListError: when the reply has changes since a version other than the current.
    """
    if reply.since is None:
        return VmList(reply.version, reply.vms)
    if current is None or current.version != reply.since:
        version = None if current is None else current.version
        raise errors.VmListError(
            f"changes since version {reply.since} cannot be applied to version {version}"
        )
    if reply.version == current.version:
        return current
    vms_by_name = {vm.name: vm for vm in current.vms}
    for name in reply.gone:
        vms_by_name.pop(name, None)
    vms_by_name.update((vm.name, vm) for vm in reply.vms)
    return VmList(reply.version, list(vms_by_name.values()))

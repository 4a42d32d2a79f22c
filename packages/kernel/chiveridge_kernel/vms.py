"""VMs as the platform's list shows them."""

import enum

import msgspec

from chiveridge_kernel import errors


class VmRole(enum.Enum):
    """What a VM is for."""

    ENTRY = "entry"
    TARGET = "target"


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True, kw_only=True):
    """One VM; ports are TCP, ``port`` for HTTP and ``peer_port`` between nodes."""

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
    """The platform's list, which lags behind the truth; the version only grows."""

    version: int
    vms: list[Vm]


class VmListReply(msgspec.Struct, frozen=True, kw_only=True):
    """What a read of the list returns: the whole list, or the changes since a version.

    With ``since``, ``vms`` holds the VMs that are new or differ, and ``gone`` the names of those
    that are no longer listed.
    """

    version: int
    vms: list[Vm] = []
    since: int | None = None
    gone: list[str] = []


def merged(current: VmList | None, reply: VmListReply) -> VmList:
    """Return the list after a reply; VMs that did not change are the same objects.

    :raises errors.VmListError: when the reply holds changes since another version.
    """
    if reply.since is None:
        return VmList(reply.version, reply.vms)
    if current is None or current.version != reply.since:
        version = None if current is None else current.version
        raise errors.VmListError(f"changes since version {reply.since} do not fit {version}")
    if reply.version == current.version:
        return current
    vms_by_name = {vm.name: vm for vm in current.vms}
    for name in reply.gone:
        vms_by_name.pop(name, None)
    vms_by_name.update((vm.name, vm) for vm in reply.vms)
    return VmList(reply.version, list(vms_by_name.values()))

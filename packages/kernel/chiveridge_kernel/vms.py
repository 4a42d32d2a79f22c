"""VMs as the platform's list shows them."""

import enum

import msgspec


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

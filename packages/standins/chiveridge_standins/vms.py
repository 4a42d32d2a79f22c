"""Stand-in for the platform's list of VMs."""

import asyncio
import datetime
import enum

import falcon
import falcon.asgi
import msgspec

from chiveridge_standins import clocks, controls, lags


class VmRole(enum.Enum):
    """What a VM is for."""

    ENTRY = "entry"
    TARGET = "target"


class VmState(enum.Enum):
    """Whether a VM takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One VM as the platform lists it."""

    name: str = ""
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
    """Every VM, with a version that grows with each write."""

    version: int
    vms: list[Vm]


class VmFaults(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Faults of the list; reads lag behind writes by ``lag_ms``."""

    down: bool = False
    delay_ms: float = 0
    lag_ms: float = 0


class VmRegistry:
    """VMs by name, and the lagging list that readers see."""

    def __init__(self, clock: clocks.Clock):
        self.faults = VmFaults()
        self._vms_by_name: dict[str, Vm] = {}
        self._version = 0
        self._listed = lags.LaggedValue(VmList(0, []), clock, datetime.timedelta())

    def put(self, vm: Vm) -> None:
        """Add or replace a VM."""
        self._vms_by_name[vm.name] = vm
        self._write()

    def delete(self, name: str) -> bool:
        """Remove a VM; return whether it was there."""
        if self._vms_by_name.pop(name, None) is None:
            return False
        self._write()
        return True

    def listed(self) -> VmList:
        """Return the list as it was when the lag began."""
        return self._listed.read()

    def set_faults(self, faults: VmFaults) -> None:
        """Replace the faults."""
        self.faults = faults
        self._listed.lag = datetime.timedelta(milliseconds=faults.lag_ms)

    def _write(self) -> None:
        self._version += 1
        self._listed.write(VmList(self._version, list(self._vms_by_name.values())))


class ListResource:
    """The list as nodes read it."""

    def __init__(self, registry: VmRegistry):
        self._registry = registry

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Answer the lagging list."""
        faults = self._registry.faults
        await asyncio.sleep(faults.delay_ms / 1000)
        if self._registry.faults.down:
            raise falcon.HTTPServiceUnavailable(description="the list of VMs is down")
        resp.data = msgspec.json.encode(self._registry.listed())


class VmResource:
    """Writes by the operators of the stand-in, which faults leave alone."""

    def __init__(self, registry: VmRegistry):
        self._registry = registry

    async def on_put(self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str) -> None:
        """Add or replace a VM; the name is that of the path."""
        vm = controls.decoded(await req.stream.read(), Vm)
        self._registry.put(msgspec.structs.replace(vm, name=name))
        resp.status = falcon.HTTP_204

    async def on_delete(
        self, _req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Remove a VM."""
        resp.status = falcon.HTTP_204 if self._registry.delete(name) else falcon.HTTP_404


def add_routes(app: falcon.asgi.App, registry: VmRegistry) -> None:
    """Add the routes of the list and of its control to an application."""
    app.add_route("/v1/vms", ListResource(registry))
    app.add_route("/v1/vms/{name}", VmResource(registry))
    control = controls.ControlResource(lambda: registry.faults, registry.set_faults)
    app.add_route("/vms/control", control)

"""Stand-in for the platform's list of VMs."""

import asyncio
import collections
import datetime
import enum

import falcon
import falcon.asgi
import msgspec

from chiveridge_standins import clocks, fault_controls, lagged_values

MAX_WRITES = 10_000
WAIT_INTERVAL_S = 0.02


class VmRole(enum.Enum):
    """Role of a VM."""

    ENTRY = "entry"
    TARGET = "target"


class VmState(enum.Enum):
    """Whether a VM accepts new work."""

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
    """All VMs, with a version that increases with each write."""

    version: int
    vms: list[Vm]


class VmListReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The whole list, or the changes after version ``since``; ``gone`` names removed VMs."""

    version: int
    vms: list[Vm]
    since: int | None = None
    gone: list[str] = []


class VmFaults(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Faults of the list.

    Reads lag behind writes by ``lag_ms``. With ``whole``, reads ignore ``since`` and ``wait_ms``
    and return the whole list without waiting for a change.
    """

    down: bool = False
    delay_ms: float = 0
    lag_ms: float = 0
    whole: bool = False


class VmWrite(msgspec.Struct, frozen=True):
    """Name of the VM whose write created a version."""

    version: int
    name: str


class VmRegistry:
    """VMs by name, and the delayed list that readers see.

    The changes of the last ``MAX_WRITES`` versions are kept.
    """

    def __init__(self, clock: clocks.Clock):
        self.faults = VmFaults()
        self._vms_by_name: dict[str, Vm] = {}
        self._version = 0
        self._recent_writes: collections.deque[VmWrite] = collections.deque(maxlen=MAX_WRITES)
        self._visible_list = lagged_values.LaggedValue(VmList(0, []), clock, datetime.timedelta())

    def put(self, vm: Vm) -> None:
        """Add or replace a VM."""
        self._vms_by_name[vm.name] = vm
        self._write(vm.name)

    def delete(self, name: str) -> bool:
        """Remove a VM; return whether it existed."""
        if self._vms_by_name.pop(name, None) is None:
            return False
        self._write(name)
        return True

    def visible_list(self) -> VmList:
        """Return the list as of ``lag_ms`` ago."""
        return self._visible_list.read()

    def read(self, since: int | None) -> VmListReply:
        """Return the changes after version ``since``, or the whole list if they are not kept."""
        visible_list = self.visible_list()
        oldest_version = (
            self._recent_writes[0].version - 1 if self._recent_writes else self._version
        )
        if since is None or not oldest_version <= since <= visible_list.version:
            return VmListReply(version=visible_list.version, vms=visible_list.vms)
        written_names = {
            write.name
            for write in self._recent_writes
            if since < write.version <= visible_list.version
        }
        changed = [vm for vm in visible_list.vms if vm.name in written_names]
        gone = sorted(written_names.difference(vm.name for vm in changed))
        return VmListReply(version=visible_list.version, vms=changed, since=since, gone=gone)

    async def wait_for_change(self, version: int, wait_s: float) -> None:
        """Wait until the version changes or the list is down, for at most ``wait_s`` seconds."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while (
            loop.time() < deadline
            and self.visible_list().version == version
            and not self.faults.down
        ):
            await asyncio.sleep(WAIT_INTERVAL_S)

    def set_faults(self, faults: VmFaults) -> None:
        """Replace the faults."""
        self.faults = faults
        self._visible_list.lag = datetime.timedelta(milliseconds=faults.lag_ms)

    def _write(self, name: str) -> None:
        self._version += 1
        self._recent_writes.append(VmWrite(self._version, name))
        self._visible_list.write(VmList(self._version, list(self._vms_by_name.values())))


class VmListResource:
    """Serves the list of VMs to nodes."""

    def __init__(self, registry: VmRegistry):
        self._registry = registry

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return the visible list, or wait for the changes after version ``since``."""
        since = None
        if not self._registry.faults.whole:
            since = req.get_param_as_int("since", min_value=0)
        wait_ms = req.get_param_as_int("wait_ms", min_value=0, default=0)
        faults = self._registry.faults
        await asyncio.sleep(faults.delay_ms / 1000)
        if since is not None:
            await self._registry.wait_for_change(since, wait_ms / 1000)
        if self._registry.faults.down:
            raise falcon.HTTPServiceUnavailable(description="the list of VMs is down")
        resp.data = msgspec.json.encode(self._registry.read(since))


class VmResource:
    """Changes the list for users of the stand-in; ``down`` and ``delay_ms`` do not apply."""

    def __init__(self, registry: VmRegistry):
        self._registry = registry

    async def on_put(self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str) -> None:
        """Add or replace a VM; its name is taken from the path."""
        vm = fault_controls.decode_body(await req.stream.read(), Vm)
        self._registry.put(msgspec.structs.replace(vm, name=name))
        resp.status = falcon.HTTP_204

    async def on_delete(
        self, _req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Remove a VM."""
        resp.status = falcon.HTTP_204 if self._registry.delete(name) else falcon.HTTP_404


def add_routes(app: falcon.asgi.App, registry: VmRegistry) -> None:
    """Add the routes of the list and of its fault control to an application."""
    app.add_route("/v1/vms", VmListResource(registry))
    app.add_route("/v1/vms/{name}", VmResource(registry))
    control = fault_controls.ControlResource(lambda: registry.faults, registry.set_faults)
    app.add_route("/vms/control", control)

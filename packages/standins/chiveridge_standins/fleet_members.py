"""Nodes and targets of a running fleet, and requests to its stand-ins."""

import aiohttp
import msgspec

from chiveridge_standins import servers, task_counts, vms


class NodeListening(msgspec.Struct, tag="listening", tag_field="event"):
    """Announcement that a node prints on standard output once it listens."""

    name: str
    address: str
    port: int
    peer_port: int
    incarnation: str


class RunningNode(msgspec.Struct, frozen=True):
    """A running node."""

    name: str
    domain: str
    listening: NodeListening

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return loopback_url(self.listening.port)


class RunningTarget:
    """A running target; ``process_name`` names its process, which may host other targets."""

    def __init__(
        self, session: aiohttp.ClientSession, vm: vms.Vm, process_name: str, control_url: str
    ):
        self.vm = vm
        self.process_name = process_name
        self.url = loopback_url(vm.port)
        self._session = session
        self._control_url = control_url

    async def counts(self) -> task_counts.Counts:
        """Return the task counts of the target."""
        content = await send_request(self._session, "GET", f"{self._control_url}/v1/counts")
        return msgspec.json.decode(content, type=task_counts.Counts)

    async def set_faults(self, **changes: object) -> None:
        """Change fields of :class:`chiveridge_standins.simulated_targets.TargetFaults`."""
        await send_request(self._session, "POST", f"{self._control_url}/control", changes)


async def send_request(
    session: aiohttp.ClientSession, method: str, url: str, payload: object = None
) -> bytes:
    """Send a JSON request to a stand-in and return the body of the reply.

    :raises aiohttp.ClientResponseError: when the reply has an error status.
    """
    content = msgspec.json.encode({} if payload is None else payload)
    async with session.request(method, url, data=content) as reply:
        reply.raise_for_status()
        return await reply.read()


def loopback_url(port: int) -> str:
    """Return the base URL of a port on the loopback address."""
    return f"http://{servers.LOOPBACK}:{port}"

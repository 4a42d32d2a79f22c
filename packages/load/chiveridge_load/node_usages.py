"""Resource usage of a node of a fleet, from its metrics and from ``/proc``."""

import re

import aiohttp
import msgspec

from chiveridge_load import process_usages
from chiveridge_standins import fleets

_SENT_BYTES = re.compile(r'^chiveridge_peer_bytes_total{direction="sent"} (\S+)$', re.MULTILINE)
_SENT_MESSAGES = re.compile(
    r'^chiveridge_peer_messages_total{direction="sent"} (\S+)$', re.MULTILINE
)
_LISTING_BYTES = re.compile(r'^chiveridge_platform_bytes_total{source="vms"} (\S+)$', re.MULTILINE)


class Usage(msgspec.Struct, frozen=True):
    """Usage of one node since its start, and its current resident memory.

    ``sent_*`` counts the traffic to peers, and ``listing_bytes`` the bytes read of the VM list.
    """

    sent_bytes: float
    sent_messages: float
    listing_bytes: float
    cpu_seconds: float
    resident_mb: float


async def usage_of(fleet: fleets.Fleet, name: str, session: aiohttp.ClientSession) -> Usage:
    """Return the usage of a node since its start."""
    async with session.get(f"{fleet.nodes_by_name[name].url}/metrics") as reply:
        text = await reply.text()
    pid = fleet.pid(name)
    return Usage(
        sent_bytes=float(_SENT_BYTES.search(text)[1]),
        sent_messages=float(_SENT_MESSAGES.search(text)[1]),
        listing_bytes=float(_LISTING_BYTES.search(text)[1]),
        cpu_seconds=process_usages.cpu_s(pid),
        resident_mb=process_usages.memory_mb(pid),
    )

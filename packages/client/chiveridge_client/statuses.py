"""Asks nodes for their view of the system."""

import asyncio
import datetime

import aiohttp
import msgspec

REQUEST_TIMEOUT = datetime.timedelta(seconds=3)


class NodeStatus(msgspec.Struct, frozen=True):
    """What ``GET /v1/status`` of one node answered, or why it didn't."""

    url: str
    status: dict[str, object] | None = None
    error: str = ""


async def fetch_all(urls: list[str], session: aiohttp.ClientSession) -> list[NodeStatus]:
    """Return the status of every node, in the order of ``urls``."""
    return await asyncio.gather(*(_fetch(url, session) for url in urls))


async def _fetch(url: str, session: aiohttp.ClientSession) -> NodeStatus:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT.total_seconds())
    try:
        async with session.get(f"{url}/v1/status", timeout=timeout) as response:
            response.raise_for_status()
            payload = await response.read()
        return NodeStatus(url, msgspec.json.decode(payload, type=dict[str, object]))
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
        return NodeStatus(url, error=str(error) or type(error).__name__)

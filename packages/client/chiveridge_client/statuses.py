"""Fetches and renders the status of nodes."""

import asyncio
import datetime

import aiohttp
import msgspec

from chiveridge_client import tables

REQUEST_TIMEOUT = datetime.timedelta(seconds=3)
POLL_INTERVAL = datetime.timedelta(milliseconds=100)


class NodeStatus(msgspec.Struct, frozen=True):
    """Reply of one node to ``GET /v1/status``, or the error if there is no reply."""

    url: str
    status: dict[str, object] | None = None
    error: str = ""


async def fetch_all(urls: list[str], session: aiohttp.ClientSession) -> list[NodeStatus]:
    """Return the status of every node, in the order of ``urls``."""
    return await asyncio.gather(*(_fetch(url, session) for url in urls))


def is_applied_by_all(
    node_statuses: list[NodeStatus], offset: int, *, with_members: bool = True
) -> bool:
    """Return whether every queried node has applied an offset.

    ``with_members`` requires the same of every live node in their member lists, which are as old
    as the last heartbeat.
    """
    applied_offsets = []
    for node in node_statuses:
        status = node.status or {"config_offset": 0}
        applied_offsets.append(status["config_offset"])
        members = status.get("members", []) if with_members else []
        live = [member for member in members if member["state"] == "live"]
        applied_offsets += [member["config_offset"] for member in live]
    return all(value > offset for value in applied_offsets)


def render(node_statuses: list[NodeStatus]) -> str:
    """Return tables of the nodes, of their members and of their targets."""
    rows = [_node_row(node) for node in node_statuses]
    parts = [tables.render(_NODE_TITLES, rows)]
    reachable = [node.status for node in node_statuses if node.status is not None]
    members = [
        [status.get("name", ""), member["name"], member["domain"], member["state"]]
        + [member["config_offset"], f"{member['silent_ms'] / 1000:.1f}"]
        for status in reachable
        for member in status.get("members", [])
    ]
    if members:
        titles = ["SEEN BY", "MEMBER", "DOMAIN", "STATE", "OFFSET", "SILENT S"]
        parts.append(tables.render(titles, members))
    targets = [
        [status.get("name", ""), name, state]
        for status in reachable
        for name, state in status.get("target_states", {}).items()
    ]
    if targets:
        parts.append(tables.render(["SEEN BY", "TARGET", "STATE"], targets))
    evacuations = [
        [status.get("name", ""), row["domain"], f"{row['since_s']:.1f}", row["runs"]]
        for status in reachable
        for row in status.get("evacuations", [])
    ]
    if evacuations:
        titles = ["SEEN BY", "EVACUATED", "SINCE S", "RUNS HELD HERE"]
        parts.append(tables.render(titles, evacuations))
    return "\n\n".join(parts)


_NODE_TITLES = ["NODE", "NAME", "STATE", "OFFSET", "LOG READ S AGO", "VMS READ S AGO", "JOBS"]


def _node_row(node: NodeStatus) -> list[object]:
    if node.status is None:
        return [node.url, "-", "unreachable", node.error, "-", "-", "-"]
    status = node.status
    state = (
        "draining" if status.get("draining") else "ready" if status.get("ready") else "not ready"
    )
    return [
        node.url,
        status.get("name", ""),
        state,
        status.get("config_offset", ""),
        _seconds_text(status.get("config_staleness_s")),
        _seconds_text(status.get("vms_staleness_s")),
        status.get("jobs_in_progress", ""),
    ]


def _seconds_text(value: float | None) -> str:
    return "never" if value is None else f"{value:.1f}"


async def _fetch(url: str, session: aiohttp.ClientSession) -> NodeStatus:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT.total_seconds())
    try:
        async with session.get(f"{url}/v1/status", timeout=timeout) as response:
            response.raise_for_status()
            payload = await response.read()
        return NodeStatus(url, msgspec.json.decode(payload, type=dict[str, object]))
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        msgspec.MsgspecError,
        RecursionError,
    ) as error:
        return NodeStatus(url, error=str(error) or type(error).__name__)

"""Measures a fleet without jobs: CPU time, memory and traffic between nodes."""

import asyncio
import datetime
import statistics

import msgspec

from chiveridge_load import deployments, process_usages, runs
from chiveridge_standins import fleets

DEPLOYMENT = "lagos"
TEAM = deployments.TeamPlan(name="dispatch-desk", secret=runs.SECRET)


class Idle(msgspec.Struct, frozen=True, kw_only=True):
    """Usage of the nodes of a fleet without jobs; CPU shares are of one core.

    ``memory_mb`` is the resident memory of the largest node, and ``peer_bytes`` the mean bytes per
    second per node.
    """

    nodes: int
    seconds: float
    cpu_share: float
    max_cpu_share: float
    memory_mb: float
    peer_bytes: float


async def measure(policy: str, duration: datetime.timedelta) -> Idle:
    """Measure a fleet that receives no jobs."""
    plan = deployments.fleet_plan(DEPLOYMENT, policy, proxied=True)
    async with deployments.ready_fleet(plan, [TEAM], runs.READY_TIMEOUT_S) as fleet:
        await asyncio.sleep(runs.SETTLE_S)
        return await _measure_idle(fleet, duration.total_seconds())


async def _measure_idle(fleet: fleets.Fleet, seconds: float) -> Idle:
    pids = [fleet.pid(name) for name in fleet.nodes_by_name]
    cpu_before_s = [process_usages.cpu_s(pid) for pid in pids]
    peer_bytes_before = _peer_bytes(fleet)
    await asyncio.sleep(seconds)
    shares = [
        (process_usages.cpu_s(pid) - before) / seconds
        for pid, before in zip(pids, cpu_before_s, strict=True)
    ]
    return Idle(
        nodes=len(pids),
        seconds=seconds,
        cpu_share=statistics.fmean(shares),
        max_cpu_share=max(shares),
        memory_mb=max(process_usages.memory_mb(pid) for pid in pids),
        peer_bytes=(_peer_bytes(fleet) - peer_bytes_before) / seconds / len(pids),
    )


def _peer_bytes(fleet: fleets.Fleet) -> int:
    return sum(proxy.counts.passed_bytes for proxy in fleet.proxies_by_name.values())


def describe(idle: Idle) -> str:
    """Return the measurement as one line of text."""
    return (
        f"{idle.nodes} nodes without jobs: {idle.cpu_share:.2%} of a core on average and "
        f"{idle.max_cpu_share:.2%} at most, {idle.memory_mb:.0f} MB, {idle.peer_bytes:.0f} bytes/s "
        "between nodes"
    )

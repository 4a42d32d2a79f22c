"""Measures the control traffic, CPU and memory of nodes at several domain sizes.

``python -m chiveridge_load.control_benches`` prints one JSON object: a measurement for each size,
idle and under load, and the slopes of the idle ones per node. ``bytes_per_second`` counts the bytes
that nodes write to their peer sockets, and ``wire_bytes_per_second`` adds an estimate of the TCP
and IP headers.
"""

import asyncio
import json
import sys
import time

import aiohttp
import msgspec
from absl import app, flags

from chiveridge_client import clients
from chiveridge_kernel import heartbeats, messages
from chiveridge_load import deployments, interruptions, node_usages
from chiveridge_standins import fleet_plans, fleets

_SIZES = flags.DEFINE_list("sizes", ["3", "9", "25"], "Numbers of nodes in each domain.")
_DOMAINS = flags.DEFINE_integer("domains", 1, "Number of domains.", lower_bound=1)
_SECONDS = flags.DEFINE_integer("seconds", 20, "Length of a measurement in seconds.")
_JOBS_PER_SECOND = flags.DEFINE_float(
    "jobs_per_second", 5.0, "Job rate of the measurement under load."
)

SETTLE_SECONDS = 6
TARGETS_PER_DOMAIN = 2
TEAM = deployments.TeamPlan(name="bench", secret="secret-of-the-bench")


class Measurement(msgspec.Struct, frozen=True):
    """Means per node of a fleet; ``cpu_share`` is a share of one core.

    ``nodes`` is the number of nodes in all ``domains`` together.
    """

    domains: int
    nodes: int
    jobs_per_second: float
    bytes_per_second: float
    wire_bytes_per_second: float
    messages_per_second: float
    cpu_share: float
    resident_mb: float


class Report(msgspec.Struct, frozen=True):
    """All measurements, and the increase of the idle ones per additional node."""

    measurements: list[Measurement]
    idle_bytes_per_second_per_node: float
    idle_cpu_share_per_node: float


async def measure(
    fleet: fleets.Fleet, session: aiohttp.ClientSession, seconds: float, jobs_per_second: float
) -> Measurement:
    """Measure the nodes of a fleet for a number of seconds."""
    names = list(fleet.nodes_by_name)
    before = [await node_usages.usage_of(fleet, name, session) for name in names]
    started_at = time.monotonic()
    await asyncio.sleep(seconds)
    after = [await node_usages.usage_of(fleet, name, session) for name in names]
    node_seconds = (time.monotonic() - started_at) * len(names)
    pairs = list(zip(before, after, strict=True))
    sent_bytes = sum(last.sent_bytes - first.sent_bytes for first, last in pairs)
    sent_messages = sum(last.sent_messages - first.sent_messages for first, last in pairs)
    header_bytes = sent_messages * heartbeats.WIRE_BYTES_PER_MESSAGE
    cpu_seconds = sum(last.cpu_seconds - first.cpu_seconds for first, last in pairs)
    return Measurement(
        domains=_DOMAINS.value,
        nodes=len(names),
        jobs_per_second=jobs_per_second,
        bytes_per_second=round(sent_bytes / node_seconds, 1),
        wire_bytes_per_second=round((sent_bytes + header_bytes) / node_seconds, 1),
        messages_per_second=round(sent_messages / node_seconds, 2),
        cpu_share=round(cpu_seconds / node_seconds, 5),
        resident_mb=round(sum(last.resident_mb for last in after) / len(names), 1),
    )


async def submit_at_rate(fleet: fleets.Fleet, credential: str, jobs_per_second: float) -> None:
    """Submit jobs of four 5 ms tasks at a constant rate until cancelled."""
    body = msgspec.Raw(msgspec.json.encode({"run_ms": 5}))
    async with (
        clients.Client(fleet.node_urls(), credential) as client,
        asyncio.TaskGroup() as group,
    ):
        while True:
            group.create_task(client.submit([messages.TaskSpec(body=body)] * 4))
            await asyncio.sleep(1 / jobs_per_second)


async def measure_domain_size(
    nodes: int, seconds: float, jobs_per_second: float
) -> list[Measurement]:
    """Measure domains of a number of nodes, first idle and then under a light load."""
    domain = fleet_plans.DomainPlan(node_count=nodes, target_count=TARGETS_PER_DOMAIN)
    plan = fleet_plans.FleetPlan(
        domains={f"domain-{number + 1}": domain for number in range(_DOMAINS.value)}
    )
    async with (
        deployments.ready_fleet(plan, [TEAM]) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await asyncio.sleep(SETTLE_SECONDS)
        idle = await measure(fleet, session, seconds, 0.0)
        load_task = asyncio.create_task(submit_at_rate(fleet, TEAM.credential, jobs_per_second))
        loaded = await measure(fleet, session, seconds, jobs_per_second)
        load_task.cancel()
        await asyncio.gather(load_task, return_exceptions=True)
        return [idle, loaded]


async def run(sizes: list[int], seconds: float, jobs_per_second: float) -> Report:
    """Measure every domain size and compute the slopes."""
    measurements: list[Measurement] = []
    for size in sizes:
        measurements.extend(await measure_domain_size(size, seconds, jobs_per_second))
    idle = [measurement for measurement in measurements if not measurement.jobs_per_second]
    return Report(
        measurements=measurements,
        idle_bytes_per_second_per_node=_slope(
            [(measurement.nodes, measurement.bytes_per_second) for measurement in idle]
        ),
        idle_cpu_share_per_node=_slope(
            [(measurement.nodes, measurement.cpu_share) for measurement in idle]
        ),
    )


def _slope(points: list[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line, or 0 if all points have the same x."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return 0.0
    return round(sum((x - mean_x) * (y - mean_y) for x, y in points) / spread, 6)


def main(argv: list[str]) -> None:
    """Run the measurements and print the report."""
    del argv
    sizes = [int(text) for text in _SIZES.value]
    report = interruptions.run(run(sizes, _SECONDS.value, _JOBS_PER_SECOND.value))
    json.dump(msgspec.to_builtins(report), sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    app.run(main)

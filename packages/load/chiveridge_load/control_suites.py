"""Measures the control plane of the nodes and checks it against limits for the intended fleet size.

``python -m chiveridge_load.control_suites`` writes one JSON object: the time until an accepted
change is in force, the cost of selectors at several numbers of targets, and the control traffic,
CPU and memory of idle nodes in domains of several sizes.
"""

import asyncio
import pathlib

import aiohttp
import msgspec
from absl import app, flags

from chiveridge_load import (
    control_benches,
    deployments,
    interruptions,
    publication_benches,
    reach_benches,
    reports,
)
from chiveridge_standins import fleet_plans

DEFAULT_OUT = "build/control.json"
NODES_PER_DOMAIN = 3
PUBLISHED_CHANGES = 30
TARGET_COUNTS = (24, 256, 4100)
TEAMS = 160
RULES = 300
SEED = 1
DOMAIN_SIZES = (3, 9, 25)
IDLE_SECONDS = 5.0

MAX_IN_FORCE_MS = 5_000.0
MAX_SELECTOR_GROWTH = 1.25
"""Time to select candidates at the most targets, as a multiple of that at the fewest."""

MAX_CONTROL_BYTES_PER_SECOND = 3_000.0
MAX_CONTROL_CPU_SHARE = 0.023
MAX_MEMORY_MB = 256.0


class ControlReport(msgspec.Struct, frozen=True, kw_only=True):
    """All measurements, and the results of checking them against their limits."""

    publication: publication_benches.PublicationFigures
    reaches: list[reach_benches.TaskFigures]
    idle: list[control_benches.Measurement]
    limits: list[reports.LimitResult]


def limits(
    publication: publication_benches.PublicationFigures,
    reaches: list[reach_benches.TaskFigures],
    idle: list[control_benches.Measurement],
) -> list[reports.Limit]:
    """Return the measured values with their limits; ``reaches`` ascend by number of targets."""
    selector_growth = reaches[-1].task_us / reaches[0].task_us
    checks = [
        reports.Limit("in_force_ms", publication.in_force_ms_max, MAX_IN_FORCE_MS),
        reports.Limit("selector_growth", selector_growth, MAX_SELECTOR_GROWTH),
    ]
    for measurement in idle:
        suffix = f"at_{measurement.nodes}_nodes"
        checks += [
            reports.Limit(
                f"bytes_per_second_{suffix}",
                measurement.wire_bytes_per_second,
                MAX_CONTROL_BYTES_PER_SECOND,
            ),
            reports.Limit(f"cpu_share_{suffix}", measurement.cpu_share, MAX_CONTROL_CPU_SHARE),
            reports.Limit(f"memory_mb_{suffix}", measurement.resident_mb, MAX_MEMORY_MB),
        ]
    return checks


async def measure() -> ControlReport:
    """Run the measurements in turn, as they would distort each other if run concurrently."""
    reaches = [reach_benches.measure_task(targets, TEAMS, RULES, SEED) for targets in TARGET_COUNTS]
    idle = [await _measure_domain(nodes) for nodes in DOMAIN_SIZES]
    publication = await publication_benches.measure(NODES_PER_DOMAIN, PUBLISHED_CHANGES)
    return ControlReport(
        publication=publication,
        reaches=reaches,
        idle=idle,
        limits=[reports.limit_result(limit) for limit in limits(publication, reaches, idle)],
    )


async def _measure_domain(nodes: int) -> control_benches.Measurement:
    domain = fleet_plans.DomainPlan(
        node_count=nodes, target_count=control_benches.TARGETS_PER_DOMAIN
    )
    plan = fleet_plans.FleetPlan(domains={"domain-1": domain})
    async with (
        deployments.ready_fleet(plan, [control_benches.TEAM]) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await asyncio.sleep(control_benches.SETTLE_SECONDS)
        return await control_benches.measure(fleet, session, IDLE_SECONDS, 0.0)


def table(report: ControlReport) -> str:
    """Return the results as text, one limit per line."""
    return "\n".join(
        f"{result.name:<34} {result.measured:>10.3f} {result.limit:>10.3f} "
        f"{'kept' if result.passed else 'MISSED'}"
        for result in report.limits
    )


def main(_argv: list[str]) -> None:
    """Measure, write the report and print its limits."""
    out = pathlib.Path(flags.FLAGS.out)
    report = interruptions.run(measure())
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n")
    print(table(report))


if __name__ == "__main__":
    flags.DEFINE_string("out", DEFAULT_OUT, "Report to write, as JSON.")
    app.run(main)

"""Runs a trace against a fleet of real processes and measures it from the outside."""

import asyncio
import datetime
import time

import msgspec

from chiveridge_load import (
    deployments,
    disturbances,
    fanouts,
    footprints,
    measurements,
    reconciliations,
    workloads,
)
from chiveridge_standins import fleet_plans, fleets

READY_TIMEOUT_S = 60.0
SETTLE_S = 1.0
"""Idle time after the fleet is ready, in which its processes finish starting."""

SENDER_PROCESSES = 3
SECRET = "bench-secret-of-no-value"


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run: a fleet, a trace, and a disturbance of the fleet meanwhile."""

    plan: fleet_plans.FleetPlan
    jobs: list[workloads.JobPlan]
    seed: int
    seconds: float
    peer_delay: datetime.timedelta = datetime.timedelta(0)
    disturb: disturbances.Disturbance | None = None

    def teams(self) -> list[deployments.TeamPlan]:
        """Return the teams that the jobs belong to."""
        names = sorted({job.team for job in self.jobs})
        return [deployments.TeamPlan(name=name, secret=SECRET) for name in names]


async def measure(run: Run) -> measurements.Measurement:
    """Start a fleet, run the trace against it and return the measurement."""
    async with deployments.ready_fleet(run.plan, run.teams(), READY_TIMEOUT_S) as fleet:
        deployments.delay_peers(fleet, run.peer_delay)
        return await _measure_on_fleet(run, fleet)


async def _measure_on_fleet(run: Run, fleet: fleets.Fleet) -> measurements.Measurement:
    urls = fleet.node_urls()
    node_names_by_url = {node.url: name for name, node in fleet.nodes_by_name.items()}
    sender_pool = fanouts.SenderPool(
        urls, run.teams(), run.jobs, seed=run.seed, count=SENDER_PROCESSES
    )
    async with sender_pool:
        await asyncio.sleep(SETTLE_S)
        started = sender_pool.start()
        origin_ms = (time.time() + started - time.monotonic()) * 1000
        context = disturbances.RunContext(
            fleet=fleet,
            sender_pool=sender_pool,
            started=started,
            node_names_by_url=node_names_by_url,
            peer_delay=run.peer_delay,
        )
        before = footprints.sample_nodes(fleet)
        records, disturbed_until_s = await asyncio.gather(
            sender_pool.records(), _disturb(run, context)
        )
        after = footprints.sample_nodes(fleet)
    counts_by_target = {
        name: await target.counts() for name, target in fleet.targets_by_name.items()
    }
    starts = reconciliations.collect_starts(counts_by_target)
    return measurements.Measurement(
        jobs=run.jobs,
        records=records,
        verdict=reconciliations.reconcile(run.jobs, records, starts),
        starts=starts,
        origin_ms=origin_ms,
        node_names_by_url=node_names_by_url,
        load_on_nodes=footprints.footprint_between(before, after),
        disturbed_until_s=disturbed_until_s,
        slots=deployments.total_slots(run.plan),
        seconds=run.seconds,
    )


async def _disturb(run: Run, context: disturbances.RunContext) -> float:
    """Disturb the fleet; return when that ended, in seconds from the start of the run."""
    if run.disturb is None:
        return 0.0
    await run.disturb(context)
    return asyncio.get_running_loop().time() - context.started

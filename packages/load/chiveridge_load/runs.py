"""Runs a trace against a fleet of real processes and measures it from the outside."""

import asyncio

import msgspec

from chiveridge_load import deployments, fanouts, measurements, reconciliations, workloads
from chiveridge_standins import fleets

READY_TIMEOUT_S = 60.0
SETTLE_S = 1.0
"""Idle time after the fleet is ready, in which its processes finish starting."""

SENDERS = 3
SECRET = "bench-secret-of-no-value"


async def measure(
    plan: fleets.FleetPlan,
    jobs: list[workloads.JobPlan],
    teams: list[deployments.TeamPlan],
    *,
    seed: int,
    seconds: float,
) -> measurements.Measurement:
    """Start a fleet, run the trace against it and return what was measured."""
    async with fleets.Fleet(plan) as fleet:
        change = deployments.first_change(teams, list(fleet.targets_by_name))
        await fleet.append_change(msgspec.to_builtins(change))
        await fleet.wait_ready(READY_TIMEOUT_S)
        urls = fleet.node_urls()
        async with fanouts.Fanout(urls, teams, jobs, seed=seed, count=SENDERS) as fanout:
            await asyncio.sleep(SETTLE_S)
            fanout.start()
            records = await fanout.records()
        counted = [await target.counts() for target in fleet.targets_by_name.values()]
    starts = reconciliations.total(counted)
    return measurements.Measurement(
        jobs=jobs,
        records=records,
        verdict=reconciliations.reconcile(jobs, records, starts),
        slots=deployments.slots(plan),
        seconds=seconds,
    )

"""Measures how long an accepted change takes to be in force on every node.

``python -m chiveridge_load.publication_benches`` starts a fleet on this machine and prints one
line of JSON.
"""

import asyncio
import random
import sys
import time

import aiohttp
import msgspec
from absl import app, flags

from chiveridge_client import clocks, errors, platform_logs, publications, statuses
from chiveridge_kernel import records
from chiveridge_load import deployments, interruptions
from chiveridge_standins import fleet_plans, fleets

DOMAINS = ("ikeja", "lekki", "surulere")
POLL_SECONDS = 0.002
TEAM = deployments.TeamPlan(name="dispatch-desk", secret="bench-secret-of-no-value")

_NODES = flags.DEFINE_integer("nodes", 3, "Nodes in each of three domains.", lower_bound=1)
_CHANGES = flags.DEFINE_integer("changes", 50, "Changes to publish.", lower_bound=1)


class PublicationFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Times of changes in milliseconds.

    ``publish_ms`` is the time until the operator has the verdict, and ``in_force_ms`` that from
    then until the status of every node shows the change, including the status requests.
    """

    nodes: int
    changes: int
    publish_ms_median: float
    publish_ms_max: float
    in_force_ms_median: float
    in_force_ms_max: float


async def measure(nodes_per_domain: int, changes: int) -> PublicationFigures:
    """Publish changes in turn, waiting until each is in force on every node."""
    domain = fleet_plans.DomainPlan(node_count=nodes_per_domain, target_count=1)
    plan = fleet_plans.FleetPlan(domains=dict.fromkeys(DOMAINS, domain))
    async with (
        deployments.ready_fleet(plan, [TEAM]) as fleet,
        aiohttp.ClientSession() as session,
    ):
        publisher = publications.Publisher(
            platform_logs.LogClient(fleet.platform_url, session),
            rng=random.Random(1),
            clock=clocks.SystemClock(),
        )
        durations = [await _time_change(fleet, session, publisher, i) for i in range(changes)]
    publish_times_ms = sorted(pair[0] * 1e3 for pair in durations)
    in_force_times_ms = sorted(pair[1] * 1e3 for pair in durations)
    return PublicationFigures(
        nodes=nodes_per_domain * len(DOMAINS),
        changes=changes,
        publish_ms_median=round(publish_times_ms[changes // 2], 1),
        publish_ms_max=round(publish_times_ms[-1], 1),
        in_force_ms_median=round(in_force_times_ms[changes // 2], 1),
        in_force_ms_max=round(in_force_times_ms[-1], 1),
    )


async def _time_change(
    fleet: fleets.Fleet,
    session: aiohttp.ClientSession,
    publisher: publications.Publisher,
    number: int,
) -> tuple[float, float]:
    """Publish a change and wait until it is in force on every node.

    Return the seconds until the verdict, and those from the verdict until it is in force.
    """
    started_at = time.perf_counter()
    writes = publications.parse_writes(f"[team team-{number}]\nlabels = number={number}\n")
    publication = await publisher.publish(writes, "bench")
    if publication.verdict is not records.Verdict.ACCEPTED:
        raise errors.ClientError(
            f"change {number} was not accepted; verdict: {publication.verdict.value}"
        )
    accepted_at = time.perf_counter()
    while not statuses.is_applied_by_all(
        await statuses.fetch_all(fleet.node_urls(), session), publication.offset, with_members=False
    ):
        await asyncio.sleep(POLL_SECONDS)
    return accepted_at - started_at, time.perf_counter() - accepted_at


def main(argv: list[str]) -> int:
    """Run the measurement and print the figures."""
    del argv
    figures = interruptions.run(measure(_NODES.value, _CHANGES.value))
    sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")
    return 0


if __name__ == "__main__":
    app.run(main)

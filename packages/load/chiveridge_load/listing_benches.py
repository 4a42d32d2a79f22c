"""Measures what following the list of VMs costs a node, idle and while VMs are replaced.

``python -m chiveridge_load.listing_benches`` prints JSON, a measurement for each pace of changes.
The VMs listed beside the node do not exist; nothing is sent to the targets among them.
"""

import asyncio
import itertools
import sys
import time

import aiohttp
import msgspec
from absl import app, flags

from chiveridge_load import node_usages
from chiveridge_standins import fleet_plans, fleets, vms

_TARGETS = flags.DEFINE_integer("targets", 4_100, "Listed targets.", lower_bound=1)
_SECONDS = flags.DEFINE_float("seconds", 20.0, "Length of a measurement.", lower_bound=1.0)
_CHANGES = flags.DEFINE_list("changes", ["0", "1"], "Changes of the list a second, one run each.")
_WHOLE = flags.DEFINE_bool("whole", False, "Have the platform answer the whole list each time.")

DOMAINS = 16
SETTLE_SECONDS = 3.0
MAX_PUTS_IN_PROGRESS = 32


class Measurement(msgspec.Struct, frozen=True):
    """Means over one measurement of one node; ``cpu_share`` is that of one core."""

    targets: int
    whole: bool
    changes_per_second: float
    bytes_per_second: float
    cpu_share: float
    resident_mb: float


def target(number: int, port: int) -> vms.Vm:
    """Return the VM of a target that does not exist."""
    domain = number % DOMAINS
    return vms.Vm(
        name=f"domain-{domain}-t{number}",
        role=vms.VmRole.TARGET,
        domain=f"domain-{domain}",
        address=f"127.1.{number // 250}.{number % 250 + 1}",
        port=port,
        rack=f"domain-{domain}-r{number // (DOMAINS * fleets.TARGETS_PER_RACK)}",
        slots=8,
        memory_mb=131_072,
        cores=64,
        accelerators=2,
    )


async def put_all(fleet: fleets.Fleet, count: int) -> None:
    """List so many targets."""
    gate = asyncio.Semaphore(MAX_PUTS_IN_PROGRESS)

    async def put(number: int) -> None:
        async with gate:
            await fleet.put_vm(target(number, port=1))

    await asyncio.gather(*(put(number) for number in range(count)))


async def change_steadily(fleet: fleets.Fleet, count: int, per_second: float) -> None:
    """Move one target after another until cancelled."""
    if not per_second:
        return
    for serial in itertools.count(2):
        await fleet.put_vm(target(serial % count, port=serial % 60_000 + 1))
        await asyncio.sleep(1 / per_second)


async def measure(
    fleet: fleets.Fleet, session: aiohttp.ClientSession, per_second: float
) -> Measurement:
    """Measure the node of a fleet while the list changes at a pace."""
    (name,) = fleet.nodes_by_name
    changing = asyncio.create_task(change_steadily(fleet, _TARGETS.value, per_second))
    before = await node_usages.usage_of(fleet, name, session)
    begin = time.monotonic()
    await asyncio.sleep(_SECONDS.value)
    elapsed = time.monotonic() - begin
    after = await node_usages.usage_of(fleet, name, session)
    changing.cancel()
    await asyncio.gather(changing, return_exceptions=True)
    return Measurement(
        targets=_TARGETS.value,
        whole=_WHOLE.value,
        changes_per_second=per_second,
        bytes_per_second=round((after.listing_bytes - before.listing_bytes) / elapsed, 1),
        cpu_share=round((after.cpu_seconds - before.cpu_seconds) / elapsed, 5),
        resident_mb=round(after.resident_mb, 1),
    )


async def run() -> list[Measurement]:
    """Measure each pace on one fleet of one node."""
    domain = fleet_plans.DomainPlan(nodes=1, targets=1)
    async with (
        fleets.Fleet(fleet_plans.FleetPlan(domains={"domain-0": domain})) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await fleet.control_vms(whole=_WHOLE.value)
        await put_all(fleet, _TARGETS.value)
        await asyncio.sleep(SETTLE_SECONDS)
        return [await measure(fleet, session, float(pace)) for pace in _CHANGES.value]


def main(argv: list[str]) -> None:
    """Measure and print."""
    del argv
    found = asyncio.run(run())
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(found)).decode() + "\n")


if __name__ == "__main__":
    app.run(main)

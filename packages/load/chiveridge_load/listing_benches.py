"""Measures the cost to a node of following the VM list, idle and while the list changes.

``python -m chiveridge_load.listing_benches`` prints JSON, a measurement for each rate of changes.
The targets added to the list do not exist, and nothing is sent to them.
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
_SECONDS = flags.DEFINE_float(
    "seconds", 20.0, "Length of a measurement in seconds.", lower_bound=1.0
)
_CHANGES = flags.DEFINE_list(
    "changes", ["0", "1"], "Rates of list changes per second, one run each."
)
_WHOLE = flags.DEFINE_bool("whole", False, "Make the platform return the whole list each time.")

DOMAINS = 16
SETTLE_SECONDS = 3.0
MAX_PUTS_IN_PROGRESS = 32


class Measurement(msgspec.Struct, frozen=True):
    """Means over one measurement of one node; ``cpu_share`` is a share of one core."""

    targets: int
    whole: bool
    changes_per_second: float
    bytes_per_second: float
    cpu_share: float
    resident_mb: float


def make_target_vm(number: int, port: int) -> vms.Vm:
    """Return the VM of a nonexistent target."""
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


async def list_targets(fleet: fleets.Fleet, count: int) -> None:
    """Add a number of nonexistent targets to the list."""
    semaphore = asyncio.Semaphore(MAX_PUTS_IN_PROGRESS)

    async def list_target(number: int) -> None:
        async with semaphore:
            await fleet.put_vm(make_target_vm(number, port=1))

    await asyncio.gather(*(list_target(number) for number in range(count)))


async def change_at_rate(fleet: fleets.Fleet, count: int, changes_per_second: float) -> None:
    """List one target after another at a new port until cancelled."""
    if not changes_per_second:
        return
    for change_number in itertools.count(2):
        await fleet.put_vm(make_target_vm(change_number % count, port=change_number % 60_000 + 1))
        await asyncio.sleep(1 / changes_per_second)


async def measure(
    fleet: fleets.Fleet, session: aiohttp.ClientSession, changes_per_second: float
) -> Measurement:
    """Measure the only node of a fleet while the list changes at a constant rate."""
    (name,) = fleet.nodes_by_name
    change_task = asyncio.create_task(change_at_rate(fleet, _TARGETS.value, changes_per_second))
    before = await node_usages.usage_of(fleet, name, session)
    started_at = time.monotonic()
    await asyncio.sleep(_SECONDS.value)
    elapsed = time.monotonic() - started_at
    after = await node_usages.usage_of(fleet, name, session)
    change_task.cancel()
    await asyncio.gather(change_task, return_exceptions=True)
    return Measurement(
        targets=_TARGETS.value,
        whole=_WHOLE.value,
        changes_per_second=changes_per_second,
        bytes_per_second=round((after.listing_bytes - before.listing_bytes) / elapsed, 1),
        cpu_share=round((after.cpu_seconds - before.cpu_seconds) / elapsed, 5),
        resident_mb=round(after.resident_mb, 1),
    )


async def run() -> list[Measurement]:
    """Measure each rate of changes on one fleet of one node."""
    domain = fleet_plans.DomainPlan(node_count=1, target_count=1)
    async with (
        fleets.Fleet(fleet_plans.FleetPlan(domains={"domain-0": domain})) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await fleet.set_vm_list_faults(whole=_WHOLE.value)
        await list_targets(fleet, _TARGETS.value)
        await asyncio.sleep(SETTLE_SECONDS)
        return [await measure(fleet, session, float(rate)) for rate in _CHANGES.value]


def main(argv: list[str]) -> None:
    """Run the measurements and print them."""
    del argv
    measurements = asyncio.run(run())
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(measurements)).decode() + "\n")


if __name__ == "__main__":
    app.run(main)

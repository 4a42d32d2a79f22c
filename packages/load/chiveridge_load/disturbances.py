"""Disturbances of a fleet while a trace runs against it: failing and slow targets, restarts."""

import asyncio
import datetime
from collections.abc import Awaitable, Callable

import msgspec

from chiveridge_load import deployments, fanouts
from chiveridge_standins import fleets

BALANCER_LAG_S = 0.2
"""Time for which a balancer still sends requests to a node that is shutting down."""

STRAGGLER_SLOWDOWN = 5.0


class RunContext(msgspec.Struct, frozen=True, kw_only=True):
    """A running fleet and its senders; ``started`` is the start of the run, in monotonic time.

    A node that restarts is added to ``node_names_by_url`` under its new URL.
    """

    fleet: fleets.Fleet
    sender_pool: fanouts.SenderPool
    started: float
    node_names_by_url: dict[str, str]
    peer_delay: datetime.timedelta

    async def wait_until(self, at_s: float) -> None:
        """Sleep until ``at_s`` seconds after the start of the run."""
        delay_s = self.started + at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(delay_s, 0))


Disturbance = Callable[[RunContext], Awaitable[None]]


def failing_target(name_index: int, at_s: float) -> Disturbance:
    """Return a disturbance that makes one target fail all starts from ``at_s`` on."""

    async def disturb(context: RunContext) -> None:
        await context.wait_until(at_s)
        name = sorted(context.fleet.targets_by_name)[name_index]
        await context.fleet.targets_by_name[name].set_faults(failing=True)

    return disturb


def stragglers(name_indices: tuple[int, ...]) -> Disturbance:
    """Return a disturbance that slows down some targets from the start of the run."""

    async def disturb(context: RunContext) -> None:
        names = sorted(context.fleet.targets_by_name)
        for index in name_indices:
            await context.fleet.targets_by_name[names[index]].set_faults(
                slowdown=STRAGGLER_SLOWDOWN
            )

    return disturb


def rolling_restart(from_s: float) -> Disturbance:
    """Return a disturbance that restarts the nodes one by one and then kills the first."""

    async def disturb(context: RunContext) -> None:
        await context.wait_until(from_s)
        names = list(context.fleet.nodes_by_name)
        for name in names:
            await _restart(context, name)
        await _kill_node(context, names[0])

    return disturb


async def _restart(context: RunContext, name: str) -> None:
    terminating = asyncio.create_task(context.fleet.terminate(name))
    await _remove_from_balancer(context, name)
    await terminating
    node = await context.fleet.start_node(name)
    deployments.delay_peers(context.fleet, context.peer_delay)
    await context.fleet.wait_ready()
    context.node_names_by_url[node.url] = name
    context.sender_pool.set_urls(context.fleet.node_urls())


async def _kill_node(context: RunContext, name: str) -> None:
    await context.fleet.kill(name)
    await _remove_from_balancer(context, name)


async def _remove_from_balancer(context: RunContext, name: str) -> None:
    await asyncio.sleep(BALANCER_LAG_S)
    nodes = context.fleet.nodes_by_name.values()
    context.sender_pool.set_urls([node.url for node in nodes if node.name != name])

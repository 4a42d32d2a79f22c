"""Failed starts that an unreachable target causes at all nodes of its domain together."""

import asyncio
import itertools
import re

from chiveridge_client import clients
from chiveridge_kernel import results

UNREACHABLE_TARGET = "ikeja-t1"
NODES = 3
SLOTS = 8
SETTLED_S = 3.0
"""Time for every node to fail once and to learn from the others that the target is unreachable."""

WINDOW_S = 4.0
_REFUSED = re.compile(r'^chiveridge_start_outcomes_total{outcome="refused"} (\S+)$', re.MULTILINE)


async def refused_starts(deployment) -> float:
    """Return how many starts of all nodes failed because their target refused the connection."""
    pages = [
        (await deployment.caller.request("GET", f"{url}/metrics"))[1].decode()
        for url in deployment.fleet.node_urls()
    ]
    return sum(float(_REFUSED.search(page).group(1)) for page in pages)


async def has_starts(deployment, name: str) -> bool:
    return (await deployment.fleet.targets_by_name[name].counts()).total_starts > 0


class Load:
    """Submit jobs to every node, one after another, until stopped."""

    def __init__(self, callers: list[clients.Client], make_task):
        self.codes = set()
        self._keys = itertools.count()
        self._make_task = make_task
        self._tasks = [asyncio.create_task(self._submit(node)) for node in callers]
        self._stopping = False

    async def stop(self) -> None:
        """Submit no more jobs and wait until those in progress have ended."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _submit(self, node: clients.Client) -> None:
        while not self._stopping:
            tasks = [self._make_task(f"task-{next(self._keys)}", run_ms=10) for _ in range(8)]
            self.codes.add((await node.submit(tasks)).code)


async def test_an_unreachable_target_causes_at_most_one_failed_start_per_slot_and_node(
    deploy, make_task
):
    async with deploy(
        nodes=NODES, targets=4, proxied_names=frozenset({UNREACHABLE_TARGET})
    ) as deployment:
        callers = [
            clients.Client([url], deployment.team.credential)
            for url in deployment.fleet.node_urls()
        ]
        async with callers[0], callers[1], callers[2]:
            proxy = deployment.fleet.proxies_by_name[UNREACHABLE_TARGET]
            proxy.disconnect()
            load = Load(callers, make_task)
            await asyncio.sleep(SETTLED_S)
            settled = await refused_starts(deployment)
            await asyncio.sleep(WINDOW_S)
            later = await refused_starts(deployment)
            await proxy.reconnect()
            await deployment.wait_until(lambda: has_starts(deployment, UNREACHABLE_TARGET))
            await load.stop()
    assert 0 < settled <= NODES * SLOTS
    assert later == settled
    assert load.codes == {results.ResultCode.COMPLETE}

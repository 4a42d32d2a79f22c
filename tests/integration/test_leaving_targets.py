"""Targets that leave get no start later than three seconds after the first evidence."""

import asyncio
import itertools
import time

import msgspec
import pytest

from chiveridge_client import clients
from chiveridge_kernel import results
from chiveridge_standins import vms

LIMIT_MS = 3000
LOAD_MS = LIMIT_MS + 1500
FREEZE_S = 3.5
RUN_MS = 200
BACKLOG = 200
CALLERS_PER_NODE = 3
LISTED, REFUSING, STAYING = "ikeja-t1", "ikeja-t2", "ikeja-t3"


def now_ms() -> int:
    return time.time_ns() // 1_000_000


class Load:
    """Jobs that use every target, sent without a pause until a given time."""

    def __init__(self, nodes: list[clients.Client], make_task):
        self.answers = []
        self._keys = itertools.count()
        self._nodes = nodes
        self._make_task = make_task

    async def run(self, until_ms: int) -> None:
        callers = [
            self._submit(node, until_ms) for node in self._nodes for _ in range(CALLERS_PER_NODE)
        ]
        await asyncio.gather(*callers)

    async def _submit(self, node: clients.Client, until_ms: int) -> None:
        while now_ms() < until_ms:
            tasks = [self._make_task(f"task-{next(self._keys)}", run_ms=10) for _ in range(12)]
            self.answers.append(await node.submit(tasks))


async def starts_after(deployed, name: str, moment_ms: int) -> int:
    """Return how many starts a target counted after a moment."""
    counts = await deployed.fleet.targets_by_name[name].counts()
    return sum(
        started_at > moment_ms for times in counts.started_at_ms.values() for started_at in times
    )


async def has_starts(deployed, name: str) -> bool:
    return (await deployed.fleet.targets_by_name[name].counts()).total_starts > 0


@pytest.mark.promise("leaving_target")
async def test_a_leaving_target_gets_no_late_start(deploy, make_task):
    async with deploy(nodes=2, targets=3) as deployed:
        targets = deployed.fleet.targets_by_name
        callers = [
            clients.Client([url], deployed.team.credential) for url in deployed.fleet.node_urls()
        ]
        async with callers[0], callers[1]:
            load = Load(callers, make_task)
            await load.run(now_ms() + 300)
            assert all([await has_starts(deployed, name) for name in targets])

            evidence_ms = now_ms()
            leaving = msgspec.structs.replace(targets[LISTED].vm, state=vms.VmState.LEAVING)
            await deployed.fleet.control_vms(lag_ms=1000)
            await deployed.fleet.put_vm(leaving)
            await targets[REFUSING].control(leaving=True)
            # Long enough for a refusal; then the target would take work again.
            await load.run(evidence_ms + 1000)
            await targets[REFUSING].control(leaving=False)
            await load.run(evidence_ms + LOAD_MS)

        limit_ms = evidence_ms + LIMIT_MS
        assert await starts_after(deployed, LISTED, limit_ms) == 0
        assert await starts_after(deployed, REFUSING, limit_ms) == 0
        assert await starts_after(deployed, STAYING, limit_ms) > 0
        assert {answer.code for answer in load.answers} == {results.ResultCode.COMPLETE}


async def is_listed_leaving(deployed) -> bool:
    """Tell whether every node has read that the listed target leaves."""
    for url in deployed.fleet.node_urls():
        _, payload = await deployed.caller.request("GET", f"{url}/v1/status")
        if msgspec.json.decode(payload)["target_states"][LISTED] != "leaving":
            return False
    return True


@pytest.mark.promise("leaving_target", failures=["platform_outage"])
async def test_leaving_targets_get_no_late_start_in_an_outage(deploy, make_task):
    async with deploy(nodes=2, targets=3, proxied=frozenset({"platform"})) as deployed:
        targets = deployed.fleet.targets_by_name
        callers = [
            clients.Client([url], deployed.team.credential) for url in deployed.fleet.node_urls()
        ]
        async with callers[0], callers[1]:
            load = Load(callers, make_task)
            leaving = msgspec.structs.replace(targets[LISTED].vm, state=vms.VmState.LEAVING)
            await deployed.fleet.put_vm(leaving)
            await deployed.until(lambda: is_listed_leaving(deployed))
            deployed.fleet.proxies_by_name["platform"].cut()

            evidence_ms = now_ms()
            await targets[REFUSING].control(leaving=True)
            # Long enough for a refusal; then the target would take work again.
            await load.run(evidence_ms + 1000)
            await targets[REFUSING].control(leaving=False)
            await load.run(evidence_ms + LOAD_MS)

        assert await starts_after(deployed, LISTED, evidence_ms) == 0
        assert await starts_after(deployed, REFUSING, evidence_ms + LIMIT_MS) == 0
        assert await starts_after(deployed, STAYING, evidence_ms + LIMIT_MS) > 0
        assert {answer.code for answer in load.answers} == {results.ResultCode.COMPLETE}


@pytest.mark.promise("leaving_target", failures=["freeze", "paused_lease_holder"])
async def test_a_paused_node_starts_nothing_on_targets_that_left_meanwhile(deploy, make_task):
    async with deploy(nodes=1, targets=3) as deployed:
        targets = deployed.fleet.targets_by_name
        tasks = [make_task(f"task-{number}", run_ms=RUN_MS) for number in range(BACKLOG)]
        submission = await deployed.submission("ikeja-e1", *tasks)
        await deployed.caller.submit(deployed.url("ikeja-e1"), submission)
        await deployed.until(lambda: has_starts(deployed, LISTED))
        deployed.fleet.freeze("ikeja-e1")
        # Another change is read first, from the reply that was on its way.
        await deployed.fleet.put_vm(msgspec.structs.replace(targets[STAYING].vm, rack="other"))
        leaving = msgspec.structs.replace(targets[LISTED].vm, state=vms.VmState.LEAVING)
        await deployed.fleet.put_vm(leaving)
        await asyncio.sleep(FREEZE_S)
        woken_ms = now_ms()
        deployed.fleet.thaw("ikeja-e1")
        url = f"{deployed.url('ikeja-e1')}/v1/jobs/{submission.submission_id}?wait_ms=20000"
        _, payload = await deployed.caller.request("GET", url)
        assert msgspec.json.decode(payload)["name"] == "COMPLETE"
        assert await starts_after(deployed, LISTED, woken_ms) == 0
        assert await starts_after(deployed, STAYING, woken_ms) > 0


@pytest.mark.promise("leaving_target", failures=["freeze", "paused_lease_holder"])
async def test_a_node_that_wakes_up_starts_nothing_where_leaving_began_in_its_pause(
    deploy, make_task
):
    async with deploy(targets=3) as deployed:
        [name] = deployed.fleet.nodes_by_name
        url, caller = deployed.url(name), deployed.caller
        jobs = [
            await deployed.submission(name, *(make_task(f"{job}-{task}") for task in range(12)))
            for job in range(8)
        ]
        deployed.fleet.freeze(name)
        replies = [asyncio.create_task(caller.submit(url, job, wait_ms=10_000)) for job in jobs]
        leaving = msgspec.structs.replace(
            deployed.fleet.targets_by_name[LISTED].vm, state=vms.VmState.LEAVING
        )
        await deployed.fleet.put_vm(leaving)
        # The node could learn of it, but does not run.
        await asyncio.sleep(LIMIT_MS / 1000)
        deployed.fleet.thaw(name)
        answers = await asyncio.gather(*replies)
        assert {answer.code for answer in answers} == {results.ResultCode.COMPLETE}
        assert await starts_after(deployed, LISTED, 0) == 0
        assert await starts_after(deployed, STAYING, 0) > 0

"""A leaving target gets no start later than three seconds after the first sign of its leaving."""

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
BACKLOG_TASKS = 200
CALLERS_PER_NODE = 3
LISTED, REFUSING, STAYING = "ikeja-t1", "ikeja-t2", "ikeja-t3"


def now_ms() -> int:
    return time.time_ns() // 1_000_000


class Load:
    """Submit jobs that use every target, one after another, until a given time."""

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


async def starts_after(deployment, name: str, since_ms: int) -> int:
    """Return how many starts a target counted after a time in Unix milliseconds."""
    counts = await deployment.fleet.targets_by_name[name].counts()
    return sum(
        started_at > since_ms for times in counts.started_at_ms.values() for started_at in times
    )


async def has_starts(deployment, name: str) -> bool:
    return (await deployment.fleet.targets_by_name[name].counts()).total_starts > 0


@pytest.mark.promise("leaving_target")
async def test_a_leaving_target_gets_no_late_start(deploy, make_task):
    async with deploy(nodes=2, targets=3) as deployment:
        targets = deployment.fleet.targets_by_name
        callers = [
            clients.Client([url], deployment.team.credential)
            for url in deployment.fleet.node_urls()
        ]
        async with callers[0], callers[1]:
            load = Load(callers, make_task)
            await load.run(now_ms() + 300)
            assert all([await has_starts(deployment, name) for name in targets])

            evidence_ms = now_ms()
            leaving = msgspec.structs.replace(targets[LISTED].vm, state=vms.VmState.LEAVING)
            await deployment.fleet.set_vm_list_faults(lag_ms=1000)
            await deployment.fleet.put_vm(leaving)
            await targets[REFUSING].set_faults(leaving=True)
            # Long enough for a refusal; afterwards the target accepts work again.
            await load.run(evidence_ms + 1000)
            await targets[REFUSING].set_faults(leaving=False)
            await load.run(evidence_ms + LOAD_MS)

        limit_ms = evidence_ms + LIMIT_MS
        assert await starts_after(deployment, LISTED, limit_ms) == 0
        assert await starts_after(deployment, REFUSING, limit_ms) == 0
        assert await starts_after(deployment, STAYING, limit_ms) > 0
        assert {answer.code for answer in load.answers} == {results.ResultCode.COMPLETE}


async def is_leaving_known_to_all(deployment) -> bool:
    """Tell whether every node has read from the VM list that the target is leaving."""
    for url in deployment.fleet.node_urls():
        _, payload = await deployment.caller.request("GET", f"{url}/v1/status")
        if msgspec.json.decode(payload)["target_states"][LISTED] != "leaving":
            return False
    return True


@pytest.mark.promise("leaving_target", failures=["platform_outage"])
async def test_leaving_targets_get_no_late_start_in_an_outage(deploy, make_task):
    async with deploy(nodes=2, targets=3, proxied_names=frozenset({"platform"})) as deployment:
        targets = deployment.fleet.targets_by_name
        callers = [
            clients.Client([url], deployment.team.credential)
            for url in deployment.fleet.node_urls()
        ]
        async with callers[0], callers[1]:
            load = Load(callers, make_task)
            leaving = msgspec.structs.replace(targets[LISTED].vm, state=vms.VmState.LEAVING)
            await deployment.fleet.put_vm(leaving)
            await deployment.wait_until(lambda: is_leaving_known_to_all(deployment))
            deployment.fleet.proxies_by_name["platform"].disconnect()

            evidence_ms = now_ms()
            await targets[REFUSING].set_faults(leaving=True)
            # Long enough for a refusal; afterwards the target accepts work again.
            await load.run(evidence_ms + 1000)
            await targets[REFUSING].set_faults(leaving=False)
            await load.run(evidence_ms + LOAD_MS)

        assert await starts_after(deployment, LISTED, evidence_ms) == 0
        assert await starts_after(deployment, REFUSING, evidence_ms + LIMIT_MS) == 0
        assert await starts_after(deployment, STAYING, evidence_ms + LIMIT_MS) > 0
        assert {answer.code for answer in load.answers} == {results.ResultCode.COMPLETE}


@pytest.mark.promise("leaving_target", failures=["freeze", "paused_lease_holder"])
async def test_a_resumed_node_starts_no_queued_task_on_a_target_that_began_to_leave(
    deploy, make_task
):
    async with deploy(nodes=1, targets=3) as deployment:
        targets = deployment.fleet.targets_by_name
        tasks = [make_task(f"task-{number}", run_ms=RUN_MS) for number in range(BACKLOG_TASKS)]
        submission = await deployment.make_submission("ikeja-e1", *tasks)
        await deployment.caller.submit(deployment.url("ikeja-e1"), submission)
        await deployment.wait_until(lambda: has_starts(deployment, LISTED))
        deployment.fleet.pause("ikeja-e1")
        # The node first reads another change, from the reply that was in flight.
        await deployment.fleet.put_vm(msgspec.structs.replace(targets[STAYING].vm, rack="other"))
        leaving = msgspec.structs.replace(targets[LISTED].vm, state=vms.VmState.LEAVING)
        await deployment.fleet.put_vm(leaving)
        await asyncio.sleep(FREEZE_S)
        resumed_ms = now_ms()
        deployment.fleet.resume("ikeja-e1")
        url = f"{deployment.url('ikeja-e1')}/v1/jobs/{submission.submission_id}?wait_ms=20000"
        _, payload = await deployment.caller.request("GET", url)
        assert msgspec.json.decode(payload)["name"] == "COMPLETE"
        assert await starts_after(deployment, LISTED, resumed_ms) == 0
        assert await starts_after(deployment, STAYING, resumed_ms) > 0


@pytest.mark.promise("leaving_target", failures=["freeze", "paused_lease_holder"])
async def test_a_resumed_node_starts_no_new_job_on_a_target_that_began_to_leave(deploy, make_task):
    async with deploy(targets=3) as deployment:
        [name] = deployment.fleet.nodes_by_name
        url, caller = deployment.url(name), deployment.caller
        jobs = [
            await deployment.make_submission(
                name, *(make_task(f"{job}-{task}") for task in range(12))
            )
            for job in range(8)
        ]
        deployment.fleet.pause(name)
        replies = [asyncio.create_task(caller.submit(url, job, wait_ms=10_000)) for job in jobs]
        leaving = msgspec.structs.replace(
            deployment.fleet.targets_by_name[LISTED].vm, state=vms.VmState.LEAVING
        )
        await deployment.fleet.put_vm(leaving)
        # The list shows that the target is leaving, but the node is paused.
        await asyncio.sleep(LIMIT_MS / 1000)
        deployment.fleet.resume(name)
        answers = await asyncio.gather(*replies)
        assert {answer.code for answer in answers} == {results.ResultCode.COMPLETE}
        assert await starts_after(deployment, LISTED, 0) == 0
        assert await starts_after(deployment, STAYING, 0) > 0

"""Each caller gets its own answer, whole, whatever happens to replies, connections and targets."""

import asyncio
import random

import msgspec
import pytest

from chiveridge_client import clients
from chiveridge_kernel import results
from chiveridge_standins import proxies, servers

CODES = results.ResultCode
NODE = "ikeja-e1"
OTHER_NODE = "ikeja-e2"
SEED = 20260101


@pytest.mark.promise("own_whole_answer", failures=["lost_reply"])
@pytest.mark.promise("at_most_once", failures=["lost_reply"])
async def test_late_and_disordered_replies_reach_their_own_callers(deploy, make_task):
    rng = random.Random(SEED)
    proxied = frozenset({"ikeja-t1", "ikeja-t2"})
    async with deploy(nodes=2, targets=2, proxied=proxied) as deployed:
        for proxy in deployed.fleet.proxies_by_name.values():
            proxy.drop_replies(3)
        keys_by_job = [
            [f"job-{job}-task-{task}" for task in range(rng.randint(1, 6))] for job in range(40)
        ]
        submissions = [
            await deployed.submission(
                rng.choice((NODE, OTHER_NODE)),
                *(make_task(key, run_ms=rng.randint(1, 150)) for key in keys),
            )
            for keys in keys_by_job
        ]
        # Half of the jobs arrive at a node that has to forward them.
        urls = [deployed.url(rng.choice((NODE, OTHER_NODE))) for _ in submissions]
        answers = await asyncio.gather(
            *(
                deployed.caller.submit(url, submission, wait_ms=20_000)
                for url, submission in zip(urls, submissions, strict=True)
            )
        )
        keys_told = [
            [msgspec.json.decode(task.result)["key"] for task in answer.tasks] for answer in answers
        ]
        assert keys_told == keys_by_job
        assert await deployed.starts() == {key: 1 for keys in keys_by_job for key in keys}
        dropped = [
            proxy.counts.dropped_replies for proxy in deployed.fleet.proxies_by_name.values()
        ]
        assert sum(dropped) > 0


@pytest.mark.promise("own_whole_answer", failures=["cut"])
@pytest.mark.promise("non_idempotent_once", failures=["lost_reply"])
async def test_an_answer_that_was_cut_off_is_fetched_again(deploy, make_task):
    async with deploy() as deployed:
        node_port = deployed.fleet.nodes_by_name[NODE].listening.port
        proxy = proxies.FaultProxy(servers.LOOPBACK, node_port)
        await proxy.start()
        url = f"http://{servers.LOOPBACK}:{proxy.port}"
        async with clients.Client([url], deployed.team.credential) as client:
            await client.submit([make_task("first")])
            proxy.drop_replies(2)
            answer = await client.submit([make_task("second")])
        await proxy.close()
        assert (answer.code, len(answer.tasks)) == (CODES.COMPLETE, 1)
        assert proxy.counts.dropped_replies == 2
        assert await deployed.starts() == {"first": 1, "second": 1}


@pytest.mark.promise("complete_or_failed", failures=["target_death"])
@pytest.mark.promise("at_most_once", failures=["target_death"])
@pytest.mark.promise("non_idempotent_once", failures=["target_death"])
async def test_the_death_of_a_target_fails_its_job_without_a_second_start(deploy, make_task):
    async with deploy(targets=2, targets_per_process=1, slots=2) as deployed:
        keys = [f"task-{index}" for index in range(6)]
        submission = await deployed.submission(
            NODE, *(make_task(key, run_ms=20_000) for key in keys)
        )
        await deployed.caller.submit(deployed.url(NODE), submission)

        async def are_slots_full() -> bool:
            return len(await deployed.starts()) == 4

        await deployed.until(are_slots_full)
        starts = await deployed.starts()
        await deployed.fleet.kill("ikeja-t1")
        answer = await deployed.caller.ask(deployed.url(NODE), submission.submission_id, 15_000)
        assert (answer.state, answer.code) == ("failed", CODES.OUTCOME_UNKNOWN)
        outcomes = [task.outcome.value for task in answer.tasks]
        told_by_key = dict(zip(keys, outcomes, strict=True))
        assert told_by_key == {key: "unknown" if key in starts else "not_run" for key in keys}

        survivor = deployed.fleet.targets_by_name["ikeja-t2"]

        async def are_stopped() -> bool:
            return sum((await survivor.counts()).stops.values()) == 2

        await deployed.until(are_stopped)
        assert (await survivor.counts()).total_starts == 2

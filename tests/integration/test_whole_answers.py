"""Each caller gets its own complete answer despite failures of replies, connections and targets."""

import asyncio
import random

import msgspec
import pytest

from chiveridge_client import clients
from chiveridge_kernel import results
from chiveridge_standins import fault_proxies, servers

CODES = results.ResultCode
NODE = "ikeja-e1"
OTHER_NODE = "ikeja-e2"
SEED = 20260101


@pytest.mark.promise("own_whole_answer", failures=["lost_reply"])
@pytest.mark.promise("at_most_once", failures=["lost_reply"])
async def test_late_and_reordered_replies_reach_their_own_callers(deploy, make_task):
    rng = random.Random(SEED)
    proxied_names = frozenset({"ikeja-t1", "ikeja-t2"})
    async with deploy(nodes=2, targets=2, proxied_names=proxied_names) as deployment:
        for proxy in deployment.fleet.proxies_by_name.values():
            proxy.drop_next_replies(3)
        keys_by_job = [
            [f"job-{job}-task-{task}" for task in range(rng.randint(1, 6))] for job in range(40)
        ]
        submissions = [
            await deployment.make_submission(
                rng.choice((NODE, OTHER_NODE)),
                *(make_task(key, run_ms=rng.randint(1, 150)) for key in keys),
            )
            for keys in keys_by_job
        ]
        # About half of the jobs arrive at a node that has to forward them.
        urls = [deployment.url(rng.choice((NODE, OTHER_NODE))) for _ in submissions]
        answers = await asyncio.gather(
            *(
                deployment.caller.submit(url, submission, wait_ms=20_000)
                for url, submission in zip(urls, submissions, strict=True)
            )
        )
        answered_keys_by_job = [
            [msgspec.json.decode(task.result)["key"] for task in answer.tasks] for answer in answers
        ]
        assert answered_keys_by_job == keys_by_job
        assert await deployment.count_starts() == {key: 1 for keys in keys_by_job for key in keys}
        dropped = [
            proxy.counts.dropped_replies for proxy in deployment.fleet.proxies_by_name.values()
        ]
        assert sum(dropped) > 0


@pytest.mark.promise("own_whole_answer", failures=["cut"])
@pytest.mark.promise("non_idempotent_once", failures=["lost_reply"])
async def test_an_answer_lost_with_its_connection_is_fetched_again(deploy, make_task):
    async with deploy() as deployment:
        node_port = deployment.fleet.nodes_by_name[NODE].listening.port
        proxy = fault_proxies.FaultProxy(servers.LOOPBACK, node_port)
        await proxy.start()
        url = f"http://{servers.LOOPBACK}:{proxy.port}"
        async with clients.Client([url], deployment.team.credential) as client:
            await client.submit([make_task("first")])
            proxy.drop_next_replies(2)
            answer = await client.submit([make_task("second")])
        await proxy.close()
        assert (answer.code, len(answer.tasks)) == (CODES.COMPLETE, 1)
        assert proxy.counts.dropped_replies == 2
        assert await deployment.count_starts() == {"first": 1, "second": 1}


@pytest.mark.promise("complete_or_failed", failures=["target_death"])
@pytest.mark.promise("at_most_once", failures=["target_death"])
@pytest.mark.promise("non_idempotent_once", failures=["target_death"])
async def test_the_death_of_a_target_fails_its_job_without_a_second_start(deploy, make_task):
    async with deploy(targets=2, targets_per_process=1, slots=2) as deployment:
        keys = [f"task-{index}" for index in range(6)]
        submission = await deployment.make_submission(
            NODE, *(make_task(key, run_ms=20_000) for key in keys)
        )
        await deployment.caller.submit(deployment.url(NODE), submission)

        async def are_slots_full() -> bool:
            return len(await deployment.count_starts()) == 4

        await deployment.wait_until(are_slots_full)
        starts = await deployment.count_starts()
        await deployment.fleet.kill("ikeja-t1")
        answer = await deployment.caller.get_answer(
            deployment.url(NODE), submission.submission_id, 15_000
        )
        assert (answer.state, answer.code) == ("failed", CODES.OUTCOME_UNKNOWN)
        outcomes = [task.outcome.value for task in answer.tasks]
        outcomes_by_key = dict(zip(keys, outcomes, strict=True))
        assert outcomes_by_key == {key: "unknown" if key in starts else "not_run" for key in keys}

        survivor = deployment.fleet.targets_by_name["ikeja-t2"]

        async def are_stopped() -> bool:
            return sum((await survivor.counts()).stops.values()) == 2

        await deployment.wait_until(are_stopped)
        assert (await survivor.counts()).total_starts == 2


@pytest.mark.promise("complete_or_failed", failures=["freeze"])
async def test_a_frozen_target_fails_its_jobs_by_their_deadline(deploy, make_task):
    async with deploy() as deployment:
        running = await deployment.make_submission(
            NODE, make_task("running", 500), deadline_ms=2500
        )
        unread = await deployment.make_submission(NODE, make_task("unread"), deadline_ms=2500)
        await deployment.caller.submit(deployment.url(NODE), running)
        await deployment.wait_started("running")
        process_name = deployment.fleet.targets_by_name["ikeja-t1"].process_name
        deployment.fleet.pause(process_name)
        answers = await asyncio.gather(
            deployment.caller.submit(deployment.url(NODE), unread, wait_ms=15_000),
            deployment.caller.get_answer(deployment.url(NODE), running.submission_id, 15_000),
        )
        deployment.fleet.resume(process_name)
        assert [answer.code for answer in answers] == [CODES.DEADLINE_EXCEEDED] * 2
        outcomes = [task.outcome.value for answer in answers for task in answer.tasks]
        assert outcomes == ["unknown", "unknown"]

        async def is_usable_again() -> bool:
            last = await deployment.make_submission(NODE, make_task("last"))
            answer = await deployment.caller.submit(deployment.url(NODE), last, wait_ms=5000)
            return answer.code == CODES.COMPLETE

        await deployment.wait_until(is_usable_again)
        assert await deployment.count_starts() == {"running": 1, "last": 1}

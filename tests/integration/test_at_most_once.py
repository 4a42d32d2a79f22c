"""Six cases in which a task could be started twice; the targets count the starts."""

import asyncio

import pytest

from chiveridge_kernel import results

CODES = results.ResultCode
NODE = "ikeja-e1"
OTHER_NODE = "ikeja-e2"
TARGET = "ikeja-t1"


@pytest.mark.promise("at_most_once", failures=["lost_reply"])
@pytest.mark.promise("non_idempotent_once", failures=["lost_reply"])
async def test_a_start_with_a_dropped_reply_is_queried_and_not_resent(deploy, make_task):
    async with deploy(proxied_names=frozenset({TARGET})) as deployment:
        proxy = deployment.fleet.proxies_by_name[TARGET]
        proxy.drop_next_replies(1)
        submission = await deployment.make_submission(NODE, make_task("dropped"))
        answer = await deployment.caller.submit(deployment.url(NODE), submission, wait_ms=10_000)
        assert (answer.code, proxy.counts.dropped_replies) == (CODES.COMPLETE, 1)
        assert await deployment.count_starts() == {"dropped": 1}


@pytest.mark.promise("at_most_once", failures=["cut"])
@pytest.mark.promise("non_idempotent_once", failures=["cut"])
async def test_a_start_on_a_reset_connection_is_queried_and_not_resent(deploy, make_task):
    async with deploy(proxied_names=frozenset({TARGET})) as deployment:
        submission = await deployment.make_submission(NODE, make_task("cut", run_ms=300))
        await deployment.caller.submit(deployment.url(NODE), submission)
        await deployment.wait_started("cut")
        proxy = deployment.fleet.proxies_by_name[TARGET]
        proxy.disconnect()
        await proxy.reconnect()
        answer = await deployment.caller.get_answer(
            deployment.url(NODE), submission.submission_id, 10_000
        )
        assert (answer.code, proxy.counts.cut) == (CODES.COMPLETE, 1)
        assert await deployment.count_starts() == {"cut": 1}


@pytest.mark.promise("at_most_once")
@pytest.mark.promise("non_idempotent_once")
async def test_copies_of_a_submission_at_two_nodes_run_once(deploy, make_task):
    async with deploy(nodes=2, targets=2) as deployment:
        tasks = [make_task(f"task-{index}") for index in range(8)]
        submission = await deployment.make_submission(NODE, *tasks)
        urls = [deployment.url(NODE), deployment.url(OTHER_NODE)] * 4
        copies = [deployment.caller.submit(url, submission, wait_ms=10_000) for url in urls]
        answers = await asyncio.gather(*copies)
        assert [answer.code for answer in answers] == [CODES.COMPLETE] * 8
        assert all(answer == answers[0] for answer in answers)
        assert await deployment.count_starts() == {f"task-{index}": 1 for index in range(8)}


@pytest.mark.promise("at_most_once", failures=["freeze", "paused_lease_holder"])
@pytest.mark.promise("non_idempotent_once", failures=["freeze", "paused_lease_holder"])
@pytest.mark.promise("honest_refusal", failures=["freeze"])
async def test_a_frozen_node_starts_nothing_after_the_deadline(deploy, make_task):
    settings = {"targets": {"connections_per_target": "1"}}
    async with deploy(settings=settings) as deployment:
        holder = await deployment.make_submission(NODE, make_task("holder", run_ms=700))
        queued = await deployment.make_submission(NODE, make_task("queued"), deadline_ms=900)
        unread = await deployment.make_submission(NODE, make_task("unread"), deadline_ms=500)
        await deployment.caller.submit(deployment.url(NODE), holder)
        await deployment.wait_started("holder")
        await deployment.caller.submit(deployment.url(NODE), queued)
        deployment.fleet.pause(NODE)
        reply = asyncio.create_task(deployment.caller.submit(deployment.url(NODE), unread, 10_000))
        # Both deadlines pass while the node is paused.
        await asyncio.sleep(1.5)
        deployment.fleet.resume(NODE)
        refusal = await reply
        assert (refusal.code, refusal.ran) == (CODES.DEADLINE_UNREACHABLE, "not_run")
        answer = await deployment.caller.get_answer(
            deployment.url(NODE), queued.submission_id, 10_000
        )
        assert answer.code == CODES.DEADLINE_EXCEEDED
        answer = await deployment.caller.get_answer(
            deployment.url(NODE), holder.submission_id, 10_000
        )
        assert answer.code == CODES.COMPLETE
        # A late start would reach the target before the start of a job that is submitted now.
        last = await deployment.make_submission(NODE, make_task("last"))
        await deployment.caller.submit(deployment.url(NODE), last, wait_ms=10_000)
        assert await deployment.count_starts() == {"holder": 1, "last": 1}


@pytest.mark.promise("at_most_once", failures=["silent_connection"])
@pytest.mark.promise("non_idempotent_once", failures=["silent_connection"])
async def test_a_start_delivered_long_after_its_limit_does_not_run(deploy, make_task):
    async with deploy(proxied_names=frozenset({TARGET})) as deployment:
        proxy = deployment.fleet.proxies_by_name[TARGET]
        proxy.hold_traffic()
        held = await deployment.make_submission(NODE, make_task("held"), deadline_ms=1500)
        answer = await deployment.caller.submit(deployment.url(NODE), held, wait_ms=10_000)
        assert answer.code == CODES.DEADLINE_EXCEEDED
        assert [task.outcome.value for task in answer.tasks] == ["unknown"]
        accepted = proxy.counts.accepted
        assert accepted
        proxy.release_traffic()
        last = await deployment.make_submission(NODE, make_task("last"))
        answer = await deployment.caller.submit(deployment.url(NODE), last, wait_ms=10_000)
        assert await deployment.count_starts() == {"last": 1}


@pytest.mark.promise("at_most_once", failures=["kill", "replaced_vm"])
@pytest.mark.promise("non_idempotent_once", failures=["kill", "replaced_vm"])
@pytest.mark.promise("honest_refusal", failures=["kill", "replaced_vm"])
async def test_a_job_of_a_killed_node_is_never_started_again(deploy, make_task, wait_until):
    async with deploy(nodes=2) as deployment:
        caller, other = deployment.caller, deployment.url(OTHER_NODE)
        submission = await deployment.make_submission(NODE, make_task("once", run_ms=200))
        unused = await deployment.make_submission(NODE, make_task("never"))
        await caller.submit(deployment.url(NODE), submission)
        await deployment.wait_started("once")
        await deployment.fleet.kill(NODE)

        refusal = await caller.submit(other, submission)
        assert (refusal.code, refusal.ran) == (CODES.ISSUER_UNREACHABLE, "unknown")
        await deployment.fleet.delete_vm(NODE)
        refusal = await caller.submit(other, submission)
        assert (refusal.code, refusal.ran) == (CODES.ISSUER_UNREACHABLE, "unknown")

        await deployment.fleet.start_node(NODE)
        await deployment.fleet.wait_ready()

        async def is_final() -> bool:
            return (await caller.submit(other, submission)).code == CODES.ISSUER_GONE

        await wait_until(is_final)
        for url in (other, deployment.url(NODE)):
            for resubmitted in (submission, unused):
                refusal = await caller.submit(url, resubmitted)
                assert (refusal.code, refusal.ran) == (CODES.ISSUER_GONE, "unknown")
                assert refusal.status == 410
        assert await deployment.count_starts() == {"once": 1}

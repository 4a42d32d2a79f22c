"""Graceful shutdown: work in progress completes, no answer is lost, no task runs twice."""

import asyncio
import signal

import aiohttp
import msgspec
import pytest

from chiveridge_client import clients
from chiveridge_kernel import messages, results

CODES = results.ResultCode
NODE = "ikeja-e1"
OTHER_NODE = "ikeja-e2"
SHORT_RUN_MS = 30
LONG_RUN_MS = 800  # Longer than a stopping node lingers for its peers.
LONG_CALLERS = 4
LARGE_RESULT_BYTES = 1024 * 1024
LARGE_RESULTS = 16
PAUSE_S = 7  # Socket buffers on both sides can hide a slow reader for this long.


async def terminate_and_interrupt(deployment) -> int:
    """Send SIGTERM, then SIGINT once the node is draining; return the exit code."""
    process = deployment.fleet._process(NODE)
    process.signal(signal.SIGTERM)
    await deployment.wait_draining(NODE)
    process.signal(signal.SIGINT)
    return await process.wait()


@pytest.mark.promise("graceful_shutdown", failures=["platform_outage"])
@pytest.mark.promise("honest_refusal", failures=["platform_outage"])
async def test_a_stopping_node_finishes_its_jobs_and_hands_its_answers_to_its_peers(
    deploy, make_task
):
    domains = ("ikeja", "lekki")
    proxied_names = frozenset({"platform"})
    async with deploy(nodes=2, domains=domains, proxied_names=proxied_names) as deployment:
        caller, url, peer_url = deployment.caller, deployment.url(NODE), deployment.url(OTHER_NODE)
        remote_domain_url = deployment.url("lekki-e1")
        awaited = await deployment.make_submission(NODE, make_task("awaited", run_ms=800))
        unseen = await deployment.make_submission(NODE, make_task("unseen", run_ms=800))
        unused = await deployment.make_submission(NODE, make_task("unused"))
        refused = await deployment.make_submission(NODE, make_task("refused"))
        for submission in (awaited, unseen):
            await caller.submit(url, submission)
        await deployment.wait_started("awaited")
        await deployment.wait_started("unseen")
        pending_answer = asyncio.create_task(caller.get_answer(url, awaited.submission_id, 10_000))
        forwarded_answer = asyncio.create_task(
            caller.get_answer(peer_url, awaited.submission_id, 10_000)
        )

        # The platform is unreachable during the whole shutdown.
        deployment.fleet.proxies_by_name["platform"].disconnect()
        termination = asyncio.create_task(deployment.fleet.terminate(NODE))
        await deployment.wait_draining(NODE)
        refusal = await caller.submit(url, refused)
        assert (refusal.code, refusal.ran) == (CODES.DRAINING, "not_run")
        assert (await caller.request("GET", f"{url}/readyz"))[0] == 503
        assert (await caller.request("GET", f"{url}/healthz"))[0] == 200
        assert (await pending_answer).code == (await forwarded_answer).code == CODES.COMPLETE
        assert await termination == 0

        for submission in (awaited, unseen):
            answer = await caller.get_answer(peer_url, submission.submission_id)
            assert (answer.code, len(answer.tasks)) == (CODES.COMPLETE, 1)
            assert (await caller.submit(peer_url, submission)).code == CODES.COMPLETE
            assert (
                await caller.get_answer(remote_domain_url, submission.submission_id)
            ).code == CODES.COMPLETE
        for submission in (unused, refused):
            for node_url in (peer_url, remote_domain_url):
                refusal = await caller.submit(node_url, submission)
                assert (refusal.code, refusal.ran) == (CODES.ISSUER_GONE, "not_run")
        assert await deployment.count_starts() == {"awaited": 1, "unseen": 1}


@pytest.mark.promise("graceful_shutdown")
@pytest.mark.promise("complete_or_failed")
async def test_a_second_signal_fails_the_running_jobs(deploy, make_task, wait_until):
    async with deploy(nodes=2) as deployment:
        submission = await deployment.make_submission(NODE, make_task("long", run_ms=25_000))
        await deployment.caller.submit(deployment.url(NODE), submission)
        await deployment.wait_started("long")
        pending_answer = asyncio.create_task(
            deployment.caller.get_answer(deployment.url(NODE), submission.submission_id, 20_000)
        )
        await asyncio.sleep(0)
        assert await terminate_and_interrupt(deployment) == 0
        answer = await pending_answer
        assert (answer.code, answer.state) == (CODES.NODE_STOPPED, "failed")
        assert [task.outcome.value for task in answer.tasks] == ["unknown"]
        second_answer = await deployment.caller.submit(deployment.url(OTHER_NODE), submission)
        assert second_answer.code == CODES.NODE_STOPPED

        async def is_stopped() -> bool:
            (target,) = deployment.fleet.targets_by_name.values()
            return (await target.counts()).stops == {"long": 1}

        await wait_until(is_stopped)
        assert await deployment.count_starts() == {"long": 1}


@pytest.mark.promise("graceful_shutdown", failures=["kill"])
@pytest.mark.promise("non_idempotent_once", failures=["kill"])
async def test_a_job_is_unknown_after_its_node_is_killed_while_draining(deploy, make_task):
    async with deploy(nodes=2) as deployment:
        submission = await deployment.make_submission(NODE, make_task("once", run_ms=2000))
        await deployment.caller.submit(deployment.url(NODE), submission)
        await deployment.wait_started("once")
        deployment.fleet._process(NODE).signal(signal.SIGTERM)
        await deployment.wait_draining(NODE)
        await deployment.fleet.kill(NODE)
        refusal = await deployment.caller.submit(deployment.url(OTHER_NODE), submission)
        assert (refusal.code, refusal.ran) == (CODES.ISSUER_UNREACHABLE, "unknown")
        assert await deployment.count_starts() == {"once": 1}


@pytest.mark.promise("graceful_shutdown")
async def test_a_stopping_node_closes_each_connection_after_its_response(deploy, make_task):
    async with deploy() as deployment:
        url, caller = deployment.url(NODE), deployment.caller
        submission = await deployment.make_submission(NODE, make_task("long", run_ms=LONG_RUN_MS))
        await caller.submit(url, submission)
        await deployment.wait_started("long")
        termination = asyncio.create_task(deployment.fleet.terminate(NODE))
        await deployment.wait_draining(NODE)
        for path in ("healthz", "readyz", f"v1/jobs/{submission.submission_id}"):
            async with await caller.open(f"{url}/{path}") as response:
                assert response.headers["Connection"] == "close"
        assert await termination == 0


@pytest.mark.promise("graceful_shutdown")
@pytest.mark.promise("own_whole_answer")
async def test_a_stopping_node_finishes_the_reply_to_a_slow_reader(deploy, make_task, wait_until):
    async with deploy() as deployment:
        body = {"run_ms": 300, "result_bytes": LARGE_RESULT_BYTES}
        tasks = [make_task(f"large-{number}", **body) for number in range(LARGE_RESULTS)]
        submission = await deployment.make_submission(NODE, *tasks)
        await deployment.caller.submit(deployment.url(NODE), submission)

        async def is_refusing_connections() -> bool:
            try:
                await deployment.caller.request("GET", f"{deployment.url(NODE)}/healthz")
            except aiohttp.ClientConnectorError:
                return True
            except aiohttp.ClientConnectionError:
                return False  # Reset while the port was being closed; the next one is refused.
            return False

        path = f"/v1/jobs/{submission.submission_id}?wait_ms=10000"
        opening = asyncio.create_task(deployment.caller.open(f"{deployment.url(NODE)}{path}"))
        await deployment.wait_started("large-0")
        termination = asyncio.create_task(deployment.fleet.terminate(NODE))
        response = await opening
        # This reply is the only work that the node still has to finish.
        await wait_until(is_refusing_connections)
        content = await response.content.readexactly(LARGE_RESULT_BYTES)
        await asyncio.sleep(PAUSE_S)
        content += await response.content.read()
        answer = msgspec.json.decode(content, type=messages.JobAnswer)
        assert answer.code is CODES.COMPLETE
        assert len(answer.tasks) == LARGE_RESULTS
        assert all(len(task.result) > LARGE_RESULT_BYTES for task in answer.tasks)
        assert await termination == 0


@pytest.mark.promise("graceful_shutdown")
@pytest.mark.promise("at_most_once")
async def test_all_client_calls_complete_while_nodes_stop_one_after_another(
    deploy, make_task, wait_until
):
    async with deploy(nodes=3, targets=2) as deployment:
        keeps_submitting = True
        answers = {}

        async def submit_until_stopped(client: clients.Client, caller: int) -> None:
            while keeps_submitting:
                key = f"job-{caller}-{len(answers)}"
                answers[key] = None
                run_ms = LONG_RUN_MS if caller < LONG_CALLERS else SHORT_RUN_MS
                answers[key] = await client.submit([make_task(key, run_ms=run_ms)])

        async def has_completed(count: int) -> bool:
            return sum(answer is not None for answer in answers.values()) >= count

        urls = deployment.fleet.node_urls()
        async with clients.Client(urls, deployment.team.credential, id_batch_size=8) as client:
            callers = [asyncio.create_task(submit_until_stopped(client, i)) for i in range(8)]
            await wait_until(lambda: has_completed(40))
            for name in (NODE, OTHER_NODE):
                assert await deployment.fleet.terminate(name) == 0
                await deployment.fleet.delete_vm(name)
                done = len(answers)
                await wait_until(lambda done=done: has_completed(done + 20))
            keeps_submitting = False
            await asyncio.gather(*callers)
        assert {answer.code for answer in answers.values()} == {CODES.COMPLETE}
        assert await deployment.count_starts() == dict.fromkeys(answers, 1)

"""Graceful shutdown: what a node still does for peers, callers and targets before it exits."""

import asyncio
import signal

import msgspec
import pytest

from chiveridge_kernel import results

CODES = results.ResultCode
NODE, PEER = "ikeja-e1", "ikeja-e2"
TARGET = "ikeja-t1"
RUN_MS = 25_000
# No periodic heartbeat is sent while the test runs.
RARE_HEARTBEATS = {"membership": {"heartbeat_ms": "50000"}}
# Without probes, only stop requests open new connections to the target.
NO_PROBES = {"targets": {"probe_min_ms": "60000", "probe_max_ms": "60000"}}
# Two requests for each of five stop attempts, as the HTTP client resends each by itself. The sixth
# attempt comes 0.6 s after the first, when the node has closed the port for its callers.
LOST_REQUESTS = 10


async def member_state(deployment, viewer: str, name: str) -> str:
    """Return the state of a node in the membership view of another."""
    _, payload = await deployment.caller.request("GET", f"{deployment.url(viewer)}/v1/status")
    members = msgspec.json.decode(payload)["members"]
    return next((member["state"] for member in members if member["name"] == name), "")


async def submit_and_wait_started(deployment, node: str, key: str, task) -> str:
    """Submit a job, wait until it has started, and return its submission id."""
    submission = await deployment.make_submission(node, task)
    await deployment.caller.submit(deployment.url(node), submission)
    await deployment.wait_started(key)
    return submission.submission_id


async def wait_seen_leaving(deployment, viewer: str, name: str) -> None:
    async def is_leaving() -> bool:
        return await member_state(deployment, viewer, name) == "leaving"

    await deployment.wait_until(is_leaving)


@pytest.mark.promise("graceful_shutdown")
async def test_peers_learn_immediately_that_a_node_is_leaving(deploy, make_task):
    async with deploy(nodes=2, settings=RARE_HEARTBEATS) as deployment:
        await submit_and_wait_started(deployment, NODE, "long", make_task("long", run_ms=RUN_MS))
        process = deployment.fleet._process(NODE)
        process.signal(signal.SIGTERM)
        await wait_seen_leaving(deployment, PEER, NODE)
        assert process.exit_code is None
        process.signal(signal.SIGINT)
        assert await process.wait() == 0


@pytest.mark.promise("graceful_shutdown", failures=["cut", "two_at_once"])
@pytest.mark.promise("complete_or_failed", failures=["two_at_once"])
async def test_a_stopping_node_confirms_a_forwarded_cancellation(deploy, make_task):
    async with deploy(nodes=2, proxied_names=frozenset({TARGET}), settings=NO_PROBES) as deployment:
        await submit_and_wait_started(deployment, PEER, "other", make_task("other", run_ms=RUN_MS))
        peer_termination = asyncio.create_task(deployment.fleet.terminate(PEER))
        # A leaving peer gets no answers, so the node exits as soon as it has no work in progress.
        await wait_seen_leaving(deployment, NODE, PEER)
        submission_id = await submit_and_wait_started(
            deployment, NODE, "cancelled", make_task("cancelled", run_ms=RUN_MS)
        )
        termination = asyncio.create_task(deployment.fleet.terminate(NODE))
        await deployment.wait_draining(NODE)
        deployment.fleet.proxies_by_name[TARGET].drop_next_requests(LOST_REQUESTS)
        reply = await deployment.caller.cancel(deployment.url(PEER), submission_id)
        assert reply.code == CODES.CANCELLED
        assert await termination == 0
        deployment.fleet._process(PEER).signal(signal.SIGINT)
        assert await peer_termination == 0


@pytest.mark.promise("graceful_shutdown", failures=["cut"])
@pytest.mark.promise("complete_or_failed", failures=["cut"])
async def test_a_stopping_node_runs_until_its_target_has_received_the_stop(deploy, make_task):
    async with deploy(proxied_names=frozenset({TARGET}), settings=NO_PROBES) as deployment:
        proxy, process = deployment.fleet.proxies_by_name[TARGET], deployment.fleet._process(NODE)
        # With an open connection, the next start is sent before the reply to its submission.
        first = await deployment.make_submission(NODE, make_task("first"))
        await deployment.caller.submit(deployment.url(NODE), first, wait_ms=20_000)
        submission = await deployment.make_submission(NODE, make_task("long", run_ms=RUN_MS))
        proxy.drop_next_requests(LOST_REQUESTS)
        await deployment.caller.submit(deployment.url(NODE), submission)
        # The signal that is handled first begins the shutdown, and the other one ends the job.
        process.signal(signal.SIGTERM)
        process.signal(signal.SIGINT)
        assert await process.wait() == 0
        assert proxy.counts.dropped_requests == LOST_REQUESTS
        (target,) = deployment.fleet.targets_by_name.values()
        assert (await target.counts()).stops == {"long": 1}

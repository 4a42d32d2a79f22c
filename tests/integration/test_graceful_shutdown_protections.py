"""Planned stops: what a node still does for others before its process ends."""

import asyncio
import signal

import msgspec
import pytest

from chiveridge_kernel import results

CODES = results.ResultCode
NODE, PEER = "ikeja-e1", "ikeja-e2"
TARGET = "ikeja-t1"
RUN_MS = 25_000
# No round of heartbeats comes while the test runs.
RARE_HEARTBEATS = {"membership": {"heartbeat_ms": "50000"}}
# Only stops open new connections to the target.
NO_PROBES = {"targets": {"probe_min_ms": "60000", "probe_max_ms": "60000"}}
# Two requests for each of five stops, as the HTTP client sends each again by itself. The sixth
# comes 0.6 s after the first, when the node has closed its callers' port.
LOST_REQUESTS = 10


async def state_of(deployed, viewer: str, name: str) -> str:
    """Return the state in which a node sees another."""
    _, payload = await deployed.caller.request("GET", f"{deployed.url(viewer)}/v1/status")
    members = msgspec.json.decode(payload)["members"]
    return next((member["state"] for member in members if member["name"] == name), "")


async def submit(deployed, node: str, key: str, task) -> str:
    """Submit a job, wait until it has started, and return its submission id."""
    submission = await deployed.submission(node, task)
    await deployed.caller.submit(deployed.url(node), submission)
    await deployed.wait_started(key)
    return submission.submission_id


async def wait_leaving(deployed, viewer: str, name: str) -> None:
    async def is_leaving() -> bool:
        return await state_of(deployed, viewer, name) == "leaving"

    await deployed.until(is_leaving)


@pytest.mark.promise("graceful_shutdown")
async def test_peers_are_told_at_once_that_a_node_leaves(deploy, make_task):
    async with deploy(nodes=2, settings=RARE_HEARTBEATS) as deployed:
        await submit(deployed, NODE, "long", make_task("long", run_ms=RUN_MS))
        process = deployed.fleet._process(NODE)
        process.signal(signal.SIGTERM)
        await wait_leaving(deployed, PEER, NODE)
        assert process.exit_code is None
        process.signal(signal.SIGINT)
        assert await process.wait() == 0


@pytest.mark.promise("graceful_shutdown", failures=["cut", "two_at_once"])
@pytest.mark.promise("complete_or_failed", failures=["two_at_once"])
async def test_a_forwarded_cancellation_is_confirmed_by_a_node_that_ends(deploy, make_task):
    async with deploy(nodes=2, proxied=frozenset({TARGET}), settings=NO_PROBES) as deployed:
        await submit(deployed, PEER, "other", make_task("other", run_ms=RUN_MS))
        peer_ending = asyncio.create_task(deployed.fleet.terminate(PEER))
        # A peer that leaves gets no answers, so that the node ends once nothing is in progress.
        await wait_leaving(deployed, NODE, PEER)
        submission_id = await submit(
            deployed, NODE, "cancelled", make_task("cancelled", run_ms=RUN_MS)
        )
        ending = asyncio.create_task(deployed.fleet.terminate(NODE))
        await deployed.wait_draining(NODE)
        deployed.fleet.proxies_by_name[TARGET].drop_requests(LOST_REQUESTS)
        reply = await deployed.caller.cancel(deployed.url(PEER), submission_id)
        assert reply.code == CODES.CANCELLED
        assert await ending == 0
        deployed.fleet._process(PEER).signal(signal.SIGINT)
        assert await peer_ending == 0


@pytest.mark.promise("graceful_shutdown", failures=["cut"])
@pytest.mark.promise("complete_or_failed", failures=["cut"])
async def test_a_node_that_ends_stays_until_its_target_was_told_to_stop(deploy, make_task):
    async with deploy(proxied=frozenset({TARGET}), settings=NO_PROBES) as deployed:
        proxy, process = deployed.fleet.proxies_by_name[TARGET], deployed.fleet._process(NODE)
        # With a connection at hand, the next start is sent before its submission is answered.
        first = await deployed.submission(NODE, make_task("first"))
        await deployed.caller.submit(deployed.url(NODE), first, wait_ms=20_000)
        submission = await deployed.submission(NODE, make_task("long", run_ms=RUN_MS))
        proxy.drop_requests(LOST_REQUESTS)
        await deployed.caller.submit(deployed.url(NODE), submission)
        # Whichever signal is handled first begins the stop, and the other ends the job.
        process.signal(signal.SIGTERM)
        process.signal(signal.SIGINT)
        assert await process.wait() == 0
        assert proxy.counts.dropped_requests == LOST_REQUESTS
        (target,) = deployed.fleet.targets_by_name.values()
        assert (await target.counts()).stops == {"long": 1}

"""Graceful shutdown during other failures: work in progress completes, no answer is lost."""

import asyncio
import random

import aiohttp
import msgspec
import pytest

from chiveridge_client import clocks, platform_logs, publications
from chiveridge_kernel import records, results

CODES = results.ResultCode
NODE, PEER, THIRD_NODE = "ikeja-e1", "ikeja-e2", "ikeja-e3"
TARGET = "ikeja-t1"
PROXIED = frozenset({"platform", PEER, TARGET})
WAIT_MS = 20_000
RUN_MS = 900
SETTINGS = {"platform": {"vms_interval_ms": "100"}}
QUICK_SUSPICION = {
    "membership": {"heartbeat_ms": "300", "suspect_heartbeats": "2", "dead_heartbeats": "4"}
}
# Longer than a stopping node lingers for its peers.
SLOW_SUSPICION = {"membership": {"heartbeat_ms": "5000"}}
ONE_CONNECTION = {"targets": {"connections_per_target": "1"}}


class GracefulStop:
    """The graceful shutdown of a node that runs a job while a caller waits for the answer."""

    def __init__(self, deployment, node: str = NODE):
        self.url = deployment.url(node)
        self.pending_answer: asyncio.Task | None = None
        self._deployment = deployment
        self._node = node
        self._termination: asyncio.Task | None = None

    async def start_job(self, task, unused_task) -> None:
        """Submit the job, request its answer as a caller, and wait until it has started."""
        key = msgspec.json.decode(task.body)["key"]
        caller = self._deployment.caller
        self.submission = await self._deployment.make_submission(self._node, task)
        self._unused = await self._deployment.make_submission(self._node, unused_task)
        await caller.submit(self.url, self.submission)
        self.pending_answer = asyncio.create_task(
            caller.get_answer(self.url, self.submission.submission_id, WAIT_MS)
        )
        await self._deployment.wait_started(key)

    async def terminate(self) -> None:
        """Send SIGTERM and wait until the node is draining."""
        self._termination = asyncio.create_task(self._deployment.fleet.terminate(self._node))
        await self._deployment.wait_draining(self._node)

    async def check_answers(self, peer: str, code: results.ResultCode = CODES.COMPLETE) -> None:
        """Check the caller's answer, the exit code, and the answers that a peer took over."""
        answer = await self.pending_answer
        assert (answer.code, len(answer.tasks)) == (code, 1)
        assert await self._termination == 0
        url, caller = self._deployment.url(peer), self._deployment.caller
        assert await caller.get_answer(url, self.submission.submission_id) == answer
        assert await caller.submit(url, self.submission) == answer
        refusal = await caller.submit(url, self._unused)
        assert (refusal.code, refusal.ran) == (CODES.ISSUER_GONE, "not_run")


async def member_state(deployment, viewer: str, name: str) -> str:
    """Return the state of a node in the membership view of another."""
    _, payload = await deployment.caller.request("GET", f"{deployment.url(viewer)}/v1/status")
    members = msgspec.json.decode(payload)["members"]
    return next((member["state"] for member in members if member["name"] == name), "")


@pytest.mark.promise("graceful_shutdown", failures=["cut"])
async def test_a_stop_while_connections_are_cut(deploy, make_task):
    async with deploy(nodes=2, proxied_names=PROXIED, settings=SETTINGS) as deployment:
        proxies = deployment.fleet.proxies_by_name
        stop = GracefulStop(deployment)
        await stop.start_job(make_task("cut", run_ms=RUN_MS), make_task("unused"))
        proxies[PEER].disconnect()
        proxies[TARGET].disconnect()
        await proxies[TARGET].reconnect()
        await stop.terminate()
        await stop.pending_answer
        # Until now the node could not hand its answers to its peer.
        await proxies[PEER].reconnect()
        await stop.check_answers(PEER)
        assert proxies[PEER].counts.cut
        assert proxies[TARGET].counts.cut
        assert await deployment.count_starts() == {"cut": 1}


@pytest.mark.promise("graceful_shutdown", failures=["silent_connection"])
async def test_a_stop_while_connections_are_silent(deploy, make_task):
    settings = SETTINGS | SLOW_SUSPICION
    async with deploy(nodes=2, proxied_names=PROXIED, settings=settings) as deployment:
        proxies = deployment.fleet.proxies_by_name
        stop = GracefulStop(deployment)
        await stop.start_job(make_task("silent", run_ms=RUN_MS), make_task("unused"))
        assert all(proxies[name].counts.open for name in PROXIED)
        for name in PROXIED:
            proxies[name].blackhole()
        await stop.terminate()
        await stop.check_answers(PEER)
        assert await deployment.count_starts() == {"silent": 1}


@pytest.mark.promise("graceful_shutdown", failures=["target_death"])
async def test_a_stop_while_the_target_of_a_job_dies(deploy, make_task):
    plan = {"targets_per_process": 1, "journaled": True}
    async with deploy(nodes=2, targets=2, settings=SETTINGS, **plan) as deployment:
        dying, living = GracefulStop(deployment), GracefulStop(deployment)
        await dying.start_job(make_task("dying", run_ms=WAIT_MS), make_task("unused"))
        await living.start_job(make_task("living", run_ms=RUN_MS), make_task("also-unused"))
        await living.terminate()
        starts = deployment.fleet.journaled_starts()
        target_by_key = {start.key: start.target for start in starts}
        assert target_by_key["dying"] != target_by_key["living"]
        await deployment.fleet.kill(target_by_key["dying"])
        answer = await dying.pending_answer
        assert [task.outcome.value for task in answer.tasks] == ["unknown"]
        await living.check_answers(PEER)
        repeated_answer = await deployment.caller.submit(deployment.url(PEER), dying.submission)
        assert repeated_answer == answer
        assert sorted(start.key for start in deployment.fleet.journaled_starts()) == [
            "dying",
            "living",
        ]


@pytest.mark.promise("graceful_shutdown", failures=["lost_reply"])
async def test_a_stop_while_replies_are_lost(deploy, make_task):
    async with deploy(nodes=2, proxied_names=PROXIED, settings=SETTINGS) as deployment:
        proxies = deployment.fleet.proxies_by_name
        proxies[TARGET].drop_next_replies(1)
        stop = GracefulStop(deployment)
        await stop.start_job(make_task("lost", run_ms=RUN_MS), make_task("unused"))
        await stop.terminate()
        # The first confirmations of the answers that the node hands to its peer are lost.
        proxies[PEER].drop_next_replies(2)
        await stop.check_answers(PEER)
        assert proxies[TARGET].counts.dropped_replies == 1
        assert proxies[PEER].counts.dropped_replies == 2
        assert await deployment.count_starts() == {"lost": 1}


@pytest.mark.promise("graceful_shutdown", failures=["operators_race"])
async def test_a_stop_while_operators_race(deploy, make_task):
    async with deploy(nodes=2, settings=SETTINGS) as deployment, aiohttp.ClientSession() as session:
        stop = GracefulStop(deployment)
        await stop.start_job(make_task("raced", run_ms=RUN_MS), make_task("unused"))
        await stop.terminate()
        # One operator revokes the approval under which the job runs, the other keeps it.
        changes = (
            f"[target {TARGET}]\nlabels = kind=dryer\n",
            f"[target {TARGET}]\nlabels = kind=spare\napproved_teams = {deployment.team.name}\n",
        )
        barrier = asyncio.Barrier(len(changes))
        logs = [RacingLog(deployment.fleet.platform_url, session, barrier) for _ in changes]
        operators = [
            publications.Publisher(log, rng=random.Random(1), clock=clocks.SystemClock())
            for log in logs
        ]
        publications_by_operator = await asyncio.gather(
            *(
                operator.publish(publications.parse_writes(text), f"operator-{number}")
                for number, (operator, text) in enumerate(zip(operators, changes, strict=True))
            )
        )
        verdicts = {publication.verdict for publication in publications_by_operator}
        assert verdicts == {records.Verdict.ACCEPTED, records.Verdict.CONFLICT}
        await stop.check_answers(PEER)
        assert await deployment.count_starts() == {"raced": 1}


class RacingLog(platform_logs.LogClient):
    """A log that delays an operator's first append until every operator has read the log."""

    def __init__(self, url: str, session: aiohttp.ClientSession, barrier: asyncio.Barrier):
        super().__init__(url, session)
        self._barrier = barrier
        self._has_waited = False

    async def append(self, stream, value):
        if not self._has_waited:
            self._has_waited = True
            await self._barrier.wait()
        return await super().append(stream, value)


@pytest.mark.promise("graceful_shutdown", failures=["freeze", "paused_lease_holder"])
async def test_a_stop_while_the_node_is_paused_until_its_peers_declare_it_dead(deploy, make_task):
    settings = SETTINGS | QUICK_SUSPICION | ONE_CONNECTION
    async with deploy(nodes=2, settings=settings) as deployment:
        stop = GracefulStop(deployment)
        await stop.start_job(make_task("held", run_ms=RUN_MS), make_task("unused"))
        # This job waits for the only connection until its deadline has passed.
        queued = await deployment.make_submission(
            NODE, make_task("queued"), deadline_ms=RUN_MS + 300
        )
        await deployment.caller.submit(stop.url, queued)
        pending_answer = asyncio.create_task(
            deployment.caller.get_answer(stop.url, queued.submission_id, WAIT_MS)
        )
        await stop.terminate()
        deployment.fleet.pause(NODE)

        async def is_declared_dead() -> bool:
            return await member_state(deployment, PEER, NODE) == "dead"

        await deployment.wait_until(is_declared_dead)
        # The deadline of the queued job passes as well while the node is paused.
        await asyncio.sleep(0.5)
        deployment.fleet.resume(NODE)
        expired = await pending_answer
        assert expired.code == CODES.DEADLINE_EXCEEDED
        await stop.check_answers(PEER)
        assert await deployment.caller.submit(deployment.url(PEER), queued) == expired
        assert await deployment.count_starts() == {"held": 1}


@pytest.mark.promise("graceful_shutdown", failures=["replaced_vm"])
async def test_a_stop_while_the_only_peer_is_replaced(deploy, make_task):
    async with deploy(nodes=2, proxied_names=PROXIED, settings=SETTINGS) as deployment:
        stop = GracefulStop(deployment)
        await stop.start_job(make_task("replaced", run_ms=RUN_MS), make_task("unused"))
        # The job does not end before the proxy lets the reply of its target through.
        deployment.fleet.proxies_by_name[TARGET].hold_traffic()
        await stop.terminate()
        await deployment.fleet.kill(PEER)
        await deployment.fleet.start_node(PEER)

        async def is_ready() -> bool:
            return (await deployment.caller.request("GET", f"{deployment.url(PEER)}/readyz"))[
                0
            ] == 200

        await deployment.wait_until(is_ready)
        assert not stop.pending_answer.done()
        deployment.fleet.proxies_by_name[TARGET].release_traffic()
        await stop.check_answers(PEER)
        assert await deployment.count_starts() == {"replaced": 1}


@pytest.mark.promise("graceful_shutdown", failures=["two_at_once"])
async def test_two_nodes_stop_at_once_while_the_platform_and_a_target_are_cut(deploy, make_task):
    async with deploy(nodes=3, proxied_names=PROXIED, settings=SETTINGS) as deployment:
        proxies = deployment.fleet.proxies_by_name
        stops = [GracefulStop(deployment, name) for name in (NODE, PEER)]
        for number, stop in enumerate(stops):
            task = make_task(f"stopped-{number}", run_ms=RUN_MS)
            await stop.start_job(task, make_task(f"unused-{number}"))
        proxies["platform"].disconnect()
        proxies[TARGET].disconnect()
        await proxies[TARGET].reconnect()
        await asyncio.gather(*(stop.terminate() for stop in stops))
        for stop in stops:
            await stop.check_answers(THIRD_NODE)
        assert await deployment.count_starts() == {"stopped-0": 1, "stopped-1": 1}

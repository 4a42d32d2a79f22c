import asyncio
import contextlib

import aiohttp
import msgspec
import pytest

from chiveridge_kernel import results
from chiveridge_load import deployments
from chiveridge_standins import fleet_members, fleet_plans, fleets

HEARTBEAT_MS = 200
WAIT_MS = 8000
LONG_LAG_MS = 60_000
REQUEST_TIMEOUT_S = 30


class FleetClient:
    """Send requests to single nodes of a fleet and read their membership views."""

    def __init__(
        self, fleet: fleets.Fleet, session: aiohttp.ClientSession, team: deployments.TeamPlan
    ):
        self.fleet = fleet
        self._session = session
        self._headers = {"Authorization": f"Bearer {team.credential}"}

    def node(self, name: str) -> fleet_members.RunningNode:
        return self.fleet.nodes_by_name[name]

    async def request(self, name: str, method: str, path: str, message: object = None) -> dict:
        body = None if message is None else msgspec.json.encode(message)
        url = f"{self.node(name).url}{path}"
        async with self._session.request(method, url, data=body, headers=self._headers) as reply:
            return msgspec.json.decode(await reply.read())

    async def issue_id(self, name: str) -> str:
        answer = await self.request(name, "POST", "/v1/submission-ids", {"count": 1})
        return answer["submission_ids"][0]

    async def submit(self, name: str, submission_id: str, key: str) -> dict:
        job = {
            "submission_id": submission_id,
            "tasks": [{"body": {"run_ms": 20, "key": f"{key}-{number}"}} for number in range(3)],
            "deadline_ms": 20_000,
        }
        return await self.request(name, "POST", f"/v1/jobs?wait_ms={WAIT_MS}", job)

    async def run_job(self, name: str, key: str) -> dict:
        return await self.submit(name, await self.issue_id(name), key)

    async def member(self, viewer: str, name: str) -> dict:
        status = await self.request(viewer, "GET", "/v1/status")
        return next((member for member in status["members"] if member["name"] == name), {})

    async def wait_for_state(self, viewer: str, name: str, *states: str) -> None:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            while (await self.member(viewer, name)).get("state") not in states:
                await asyncio.sleep(0.02)

    async def wait_until_known(self, viewer: str, name: str) -> None:
        incarnation = self.node(name).listening.incarnation
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            while (await self.member(viewer, name)).get("incarnation") != incarnation:
                await asyncio.sleep(0.02)

    async def wait_until_confirmed(self, viewer: str, name: str) -> None:
        """Wait until a node is reached only through its proxy, not at its announced address."""
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            while not (await self.member(viewer, name)).get("is_confirmed"):
                await asyncio.sleep(0.02)

    async def count_starts(self) -> dict[str, int]:
        counts_by_key: dict[str, int] = {}
        for target in self.fleet.targets_by_name.values():
            for key, count in (await target.counts()).starts.items():
                counts_by_key[key] = counts_by_key.get(key, 0) + count
        return counts_by_key


@contextlib.asynccontextmanager
async def running_fleet(
    team, nodes: int, domains: tuple[str, ...], proxied_names: tuple[str, ...] = ()
):
    plan = fleet_plans.FleetPlan(
        domains=dict.fromkeys(domains, fleet_plans.DomainPlan(node_count=nodes, target_count=2)),
        settings={
            "membership": {"heartbeat_ms": str(HEARTBEAT_MS), "bytes_per_second": "100000"},
            "platform": {"vms_interval_ms": "100"},
        },
        proxied_names=frozenset(proxied_names),
    )
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with (
        deployments.ready_fleet(plan, [team]) as fleet,
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        yield FleetClient(fleet, session, team)


def code_name(answer: dict) -> str:
    return answer["name"]


@pytest.mark.promise("honest_refusal", failures=["kill", "replaced_vm"])
@pytest.mark.promise("at_most_once", failures=["replaced_vm"])
async def test_ids_of_a_killed_node_are_unreachable_and_gone_after_its_replacement(team):
    async with running_fleet(team, 3, ("ikeja",)) as client:
        await client.wait_until_known("ikeja-e2", "ikeja-e1")
        used, unused = await client.issue_id("ikeja-e1"), await client.issue_id("ikeja-e1")
        complete = await client.submit("ikeja-e2", used, "before")
        assert code_name(complete) == "COMPLETE"
        await client.fleet.kill("ikeja-e1")
        await client.wait_for_state("ikeja-e2", "ikeja-e1", "suspect", "dead")
        for submission_id in (used, unused):
            refusal = await client.submit("ikeja-e2", submission_id, "before")
            assert code_name(refusal) == "ISSUER_UNREACHABLE"
            assert refusal["ran"] == results.TaskOutcome.UNKNOWN.value
            assert refusal["retry_after_ms"] > 0
        await client.fleet.start_node("ikeja-e1")
        await client.wait_until_known("ikeja-e2", "ikeja-e1")
        for submission_id in (used, unused):
            refusal = await client.submit("ikeja-e2", submission_id, "before")
            assert code_name(refusal) == "ISSUER_GONE"
        assert set((await client.count_starts()).values()) == {1}


@pytest.mark.promise("complete_or_failed", failures=["replaced_vm"])
@pytest.mark.promise("own_whole_answer", failures=["replaced_vm"])
async def test_nodes_are_replaced_one_by_one_and_all_at_once(team):
    names = ["ikeja-e1", "ikeja-e2"]
    async with running_fleet(team, 2, ("ikeja",)) as client:
        for number, name in enumerate(names):
            other = names[1 - number]
            await client.fleet.terminate(name)
            assert code_name(await client.run_job(other, f"without-{name}")) == "COMPLETE"
            await client.fleet.start_node(name)
            await client.fleet.wait_ready()
            await client.wait_until_known(other, name)
            submission_id = await client.issue_id(name)
            assert code_name(await client.submit(other, submission_id, f"by-{name}")) == "COMPLETE"
        await asyncio.gather(*(client.fleet.kill(name) for name in names))
        await asyncio.gather(*(client.fleet.start_node(name) for name in names))
        await client.fleet.wait_ready()
        for name, other in (names, reversed(names)):
            await client.wait_until_known(other, name)
            submission_id = await client.issue_id(name)
            assert (
                code_name(await client.submit(other, submission_id, f"anew-{name}")) == "COMPLETE"
            )
        starts = await client.count_starts()
        assert len(starts) == 18
        assert set(starts.values()) == {1}


@pytest.mark.promise("complete_or_failed", failures=["replaced_vm", "two_at_once"])
async def test_a_replaced_node_is_reached_before_the_vm_list_shows_it(team):
    async with running_fleet(team, 2, ("ikeja",)) as client:
        await client.wait_until_known("ikeja-e2", "ikeja-e1")
        await client.fleet.set_vm_list_faults(lag_ms=LONG_LAG_MS)
        await client.fleet.kill("ikeja-e1")
        await client.fleet.start_node("ikeja-e1")
        await client.wait_until_known("ikeja-e2", "ikeja-e1")
        submission_id = await client.issue_id("ikeja-e1")
        answer = await client.submit("ikeja-e2", submission_id, "unlisted")
        assert code_name(answer) == "COMPLETE"
        assert await client.count_starts() == {f"unlisted-{number}": 1 for number in range(3)}


@pytest.mark.promise("own_whole_answer", failures=["replaced_vm"])
async def test_a_replaced_node_finds_the_answers_of_its_predecessor(team):
    async with running_fleet(team, 2, ("ikeja",)) as client:
        await client.wait_until_known("ikeja-e1", "ikeja-e2")
        submission_id = await client.issue_id("ikeja-e1")
        answer = await client.submit("ikeja-e1", submission_id, "left")
        assert code_name(answer) == "COMPLETE"
        assert await client.fleet.terminate("ikeja-e1") == 0
        await client.fleet.start_node("ikeja-e1")
        await client.fleet.wait_ready()
        await client.wait_until_known("ikeja-e1", "ikeja-e2")
        assert await client.submit("ikeja-e1", submission_id, "left") == answer
        assert await client.count_starts() == {f"left-{number}": 1 for number in range(3)}


@pytest.mark.promise("at_most_once", failures=["freeze"])
@pytest.mark.promise("honest_refusal", failures=["freeze"])
async def test_a_node_frozen_past_its_suspicion_time_resumes_when_thawed(team):
    async with running_fleet(team, 2, ("ikeja",)) as client:
        await client.wait_until_known("ikeja-e2", "ikeja-e1")
        submission_id = await client.issue_id("ikeja-e1")
        client.fleet.pause("ikeja-e1")
        await client.wait_for_state("ikeja-e2", "ikeja-e1", "suspect", "dead")
        refusal = await client.submit("ikeja-e2", submission_id, "frozen")
        assert code_name(refusal) == "ISSUER_UNREACHABLE"
        assert refusal["ran"] == results.TaskOutcome.UNKNOWN.value
        client.fleet.resume("ikeja-e1")
        for viewer, name in (("ikeja-e2", "ikeja-e1"), ("ikeja-e1", "ikeja-e2")):
            await client.wait_for_state(viewer, name, "live")
        answer = await client.submit("ikeja-e2", submission_id, "frozen")
        assert code_name(answer) == "COMPLETE"
        starts = await client.count_starts()
        assert len(starts) == 3
        assert set(starts.values()) == {1}


@pytest.mark.promise("complete_or_failed", failures=["cut"])
@pytest.mark.promise("honest_refusal", failures=["cut"])
@pytest.mark.promise("own_whole_answer", failures=["cut", "silent_connection"])
async def test_partitioned_domains_run_jobs_and_reconnect(team):
    names = ("ikeja-e1", "lekki-e1")
    async with running_fleet(team, 1, ("ikeja", "lekki"), proxied_names=names) as client:
        proxies = [client.fleet.proxies_by_name[name] for name in names]
        await client.wait_until_confirmed("ikeja-e1", "lekki-e1")
        await client.wait_until_confirmed("lekki-e1", "ikeja-e1")
        crossing = await client.issue_id("lekki-e1")
        answer = await client.submit("ikeja-e1", crossing, "crossing")
        assert code_name(answer) == "COMPLETE"
        for proxy in proxies:
            proxy.blackhole()
        assert await client.submit("ikeja-e1", crossing, "crossing") == answer
        for proxy in proxies:
            proxy.disconnect()
        for name in names:
            assert code_name(await client.run_job(name, f"cut-{name}")) == "COMPLETE"
        unreachable = await client.submit("ikeja-e1", crossing, "crossing")
        assert code_name(unreachable) == "ISSUER_UNREACHABLE"
        for proxy in proxies:
            await proxy.reconnect()
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            while (await client.submit("ikeja-e1", crossing, "crossing")) != answer:
                await asyncio.sleep(0.1)
        starts = await client.count_starts()
        assert len(starts) == 9
        assert set(starts.values()) == {1}

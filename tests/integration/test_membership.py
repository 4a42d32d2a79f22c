import asyncio
import contextlib

import aiohttp
import msgspec
import pytest

from chiveridge_kernel import results
from chiveridge_load import deployments
from chiveridge_standins import fleet_plans, fleets, members

HEARTBEAT_MS = 200
WAIT_MS = 8000
LONG_LAG_MS = 60_000
REQUEST_TIMEOUT_S = 30


class Domain:
    """A fleet with ways to call one node and to see its members."""

    def __init__(
        self, fleet: fleets.Fleet, session: aiohttp.ClientSession, team: deployments.TeamPlan
    ):
        self.fleet = fleet
        self._session = session
        self._headers = {"Authorization": f"Bearer {team.credential}"}

    def node(self, name: str) -> members.Node:
        return self.fleet.nodes_by_name[name]

    async def call(self, name: str, method: str, path: str, message: object = None) -> dict:
        body = None if message is None else msgspec.json.encode(message)
        url = f"{self.node(name).url}{path}"
        async with self._session.request(method, url, data=body, headers=self._headers) as reply:
            return msgspec.json.decode(await reply.read())

    async def issue(self, name: str) -> str:
        answer = await self.call(name, "POST", "/v1/submission-ids", {"count": 1})
        return answer["submission_ids"][0]

    async def submit(self, name: str, submission_id: str, key: str) -> dict:
        job = {
            "submission_id": submission_id,
            "tasks": [{"body": {"run_ms": 20, "key": f"{key}-{number}"}} for number in range(3)],
            "deadline_ms": 20_000,
        }
        return await self.call(name, "POST", f"/v1/jobs?wait_ms={WAIT_MS}", job)

    async def run(self, name: str, key: str) -> dict:
        return await self.submit(name, await self.issue(name), key)

    async def member(self, viewer: str, name: str) -> dict:
        status = await self.call(viewer, "GET", "/v1/status")
        return next((found for found in status["members"] if found["name"] == name), {})

    async def until_state(self, viewer: str, name: str, *states: str) -> None:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            while (await self.member(viewer, name)).get("state") not in states:
                await asyncio.sleep(0.02)

    async def until_known(self, viewer: str, name: str) -> None:
        incarnation = self.node(name).listening.incarnation
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            while (await self.member(viewer, name)).get("incarnation") != incarnation:
                await asyncio.sleep(0.02)

    async def until_confirmed(self, viewer: str, name: str) -> None:
        """Wait until a node is reached through its proxy only, not where it announced itself."""
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            while not (await self.member(viewer, name)).get("is_confirmed"):
                await asyncio.sleep(0.02)

    async def starts(self) -> dict[str, int]:
        found: dict[str, int] = {}
        for target in self.fleet.targets_by_name.values():
            for key, count in (await target.counts()).starts.items():
                found[key] = found.get(key, 0) + count
        return found


@contextlib.asynccontextmanager
async def running(team, nodes: int, domains: tuple[str, ...], proxied: tuple[str, ...] = ()):
    plan = fleet_plans.FleetPlan(
        domains=dict.fromkeys(domains, fleet_plans.DomainPlan(nodes=nodes, targets=2)),
        settings={
            "membership": {"heartbeat_ms": str(HEARTBEAT_MS), "bytes_per_second": "100000"},
            "platform": {"vms_interval_ms": "100"},
        },
        proxied=frozenset(proxied),
    )
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with (
        deployments.ready_fleet(plan, [team]) as fleet,
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        yield Domain(fleet, session, team)


def name_of(answer: dict) -> str:
    return answer["name"]


@pytest.mark.promise("honest_refusal", failures=["kill", "replaced_vm"])
@pytest.mark.promise("at_most_once", failures=["replaced_vm"])
async def test_the_ids_of_a_killed_node_are_unreachable_and_gone_once_it_is_replaced(team):
    async with running(team, 3, ("ikeja",)) as domain:
        await domain.until_known("ikeja-e2", "ikeja-e1")
        used, unused = await domain.issue("ikeja-e1"), await domain.issue("ikeja-e1")
        complete = await domain.submit("ikeja-e2", used, "before")
        assert name_of(complete) == "COMPLETE"
        await domain.fleet.kill("ikeja-e1")
        await domain.until_state("ikeja-e2", "ikeja-e1", "suspect", "dead")
        for submission_id in (used, unused):
            refusal = await domain.submit("ikeja-e2", submission_id, "before")
            assert name_of(refusal) == "ISSUER_UNREACHABLE"
            assert refusal["ran"] == results.TaskOutcome.UNKNOWN.value
            assert refusal["retry_after_ms"] > 0
        await domain.fleet.start_node("ikeja-e1")
        await domain.until_known("ikeja-e2", "ikeja-e1")
        for submission_id in (used, unused):
            refusal = await domain.submit("ikeja-e2", submission_id, "before")
            assert name_of(refusal) == "ISSUER_GONE"
        assert set((await domain.starts()).values()) == {1}


@pytest.mark.promise("complete_or_failed", failures=["replaced_vm"])
@pytest.mark.promise("own_whole_answer", failures=["replaced_vm"])
async def test_nodes_are_replaced_one_by_one_and_all_at_once(team):
    names = ["ikeja-e1", "ikeja-e2"]
    async with running(team, 2, ("ikeja",)) as domain:
        for number, name in enumerate(names):
            other = names[1 - number]
            await domain.fleet.terminate(name)
            assert name_of(await domain.run(other, f"without-{name}")) == "COMPLETE"
            await domain.fleet.start_node(name)
            await domain.fleet.wait_ready()
            await domain.until_known(other, name)
            submission_id = await domain.issue(name)
            assert name_of(await domain.submit(other, submission_id, f"by-{name}")) == "COMPLETE"
        await asyncio.gather(*(domain.fleet.kill(name) for name in names))
        await asyncio.gather(*(domain.fleet.start_node(name) for name in names))
        await domain.fleet.wait_ready()
        for name, other in (names, reversed(names)):
            await domain.until_known(other, name)
            submission_id = await domain.issue(name)
            assert name_of(await domain.submit(other, submission_id, f"anew-{name}")) == "COMPLETE"
        starts = await domain.starts()
        assert len(starts) == 18
        assert set(starts.values()) == {1}


@pytest.mark.promise("complete_or_failed", failures=["replaced_vm", "two_at_once"])
async def test_a_replaced_node_is_reached_before_the_list_shows_it(team):
    async with running(team, 2, ("ikeja",)) as domain:
        await domain.until_known("ikeja-e2", "ikeja-e1")
        await domain.fleet.control_vms(lag_ms=LONG_LAG_MS)
        await domain.fleet.kill("ikeja-e1")
        await domain.fleet.start_node("ikeja-e1")
        await domain.until_known("ikeja-e2", "ikeja-e1")
        submission_id = await domain.issue("ikeja-e1")
        answer = await domain.submit("ikeja-e2", submission_id, "unlisted")
        assert name_of(answer) == "COMPLETE"
        assert await domain.starts() == {f"unlisted-{number}": 1 for number in range(3)}


@pytest.mark.promise("own_whole_answer", failures=["replaced_vm"])
async def test_a_replaced_node_finds_the_answers_that_its_earlier_life_left(team):
    async with running(team, 2, ("ikeja",)) as domain:
        await domain.until_known("ikeja-e1", "ikeja-e2")
        submission_id = await domain.issue("ikeja-e1")
        answer = await domain.submit("ikeja-e1", submission_id, "left")
        assert name_of(answer) == "COMPLETE"
        assert await domain.fleet.terminate("ikeja-e1") == 0
        await domain.fleet.start_node("ikeja-e1")
        await domain.fleet.wait_ready()
        await domain.until_known("ikeja-e1", "ikeja-e2")
        assert await domain.submit("ikeja-e1", submission_id, "left") == answer
        assert await domain.starts() == {f"left-{number}": 1 for number in range(3)}


@pytest.mark.promise("at_most_once", failures=["freeze"])
@pytest.mark.promise("honest_refusal", failures=["freeze"])
async def test_a_node_frozen_past_its_suspicion_time_goes_on_when_woken(team):
    async with running(team, 2, ("ikeja",)) as domain:
        await domain.until_known("ikeja-e2", "ikeja-e1")
        submission_id = await domain.issue("ikeja-e1")
        domain.fleet.freeze("ikeja-e1")
        await domain.until_state("ikeja-e2", "ikeja-e1", "suspect", "dead")
        refusal = await domain.submit("ikeja-e2", submission_id, "frozen")
        assert name_of(refusal) == "ISSUER_UNREACHABLE"
        assert refusal["ran"] == results.TaskOutcome.UNKNOWN.value
        domain.fleet.thaw("ikeja-e1")
        for viewer, name in (("ikeja-e2", "ikeja-e1"), ("ikeja-e1", "ikeja-e2")):
            await domain.until_state(viewer, name, "live")
        answer = await domain.submit("ikeja-e2", submission_id, "frozen")
        assert name_of(answer) == "COMPLETE"
        starts = await domain.starts()
        assert len(starts) == 3
        assert set(starts.values()) == {1}


@pytest.mark.promise("complete_or_failed", failures=["cut"])
@pytest.mark.promise("honest_refusal", failures=["cut"])
@pytest.mark.promise("own_whole_answer", failures=["cut", "silent_connection"])
async def test_domains_cut_from_each_other_go_on_and_meet_again(team):
    names = ("ikeja-e1", "lekki-e1")
    async with running(team, 1, ("ikeja", "lekki"), proxied=names) as domain:
        proxies = [domain.fleet.proxies_by_name[name] for name in names]
        await domain.until_confirmed("ikeja-e1", "lekki-e1")
        await domain.until_confirmed("lekki-e1", "ikeja-e1")
        crossing = await domain.issue("lekki-e1")
        answer = await domain.submit("ikeja-e1", crossing, "crossing")
        assert name_of(answer) == "COMPLETE"
        for proxy in proxies:
            proxy.go_silent()
        assert await domain.submit("ikeja-e1", crossing, "crossing") == answer
        for proxy in proxies:
            proxy.cut()
        for name in names:
            assert name_of(await domain.run(name, f"cut-{name}")) == "COMPLETE"
        unreachable = await domain.submit("ikeja-e1", crossing, "crossing")
        assert name_of(unreachable) == "ISSUER_UNREACHABLE"
        for proxy in proxies:
            await proxy.heal()
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            while (await domain.submit("ikeja-e1", crossing, "crossing")) != answer:
                await asyncio.sleep(0.1)
        starts = await domain.starts()
        assert len(starts) == 9
        assert set(starts.values()) == {1}

"""Fixtures for tests that run real processes."""

import asyncio
import contextlib
import datetime

import aiohttp
import msgspec
import pytest

from chiveridge_kernel import messages
from chiveridge_load import deployments
from chiveridge_standins import fleet_plans, fleets

TIMEOUT_S = 30


class Reply(msgspec.Struct, kw_only=True):
    """A node's reply to a raw HTTP request: the answer to a job or a refusal."""

    status: int = 0
    code: int
    ran: str = ""
    state: str = ""
    name: str = ""
    tasks: list[messages.TaskAnswer] = []


class Caller:
    """Send raw HTTP requests with a team's key and never retry them."""

    def __init__(self, session: aiohttp.ClientSession, credential: str):
        self._session = session
        self._headers = {"Authorization": f"Bearer {credential}"}

    async def request(self, method: str, url: str, body: bytes | None = None) -> bytes:
        async with self._session.request(method, url, data=body, headers=self._headers) as response:
            return response.status, await response.read()

    async def open(self, url: str) -> aiohttp.ClientResponse:
        """Return the response to a GET request before its body is read."""
        return await self._session.get(url, headers=self._headers)

    async def issue_id(self, node_url: str) -> str:
        _, payload = await self.request("POST", f"{node_url}/v1/submission-ids")
        return msgspec.json.decode(payload)["submission_ids"][0]

    async def submit(self, node_url: str, submission: messages.Submission, wait_ms=0) -> Reply:
        body = messages.encoder.encode(submission)
        return await self._reply("POST", f"{node_url}/v1/jobs?wait_ms={wait_ms}", body)

    async def get_answer(self, node_url: str, submission_id: str, wait_ms=0) -> Reply:
        return await self._reply("GET", f"{node_url}/v1/jobs/{submission_id}?wait_ms={wait_ms}")

    async def cancel(self, node_url: str, submission_id: str) -> Reply:
        return await self._reply("DELETE", f"{node_url}/v1/jobs/{submission_id}")

    async def _reply(self, method: str, url: str, body: bytes | None = None) -> Reply:
        status, payload = await self.request(method, url, body)
        reply = msgspec.json.decode(payload, type=Reply)
        reply.status = status
        return reply


class Deployment:
    """A fleet that is ready, its only team, and a caller with the key of that team."""

    def __init__(self, fleet: fleets.Fleet, caller: Caller, team: deployments.TeamPlan):
        self.fleet = fleet
        self.caller = caller
        self.team = team

    async def wait_until(self, condition) -> None:
        await poll_until(condition)

    def url(self, node: str) -> str:
        return self.fleet.nodes_by_name[node].url

    async def make_submission(self, node: str, *tasks: messages.TaskSpec, **fields):
        """Return a submission with a new id that a node issued."""
        submission_id = await self.caller.issue_id(self.url(node))
        return messages.Submission(submission_id=submission_id, tasks=list(tasks), **fields)

    async def count_starts(self) -> dict[str, int]:
        """Return the number of starts by task key, as counted by the targets."""
        starts_by_key: dict[str, int] = {}
        for target in self.fleet.targets_by_name.values():
            for key, count in (await target.counts()).starts.items():
                starts_by_key[key] = starts_by_key.get(key, 0) + count
        return starts_by_key

    async def is_every_node_listed(self) -> bool:
        """Tell whether every node has all nodes in its list."""
        names = set(self.fleet.nodes_by_name)
        for name in names:
            _, payload = await self.caller.request("GET", f"{self.url(name)}/v1/status")
            if not names <= set(msgspec.json.decode(payload)["nodes"]):
                return False
        return True

    async def is_every_proxy_in_use(self) -> bool:
        """Tell whether no node tries the address that a proxied node announced for itself."""
        proxied_names = self.fleet.plan.proxied_names & set(self.fleet.nodes_by_name)
        for name in self.fleet.nodes_by_name:
            _, payload = await self.caller.request("GET", f"{self.url(name)}/v1/status")
            members = msgspec.json.decode(payload)["members"]
            confirmed = {member["name"] for member in members if member["is_confirmed"]}
            if not proxied_names - {name} <= confirmed:
                return False
        return True

    async def wait_started(self, key: str) -> None:
        await poll_until(lambda: self.has_started(key))

    async def wait_draining(self, node: str) -> None:
        async def is_draining() -> bool:
            return (await self.caller.request("GET", f"{self.url(node)}/readyz"))[0] == 503

        await poll_until(is_draining)

    async def has_started(self, key: str) -> bool:
        return key in await self.count_starts()


async def poll_until(condition) -> None:
    """Wait until an asynchronous condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.02)


def new_task(key: str, run_ms: int = 20, **body) -> messages.TaskSpec:
    content = msgspec.json.encode({"run_ms": run_ms, "key": key, **body})
    return messages.TaskSpec(body=msgspec.Raw(content))


@pytest.fixture(scope="session")
def team() -> deployments.TeamPlan:
    return deployments.TeamPlan(name="dispatch-desk", secret="secret-of-the-tests")


@pytest.fixture
def make_task():
    return new_task


@pytest.fixture
def wait_until():
    return poll_until


@pytest.fixture
def deploy(team):
    """Return a function that starts a fleet; use its result as an asynchronous context manager."""

    @contextlib.asynccontextmanager
    async def run_deployment(nodes: int = 1, targets: int = 1, domains=("ikeja",), **plan):
        domain = fleet_plans.DomainPlan(node_count=nodes, target_count=targets)
        fleet_plan = fleet_plans.FleetPlan(domains=dict.fromkeys(domains, domain), **plan)
        async with (
            deployments.ready_fleet(fleet_plan, [team]) as fleet,
            aiohttp.ClientSession() as session,
        ):
            deployment = Deployment(fleet, Caller(session, team.credential), team)
            await poll_until(deployment.is_every_node_listed)
            await poll_until(deployment.is_every_proxy_in_use)
            yield deployment

    return run_deployment


@pytest.fixture
def seconds():
    return lambda count: datetime.timedelta(seconds=count)

import asyncio
import contextlib

import aiohttp
import pytest

from chiveridge_standins import clocks, servers, simulated_targets, targets

ONE_HOUR_MS = 3_600_000


@contextlib.asynccontextmanager
async def serving(slots: int = 2):
    target = simulated_targets.SimulatedTarget("t1", slots, clocks.SystemClock())
    server = targets.create_server(target)
    control = servers.AppServer(targets.create_control_app(target))
    await server.start()
    await control.start()
    client = Client(server.port, control.port)
    async with client.session:
        yield client
    await asyncio.gather(server.stop(), control.stop())


class Client:
    def __init__(self, port: int, control_port: int):
        self.session = aiohttp.ClientSession()
        self.url = f"http://127.0.0.1:{port}"
        self.control_url = f"http://127.0.0.1:{control_port}"

    async def request(self, method: str, path: str, **arguments) -> tuple[int, dict]:
        async with self.session.request(method, self.url + path, **arguments) as reply:
            return reply.status, await reply.json()

    async def start(self, lease_id: str, start_before: int | None = None, **body):
        headers = {} if start_before is None else {"Chiveridge-Start-Before": str(start_before)}
        path = f"/v1/leases/{lease_id}"
        return await self.request("POST", path, json={"key": "k"} | body, headers=headers)

    async def counts(self) -> dict:
        async with self.session.get(f"{self.control_url}/v1/counts") as reply:
            return await reply.json()

    async def control(self, **changes) -> None:
        async with self.session.post(f"{self.control_url}/control", json=changes) as reply:
            assert reply.status == 200

    async def wait_for(self, field: str, count: int) -> None:
        async with asyncio.timeout(20):
            while (await self.counts())[field].get("k", 0) < count:
                await asyncio.sleep(0.01)


async def test_runs_a_task_and_remembers_its_outcome():
    async with serving() as client:
        status, reply = await client.start("a", run_ms=1, result_bytes=3)
        assert status == 200
        assert reply["outcome"] == "succeeded"
        assert reply["result"] == {"key": "k", "target": "t1", "padding": "xxx"}
        assert (await client.request("GET", "/v1/leases/a"))[1] == reply
        status, reply = await client.request("GET", "/v1/leases/b")
        assert (status, reply["outcome"]) == (404, "unseen")


async def test_starts_and_counts_duplicates():
    async with serving() as client:
        await asyncio.gather(client.start("a"), client.start("a"), client.start("b"))
        counts = await client.counts()
    assert counts["starts"] == counts["ends"] == {"k": 3}
    assert counts["total_starts"] == len(counts["started_at_ms"]["k"]) == 3


async def test_queues_for_a_slot_and_stops_running_and_queued_tasks():
    async with serving(slots=1) as client:
        running = asyncio.create_task(client.start("a", run_ms=ONE_HOUR_MS))
        await client.wait_for("starts", 1)
        queued = asyncio.create_task(client.start("b", run_ms=ONE_HOUR_MS))
        while (await client.request("GET", "/v1/leases/b"))[0] == 404:
            await asyncio.sleep(0.01)
        for lease_id, pending in (("b", queued), ("a", running)):
            _status, reply = await client.request("DELETE", f"/v1/leases/{lease_id}")
            assert reply["outcome"] == "stopped"
            assert (await pending)[1]["outcome"] == "stopped"
        counts = await client.counts()
    assert (counts["total_starts"], counts["max_busy"], counts["stops"]) == (1, 1, {"k": 2})


@pytest.mark.parametrize(
    ("changes", "start_before", "reason"),
    [
        ({"leaving": True}, None, "leaving"),
        ({}, 1, "too_late"),
        ({"failing": True}, 1, "too_late"),
    ],
)
async def test_refuses_starts(changes, start_before, reason):
    async with serving() as client:
        await client.control(**changes)
        status, reply = await client.start("a", start_before)
        assert (status, reply["outcome"], reply["reason"]) == (503, "not_started", reason)
        assert (await client.counts())["total_starts"] == 0


async def test_refuses_when_busy():
    async with serving(slots=1) as client:
        await client.control(refuse_busy=True)
        pending = asyncio.create_task(client.start("a", run_ms=ONE_HOUR_MS))
        await client.wait_for("starts", 1)
        status, reply = await client.start("b")
        assert (status, reply["reason"], reply["busy"]) == (503, "busy", 1)
        await client.request("DELETE", "/v1/leases/a")
        await pending


async def test_starts_late_and_fails_when_configured():
    async with serving() as client:
        await client.control(enforce_start_before=False)
        assert (await client.start("a", 1, fail=True))[1]["outcome"] == "failed"
        await client.control(failing=True)
        assert (await client.start("b", run_ms=ONE_HOUR_MS))[1]["outcome"] == "failed"


async def test_a_task_without_a_reply_has_run():
    async with serving() as client:
        await client.control(drop_replies=1)
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await client.start("a")
        assert (await client.request("GET", "/v1/leases/a"))[1]["outcome"] == "succeeded"
        assert (await client.counts())["ends"] == {"k": 1}


async def test_a_task_continues_when_its_connection_closes():
    async with serving() as client:
        pending = asyncio.create_task(client.start("a", run_ms=50))
        await client.wait_for("starts", 1)
        pending.cancel()
        await client.wait_for("ends", 1)
        assert (await client.counts())["stops"] == {}


async def test_a_silent_target_starts_nothing():
    async with serving() as client:
        await client.control(silent=True)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await client.start("a")
        assert (await client.counts())["total_starts"] == 0


async def test_closes_connections_beyond_the_limit():
    async with serving() as client:
        await client.control(max_connections=1)
        pending = asyncio.create_task(client.start("a", run_ms=ONE_HOUR_MS))
        await client.wait_for("starts", 1)
        with pytest.raises(aiohttp.ClientConnectionError):
            await client.request("POST", "/v1/leases/b", json={})
        assert (await client.counts())["total_starts"] == 1
        pending.cancel()


async def test_usage_follows_the_load():
    async with serving() as client:
        await client.control(usage_lag_ms=0)
        pending = asyncio.create_task(client.start("a", run_ms=ONE_HOUR_MS))
        await client.wait_for("starts", 1)
        _status, usage = await client.request("GET", "/v1/usage")
        assert usage == {"busy": 1, "queued": 0, "slots": 2, "leaving": False}
        await client.request("DELETE", "/v1/leases/a")
        await pending

import asyncio
import contextlib
import datetime

import aiohttp
import falcon.asgi
import pytest

from chiveridge_standins import logs, servers

RECORDS = "/v1/streams/configuration/records"


class FixedClock:
    def now(self) -> datetime.datetime:
        return datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


@contextlib.asynccontextmanager
async def serving():
    app = falcon.asgi.App()
    logs.add_routes(app, logs.Log(FixedClock()))
    server = servers.AppServer(app)
    await server.start()
    async with aiohttp.ClientSession(f"http://127.0.0.1:{server.port}") as session:
        yield session
    await server.stop()


async def append(session: aiohttp.ClientSession, number: int) -> int:
    async with session.post(RECORDS, json={"number": number}) as reply:
        assert reply.status == 201
        return (await reply.json())["offset"]


async def read(session: aiohttp.ClientSession, **params) -> tuple[int, dict]:
    names = {"start": "from"}
    query = {names.get(name, name): value for name, value in params.items()}
    async with session.get(RECORDS, params=query) as reply:
        return reply.status, await reply.json()


async def control(session: aiohttp.ClientSession, **changes) -> int:
    async with session.post("/log/control", json=changes) as reply:
        return reply.status


async def test_reads_what_was_appended():
    async with serving() as session:
        assert [await append(session, number) for number in range(3)] == [0, 1, 2]
        status, body = await read(session, start=1, limit=1)
    record = {"offset": 1, "appended_at": "2026-01-01T00:00:00Z", "value": {"number": 1}}
    assert (status, body) == (200, {"first": 0, "next": 3, "records": [record]})


async def test_a_waiting_read_gets_the_next_append():
    async with serving() as session:
        waiting = asyncio.create_task(read(session, start=0, wait_ms=30_000))
        await append(session, 7)
        _status, body = await waiting
    assert body["records"][0]["value"] == {"number": 7}


@pytest.mark.parametrize("changes", [{"max_records": 2}, {"expire_before": {"configuration": 3}}])
async def test_reads_of_expired_records_return_410(changes):
    async with serving() as session:
        for number in range(5):
            await append(session, number)
        assert await control(session, **changes) == 200
        status, body = await read(session, start=2)
        assert (status, body) == (410, {"first": 3, "next": 5, "records": []})
        status, body = await read(session, start=3)
        assert (status, len(body["records"])) == (200, 2)


async def test_an_append_without_a_reply_takes_effect():
    async with serving() as session:
        await control(session, drop_append_replies=1)
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await append(session, 1)
        assert await append(session, 2) == 1
        _status, body = await read(session, start=0)
    assert [record["value"]["number"] for record in body["records"]] == [1, 2]


async def test_requests_are_refused_while_the_log_is_down():
    async with serving() as session:
        await control(session, down=True)
        async with session.post(RECORDS, json={}) as reply:
            assert reply.status == 503
        await control(session, down=False)
        assert await append(session, 1) == 0


async def test_rejects_bad_control_and_bad_records():
    async with serving() as session:
        assert await control(session, colour="red") == 400
        assert await control(session, down="perhaps") == 400
        async with session.post(RECORDS, json=[1]) as reply:
            assert reply.status == 400

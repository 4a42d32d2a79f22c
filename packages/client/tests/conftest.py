import asyncio
import collections
import datetime
import json

import msgspec
import pytest
from aiohttp import web

from chiveridge_kernel import messages, results

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class FakeClock:
    """Time that passes only while somebody sleeps."""

    def __init__(self):
        self.passed = datetime.timedelta(0)

    def now(self):
        return START + self.passed

    def elapsed(self):
        return self.passed

    async def sleep(self, duration):
        self.passed += duration
        await asyncio.sleep(0)


async def cut_off(request, body, status=200):
    """Send half of a body, then close the connection."""
    response = web.StreamResponse(status=status)
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    request.transport.close()
    return response


def answer_of(submission_id, indices=(0, 1), state=results.JobState.COMPLETE):
    tasks = [messages.TaskAnswer(i, results.TaskOutcome.SUCCEEDED) for i in indices]
    code = results.ResultCode.COMPLETE
    return msgspec.json.encode(
        messages.JobAnswer(submission_id=submission_id, state=state, code=code, tasks=tasks)
    )


class FakeNode:
    """Serves ids and whole answers; ``replies`` hold handlers for the next job requests."""

    def __init__(self):
        self.replies = collections.deque()
        self.job_requests = []
        self.issued = 0
        self.applied = 100
        self.members = [("live", 100)]
        self.id_life = datetime.timedelta(hours=1)
        self.url = ""

    def app(self):
        app = web.Application()
        app.router.add_post("/v1/submission-ids", self._issue)
        app.router.add_route("*", "/v1/jobs", self._job)
        app.router.add_route("*", "/v1/jobs/{id}", self._job)
        app.router.add_get("/v1/status", self._status)
        return app

    async def _issue(self, request):
        count = (await request.json())["count"]
        ids = [f"id-{self.issued + i}" for i in range(count)]
        self.issued += count
        expires_at_ms = int((START + self.id_life).timestamp() * 1000)
        return web.json_response({"code": 0, "submission_ids": ids, "expires_at_ms": expires_at_ms})

    async def _job(self, request):
        body = await request.read()
        submission_id = request.match_info.get("id") or json.loads(body)["submission_id"]
        self.job_requests.append((request.method, submission_id))
        if self.replies:
            return await self.replies.popleft()(request, submission_id)
        return web.Response(body=answer_of(submission_id))

    def send(self, *, id_="", status=200, **fields):
        """Make the next job request get an answer with these fields."""

        async def reply(request, submission_id):
            return web.Response(body=answer_of(id_ or submission_id, **fields), status=status)

        self.replies.append(reply)

    def refuse(self, code, *, times=1, **fields):
        """Make the next job requests get a refusal."""
        message = messages.Refusal(code=code, name=code.name, message="no", **fields)

        async def reply(request, submission_id):
            return web.Response(body=msgspec.json.encode(message), status=503)

        self.replies.extend([reply] * times)

    def gather(self, count):
        """Hold the next job requests until all of them have arrived."""
        all_arrived = asyncio.Event()

        async def reply(request, submission_id):
            if len(self.job_requests) >= count:
                all_arrived.set()
            await all_arrived.wait()
            return web.Response(body=answer_of(submission_id))

        self.replies.extend([reply] * count)

    async def cut_off(self, request, submission_id):
        return await cut_off(request, answer_of(submission_id))

    async def _status(self, request):
        return web.json_response(
            {
                "name": "ikeja-e1",
                "ready": True,
                "config_offset": self.applied,
                "config_staleness_s": 0.25,
                "vms_staleness_s": None,
                "jobs_in_progress": 0,
                "members": [
                    {"name": "e2", "domain": "d", "state": state, "config_offset": offset}
                    | {"silent_ms": 40}
                    for state, offset in self.members
                ],
                "target_states": {"dryer-1": "usable", "dryer-2": "leaving"},
            }
        )


class FakeLog:
    """One stream in memory; ``lose_replies`` appends are stored and get no whole reply."""

    def __init__(self):
        self.values = []
        self.first = 0
        self.lose_replies = 0
        self.url = ""

    def app(self):
        app = web.Application()
        app.router.add_post("/v1/streams/{stream}/records", self._append)
        app.router.add_get("/v1/streams/{stream}/records", self._read)
        return app

    async def _append(self, request):
        self.values.append(await request.json())
        body = json.dumps({"offset": len(self.values) - 1}).encode()
        if self.lose_replies:
            self.lose_replies -= 1
            return await cut_off(request, body, 201)
        return web.Response(body=body, status=201)

    async def _read(self, request):
        start, limit = int(request.query["from"]), int(request.query["limit"])
        page = {"first": self.first, "next": len(self.values), "records": []}
        if start < self.first:
            return web.json_response(page, status=410)
        page["records"] = [
            {"offset": i, "appended_at": "2026-01-01T00:00:00Z", "value": value}
            for i, value in enumerate(self.values)
            if start <= i < start + limit
        ]
        return web.json_response(page)


async def serve(fake):
    runner = web.AppRunner(fake.app(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    fake.url = f"http://127.0.0.1:{site._server.sockets[0].getsockname()[1]}"
    return runner


@pytest.fixture
async def node():
    fake = FakeNode()
    runner = await serve(fake)
    yield fake
    await runner.cleanup()


@pytest.fixture
async def log():
    fake = FakeLog()
    runner = await serve(fake)
    yield fake
    await runner.cleanup()


@pytest.fixture
def clock():
    return FakeClock()

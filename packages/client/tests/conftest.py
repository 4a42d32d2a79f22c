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
    """Clock that advances only in :meth:`sleep`."""

    def __init__(self):
        self.elapsed_time = datetime.timedelta(0)

    def now(self):
        return START + self.elapsed_time

    def elapsed(self):
        return self.elapsed_time

    async def sleep(self, duration):
        self.elapsed_time += duration
        await asyncio.sleep(0)


async def send_half_body(request, body, status=200):
    """Send the first half of a body, then close the connection."""
    response = web.StreamResponse(status=status)
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    request.transport.close()
    return response


def encode_answer(submission_id, indices=(0, 1), state=results.JobState.COMPLETE):
    tasks = [messages.TaskAnswer(i, results.TaskOutcome.SUCCEEDED) for i in indices]
    code = results.ResultCode.COMPLETE
    return msgspec.json.encode(
        messages.JobAnswer(submission_id=submission_id, state=state, code=code, tasks=tasks)
    )


class FakeNode:
    """Node that issues ids and answers jobs; ``reply_handlers`` handle the next job requests."""

    def __init__(self):
        self.reply_handlers = collections.deque()
        self.job_requests = []
        self.issued_count = 0
        self.applied_offset = 100
        self.members = [("live", 100)]
        self.id_lifetime = datetime.timedelta(hours=1)
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
        ids = [f"id-{self.issued_count + i}" for i in range(count)]
        self.issued_count += count
        expires_at_ms = int((START + self.id_lifetime).timestamp() * 1000)
        return web.json_response({"code": 0, "submission_ids": ids, "expires_at_ms": expires_at_ms})

    async def _job(self, request):
        body = await request.read()
        submission_id = request.match_info.get("id") or json.loads(body)["submission_id"]
        self.job_requests.append((request.method, submission_id))
        if self.reply_handlers:
            return await self.reply_handlers.popleft()(request, submission_id)
        return web.Response(body=encode_answer(submission_id))

    def answer_next(self, *, id_="", status=200, **fields):
        """Answer the next job request with these fields."""

        async def reply(request, submission_id):
            return web.Response(body=encode_answer(id_ or submission_id, **fields), status=status)

        self.reply_handlers.append(reply)

    def refuse_next(self, code, *, times=1, **fields):
        """Refuse the next ``times`` job requests."""
        message = messages.Refusal(code=code, name=code.name, message="no", **fields)

        async def reply(request, submission_id):
            return web.Response(body=msgspec.json.encode(message), status=503)

        self.reply_handlers.extend([reply] * times)

    def hold_until_all_arrive(self, count):
        """Delay the replies to the next ``count`` job requests until all have arrived."""
        all_arrived = asyncio.Event()

        async def reply(request, submission_id):
            if len(self.job_requests) >= count:
                all_arrived.set()
            await all_arrived.wait()
            return web.Response(body=encode_answer(submission_id))

        self.reply_handlers.extend([reply] * count)

    async def send_half_answer(self, request, submission_id):
        return await send_half_body(request, encode_answer(submission_id))

    async def _status(self, request):
        return web.json_response(
            {
                "name": "ikeja-e1",
                "ready": True,
                "config_offset": self.applied_offset,
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
    """Log with one stream; ``replies_to_lose`` appends are stored but get a truncated reply."""

    def __init__(self):
        self.values = []
        self.first = 0
        self.replies_to_lose = 0
        self.url = ""

    def app(self):
        app = web.Application()
        app.router.add_post("/v1/streams/{stream}/records", self._append)
        app.router.add_get("/v1/streams/{stream}/records", self._read)
        return app

    async def _append(self, request):
        self.values.append(await request.json())
        body = json.dumps({"offset": len(self.values) - 1}).encode()
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            return await send_half_body(request, body, 201)
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

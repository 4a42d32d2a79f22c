import asyncio
import contextlib
import json

import msgspec
import pytest
from aiohttp import web

from chiveridge_kernel import messages, results
from chiveridge_load import deployments, generators, workloads

TEAM = deployments.TeamPlan(name="desk", secret="secret")
JOB = workloads.JobPlan(index=0, at_s=0.0, team="desk", run_ms=[10.0])
CONFIRM_DELAY_S = 0.1
FAR_EXPIRY_MS = 4_000_000_000_000


class FakeNode:
    """Issues ids, answers jobs, and records the ids submitted and cancelled.

    ``refusals`` and ``replies_to_drop`` apply to the next submissions. Jobs are answered once
    ``may_answer`` is set, cancellations confirmed once ``may_confirm`` is set.
    """

    def __init__(self):
        self.issued_count = 0
        self.submitted: list[str] = []
        self.cancelled: list[str] = []
        self.refusals: list[results.ResultCode] = []
        self.replies_to_drop = 0
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.may_confirm = asyncio.Event()
        self.may_confirm.set()
        self.url = ""

    @contextlib.asynccontextmanager
    async def serving(self):
        app = web.Application()
        app.router.add_post("/v1/submission-ids", self._issue)
        app.router.add_post("/v1/jobs", self._submit)
        app.router.add_delete("/v1/jobs/{id}", self._cancel)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.url = f"http://127.0.0.1:{site._server.sockets[0].getsockname()[1]}"
        yield
        await runner.cleanup()

    async def _issue(self, request):
        count = (await request.json())["count"]
        ids = [f"id-{self.issued_count + number}" for number in range(count)]
        self.issued_count += count
        content = {"code": 1, "submission_ids": ids, "expires_at_ms": FAR_EXPIRY_MS}
        return web.json_response(content)

    async def _submit(self, request):
        content = json.loads(await request.read())
        submission_id = content["submission_id"]
        self.submitted.append(submission_id)
        if self.refusals:
            code = self.refusals.pop(0)
            refusal = messages.Refusal(code=code, name=code.name, message="no")
            return web.Response(body=msgspec.json.encode(refusal), status=503)
        if self.replies_to_drop:
            self.replies_to_drop -= 1
            request.transport.abort()
            return web.Response()
        await self.may_answer.wait()
        key = content["tasks"][0]["body"]["key"]
        task = messages.TaskAnswer(
            index=0,
            outcome=results.TaskOutcome.SUCCEEDED,
            run_ms=10.0,
            result=msgspec.Raw(msgspec.json.encode({"key": key})),
        )
        answer = messages.JobAnswer(
            submission_id=submission_id,
            state=results.JobState.COMPLETE,
            code=results.ResultCode.COMPLETE,
            tasks=[task],
        )
        return web.Response(body=msgspec.json.encode(answer))

    async def _cancel(self, request):
        submission_id = request.match_info["id"]
        self.cancelled.append(submission_id)
        self.may_answer.set()
        await self.may_confirm.wait()
        answer = messages.JobAnswer(
            submission_id=submission_id,
            state=results.JobState.FAILED,
            code=results.ResultCode.CANCELLED,
        )
        return web.Response(body=msgspec.json.encode(answer))


async def _send(node, job=JOB):
    generator = generators.Generator([node.url], [TEAM], [job], seed=1)
    await generator.prepare()
    try:
        records = await generator.run(asyncio.get_running_loop().time())
    finally:
        await generator.close()
    return records[0]


@pytest.fixture
async def node():
    fake_node = FakeNode()
    async with fake_node.serving():
        yield fake_node


async def test_answer_is_recorded(node):
    record = await _send(node)
    assert (record.code, record.fault, record.tries) == (results.ResultCode.COMPLETE, "", 1)
    assert (record.run_ms, record.url) == ([10.0], node.url)
    assert record.submission_id == node.submitted[0]


async def test_job_refused_by_a_leaving_node_is_resubmitted_under_a_new_id(node):
    node.refusals = [results.ResultCode.DRAINING]
    record = await _send(node)
    assert (record.code, record.tries) == (results.ResultCode.COMPLETE, 2)
    assert len(set(node.submitted)) == 2


async def test_other_refusal_is_final(node):
    node.refusals = [results.ResultCode.OVERLOADED]
    record = await _send(node)
    assert record.code is results.ResultCode.OVERLOADED
    assert record.ran is results.TaskOutcome.NOT_RUN
    assert len(node.submitted) == 1


async def test_lost_reply_is_requested_again_under_the_same_id(node):
    node.replies_to_drop = 1
    record = await _send(node)
    assert record.code is results.ResultCode.COMPLETE
    assert len(node.submitted) == 2
    assert len(set(node.submitted)) == 1


async def test_job_is_cancelled_at_its_time(node):
    node.may_answer.clear()
    record = await _send(node, msgspec.structs.replace(JOB, cancel_after_s=0.01))
    assert node.cancelled == node.submitted
    assert record.cancelled_at_ms is not None


async def test_cancellation_that_is_confirmed_after_the_answer_is_recorded(node):
    node.may_answer.clear()
    node.may_confirm.clear()
    send_task = asyncio.create_task(_send(node, msgspec.structs.replace(JOB, cancel_after_s=0.01)))
    await node.may_answer.wait()
    asyncio.get_running_loop().call_later(CONFIRM_DELAY_S, node.may_confirm.set)
    assert (await send_task).cancelled_at_ms is not None


async def test_job_that_has_ended_is_not_cancelled(node):
    record = await _send(node, msgspec.structs.replace(JOB, cancel_after_s=60.0))
    assert node.cancelled == []
    assert record.cancelled_at_ms is None

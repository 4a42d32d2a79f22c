import asyncio
import datetime
import random

import msgspec
import pytest
from aiohttp import web

from chiveridge_client import clients, errors, exchanges
from chiveridge_kernel import messages, results

TASKS = [messages.TaskSpec(), messages.TaskSpec()]
SECONDS = datetime.timedelta(seconds=1)
Code = results.ResultCode


@pytest.fixture
async def client(node, clock):
    made = clients.Client([node.url], "t.s", rng=random.Random(7), clock=clock, id_batch_size=4)
    async with made:
        yield made


def body(submission_id, indices, state=results.JobState.COMPLETE):
    tasks = [messages.TaskAnswer(i, results.TaskOutcome.SUCCEEDED) for i in indices]
    return msgspec.json.encode(
        messages.JobAnswer(submission_id=submission_id, state=state, code=Code(0), tasks=tasks)
    )


def whole(indices=(0, 1), *, id_=None, status=200, state=results.JobState.COMPLETE):
    async def reply(request, submission_id):
        return web.Response(body=body(id_ or submission_id, indices, state), status=status)

    return reply


async def cut_off(request, submission_id):
    payload = body(submission_id, (0, 1))
    response = web.StreamResponse()
    response.content_length = len(payload)
    await response.prepare(request)
    await response.write(payload[:20])
    request.transport.close()
    return response


async def silent(request, submission_id):
    await asyncio.Event().wait()


def refusal(code, **fields):
    async def reply(request, submission_id):
        message = messages.Refusal(code=code, name=code.name, message="no", **fields)
        return web.Response(body=msgspec.json.encode(message), status=503)

    return reply


@pytest.mark.parametrize(
    "lost", [cut_off, whole((0,)), whole((1, 0)), whole((0, 0)), whole(id_="another")]
)
async def test_an_answer_that_is_not_whole_is_fetched_again_under_its_id(client, node, lost):
    node.replies.append(lost)
    answer = await client.submit(TASKS)
    assert [task.index for task in answer.tasks] == [0, 1]
    assert node.job_requests == [("POST", "id-0"), ("POST", "id-0")]


async def test_a_silent_connection_is_given_up(client, node, monkeypatch):
    monkeypatch.setattr(exchanges, "SILENCE_TIMEOUT", SECONDS / 20)
    node.replies.append(silent)
    answer = await client.submit(TASKS, wait=0 * SECONDS)
    assert answer.state is results.JobState.COMPLETE
    assert node.job_requests == [("POST", "id-0"), ("POST", "id-0")]


async def test_a_running_job_is_polled_and_not_sent_again(client, node):
    node.replies.append(whole((), status=202, state=results.JobState.RUNNING))
    await client.submit(TASKS)
    assert node.job_requests == [("POST", "id-0"), ("GET", "id-0")]


async def test_a_job_that_its_node_forgot_is_sent_again_under_its_id(client, node):
    running = whole((), status=202, state=results.JobState.RUNNING)
    node.replies.extend([running, refusal(Code.UNKNOWN_SUBMISSION)])
    await client.submit(TASKS)
    assert node.job_requests == [("POST", "id-0"), ("GET", "id-0"), ("POST", "id-0")]


async def test_the_outcome_is_unknown_when_no_answer_comes_by_the_deadline(client, node, clock):
    node.replies.extend([cut_off] * 1000)
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        await client.submit(TASKS, deadline=5 * SECONDS)
    assert caught.value.submission_id == "id-0"
    assert {id_ for _, id_ in node.job_requests} == {"id-0"}
    assert clock.passed <= 5 * SECONDS + clients.ANSWER_MARGIN


async def test_retry_after_is_honoured(client, node, clock):
    node.replies.append(refusal(Code.OVERLOADED, retry_after_ms=4000))
    await client.submit(TASKS)
    assert clock.passed >= 4 * SECONDS
    assert node.job_requests == [("POST", "id-0"), ("POST", "id-0")]


async def test_a_refusal_is_raised_with_its_code(client, node):
    node.replies.append(refusal(Code.NOT_APPROVED))
    with pytest.raises(errors.RefusedError) as caught:
        await client.submit(TASKS)
    assert (caught.value.code, caught.value.message) == (Code.NOT_APPROVED, "no")
    assert len(node.job_requests) == 1


async def test_a_new_id_is_taken_only_when_nothing_can_have_run(client, node):
    node.replies.append(refusal(Code.DRAINING))
    await client.submit(TASKS)
    assert node.job_requests[0] == ("POST", "id-0")
    assert node.job_requests[1][1] != "id-0"


@pytest.mark.parametrize("code", [Code.DRAINING, Code.ISSUER_GONE, Code.SUBMISSION_ID_EXPIRED])
async def test_no_new_id_is_taken_after_a_lost_reply(client, node, code):
    node.replies.extend([cut_off] + [refusal(code)] * 50)
    with pytest.raises(errors.OutcomeUnknownError):
        await client.submit(TASKS)
    assert {id_ for _, id_ in node.job_requests} == {"id-0"}


async def test_answer_and_cancel_name_the_id(client, node):
    await client.answer("id-9")
    node.replies.append(cut_off)
    await client.cancel("id-9")
    assert node.job_requests == [("GET", "id-9"), ("DELETE", "id-9"), ("DELETE", "id-9")]


async def test_many_submissions_keep_their_answers_apart(client, node):
    answers = await asyncio.gather(*(client.submit(TASKS) for _ in range(20)))
    assert len({answer.submission_id for answer in answers}) == 20


async def test_unreachable_nodes_start_nothing(clock):
    async with clients.Client(["http://127.0.0.1:1"], "t.s", clock=clock) as client:
        with pytest.raises(errors.UnreachableError):
            await client.submit(TASKS)

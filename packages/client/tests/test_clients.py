import asyncio
import datetime
import random

import pytest

from chiveridge_client import calls, clients, errors, id_pools, transports
from chiveridge_kernel import messages, results

TASKS = [messages.TaskSpec(), messages.TaskSpec()]
SECONDS = datetime.timedelta(seconds=1)
Code = results.ResultCode
RUNNING = {"indices": (), "status": 202, "state": results.JobState.RUNNING}


@pytest.fixture
async def client(node, clock):
    new_client = clients.Client(
        [node.url], "t.s", rng=random.Random(7), clock=clock, id_batch_size=4
    )
    async with new_client:
        yield new_client


async def never_reply(request, submission_id):
    await asyncio.Event().wait()


async def test_truncated_answer_is_fetched_again_under_the_same_id(client, node):
    node.reply_handlers.append(node.send_half_answer)
    answer = await client.submit(TASKS)
    assert [task.index for task in answer.tasks] == [0, 1]
    assert node.job_requests == [("POST", "id-0"), ("POST", "id-0")]


@pytest.mark.parametrize(
    "fields", [{"indices": (0,)}, {"indices": (1, 0)}, {"indices": (0, 0)}, {"id_": "another"}]
)
async def test_answer_with_wrong_tasks_or_id_is_fetched_again_under_the_same_id(
    client, node, fields
):
    node.answer_next(**fields)
    answer = await client.submit(TASKS)
    assert [task.index for task in answer.tasks] == [0, 1]
    assert node.job_requests == [("POST", "id-0"), ("POST", "id-0")]


async def test_silent_connection_times_out_and_the_request_is_retried(client, node, monkeypatch):
    monkeypatch.setattr(transports, "SILENCE_TIMEOUT", SECONDS / 20)
    node.reply_handlers.append(never_reply)
    answer = await client.submit(TASKS, wait=0 * SECONDS)
    assert answer.state is results.JobState.COMPLETE
    assert node.job_requests == [("POST", "id-0"), ("POST", "id-0")]


async def test_a_running_job_is_polled_and_not_sent_again(client, node):
    node.answer_next(**RUNNING)
    await client.submit(TASKS)
    assert node.job_requests == [("POST", "id-0"), ("GET", "id-0")]


async def test_job_unknown_to_its_node_is_resubmitted_under_the_same_id(client, node):
    node.answer_next(**RUNNING)
    node.refuse_next(Code.UNKNOWN_SUBMISSION)
    await client.submit(TASKS)
    assert node.job_requests == [("POST", "id-0"), ("GET", "id-0"), ("POST", "id-0")]


async def test_the_outcome_is_unknown_when_no_answer_comes_by_the_deadline(client, node, clock):
    node.reply_handlers.extend([node.send_half_answer] * 1000)
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        await client.submit(TASKS, deadline=5 * SECONDS)
    assert caught.value.submission_id == "id-0"
    assert {id_ for _, id_ in node.job_requests} == {"id-0"}
    assert clock.elapsed_time <= 5 * SECONDS + clients.ANSWER_MARGIN


async def test_refusal_with_unknown_outcome_raises_outcome_unknown_error(client, node):
    node.refuse_next(Code.INTERNAL_ERROR, times=1000, ran=results.TaskOutcome.UNKNOWN)
    with pytest.raises(errors.OutcomeUnknownError):
        await client.submit(TASKS)
    assert {id_ for _, id_ in node.job_requests} == {"id-0"}


async def test_job_answer_with_an_error_status_is_not_taken_as_a_refusal(client, node):
    node.answer_next(indices=(), status=500, state=results.JobState.FAILED)
    answer = await client.submit(TASKS)
    assert answer.state is results.JobState.COMPLETE


async def test_a_job_that_keeps_running_is_returned_after_the_wait(client, node, clock):
    for _ in range(1000):
        node.answer_next(**RUNNING)
    answer = await client.submit(TASKS, wait=5 * SECONDS)
    assert answer.state is results.JobState.RUNNING
    assert clock.elapsed_time >= 5 * SECONDS


TEMPORARY_CODES = sorted(
    calls.TEMPORARY_REFUSAL_CODES & calls.PROVEN_NOT_RUN_CODES - calls.UNUSABLE_ID_CODES
)


@pytest.mark.parametrize("code", TEMPORARY_CODES)
async def test_temporary_refusal_is_retried_under_a_new_id_after_retry_after(
    client, node, clock, code
):
    node.refuse_next(code, retry_after_ms=4000)
    answer = await client.submit(TASKS)
    assert clock.elapsed_time >= 4 * SECONDS
    assert node.job_requests == [("POST", "id-0"), ("POST", "id-1")]
    assert answer.submission_id == "id-1"


@pytest.mark.parametrize("code", TEMPORARY_CODES)
async def test_temporary_refusal_is_raised_at_once_without_retry_refused(client, node, code):
    node.refuse_next(code, retry_after_ms=4000)
    with pytest.raises(errors.RefusedError) as caught:
        await client.submit(TASKS, retry_refused=False)
    assert caught.value.code is code
    assert node.job_requests == [("POST", "id-0")]


async def test_temporary_refusals_are_raised_after_a_bounded_number_of_ids(client, node):
    node.refuse_next(Code.OVERLOADED, times=50)
    with pytest.raises(errors.RefusedError):
        await client.submit(TASKS)
    ids = [id_ for _, id_ in node.job_requests]
    assert len(ids) == len(set(ids)) == clients.MAX_IDS_PER_JOB


async def test_temporary_refusal_is_raised_when_retry_after_exceeds_the_deadline(
    client, node, clock
):
    node.refuse_next(Code.OVERLOADED, retry_after_ms=60_000)
    with pytest.raises(errors.RefusedError):
        await client.submit(TASKS, deadline=5 * SECONDS)
    assert clock.elapsed_time < 5 * SECONDS


@pytest.mark.promise("honest_refusal")
@pytest.mark.parametrize("code", TEMPORARY_CODES)
async def test_a_refusal_by_the_issuer_is_proof_after_a_lost_reply_too(client, node, code):
    node.reply_handlers.append(node.send_half_answer)
    node.refuse_next(code)
    answer = await client.submit(TASKS)
    assert [id_ for _, id_ in node.job_requests] == ["id-0", "id-0", "id-1"]
    assert answer.submission_id == "id-1"


async def test_temporary_refusal_with_unknown_outcome_keeps_the_id(client, node):
    node.refuse_next(Code.NOT_READY, ran=results.TaskOutcome.UNKNOWN)
    answer = await client.submit(TASKS)
    assert answer.submission_id == "id-0"


async def test_resubmit_does_not_retry_a_final_refusal(client, node):
    node.refuse_next(Code.OVERLOADED)
    submission = messages.Submission(submission_id="id-9", tasks=TASKS)
    with pytest.raises(errors.RefusedError):
        await client.resubmit(submission)
    assert node.job_requests == [("POST", "id-9")]


async def test_a_refusal_is_raised_with_its_code(client, node):
    node.refuse_next(Code.NOT_APPROVED)
    with pytest.raises(errors.RefusedError) as caught:
        await client.submit(TASKS)
    assert (caught.value.code, caught.value.message) == (Code.NOT_APPROVED, "no")
    assert len(node.job_requests) == 1


UNUSABLE_CODES = sorted(calls.UNUSABLE_ID_CODES)
UNPROVEN_CASES = [(code, results.TaskOutcome.UNKNOWN) for code in UNUSABLE_CODES]
UNPROVEN_CASES += [
    (code, results.TaskOutcome.NOT_RUN)
    for code in UNUSABLE_CODES
    if code not in calls.PROVEN_NOT_RUN_CODES
]


@pytest.mark.parametrize("code", UNUSABLE_CODES)
async def test_new_id_is_used_when_nothing_can_have_run(client, node, code):
    node.refuse_next(code)
    await client.submit(TASKS)
    assert node.job_requests[0] == ("POST", "id-0")
    assert node.job_requests[1][1] != "id-0"


async def test_new_id_is_used_when_the_issuer_never_received_the_job(client, node, clock):
    expires_at = clock.now() + 60 * SECONDS
    client._ids._pool.add([id_pools.IssuedId("id-dead", expires_at, "http://127.0.0.1:1")])
    node.refuse_next(Code.ISSUER_GONE)
    answer = await client.submit(TASKS)
    assert answer.submission_id == "id-0"


async def test_the_same_id_is_kept_after_a_lost_reply(client, node):
    node.reply_handlers.append(node.send_half_answer)
    node.refuse_next(Code.DRAINING, ran=results.TaskOutcome.UNKNOWN)
    answer = await client.submit(TASKS)
    assert answer.submission_id == "id-0"


@pytest.mark.parametrize(("code", "ran"), UNPROVEN_CASES)
async def test_no_new_id_is_used_after_a_lost_reply_without_proof(client, node, code, ran):
    node.reply_handlers.append(node.send_half_answer)
    node.refuse_next(code, times=50, ran=ran)
    with pytest.raises(errors.OutcomeUnknownError):
        await client.submit(TASKS)
    assert {id_ for _, id_ in node.job_requests} == {"id-0"}


@pytest.mark.promise("graceful_shutdown")
@pytest.mark.parametrize("code", [Code.DRAINING, Code.ISSUER_GONE])
async def test_a_new_id_is_taken_when_the_issuer_proves_that_it_started_nothing(client, node, code):
    node.reply_handlers.append(node.send_half_answer)
    node.refuse_next(code)
    answer = await client.submit(TASKS)
    assert answer.submission_id != "id-0"
    assert [id_ for _, id_ in node.job_requests][:2] == ["id-0", "id-0"]


async def test_answer_and_cancel_use_the_given_id(client, node):
    await client.answer("id-9")
    node.reply_handlers.append(node.send_half_answer)
    await client.cancel("id-9")
    assert node.job_requests == [("GET", "id-9"), ("DELETE", "id-9"), ("DELETE", "id-9")]


async def test_many_submissions_keep_their_answers_apart(client, node):
    answers = await asyncio.gather(*(client.submit(TASKS) for _ in range(20)))
    assert len({answer.submission_id for answer in answers}) == 20


@pytest.mark.parametrize("limits", [{}, {"max_connections": 150}, {"max_connections": 0}])
async def test_many_jobs_await_their_answers_concurrently(node, clock, limits):
    count = 150
    node.hold_until_all_arrive(count)
    async with clients.Client([node.url], "t.s", clock=clock, **limits) as client:
        answers = await asyncio.gather(*(client.submit(TASKS) for _ in range(count)))
    assert len({answer.submission_id for answer in answers}) == count
    assert len(node.job_requests) == count


async def test_unreachable_nodes_raise_unreachable_error(clock):
    async with clients.Client(["http://127.0.0.1:1"], "t.s", clock=clock) as client:
        with pytest.raises(errors.UnreachableError):
            await client.submit(TASKS)

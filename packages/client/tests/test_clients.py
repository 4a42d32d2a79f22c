import asyncio
import datetime
import random

import pytest

from chiveridge_client import calls, clients, errors, exchanges, pools
from chiveridge_kernel import messages, results

TASKS = [messages.TaskSpec(), messages.TaskSpec()]
SECONDS = datetime.timedelta(seconds=1)
Code = results.ResultCode
RUNNING = {"indices": (), "status": 202, "state": results.JobState.RUNNING}


@pytest.fixture
async def client(node, clock):
    made = clients.Client([node.url], "t.s", rng=random.Random(7), clock=clock, id_batch_size=4)
    async with made:
        yield made


async def silent(request, submission_id):
    await asyncio.Event().wait()


async def test_an_answer_cut_off_is_fetched_again_and_gets_no_new_id(client, node):
    node.replies.append(node.cut_off)
    answer = await client.submit(TASKS)
    assert [task.index for task in answer.tasks] == [0, 1]
    assert node.job_requests == [("POST", "id-0"), ("POST", "id-0")]


@pytest.mark.parametrize(
    "fields", [{"indices": (0,)}, {"indices": (1, 0)}, {"indices": (0, 0)}, {"id_": "another"}]
)
async def test_an_answer_that_is_not_whole_is_fetched_again_under_its_id(client, node, fields):
    node.send(**fields)
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
    node.send(**RUNNING)
    await client.submit(TASKS)
    assert node.job_requests == [("POST", "id-0"), ("GET", "id-0")]


async def test_a_job_that_its_node_forgot_is_sent_again_under_its_id(client, node):
    node.send(**RUNNING)
    node.refuse(Code.UNKNOWN_SUBMISSION)
    await client.submit(TASKS)
    assert node.job_requests == [("POST", "id-0"), ("GET", "id-0"), ("POST", "id-0")]


async def test_the_outcome_is_unknown_when_no_answer_comes_by_the_deadline(client, node, clock):
    node.replies.extend([node.cut_off] * 1000)
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        await client.submit(TASKS, deadline=5 * SECONDS)
    assert caught.value.submission_id == "id-0"
    assert {id_ for _, id_ in node.job_requests} == {"id-0"}
    assert clock.passed <= 5 * SECONDS + clients.ANSWER_MARGIN


async def test_a_refusal_that_leaves_the_outcome_open_is_not_taken_for_a_refusal(client, node):
    node.refuse(Code.INTERNAL_ERROR, times=1000, ran=results.TaskOutcome.UNKNOWN)
    with pytest.raises(errors.OutcomeUnknownError):
        await client.submit(TASKS)
    assert {id_ for _, id_ in node.job_requests} == {"id-0"}


async def test_an_answer_with_the_status_of_an_error_is_not_a_refusal(client, node):
    node.send(indices=(), status=500, state=results.JobState.FAILED)
    answer = await client.submit(TASKS)
    assert answer.state is results.JobState.COMPLETE


async def test_a_job_that_keeps_running_is_returned_after_the_wait(client, node, clock):
    for _ in range(1000):
        node.send(**RUNNING)
    answer = await client.submit(TASKS, wait=5 * SECONDS)
    assert answer.state is results.JobState.RUNNING
    assert clock.passed >= 5 * SECONDS


FOR_NOW = sorted(calls.REFUSED_FOR_NOW & calls.PROOFS - calls.ID_UNUSABLE)


@pytest.mark.parametrize("code", FOR_NOW)
async def test_a_refusal_for_now_is_final_for_its_id_and_another_waits(client, node, clock, code):
    node.refuse(code, retry_after_ms=4000)
    answer = await client.submit(TASKS)
    assert clock.passed >= 4 * SECONDS
    assert node.job_requests == [("POST", "id-0"), ("POST", "id-1")]
    assert answer.submission_id == "id-1"


@pytest.mark.parametrize("code", FOR_NOW)
async def test_a_refusal_for_now_is_raised_at_once_when_the_caller_wants_it(client, node, code):
    node.refuse(code, retry_after_ms=4000)
    with pytest.raises(errors.RefusedError) as caught:
        await client.submit(TASKS, retry_refused=False)
    assert caught.value.code is code
    assert node.job_requests == [("POST", "id-0")]


async def test_refusals_for_now_are_raised_after_a_bounded_number_of_ids(client, node):
    node.refuse(Code.OVERLOADED, times=50)
    with pytest.raises(errors.RefusedError):
        await client.submit(TASKS)
    ids = [id_ for _, id_ in node.job_requests]
    assert len(ids) == len(set(ids)) == clients.MAX_IDS_PER_JOB


async def test_a_refusal_that_would_be_waited_for_past_the_deadline_is_raised(client, node, clock):
    node.refuse(Code.OVERLOADED, retry_after_ms=60_000)
    with pytest.raises(errors.RefusedError):
        await client.submit(TASKS, deadline=5 * SECONDS)
    assert clock.passed < 5 * SECONDS


@pytest.mark.promise("honest_refusal")
@pytest.mark.parametrize("code", FOR_NOW)
async def test_a_refusal_by_the_issuer_is_proof_after_a_lost_reply_too(client, node, code):
    node.replies.append(node.cut_off)
    node.refuse(code)
    answer = await client.submit(TASKS)
    assert [id_ for _, id_ in node.job_requests] == ["id-0", "id-0", "id-1"]
    assert answer.submission_id == "id-1"


async def test_a_refusal_for_now_that_proves_nothing_keeps_the_id(client, node):
    node.refuse(Code.NOT_READY, ran=results.TaskOutcome.UNKNOWN)
    answer = await client.submit(TASKS)
    assert answer.submission_id == "id-0"


async def test_a_submission_under_a_given_id_is_not_repeated_after_a_final_refusal(client, node):
    node.refuse(Code.OVERLOADED)
    submission = messages.Submission(submission_id="id-9", tasks=TASKS)
    with pytest.raises(errors.RefusedError):
        await client.resubmit(submission)
    assert node.job_requests == [("POST", "id-9")]


async def test_a_refusal_is_raised_with_its_code(client, node):
    node.refuse(Code.NOT_APPROVED)
    with pytest.raises(errors.RefusedError) as caught:
        await client.submit(TASKS)
    assert (caught.value.code, caught.value.message) == (Code.NOT_APPROVED, "no")
    assert len(node.job_requests) == 1


UNUSABLE = sorted(calls.ID_UNUSABLE)
UNPROVED = [(code, results.TaskOutcome.UNKNOWN) for code in UNUSABLE]
UNPROVED += [(code, results.TaskOutcome.NOT_RUN) for code in UNUSABLE if code not in calls.PROOFS]


@pytest.mark.parametrize("code", UNUSABLE)
async def test_a_new_id_is_taken_when_nothing_can_have_run(client, node, code):
    node.refuse(code)
    await client.submit(TASKS)
    assert node.job_requests[0] == ("POST", "id-0")
    assert node.job_requests[1][1] != "id-0"


async def test_a_new_id_is_taken_when_the_issuer_never_got_the_job(client, node, clock):
    expires_at = clock.now() + 60 * SECONDS
    client._ids._pool.add([pools.HeldId("id-dead", expires_at, "http://127.0.0.1:1")])
    node.refuse(Code.ISSUER_GONE)
    answer = await client.submit(TASKS)
    assert answer.submission_id == "id-0"


async def test_the_same_id_is_kept_after_a_lost_reply(client, node):
    node.replies.append(node.cut_off)
    node.refuse(Code.DRAINING, ran=results.TaskOutcome.UNKNOWN)
    answer = await client.submit(TASKS)
    assert answer.submission_id == "id-0"


@pytest.mark.parametrize(("code", "ran"), UNPROVED)
async def test_no_new_id_is_taken_after_a_lost_reply_without_proof(client, node, code, ran):
    node.replies.append(node.cut_off)
    node.refuse(code, times=50, ran=ran)
    with pytest.raises(errors.OutcomeUnknownError):
        await client.submit(TASKS)
    assert {id_ for _, id_ in node.job_requests} == {"id-0"}


@pytest.mark.promise("graceful_shutdown")
@pytest.mark.parametrize("code", [Code.DRAINING, Code.ISSUER_GONE])
async def test_a_new_id_is_taken_when_the_issuer_proves_that_it_started_nothing(client, node, code):
    node.replies.append(node.cut_off)
    node.refuse(code)
    answer = await client.submit(TASKS)
    assert answer.submission_id != "id-0"
    assert [id_ for _, id_ in node.job_requests][:2] == ["id-0", "id-0"]


async def test_answer_and_cancel_name_the_id(client, node):
    await client.answer("id-9")
    node.replies.append(node.cut_off)
    await client.cancel("id-9")
    assert node.job_requests == [("GET", "id-9"), ("DELETE", "id-9"), ("DELETE", "id-9")]


async def test_many_submissions_keep_their_answers_apart(client, node):
    answers = await asyncio.gather(*(client.submit(TASKS) for _ in range(20)))
    assert len({answer.submission_id for answer in answers}) == 20


@pytest.mark.parametrize("limits", [{}, {"max_connections": 150}, {"max_connections": 0}])
async def test_many_jobs_wait_for_their_answers_at_one_time(node, clock, limits):
    count = 150
    node.gather(count)
    async with clients.Client([node.url], "t.s", clock=clock, **limits) as client:
        answers = await asyncio.gather(*(client.submit(TASKS) for _ in range(count)))
    assert len({answer.submission_id for answer in answers}) == count
    assert len(node.job_requests) == count


async def test_unreachable_nodes_start_nothing(clock):
    async with clients.Client(["http://127.0.0.1:1"], "t.s", clock=clock) as client:
        with pytest.raises(errors.UnreachableError):
            await client.submit(TASKS)

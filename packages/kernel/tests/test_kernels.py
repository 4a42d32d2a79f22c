import datetime

import pytest

from chiveridge_kernel import actions, events, results

CODES = results.ResultCode
SUCCEEDED = events.LeaseOutcome.SUCCEEDED


@pytest.mark.promise("graceful_shutdown")
def test_a_draining_node_finishes_its_jobs_and_then_exits(driven):
    submission_id = driven.submit()
    assert driven.handle(events.DrainRequested()) == []
    assert not driven.kernel.is_ready()
    driven.report(driven.starts()[0].lease_id, SUCCEEDED)
    assert driven.answer().code is CODES.COMPLETE
    assert driven.find(submission_id).code is CODES.COMPLETE
    assert actions.Exit() in driven.performed


@pytest.mark.promise("graceful_shutdown")
def test_a_draining_node_refuses_new_jobs_as_not_run(driven):
    unused_id, submitted_id = driven.issue(), driven.submit()
    driven.handle(events.DrainRequested())
    refusal = driven.refusal_of(driven.submit, unused_id)
    assert (refusal.code, refusal.ran) == (CODES.DRAINING, results.TaskOutcome.NOT_RUN)
    assert driven.refusal_of(driven.issue).code is CODES.DRAINING
    driven.submit(submitted_id)
    assert len(driven.starts()) == 1


def test_answers_produced_during_a_refused_request_are_not_lost(driven):
    driven.submit(deadline_ms=1000)
    reused = driven.submit(deadline_ms=5000)
    driven.clock.advance(datetime.timedelta(seconds=2))
    refusal = driven.refusal_of(driven.submit, reused, body=b"2")
    assert refusal.code is CODES.SUBMISSION_ID_REUSED
    (answer,) = driven.kernel.pop_actions()[-1:]
    assert answer.answer.code is CODES.DEADLINE_EXCEEDED


def test_the_next_wakeup_is_never_after_the_next_deadline(driven):
    driven.submit(deadline_ms=700)
    driven.submit(deadline_ms=300)
    deadline = driven.clock.now() + datetime.timedelta(milliseconds=300)
    while driven.clock.now() < deadline:
        assert not driven.of(actions.AnswerJob)
        # Other parts of the kernel may need earlier ticks, but no wakeup is after the deadline.
        due = driven.kernel.next_wakeup_at()
        assert due <= deadline
        driven.clock.advance(max(due - driven.clock.now(), datetime.timedelta(milliseconds=1)))
        driven.handle(events.Ticked())
    assert [action.answer.code for action in driven.of(actions.AnswerJob)] == [
        CODES.DEADLINE_EXCEEDED
    ]

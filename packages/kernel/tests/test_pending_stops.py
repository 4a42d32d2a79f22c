"""Cancelling a job waits for those of its starts that may still begin on their targets."""

import pytest

from chiveridge_kernel import actions, dispatchers, events, results

START_WINDOW_MS = dispatchers.START_WINDOW.total_seconds() * 1000


def settled_jobs(driven) -> list[str]:
    return [note.submission_id for note in driven.of(actions.NoteStopped)]


def confirm_stop(driven, index: int) -> None:
    lease_id = driven.starts()[index].lease_id
    driven.handle(events.StopConfirmed(lease_id=lease_id))


@pytest.mark.promise("complete_or_failed")
def test_a_cancelled_job_is_answered_at_once_and_settled_by_its_last_confirmed_stop(driven):
    submission_id = driven.submit(count=2)
    driven.cancel(submission_id)
    assert driven.answer().code is results.ResultCode.CANCELLED
    confirm_stop(driven, 0)
    confirm_stop(driven, 0)
    assert settled_jobs(driven) == []
    assert driven.kernel.dispatcher.stops.has_pending(submission_id)
    confirm_stop(driven, 1)
    assert settled_jobs(driven) == [submission_id]
    assert not driven.kernel.dispatcher.stops.has_pending(submission_id)


def test_an_unconfirmed_stop_is_settled_at_start_before(driven):
    submission_id = driven.submit()
    driven.advance(START_WINDOW_MS - 10)
    driven.cancel(submission_id)
    driven.advance(9)
    assert settled_jobs(driven) == []
    assert driven.kernel.next_wakeup_at() <= driven.starts()[0].start_before
    driven.advance(1)
    assert settled_jobs(driven) == [submission_id]


def test_starts_past_start_before_need_no_confirmation(driven):
    submission_id = driven.submit()
    driven.advance(START_WINDOW_MS)
    driven.cancel(submission_id)
    assert len(driven.of(actions.StopTask)) == 1
    assert not driven.kernel.dispatcher.stops.has_pending(submission_id)

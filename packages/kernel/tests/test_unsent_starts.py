"""Starts that still wait for a connection when their job ends."""

import pytest

from chiveridge_kernel import actions, events, results

LEASE = events.LeaseOutcome
OUTCOME = results.TaskOutcome


def delay_start(driven, lease_id: str) -> None:
    driven.handle(events.StartDelayed(lease_id=lease_id))


def task_outcomes(driven) -> list[OUTCOME]:
    return [task.outcome for task in driven.answer().tasks]


def end_by_cancel(driven, submission_id: str) -> None:
    driven.cancel(submission_id)


def end_by_deadline(driven, submission_id: str) -> None:
    driven.advance(60_000)


def end_by_failure(driven, submission_id: str) -> None:
    driven.report(driven.starts()[0].lease_id, LEASE.FAILED)


def end_by_force(driven, submission_id: str) -> None:
    driven.handle(events.DrainRequested(forced=True))


JOB_ENDINGS = [end_by_cancel, end_by_deadline, end_by_failure, end_by_force]


@pytest.mark.promise("honest_refusal")
@pytest.mark.parametrize("end", JOB_ENDINGS)
def test_an_unsent_start_is_withdrawn_as_not_run(driven, end):
    submission_id = driven.submit(count=3)
    sent, unsent, sent_later = [start.lease_id for start in driven.starts()]
    delay_start(driven, unsent)
    delay_start(driven, sent_later)
    driven.handle(events.StartSent(lease_id=sent_later))
    end(driven, submission_id)
    first = OUTCOME.RAN if end is end_by_failure else OUTCOME.UNKNOWN
    assert task_outcomes(driven) == [first, OUTCOME.NOT_RUN, OUTCOME.UNKNOWN]
    assert [found.lease_id for found in driven.of(actions.WithdrawStart)] == [unsent]
    assert unsent not in [stop.lease_id for stop in driven.of(actions.StopTask)]


@pytest.mark.promise("honest_refusal")
def test_a_job_with_only_unsent_starts_may_be_resubmitted(driven):
    submission_id = driven.submit(count=2)
    for start in driven.starts():
        delay_start(driven, start.lease_id)
    driven.cancel(submission_id)
    assert task_outcomes(driven) == [OUTCOME.NOT_RUN] * 2
    assert driven.answer().may_resubmit


@pytest.mark.promise("honest_refusal")
def test_another_start_of_the_task_does_not_count_as_waiting(driven):
    submission_id = driven.submit()
    first = driven.starts()[0].lease_id
    delay_start(driven, first)
    driven.report(first, LEASE.REFUSED)
    assert len(driven.starts()) == 2
    driven.cancel(submission_id)
    assert task_outcomes(driven) == [OUTCOME.UNKNOWN]


def test_late_connection_events_of_a_start_change_nothing(driven):
    submission_id = driven.submit()
    lease_id = driven.starts()[0].lease_id
    driven.cancel(submission_id)
    delay_start(driven, lease_id)
    driven.handle(events.StartSent(lease_id=lease_id))
    assert task_outcomes(driven) == [OUTCOME.UNKNOWN]
    assert len(driven.starts()) == 1

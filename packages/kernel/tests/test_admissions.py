import datetime

import pytest

from chiveridge_kernel import events, jobs, messages, results

CODES = results.ResultCode
SUCCEEDED = events.LeaseOutcome.SUCCEEDED
NOT_RUN = results.TaskOutcome.NOT_RUN
UNKNOWN = results.TaskOutcome.UNKNOWN


@pytest.mark.promise("at_most_once")
def test_a_repeated_submission_starts_nothing(driven):
    submission_id = driven.submit(count=2)
    for _ in range(3):
        driven.submit(submission_id, count=2)
    assert len(driven.starts()) == 2
    for start in driven.starts():
        driven.report(start.lease_id, SUCCEEDED)
    driven.submit(submission_id, count=2)
    assert len(driven.starts()) == 2
    assert driven.find(submission_id).code is CODES.COMPLETE


def test_other_content_under_a_used_id_is_refused(driven):
    submission_id = driven.submit(body=b"1")
    refusal = driven.refusal_of(driven.submit, submission_id, body=b"2")
    assert refusal.code is CODES.SUBMISSION_ID_REUSED
    driven.report(driven.starts()[0].lease_id, SUCCEEDED)
    refusal = driven.refusal_of(driven.submit, submission_id, body=b"2")
    assert (refusal.code, refusal.ran) == (CODES.SUBMISSION_ID_REUSED, UNKNOWN)
    assert len(driven.starts()) == 1


@pytest.mark.promise("honest_refusal")
def test_a_refusal_is_final_for_its_id(driven):
    submission_id = driven.issue()
    targets = list(driven.targets_by_name.values())
    driven.kernel.has_vm_list = False
    first = driven.refusal_of(driven.submit, submission_id)
    driven.list_targets(targets)
    again = driven.refusal_of(driven.submit, submission_id)
    asked = driven.refusal_of(driven.find, submission_id)
    assert [found.code for found in (first, again, asked)] == [CODES.NOT_READY] * 3
    assert {found.ran for found in (first, again, asked)} == {NOT_RUN}
    assert again.retry_after_ms == first.retry_after_ms
    assert not driven.starts()


@pytest.mark.promise("honest_refusal")
def test_an_expired_id_is_not_reported_as_not_run(driven, lifetime):
    used, unused = driven.submit(deadline_ms=1000), driven.issue()
    driven.report(driven.starts()[0].lease_id, SUCCEEDED)
    driven.clock.advance(lifetime)
    driven.kernel.answers.note_fetched(used)
    driven.handle(events.Ticked())
    driven.kernel.answers._evict_oldest()
    for submission_id in (used, unused):
        refusal = driven.refusal_of(driven.submit, submission_id, deadline_ms=1000)
        assert (refusal.code, refusal.ran) == (CODES.SUBMISSION_ID_EXPIRED, UNKNOWN)
    assert len(driven.starts()) == 1


def test_a_deadline_past_the_expiry_of_the_id_is_refused(driven, lifetime):
    submission_id = driven.issue()
    driven.clock.advance(lifetime - datetime.timedelta(milliseconds=500))
    refusal = driven.refusal_of(driven.submit, submission_id, deadline_ms=501)
    assert refusal.code is CODES.DEADLINE_TOO_LATE
    driven.submit(submission_id, deadline_ms=500)
    assert len(driven.starts()) == 1


def test_a_job_that_ends_just_before_its_id_expires_is_answered(driven, lifetime):
    driven.clock.advance(datetime.timedelta(microseconds=900))
    submission_id = driven.issue()
    driven.clock.advance(lifetime - datetime.timedelta(milliseconds=10))
    driven.submit(submission_id, deadline_ms=9)
    driven.advance(9)
    driven.advance(5)
    assert driven.answer().code is CODES.DEADLINE_EXCEEDED
    assert driven.find(submission_id).code is CODES.DEADLINE_EXCEEDED


@pytest.mark.promise("honest_refusal")
def test_an_id_is_valid_only_for_the_team_it_was_issued_to(driven):
    submission_id = driven.submit()
    refusal = driven.refusal_of(driven.find, submission_id, team="other-team")
    assert (refusal.code, refusal.ran) == (CODES.UNKNOWN_SUBMISSION, UNKNOWN)
    forged = submission_id.replace("~1~", "~2~")
    refusal = driven.refusal_of(driven.submit, forged)
    assert refusal.code is CODES.UNKNOWN_SUBMISSION
    assert len(driven.starts()) == 1


@pytest.mark.promise("honest_refusal")
def test_a_status_query_before_the_submission_does_not_report_not_run(driven):
    submission_id = driven.issue()
    refusal = driven.refusal_of(driven.find, submission_id)
    assert (refusal.code, refusal.ran) == (CODES.UNKNOWN_SUBMISSION, UNKNOWN)
    driven.submit(submission_id)
    assert isinstance(driven.find(submission_id), jobs.Job)


def test_a_cancelled_id_starts_nothing_when_its_submission_arrives_late(driven):
    submission_id = driven.issue()
    driven.cancel(submission_id)
    refusal = driven.refusal_of(driven.submit, submission_id)
    assert (refusal.code, refusal.ran) == (CODES.CANCELLED, NOT_RUN)
    assert not driven.starts()


@pytest.mark.promise("at_most_once")
def test_a_job_whose_answer_was_evicted_is_not_started_again(drive):
    driven = drive(answer_budget_bytes=1)
    submission_id = driven.submit()
    driven.report(driven.starts()[0].lease_id, SUCCEEDED)
    for call in (driven.submit, driven.find, driven.cancel):
        refusal = driven.refusal_of(call, submission_id)
        assert (refusal.code, refusal.ran) == (CODES.ANSWER_NOT_KEPT, UNKNOWN)
    assert len(driven.starts()) == 1


@pytest.mark.promise("at_most_once")
def test_an_exception_during_admission_leaves_the_id_used(drive, monkeypatch):
    driven = drive(answer_budget_bytes=1)
    submission_id = driven.issue()
    real_start = driven.kernel.dispatcher.start

    def start_then_fail(*arguments):
        real_start(*arguments)
        raise ZeroDivisionError

    monkeypatch.setattr(driven.kernel.dispatcher, "start", start_then_fail)
    with pytest.raises(ZeroDivisionError):
        driven.submit(submission_id, deadline_ms=100)
    monkeypatch.undo()
    driven.advance(100)
    refusal = driven.refusal_of(driven.submit, submission_id, deadline_ms=100)
    assert refusal.code is CODES.ANSWER_NOT_KEPT
    assert len(driven.starts()) == 1


def test_a_submission_that_waited_past_its_deadline_is_refused_as_not_run(driven):
    long_ago = driven.clock.now() - datetime.timedelta(seconds=60)
    refusal = driven.refusal_of(driven.submit, arrived_at=long_ago, deadline_ms=30_000)
    assert (refusal.code, refusal.ran) == (CODES.DEADLINE_UNREACHABLE, NOT_RUN)
    assert not driven.starts()


def test_the_deadline_counts_from_the_arrival(driven):
    arrived_at = driven.clock.now() - datetime.timedelta(seconds=1)
    driven.submit(arrived_at=arrived_at, deadline_ms=1500)
    driven.advance(499)
    driven.advance(1)
    assert driven.answer().code is CODES.DEADLINE_EXCEEDED


def test_a_stored_answer_is_the_encoded_job_answer(driven):
    submission_id = driven.submit()
    driven.report(driven.starts()[0].lease_id, SUCCEEDED)
    assert driven.find(submission_id).body == messages.encoder.encode(driven.answer())

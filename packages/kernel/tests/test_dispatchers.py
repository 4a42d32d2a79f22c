import collections
import datetime

import msgspec
import pytest

from chiveridge_kernel import (
    actions,
    dispatchers,
    events,
    outcomes,
    placements,
    results,
    targets,
    vms,
)

CODES = results.ResultCode
LEASE = events.LeaseOutcome
OUTCOME = results.TaskOutcome
FINAL_REPORTS = [LEASE.SUCCEEDED, LEASE.FAILED, LEASE.STOPPED, LEASE.UNSEEN]


@placements.register("one_of_a_job_at_a_time")
class OneAtATimePolicy(placements.Policy):
    """Runs one task of a job at a time: starts the next when one ends."""

    def place_tasks(self, job, now):
        if job.waiting and not job.running_tasks():
            task = job.waiting[0]
            self.starter.start(task, self.starter.usable_targets(job, task)[0], now)

    def handle_start_end(self, task, vm, report, now):
        if task.job.waiting:
            waiting = task.job.waiting[0]
            self.starter.start(waiting, self.starter.usable_targets(task.job, waiting)[0], now)


def task_outcomes(driven) -> list[OUTCOME]:
    return [task.outcome for task in driven.answer().tasks]


def lease_id_of(driven, index: int = 0) -> str:
    return driven.starts()[index].lease_id


@pytest.mark.promise("complete_or_failed")
def test_a_job_is_complete_when_every_task_succeeded(driven):
    driven.submit(count=3)
    for index in (2, 0, 1):
        assert not driven.of(actions.AnswerJob)
        result = msgspec.Raw(str(index).encode())
        driven.report(lease_id_of(driven, index), LEASE.SUCCEEDED, result=result, run_ms=index)
    answer = driven.answer()
    assert (answer.state, answer.code) == (results.JobState.COMPLETE, CODES.COMPLETE)
    assert [(task.index, bytes(task.result)) for task in answer.tasks] == [
        (0, b"0"),
        (1, b"1"),
        (2, b"2"),
    ]


@pytest.mark.promise("complete_or_failed")
@pytest.mark.parametrize("outcome", [LEASE.FAILED, LEASE.STOPPED])
def test_a_failed_task_fails_its_job_and_stops_the_others(driven, outcome):
    driven.submit(count=3)
    driven.report(lease_id_of(driven, 0), LEASE.SUCCEEDED)
    driven.report(lease_id_of(driven, 1), outcome, reason="it broke")
    assert task_outcomes(driven) == [OUTCOME.SUCCEEDED, OUTCOME.RAN, OUTCOME.UNKNOWN]
    assert [stop.lease_id for stop in driven.of(actions.StopTask)] == [lease_id_of(driven, 2)]
    assert driven.answer().code is CODES.TASK_FAILED
    assert not driven.answer().may_resubmit


@pytest.mark.promise("at_most_once")
@pytest.mark.parametrize("first", FINAL_REPORTS)
@pytest.mark.parametrize("late", LEASE)
def test_late_and_repeated_reports_change_nothing(driven, first, late):
    driven.submit()
    driven.report(lease_id_of(driven), first)
    driven.report(lease_id_of(driven), late)
    driven.advance(60_000)
    assert len(driven.starts()) == len(driven.of(actions.AnswerJob)) == 1


@pytest.mark.promise("at_most_once")
@pytest.mark.parametrize("outcome", [LEASE.NOT_STARTED, LEASE.REFUSED])
def test_only_a_start_known_not_to_have_run_is_retried(driven, outcome):
    driven.submit()
    driven.report(lease_id_of(driven), outcome)
    first, second = driven.starts()
    assert first.lease_id != second.lease_id
    driven.report(first.lease_id, LEASE.SUCCEEDED)
    assert not driven.of(actions.AnswerJob)
    driven.report(second.lease_id, LEASE.SUCCEEDED)
    assert task_outcomes(driven) == [OUTCOME.SUCCEEDED]


def test_a_start_that_arrived_too_late_is_retried_soon(drive):
    driven = drive(target_count=1)
    driven.submit()
    driven.report(lease_id_of(driven), LEASE.NOT_STARTED, reason="too_late")
    driven.advance(60)
    assert len(driven.starts()) == 2


@pytest.mark.promise("at_most_once")
def test_the_outcome_of_a_lost_start_is_queried_and_never_retried(driven):
    driven.submit()
    driven.report(lease_id_of(driven), LEASE.LOST)
    for _ in range(outcomes.MAX_OUTCOME_QUERIES):
        assert not driven.of(actions.AnswerJob)
        driven.report(lease_id_of(driven), LEASE.LOST, asked=True)
    assert len(driven.of(actions.AskOutcome)) == outcomes.MAX_OUTCOME_QUERIES
    assert task_outcomes(driven) == [OUTCOME.UNKNOWN]
    assert driven.answer().code is CODES.OUTCOME_UNKNOWN
    assert len(driven.starts()) == 1


@pytest.mark.promise("complete_or_failed")
@pytest.mark.parametrize(
    ("reported", "outcome"),
    [
        (LEASE.SUCCEEDED, OUTCOME.SUCCEEDED),
        (LEASE.FAILED, OUTCOME.RAN),
        (LEASE.UNSEEN, OUTCOME.UNKNOWN),
    ],
)
def test_a_lost_start_ends_with_the_outcome_that_the_target_reports(driven, reported, outcome):
    driven.submit()
    driven.report(lease_id_of(driven), LEASE.LOST)
    driven.report(lease_id_of(driven), LEASE.RUNNING, asked=True)
    driven.report(lease_id_of(driven), reported, asked=True)
    assert task_outcomes(driven) == [outcome]


@pytest.mark.promise("complete_or_failed")
def test_a_late_outcome_is_queried_over_a_new_connection(driven):
    driven.submit()
    assert not driven.advance(999)
    (ask,) = driven.advance(51)
    assert (ask.lease_id, ask.wait) == (lease_id_of(driven), False)
    assert not driven.advance(5000)
    driven.report(ask.lease_id, LEASE.RUNNING, asked=True)
    assert not driven.advance(1950)
    (ask,) = driven.advance(100)
    driven.report(ask.lease_id, LEASE.SUCCEEDED, asked=True)
    assert task_outcomes(driven) == [OUTCOME.SUCCEEDED]
    assert not driven.advance(60_000)


def test_a_declared_run_time_delays_the_outcome_query(driven):
    driven.submit(needs={"run_time_ms": 2000})
    assert not driven.advance(5990)
    assert driven.advance(60)


def test_a_start_that_waits_for_a_connection_is_not_given_up(driven):
    driven.submit()
    (ask,) = driven.advance(1050)
    driven.report(ask.lease_id, LEASE.QUEUED, asked=True)
    assert driven.advance(1050) == [ask]
    driven.report(ask.lease_id, LEASE.SUCCEEDED)
    assert task_outcomes(driven) == [OUTCOME.SUCCEEDED]


def test_a_lost_connection_adds_no_second_query_while_one_is_pending(driven):
    driven.submit()
    driven.advance(1050)
    driven.report(lease_id_of(driven), LEASE.LOST)
    assert len(driven.of(actions.AskOutcome)) == 1
    driven.report(lease_id_of(driven), LEASE.RUNNING, asked=True)
    assert [ask.wait for ask in driven.of(actions.AskOutcome)] == [False, True]


def test_a_target_with_a_silent_connection_gets_no_start_during_the_silent_backoff(drive):
    driven = drive(target_count=1)
    driven.submit()
    driven.advance(1050)
    driven.report(lease_id_of(driven), LEASE.UNSEEN, asked=True)
    assert driven.refusal_of(driven.submit).code is CODES.OVERLOADED
    driven.clock.advance(targets.SILENT_BACKOFF)
    driven.handle(events.Ticked())
    driven.submit()
    assert len(driven.starts()) == 2


@pytest.mark.promise("complete_or_failed")
def test_unstarted_tasks_of_an_ended_job_are_reported_as_not_run(drive):
    driven = drive(policy="one_of_a_job_at_a_time")
    driven.submit(count=3)
    driven.report(lease_id_of(driven), LEASE.FAILED)
    assert task_outcomes(driven) == [OUTCOME.RAN, OUTCOME.NOT_RUN, OUTCOME.NOT_RUN]
    assert len(driven.starts()) == 1


@pytest.mark.promise("complete_or_failed")
def test_a_job_with_an_unknown_outcome_starts_no_more_tasks(drive):
    driven = drive(policy="one_of_a_job_at_a_time")
    driven.submit(count=3)
    driven.report(lease_id_of(driven), LEASE.UNSEEN)
    assert task_outcomes(driven) == [OUTCOME.UNKNOWN, OUTCOME.NOT_RUN, OUTCOME.NOT_RUN]
    assert len(driven.starts()) == 1


@pytest.mark.promise("complete_or_failed")
def test_cancelling_a_job_stops_its_starts_and_starts_no_more_tasks(drive):
    driven = drive(policy="one_of_a_job_at_a_time")
    submission_id = driven.submit(count=2)
    driven.cancel(submission_id)
    driven.cancel(submission_id)
    assert task_outcomes(driven) == [OUTCOME.UNKNOWN, OUTCOME.NOT_RUN]
    assert [stop.lease_id for stop in driven.of(actions.StopTask)] == [lease_id_of(driven)]
    driven.report(lease_id_of(driven), LEASE.STOPPED)
    assert len(driven.starts()) == 1


@pytest.mark.promise("complete_or_failed")
def test_a_job_past_its_deadline_fails_on_any_event(driven):
    driven.submit(deadline_ms=1000)
    driven.clock.advance(datetime.timedelta(hours=1))
    driven.report(lease_id_of(driven), LEASE.NOT_STARTED)
    assert driven.answer().code is CODES.DEADLINE_EXCEEDED
    assert len(driven.starts()) == 1


def test_a_target_list_that_arrives_after_the_deadline_starts_nothing(drive):
    driven = drive(target_count=1)
    driven.submit(deadline_ms=1000)
    driven.report(lease_id_of(driven), LEASE.NOT_STARTED, reason="busy")
    driven.clock.advance(datetime.timedelta(hours=1))
    driven.list_targets(driven.targets_by_name.values())
    assert len(driven.starts()) == 1
    assert task_outcomes(driven) == [OUTCOME.NOT_RUN]
    assert driven.answer().may_resubmit


def test_start_before_is_no_later_than_the_deadline(driven):
    now = driven.clock.now()
    driven.submit(deadline_ms=500)
    driven.submit(deadline_ms=60_000)
    limits = [start.start_before - now for start in driven.starts()]
    assert limits == [datetime.timedelta(milliseconds=500), dispatchers.START_WINDOW]


@pytest.mark.promise("leaving_target")
def test_a_target_that_reports_leaving_gets_no_further_start(drive):
    driven = drive(target_count=2)
    driven.submit(count=20)
    leaving_name = driven.starts()[0].target.name
    driven.report(lease_id_of(driven), LEASE.NOT_STARTED, reason="leaving")
    before = len(driven.starts())
    for _ in range(10):
        driven.submit()
        driven.advance(1000)
        driven.list_targets(driven.targets_by_name.values())
    later = driven.starts()[before:]
    assert later
    assert leaving_name not in {start.target.name for start in later}


@pytest.mark.promise("leaving_target")
def test_a_target_listed_as_leaving_gets_no_further_start(drive):
    driven = drive(target_count=2)
    first, second = driven.targets_by_name.values()
    leaving = msgspec.structs.replace(first, state=vms.VmState.LEAVING)
    driven.list_targets([leaving, second])
    driven.submit(count=20)
    assert {start.target.name for start in driven.starts()} == {second.name}


@pytest.mark.promise("complete_or_failed")
def test_slots_freed_by_a_failing_job_go_to_others(drive):
    driven = drive(target_count=1, policy="owners")
    driven.advance(2000)
    failing = driven.submit(count=20)
    assert len(driven.starts()) == 8
    waiting = driven.submit(count=3)
    driven.report(lease_id_of(driven), LEASE.FAILED)
    started = driven.starts()[8:]
    assert len(started) == 3
    assert collections.Counter(task_outcomes(driven)) == {
        OUTCOME.RAN: 1,
        OUTCOME.UNKNOWN: 7,
        OUTCOME.NOT_RUN: 12,
    }
    for start in started:
        driven.report(start.lease_id, LEASE.SUCCEEDED)
    assert driven.find(failing).code is CODES.TASK_FAILED
    assert driven.find(waiting).code is CODES.COMPLETE

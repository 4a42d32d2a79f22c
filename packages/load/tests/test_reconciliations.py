import msgspec
import pytest

from chiveridge_kernel import messages, results
from chiveridge_load import generators, reconciliations, workloads
from chiveridge_standins import task_counts

JOB = workloads.JobPlan(index=3, at_s=0.0, team="desk", run_ms=[10.0, 20.0])
SUBMISSION_ID = "node~1~2~3~4"
SUCCEEDED = results.TaskOutcome.SUCCEEDED


def _answer(**changes):
    tasks = [
        messages.TaskAnswer(
            index=index,
            outcome=SUCCEEDED,
            target="t1",
            run_ms=JOB.run_ms[index],
            result=msgspec.Raw(msgspec.json.encode({"key": JOB.key(index)})),
        )
        for index in range(2)
    ]
    answer = messages.JobAnswer(
        submission_id=SUBMISSION_ID,
        state=results.JobState.COMPLETE,
        code=results.ResultCode.COMPLETE,
        tasks=tasks,
    )
    return msgspec.structs.replace(answer, **changes)


def _record(answer):
    record = generators.JobRecord(
        index=JOB.index,
        team=JOB.team,
        due_s=0.0,
        sent_s=0.0,
        ended_s=0.1,
        code=results.ResultCode.INTERNAL_ERROR,
    )
    if answer is not None:
        generators.note_answer(record, JOB, SUBMISSION_ID, answer)
    return record


def _starts(requests, **by_key):
    start = reconciliations.Start("t1", 0)
    starts = {key.replace("_", "-")[1:]: [start] * count for key, count in by_key.items()}
    return reconciliations.Starts(requests, starts)


def _reconcile(record, starts):
    return reconciliations.reconcile([JOB], [record] if record else [], starts)


def test_correct_answer_has_no_fault_and_no_waste():
    verdict = _reconcile(_record(_answer()), _starts(2, t3_0=1, t3_1=1))
    assert verdict.faults == []
    assert verdict.wasted_share == 0.0


def test_missing_record_is_a_fault():
    assert _reconcile(None, _starts(0)).faults == ["job 3: no answer"]


@pytest.mark.parametrize(
    ("changes", "fault"),
    [
        ({"submission_id": "other"}, "the answer is for other"),
        ({"tasks": _answer().tasks[:1]}, "not whole"),
        ({"tasks": _answer().tasks[::-1]}, "not in order"),
        ({"state": results.JobState.RUNNING}, "has no answer"),
    ],
)
def test_wrong_answer_is_a_fault(changes, fault):
    verdict = _reconcile(_record(_answer(**changes)), _starts(2, t3_0=1, t3_1=1))
    assert any(fault in found for found in verdict.faults)


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({"result": msgspec.Raw(b'{"key": "3-1"}')}, "result of another"),
        ({"result": msgspec.Raw(b"null")}, "result of another"),
        ({"outcome": results.TaskOutcome.UNKNOWN}, "task 0 unknown"),
    ],
)
def test_wrong_task_in_a_complete_job_is_a_fault(change, fault):
    first, second = _answer().tasks
    answer = _answer(tasks=[msgspec.structs.replace(first, **change), second])
    verdict = _reconcile(_record(answer), _starts(2, t3_0=1, t3_1=1))
    assert any(fault in found for found in verdict.faults)


def test_double_start_is_a_fault_and_waste():
    verdict = _reconcile(_record(_answer()), _starts(3, t3_0=2, t3_1=1))
    assert verdict.faults == ["job 3 task 0: started 2 times"]
    assert verdict.repeated == 1
    assert verdict.wasted_share == pytest.approx(1 / 3)


def test_success_that_no_target_started_is_a_fault():
    verdict = _reconcile(_record(_answer()), _starts(1, t3_0=1))
    assert verdict.faults == ["job 3 task 1: reported as succeeded, but never started"]


def test_refusal_of_a_job_that_started_is_a_fault():
    record = _record(None)
    record.code = results.ResultCode.OVERLOADED
    record.ran = results.TaskOutcome.NOT_RUN
    verdict = _reconcile(record, _starts(1, t3_1=1))
    assert verdict.faults == ["job 3 task 1: reported as not run, but started"]
    assert verdict.wasted_share == 1.0
    assert _reconcile(record, _starts(0)).faults == []


def test_refused_start_requests_are_waste():
    verdict = _reconcile(_record(_answer()), _starts(8, t3_0=1, t3_1=1))
    assert verdict.faults == []
    assert verdict.wasted_share == pytest.approx(0.75)


def test_counts_of_all_targets_are_added():
    counted = {
        "t1": task_counts.Counts(started_at_ms={"3-0": [5]}, total_requests=4),
        "t2": task_counts.Counts(started_at_ms={"3-0": [6], "3-1": [7]}, total_requests=2),
    }
    starts = reconciliations.collect_starts(counted)
    assert starts.requests == 6
    assert starts.targets == ["t1", "t2"]
    assert starts.by_key == {
        "3-0": [reconciliations.Start("t1", 5), reconciliations.Start("t2", 6)],
        "3-1": [reconciliations.Start("t2", 7)],
    }

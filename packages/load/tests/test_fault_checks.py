import msgspec
import pytest

from chiveridge_kernel import messages, results
from chiveridge_load import fault_checks, fault_injectors, fault_jobs, fault_schedules
from chiveridge_standins import journals

KEYS = ["a", "b"]
PLAN = fault_jobs.JobPlan(fault_jobs.Behaviour.PLAIN, False, dict.fromkeys(KEYS, 10))
STARTS = [journals.Start(key, "ikeja-t1", 5000) for key in KEYS]
Rule = fault_checks.Rule
Fault = fault_schedules.Fault


def task(index, outcome=results.TaskOutcome.SUCCEEDED, key=None):
    result = {"key": key or KEYS[index], "target": "ikeja-t1", "padding": ""}
    return messages.TaskAnswer(index, outcome, result=msgspec.Raw(msgspec.json.encode(result)))


def answer(*tasks, state=results.JobState.COMPLETE, code=results.ResultCode.COMPLETE):
    return messages.JobAnswer(
        submission_id="s", state=state, code=code, name=code.name, tasks=list(tasks)
    )


def answered(*answers):
    return [fault_jobs.Attempt(method="POST", url="", answer=item) for item in answers]


def refused(ran, method="POST"):
    code = results.ResultCode.DRAINING
    refusal = messages.Refusal(code=code, name=code.name, message="", ran=ran)
    return [fault_jobs.Attempt(method=method, url="", refusal=refusal)]


def rules(attempts, starts=STARTS, spans=(), drains=()):
    record = fault_jobs.JobRecord(PLAN, "s", attempts)
    found = fault_checks.check([record], list(starts), list(spans), list(drains))
    return {violation.rule for violation in found}


WHOLE = answer(task(0), task(1))
UNKNOWN = results.TaskOutcome.UNKNOWN
NOT_RUN = results.TaskOutcome.NOT_RUN
FAILED = {"state": results.JobState.FAILED, "code": results.ResultCode.CANCELLED}


@pytest.mark.parametrize(
    ("attempts", "starts"),
    [
        (answered(WHOLE, WHOLE), STARTS),
        ([*refused(UNKNOWN), *answered(WHOLE)], STARTS),
        ([*refused(NOT_RUN, "GET"), *answered(WHOLE)], STARTS),
        (refused(NOT_RUN), []),
        (answered(answer(task(0), task(1, NOT_RUN), **FAILED)), STARTS[:1]),
        (answered(answer(task(0, UNKNOWN), task(1, UNKNOWN), **FAILED)), STARTS[:1]),
        ([], STARTS),
    ],
)
def test_honest_runs_have_no_violation(attempts, starts):
    assert rules(attempts, starts) == set()


@pytest.mark.parametrize(
    ("attempts", "starts", "expected"),
    [
        ([], [*STARTS, STARTS[0]], Rule.STARTED_TWICE),
        (
            answered(WHOLE, answer(task(0, UNKNOWN), task(1), **FAILED)),
            STARTS,
            Rule.ANSWERS_DIFFER,
        ),
        (refused(NOT_RUN), STARTS[:1], Rule.REFUSED_BUT_STARTED),
        ([*refused(NOT_RUN), *answered(WHOLE)], STARTS, Rule.REFUSED_AND_ANSWERED),
        (answered(WHOLE), STARTS[:1], Rule.SUCCEEDED_NOT_ONCE),
        (answered(answer(task(0), task(1, key="a"))), STARTS, Rule.WRONG_RESULT),
        (answered(answer(task(0), task(1, NOT_RUN), **FAILED)), STARTS, Rule.NOT_RUN_BUT_STARTED),
        (answered(answer(task(0))), STARTS, Rule.NOT_WHOLE),
        (answered(answer(task(1), task(0))), STARTS, Rule.NOT_WHOLE),
        (answered(answer(task(0), task(1, UNKNOWN))), STARTS, Rule.PARTLY_COMPLETE),
        ([], [journals.Start("c", "ikeja-t1", 0)], Rule.UNKNOWN_START),
    ],
)
def test_a_planted_violation_is_caught(attempts, starts, expected):
    assert expected in rules(attempts, starts)


def test_a_late_start_on_a_leaving_target_is_caught():
    span = fault_injectors.Span(Fault.LIST_LEAVING, "ikeja-t1", 1900, 9000)
    assert rules(answered(WHOLE), spans=[span]) == {Rule.STARTED_WHILE_LEAVING}


@pytest.mark.parametrize(
    "span",
    [
        fault_injectors.Span(Fault.LIST_LEAVING, "ikeja-t1", 2000, 9000),
        fault_injectors.Span(Fault.LIST_LEAVING, "ikeja-t2", 1000, 9000),
        fault_injectors.Span(Fault.LIST_LEAVING, "ikeja-t1", 1000, 4900),
        fault_injectors.Span(Fault.KILL_TARGET, "ikeja-t1", 1000, 9000),
    ],
)
def test_other_starts_are_not(span):
    assert rules(answered(WHOLE), spans=[span]) == set()


@pytest.mark.parametrize(
    ("fault", "expected"),
    [(Fault.LIST_LEAVING, set()), (Fault.SAY_LEAVING, {Rule.STARTED_WHILE_LEAVING})],
)
def test_a_list_that_nodes_cannot_read_is_excused(fault, expected):
    spans = [
        fault_injectors.Span(fault, "ikeja-t1", 1000, 9000),
        fault_injectors.Span(Fault.CUT_PLATFORM, "platform", 500, 1500),
    ]
    assert rules(answered(WHOLE), spans=spans) == expected


@pytest.mark.parametrize(("code", "expected"), [(0, set()), (-9, {Rule.DRAIN_FAILED})])
def test_a_drain_has_to_end_by_itself(code, expected):
    drains = [fault_injectors.Drain("ikeja-e1", code, "")]
    assert rules(answered(WHOLE), drains=drains) == expected

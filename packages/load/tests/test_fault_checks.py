import msgspec
import pytest

from chiveridge_kernel import messages, records, results
from chiveridge_load import (
    fault_checks,
    fault_injectors,
    fault_jobs,
    fault_operators,
    fault_schedules,
)
from chiveridge_standins import start_journals

KEYS = ["a", "b"]
PLAN = fault_jobs.JobPlan(fault_jobs.Behaviour.PLAIN, False, dict.fromkeys(KEYS, 10))
STARTS = [start_journals.Start(key, "ikeja-t1", 5000) for key in KEYS]
Rule = fault_checks.Rule
Fault = fault_schedules.Fault


def task(index, outcome=results.TaskOutcome.SUCCEEDED, key=None):
    result = {"key": key or KEYS[index], "target": "ikeja-t1", "padding": ""}
    return messages.TaskAnswer(index, outcome, result=msgspec.Raw(msgspec.json.encode(result)))


def answer(*tasks, state=results.JobState.COMPLETE, code=results.ResultCode.COMPLETE):
    return messages.JobAnswer(
        submission_id="s", state=state, code=code, name=code.name, tasks=list(tasks)
    )


def answer_attempts(*answers):
    return [fault_jobs.Attempt(method="POST", url="", answer=item) for item in answers]


def refusal_attempts(ran, method="POST"):
    code = results.ResultCode.DRAINING
    refusal = messages.Refusal(code=code, name=code.name, message="", ran=ran)
    return [fault_jobs.Attempt(method=method, url="", refusal=refusal)]


def violated_rules(attempts, starts=STARTS, periods=(), drains=()):
    record = fault_jobs.JobRecord(PLAN, "s", attempts)
    violations = fault_checks.check([record], list(starts), list(periods), list(drains))
    return {violation.rule for violation in violations}


COMPLETE_ANSWER = answer(task(0), task(1))
RUNNING_ANSWER = answer(state=results.JobState.RUNNING, code=results.ResultCode.ACCEPTED)
UNKNOWN = results.TaskOutcome.UNKNOWN
NOT_RUN = results.TaskOutcome.NOT_RUN
FAILED_FIELDS = {"state": results.JobState.FAILED, "code": results.ResultCode.CANCELLED}


@pytest.mark.parametrize(
    ("attempts", "starts"),
    [
        (answer_attempts(COMPLETE_ANSWER, COMPLETE_ANSWER), STARTS),
        ([*refusal_attempts(UNKNOWN), *answer_attempts(COMPLETE_ANSWER)], STARTS),
        ([*refusal_attempts(NOT_RUN, "GET"), *answer_attempts(COMPLETE_ANSWER)], STARTS),
        (refusal_attempts(NOT_RUN), []),
        (answer_attempts(answer(task(0), task(1, NOT_RUN), **FAILED_FIELDS)), STARTS[:1]),
        (answer_attempts(answer(task(0, UNKNOWN), task(1, UNKNOWN), **FAILED_FIELDS)), STARTS[:1]),
    ],
)
def test_correct_run_has_no_violation(attempts, starts):
    assert violated_rules(attempts, starts) == set()


@pytest.mark.parametrize(
    ("attempts", "starts", "expected"),
    [
        ([], STARTS, Rule.NOT_ENDED),
        (answer_attempts(RUNNING_ANSWER), STARTS, Rule.NOT_ENDED),
        ([], [*STARTS, STARTS[0]], Rule.STARTED_TWICE),
        (
            answer_attempts(COMPLETE_ANSWER, answer(task(0, UNKNOWN), task(1), **FAILED_FIELDS)),
            STARTS,
            Rule.ANSWERS_DIFFER,
        ),
        (refusal_attempts(NOT_RUN), STARTS[:1], Rule.REFUSED_BUT_STARTED),
        (
            [*refusal_attempts(NOT_RUN), *answer_attempts(COMPLETE_ANSWER)],
            STARTS,
            Rule.REFUSED_AND_ANSWERED,
        ),
        (answer_attempts(COMPLETE_ANSWER), STARTS[:1], Rule.SUCCEEDED_NOT_ONCE),
        (answer_attempts(answer(task(0), task(1, key="a"))), STARTS, Rule.WRONG_RESULT),
        (
            answer_attempts(answer(task(0), task(1, NOT_RUN), **FAILED_FIELDS)),
            STARTS,
            Rule.NOT_RUN_BUT_STARTED,
        ),
        (answer_attempts(answer(task(0))), STARTS, Rule.INCOMPLETE_ANSWER),
        (answer_attempts(answer(task(1), task(0))), STARTS, Rule.INCOMPLETE_ANSWER),
        (answer_attempts(answer(task(0), task(1, UNKNOWN))), STARTS, Rule.PARTLY_COMPLETE),
        ([], [start_journals.Start("c", "ikeja-t1", 0)], Rule.UNKNOWN_START),
    ],
)
def test_violation_is_detected(attempts, starts, expected):
    assert expected in violated_rules(attempts, starts)


def test_late_start_on_a_leaving_target_is_detected():
    period = fault_injectors.FaultPeriod(Fault.LIST_LEAVING, "ikeja-t1", 1900, 9000)
    assert violated_rules(answer_attempts(COMPLETE_ANSWER), periods=[period]) == {
        Rule.STARTED_WHILE_LEAVING
    }


@pytest.mark.parametrize(
    "period",
    [
        fault_injectors.FaultPeriod(Fault.LIST_LEAVING, "ikeja-t1", 2000, 9000),
        fault_injectors.FaultPeriod(Fault.LIST_LEAVING, "ikeja-t2", 1000, 9000),
        fault_injectors.FaultPeriod(Fault.LIST_LEAVING, "ikeja-t1", 1000, 4900),
        fault_injectors.FaultPeriod(Fault.KILL_TARGET, "ikeja-t1", 1000, 9000),
    ],
)
def test_other_starts_are_no_violation(period):
    assert violated_rules(answer_attempts(COMPLETE_ANSWER), periods=[period]) == set()


@pytest.mark.parametrize(
    ("fault", "expected"),
    [(Fault.LIST_LEAVING, set()), (Fault.SAY_LEAVING, {Rule.STARTED_WHILE_LEAVING})],
)
def test_late_start_is_allowed_while_nodes_cannot_read_the_vm_list(fault, expected):
    periods = [
        fault_injectors.FaultPeriod(fault, "ikeja-t1", 1000, 9000),
        fault_injectors.FaultPeriod(Fault.CUT_PLATFORM, "platform", 500, 1500),
    ]
    assert violated_rules(answer_attempts(COMPLETE_ANSWER), periods=periods) == expected


@pytest.mark.parametrize(("code", "expected"), [(0, set()), (-9, {Rule.DRAIN_FAILED})])
def test_drain_must_exit_with_code_0(code, expected):
    drains = [fault_injectors.Drain("ikeja-e1", code, "")]
    assert violated_rules(answer_attempts(COMPLETE_ANSWER), drains=drains) == expected


ACCEPTED = records.Verdict.ACCEPTED
CONFLICT = records.Verdict.CONFLICT


@pytest.mark.parametrize(
    ("reported", "verdicts", "offset", "expected"),
    [
        (ACCEPTED, {"c1": ACCEPTED}, 7, set()),
        (CONFLICT, {"c1": CONFLICT}, 8, set()),
        (None, {"c1": ACCEPTED}, 7, set()),
        (None, {}, 7, set()),
        (ACCEPTED, {}, 7, {Rule.VERDICT_DIFFERS}),
        (ACCEPTED, {"c1": CONFLICT}, 7, {Rule.VERDICT_DIFFERS}),
        (CONFLICT, {"c1": ACCEPTED}, 7, {Rule.VERDICT_DIFFERS}),
        (ACCEPTED, {"c1": ACCEPTED}, 6, {Rule.NODE_BEHIND}),
    ],
)
def test_configuration_must_match_reported_verdicts_and_be_applied(
    reported, verdicts, offset, expected
):
    outcome = fault_operators.ConfigurationOutcome(
        told=[fault_operators.ReportedVerdict("c1", reported)],
        verdicts_by_change_id=verdicts,
        log_offset=7,
        offsets_by_node={"ikeja-e1": offset},
    )
    violations = fault_checks.check_configuration(outcome)
    assert {violation.rule for violation in violations} == expected

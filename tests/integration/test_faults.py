import pytest

from chiveridge_kernel import records
from chiveridge_load import fault_operators, fault_schedules, faults

SEED = 1
SINGLE_FAILURE_SEED = 4  # Its schedules inject a leaving target and every fault early.
JOBS = 60
MANY_JOBS = 5000  # More than a run can submit within its time limit.
Fault = fault_schedules.Fault
LEAVING_FAULTS = frozenset({Fault.LIST_LEAVING, Fault.SAY_LEAVING})
FAULTS_BY_FAILURE = {
    "kill": {Fault.KILL_NODE},
    "freeze": {Fault.FREEZE_NODE, Fault.FREEZE_TARGET},
    "cut": {Fault.CUT_TARGET, Fault.CUT_PEER},
    "silent_connection": {Fault.SILENCE_TARGET, Fault.SILENCE_PEER},
    "target_death": {Fault.KILL_TARGET},
    "platform_outage": {Fault.CUT_PLATFORM, Fault.STALL_PLATFORM, Fault.LOG_DOWN},
    "lost_reply": {Fault.DROP_START_REPLIES, Fault.DROP_APPEND_REPLIES},
    "operators_race": set(),
    "paused_lease_holder": {Fault.FREEZE_NODE},
    "replaced_vm": {Fault.KILL_NODE, Fault.TERMINATE_NODE},
    "two_at_once": {Fault.KILL_NODE, Fault.CUT_TARGET},
}
FIELDS_BY_FAILURE = {
    # More callers, as those that wait for a reply on a silent connection start no jobs.
    "silent_connection": {"callers": 24},
    "operators_race": {"contest": fault_operators.Contest.APPROVALS},
    # With these values, jobs end while the node that holds their leases is paused.
    "paused_lease_holder": {"deadline_ms": 1000, "callers": 24, "mean_gap_ms": 500},
}
PROMISES = (
    "at_most_once",
    "complete_or_failed",
    "own_whole_answer",
    "honest_refusal",
    "non_idempotent_once",
    "leaving_target",
)


# In an outage, nodes cannot read from the VM list that a target is leaving;
# test_leaving_targets.py proves that case.
EXCLUDED_PROMISES_BY_FAILURE = {"platform_outage": {"leaving_target"}}


def make_case(failure):
    excluded = EXCLUDED_PROMISES_BY_FAILURE.get(failure, set())
    promises = [promise for promise in PROMISES if promise not in excluded]
    marks = [pytest.mark.promise(promise, failures=[failure]) for promise in promises]
    return pytest.param(failure, marks=marks)


@pytest.mark.promise("at_most_once", failures=["two_at_once"])
@pytest.mark.promise("complete_or_failed", failures=["two_at_once"])
@pytest.mark.promise("own_whole_answer", failures=["two_at_once"])
@pytest.mark.promise("honest_refusal", failures=["two_at_once"])
@pytest.mark.promise("configuration_in_force", failures=["two_at_once", "operators_race"])
async def test_answers_agree_with_the_starts_under_random_faults():
    result = await faults.run(faults.RunPlan(jobs=JOBS, seed=SEED))
    assert len(result.records) == JOBS
    assert result.counts_by_fault
    assert result.violations == [], faults.report(result)


@pytest.mark.parametrize("failure", [make_case(failure) for failure in FAULTS_BY_FAILURE])
async def test_answers_agree_with_the_starts_under_one_failure_while_targets_leave(failure):
    injected_faults = FAULTS_BY_FAILURE[failure]
    plan_fields = {"callers": 6, "mean_gap_ms": 200} | FIELDS_BY_FAILURE.get(failure, {})
    plan = faults.RunPlan(
        jobs=MANY_JOBS,
        seed=SINGLE_FAILURE_SEED,
        limit_s=5,
        faults=LEAVING_FAULTS | injected_faults,
        **plan_fields,
    )
    result = await faults.run(plan)
    assert result.counts_by_fault.keys() >= injected_faults
    assert result.counts_by_fault.keys() & LEAVING_FAULTS
    assert not all(record.plan.idempotent for record in result.records)
    verdicts = {publication.verdict for publication in result.configuration.told}
    assert failure != "operators_race" or records.Verdict.CONFLICT in verdicts
    assert result.violations == [], faults.report(result)

import pytest

from chiveridge_load import fault_schedules, faults

SEED = 1
SEED_OF_ONE_FAILURE = 4  # Its schedules begin with a leaving target and every fault.
JOBS = 60
Fault = fault_schedules.Fault
LEAVING = frozenset({Fault.LIST_LEAVING, Fault.SAY_LEAVING})
FAULTS_BY_FAILURE = {
    "kill": {Fault.KILL_NODE},
    "freeze": {Fault.FREEZE_NODE, Fault.FREEZE_TARGET},
    "cut": {Fault.CUT_TARGET, Fault.CUT_PEER},
    "silent_connection": {Fault.SILENCE_TARGET, Fault.SILENCE_PEER},
    "target_death": {Fault.KILL_TARGET},
}
PROMISES = (
    "at_most_once",
    "complete_or_failed",
    "own_whole_answer",
    "honest_refusal",
    "non_idempotent_once",
    "leaving_target",
)


def case(failure):
    marks = [pytest.mark.promise(promise, failures=[failure]) for promise in PROMISES]
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


@pytest.mark.parametrize("failure", [case(failure) for failure in FAULTS_BY_FAILURE])
async def test_answers_agree_with_the_starts_under_one_failure_while_targets_leave(failure):
    injected = FAULTS_BY_FAILURE[failure]
    plan = faults.RunPlan(
        jobs=1000,
        seed=SEED_OF_ONE_FAILURE,
        callers=6,
        limit_s=5,
        mean_gap_ms=200,
        faults=LEAVING | injected,
    )
    result = await faults.run(plan)
    assert result.counts_by_fault.keys() >= injected
    assert result.counts_by_fault.keys() & LEAVING
    assert result.violations == [], faults.report(result)

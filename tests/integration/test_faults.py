import pytest

from chiveridge_load import faults

SEED = 1
JOBS = 60


@pytest.mark.promise("at_most_once", failures=["two_at_once"])
@pytest.mark.promise("complete_or_failed", failures=["two_at_once"])
@pytest.mark.promise("own_whole_answer", failures=["two_at_once"])
@pytest.mark.promise("honest_refusal", failures=["two_at_once"])
async def test_answers_agree_with_the_starts_under_random_faults():
    result = await faults.run(faults.RunPlan(jobs=JOBS, seed=SEED))
    assert len(result.records) == JOBS
    assert result.counts_by_fault
    assert result.violations == [], faults.report(result)

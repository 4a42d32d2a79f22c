"""Random fault injection: seeds that once violated a guarantee, and a few others."""

import pytest

from chiveridge_load import pool_soaks

SECONDS = 20.0
FORMERLY_FAILING_SEEDS = [4, 15, 28, 49, 66, 75, 87, 91, 94, 113, 149, 241]
"""Seeds that led to concurrent runs of a task, runs that outlived their job or unowned targets."""


@pytest.mark.promise("at_most_once", failures=["kill", "freeze", "cut", "target_death"])
@pytest.mark.promise("at_most_once", failures=["two_at_once"])
@pytest.mark.promise("complete_or_failed", failures=["two_at_once"])
@pytest.mark.promise("honest_refusal", failures=["two_at_once"])
@pytest.mark.parametrize("seed", [*FORMERLY_FAILING_SEEDS, 1, 2, 3])
def test_random_faults_violate_no_guarantee(seed):
    soak = pool_soaks.Soak(seed)
    assert soak.play(SECONDS) == []
    assert soak.faults
    assert len(soak.sent) > 100


def test_a_seed_is_reproducible():
    first, second = pool_soaks.Soak(7), pool_soaks.Soak(7)
    assert first.play(5.0) == second.play(5.0)
    assert first.faults == second.faults
    assert first.model.answered_at == second.model.answered_at


@pytest.mark.promise("at_most_once", failures=["target_death", "two_at_once"])
@pytest.mark.parametrize("seed", [1, 2, 45, 52, 110])
def test_random_faults_beside_tasks_that_crash_their_targets_violate_no_guarantee(seed):
    soak = pool_soaks.Soak(seed, poison_share=0.15)
    assert soak.play(SECONDS) == []
    assert any(target.poison_starts for target in soak.model.targets_by_id.values())


@pytest.mark.promise("at_most_once", failures=["cut", "target_death", "two_at_once"])
@pytest.mark.parametrize("seed", [1, 3, 4, 90])
def test_cuts_by_resets_beside_crashes_violate_no_guarantee(seed):
    soak = pool_soaks.Soak(seed, poison_share=0.15, resets=True)
    assert soak.play(SECONDS) == []
    assert any("reset" in fault for fault in soak.faults)

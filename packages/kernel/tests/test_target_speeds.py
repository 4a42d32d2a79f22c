import random

from chiveridge_kernel import target_speeds

TARGETS = [f"t{number}" for number in range(8)]


def observe_random_tasks(
    table: target_speeds.TargetSpeeds, slow_target: str, tasks: int
) -> set[str]:
    """Observe tasks on random targets; return those that counted as slow at any time."""
    rng = random.Random(7)
    found_slow = set()
    for _ in range(tasks):
        target = rng.choice(TARGETS)
        run_ms = rng.lognormvariate(5.5, 0.9) * (5 if target == slow_target else 1)
        table.observe_team_run("desk", run_ms)
        table.observe_target_run(target, "desk", run_ms)
        found_slow |= {name for name in TARGETS if table.is_slow(name)}
    return found_slow


def test_only_the_target_five_times_slower_counts_as_slow():
    assert observe_random_tasks(target_speeds.TargetSpeeds(), "t3", 2000) == {"t3"}


def test_equal_targets_are_never_slow():
    assert observe_random_tasks(target_speeds.TargetSpeeds(), "none", 5000) == set()


def test_a_slow_target_that_is_no_longer_owned_is_forgotten():
    table = target_speeds.TargetSpeeds()
    observe_random_tasks(table, "t3", 2000)
    table.retain(frozenset(TARGETS) - {"t3"})
    assert not table.is_slow("t3")

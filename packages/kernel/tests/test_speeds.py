import random

from chiveridge_kernel import speeds

TARGETS = [f"t{number}" for number in range(8)]


def learn(table: speeds.Speeds, slow: str, tasks: int) -> set[str]:
    """Return the targets that were ever counted as slow."""
    rng = random.Random(7)
    suspected = set()
    for _ in range(tasks):
        target = rng.choice(TARGETS)
        run_ms = rng.lognormvariate(5.5, 0.9) * (5 if target == slow else 1)
        table.learn_team("desk", run_ms)
        table.learn_target(target, "desk", run_ms)
        suspected |= {name for name in TARGETS if table.is_slow(name)}
    return suspected


def test_a_target_five_times_slower_is_found_and_no_other():
    assert learn(speeds.Speeds(), "t3", 2000) == {"t3"}


def test_equal_targets_are_never_slow():
    assert learn(speeds.Speeds(), "none", 5000) == set()


def test_a_slow_target_that_is_owned_no_more_is_forgotten():
    table = speeds.Speeds()
    learn(table, "t3", 2000)
    table.keep_only(frozenset(TARGETS) - {"t3"})
    assert not table.is_slow("t3")

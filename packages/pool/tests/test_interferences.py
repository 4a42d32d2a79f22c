"""Learning from run times which queues' tasks slow each other down on one target."""

import math
import random

import pytest

from chiveridge_pool import interferences

QUEUES = ("x", "y", "z")


def _record(learned, rng, runs, slowdown, noise=0.2):
    """Record runs of queue x, half of them beside queue y, which multiplies their run time."""
    for number in range(runs):
        beside = frozenset({"y"}) if number % 2 else frozenset({"z"})
        excess = rng.gauss(0, noise) + (math.log(slowdown) if "y" in beside else 0)
        learned.record("x", excess, beside, beside)
        learned.record("y", rng.gauss(0, noise), frozenset(), frozenset())
        learned.record("z", rng.gauss(0, noise), frozenset(), frozenset())


def test_a_queue_that_slows_another_down_is_found():
    learned = interferences.Interferences()
    _record(learned, random.Random(1), 200, slowdown=1.6)
    assert learned.found().keys() == {("x", "y")}
    assert learned.found()["x", "y"] == pytest.approx(1.6, rel=0.1)
    assert learned.disturb("x", ["z", "y"])
    assert learned.disturb("y", ["x"])
    assert not learned.disturb("x", ["z", "x"])


@pytest.mark.parametrize("seed", range(20))
def test_run_times_that_differ_by_chance_find_nothing(seed):
    learned = interferences.Interferences()
    _record(learned, random.Random(seed), 600, slowdown=1.0, noise=0.5)
    assert learned.found() == {}


@pytest.mark.parametrize("seed", range(5))
def test_a_slowdown_that_does_not_matter_separates_nothing(seed):
    learned = interferences.Interferences()
    _record(learned, random.Random(seed), 600, slowdown=1.03)
    assert learned.found() == {}


def test_nothing_is_concluded_from_few_runs():
    learned = interferences.Interferences()
    _record(learned, random.Random(1), 2 * interferences.MIN_RUNS - 2, slowdown=3.0)
    assert learned.found() == {}


def test_a_pair_that_no_longer_disturbs_is_forgotten():
    learned = interferences.Interferences()
    rng = random.Random(1)
    _record(learned, rng, 200, slowdown=1.6)
    _record(learned, rng, 3000, slowdown=1.0)
    assert learned.found() == {}


def test_runs_that_were_beside_a_queue_for_a_part_only_tell_nothing():
    learned = interferences.Interferences()
    for _ in range(200):
        learned.record("x", 1.0, frozenset({"y"}), frozenset())
        learned.record("x", 0.0, frozenset(), frozenset())
        learned.record("y", 0.0, frozenset(), frozenset())
    assert learned.found() == {}


def test_the_number_of_compared_queues_is_bounded():
    learned = interferences.Interferences()
    for number in range(500):
        learned.record(f"q{number}", 0.0, frozenset(), frozenset())
    assert len(learned._last_run_by_queue) == interferences._MAX_QUEUES


def test_a_queue_without_runs_makes_room_for_a_new_one():
    learned = interferences.Interferences()
    learned.record("gone", 0.0, frozenset(), frozenset())
    others = [f"q{number}" for number in range(interferences._MAX_QUEUES - 1)]
    for number in range(interferences._IDLE_AFTER_RUNS):
        learned.record(others[number % len(others)], 0.0, frozenset(), frozenset())
    learned.record("new", 0.0, frozenset(), frozenset())
    assert "new" in learned._last_run_by_queue
    assert "gone" not in learned._last_run_by_queue
    assert not any("gone" in pair for pair in learned._apart_by_pair)


def test_pairs_that_other_owners_report_count_until_own_runs_say_otherwise():
    learned = interferences.Interferences()
    learned.set_reported({("x", "y")})
    assert learned.disturb("y", ["x"])
    assert learned.found_pairs() == ()
    _record(learned, random.Random(1), 600, slowdown=1.0)
    assert not learned.disturb("y", ["x"])
    learned.set_reported({("x", "y")})
    assert not learned.disturb("y", ["x"])


def test_reported_pairs_that_are_withdrawn_count_no_more():
    learned = interferences.Interferences()
    learned.set_reported({("x", "y")})
    learned.set_reported(())
    assert not learned.has_any()

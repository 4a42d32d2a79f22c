"""Learning how fast each target is from the run times there."""

import math
import random

import pytest

from chiveridge_pool import target_speeds


def _speeds(speed, runs, noise=0.35, seed=1):
    learned = target_speeds.TargetSpeeds()
    rng = random.Random(seed)
    for _ in range(runs):
        learned.record("t1", rng.gauss(0, noise) - math.log(speed))
    return learned


@pytest.mark.parametrize("speed", [0.7, 1.0, 1.7])
@pytest.mark.parametrize("seed", range(5))
def test_the_speed_of_a_target_is_learned(speed, seed):
    assert _speeds(speed, 60, seed=seed).speed_of("t1") == pytest.approx(speed, rel=0.3)


def test_targets_of_a_faster_kind_are_told_from_others():
    assert _speeds(1.7, 60).is_fast("t1")
    assert not _speeds(1.0, 60).is_fast("t1")
    assert not _speeds(0.7, 60).is_fast("t1")


def test_few_runs_tell_nothing():
    assert _speeds(1.7, 5).speed_of("t1") == 1.0


def test_single_long_runs_do_not_make_a_target_slow():
    learned = _speeds(1.0, 60, noise=0.1)
    learned.record("t1", math.log(7))
    assert learned.speed_of("t1") > 0.8


def test_a_target_that_is_forgotten_is_learned_anew():
    learned = _speeds(1.7, 60)
    learned.forget("t1")
    assert learned.speed_of("t1") == 1.0


def test_the_speed_learned_by_the_previous_owner_is_adopted_and_outweighed_by_own_runs():
    learned = target_speeds.TargetSpeeds()
    learned.adopt("t1", *_speeds(1.7, 60).learned("t1"))
    assert learned.is_fast("t1")
    for _ in range(30):
        learned.record("t1", 0.0)
    assert not learned.is_fast("t1")


@pytest.mark.parametrize(("excess", "runs"), [(math.nan, 9), (-math.inf, 9), (-0.6, 0), (-0.6, -3)])
def test_speeds_that_make_no_sense_are_not_adopted(excess, runs):
    learned = target_speeds.TargetSpeeds()
    learned.adopt("t1", excess, runs)
    assert learned.speed_of("t1") == 1.0


def test_targets_that_are_no_longer_listed_are_forgotten():
    learned = _speeds(1.7, 60)
    learned.retain({"t2"})
    assert not learned.has_fast()
    assert learned.learned("t1") == (0.0, 0)

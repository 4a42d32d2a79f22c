"""Which targets count as slow, from the run times and the progress of their tasks."""

import datetime

import pytest

from chiveridge_pool import grants, resources, runs, slow_targets

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
USUAL = datetime.timedelta(milliseconds=200)
TARGET = "t1"


def _running(since, queue="queue", percent=1):
    grant = grants.Grant("n-1", "n", "a" * 16, 0, queue, resources.ZERO, USUAL, since)
    grant.state = runs.GrantState.RUNNING
    grant.record_progress(percent, since)
    return grant


def _complete(learned, factor, at, target=TARGET):
    """Record a run that took a multiple of the usual time and ended at a time."""
    learned.record_completion(target, _running(at - factor * USUAL), at)


def _learned(runs_done=30):
    learned = slow_targets.SlowTargets()
    for number in range(runs_done):
        _complete(learned, 1.0, NOW - USUAL, target=f"other{number % 3}")
    return learned


def test_a_long_run_beside_runs_that_take_the_usual_time_does_not_make_its_target_slow():
    learned = _learned()
    long_run = _running(NOW)
    _complete(learned, 1.0, NOW + 3 * USUAL)
    long_run.record_progress(80, NOW + 5.9 * USUAL)
    learned.record_progress(TARGET, long_run, NOW + 6 * USUAL)
    assert not learned.is_slow(TARGET)


def test_a_run_that_makes_no_progress_makes_its_target_slow_if_nothing_was_done_since_it_started():
    learned = _learned()
    _complete(learned, 1.0, NOW - USUAL / 2)
    learned.record_progress(TARGET, _running(NOW), NOW + 6 * USUAL)
    assert learned.is_slow(TARGET)


def test_runs_that_all_take_long_make_their_target_slow_although_others_end():
    learned = _learned()
    first = _running(NOW)
    _complete(learned, 5.0, NOW + 5 * USUAL)
    learned.record_progress(TARGET, first, NOW + 6 * USUAL)
    assert learned.is_slow(TARGET)


@pytest.mark.parametrize(("factor", "count", "is_slow"), [(7.0, 2, False), (4.0, 3, True)])
def test_three_slow_runs_in_a_row_make_a_target_slow_and_two_long_tasks_do_not(
    factor, count, is_slow
):
    learned = _learned()
    for number in range(5):
        _complete(learned, 1.0, NOW + number * USUAL)
    for number in range(count):
        _complete(learned, factor, NOW + (20 + 10 * number) * USUAL)
    assert learned.is_slow(TARGET) is is_slow


def test_a_run_that_hangs_makes_its_target_slow_although_others_are_done_in_the_usual_time():
    learned = _learned()
    hanging = _running(NOW, percent=0)
    _complete(learned, 1.0, NOW + 3 * USUAL)
    learned.record_progress(TARGET, hanging, NOW + 6 * USUAL)
    assert learned.is_slow(TARGET)

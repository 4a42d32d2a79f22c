import pytest

from chiveridge_load import bounds


def _arrivals(*jobs):
    return [bounds.Arrival(at_s, run_ms) for at_s, run_ms in jobs]


def test_jobs_that_find_a_free_slot_do_not_wait():
    arrivals = _arrivals((0.0, [100.0]), (0.05, [100.0]), (0.2, [300.0]))
    assert bounds.central_queue_ms(arrivals, slots=2) == [100.0, 100.0, 300.0]


def test_second_job_waits_for_the_only_slot():
    arrivals = _arrivals((0.0, [100.0]), (0.04, [50.0]), (1.0, [10.0]))
    assert bounds.central_queue_ms(arrivals, slots=1) == pytest.approx([100.0, 110.0, 10.0])


def test_response_time_is_that_of_the_last_task():
    # Slot 1: 0-100, then the second job to 110. Slot 2: 0-50, 50-80, 80-280.
    arrivals = _arrivals((0.0, [100.0, 50.0, 30.0, 200.0]), (0.0, [10.0]))
    assert bounds.central_queue_ms(arrivals, slots=2) == pytest.approx([280.0, 110.0])


def test_ratio_adds_the_round_trip_to_both_times():
    assert bounds.ratio(198.0, [98.0, 20.0]) == pytest.approx(2.0)
    arrivals = _arrivals((0.0, [98.0]), (0.0, [48.0]))
    ratios = bounds.central_queue_ratios(arrivals, slots=1)
    assert ratios == pytest.approx([1.0, 148.0 / 50.0])

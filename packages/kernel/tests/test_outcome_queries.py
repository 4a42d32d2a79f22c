import datetime

import pytest

from chiveridge_kernel import clocks, outcome_queries

NOW = clocks.EPOCH + datetime.timedelta(days=20_000, microseconds=123)
STEP = datetime.timedelta(milliseconds=50)
SECOND = datetime.timedelta(seconds=1)


def test_a_lease_is_due_never_early_and_at_most_one_step_late():
    schedule = outcome_queries.ProbeSchedule()
    schedule.add("a", NOW + SECOND)
    assert schedule.pop_due(NOW + SECOND - datetime.timedelta(microseconds=1)) == []
    assert schedule.pop_due(NOW + SECOND + STEP) == ["a"]
    assert schedule.pop_due(NOW + 2 * SECOND) == []


def test_leases_are_returned_in_the_order_of_their_due_times():
    schedule = outcome_queries.ProbeSchedule()
    for name, seconds in (("c", 3), ("a", 1), ("b", 2), ("d", 9)):
        schedule.add(name, NOW + seconds * SECOND)
    assert schedule.pop_due(NOW + 4 * SECOND) == ["a", "b", "c"]


@pytest.mark.parametrize(("delay_s", "clamped_s"), [(0, 1), (1, 1), (4, 4), (99, 10)])
def test_delays_stay_within_their_limits(delay_s, clamped_s):
    assert outcome_queries.QueryDelayLimits().clamp(delay_s * SECOND) == clamped_s * SECOND


def test_the_longer_of_declared_and_observed_time_is_expected():
    reply_times = outcome_queries.ReplyTimes()
    assert reply_times.expected("a-team", 700) == 0.7 * SECOND
    reply_times.observe("a-team", 2 * SECOND)
    assert reply_times.expected("a-team", 700) == 2 * SECOND
    assert reply_times.expected("b-team", 700) == 0.7 * SECOND
    for _ in range(200):
        reply_times.observe("a-team", SECOND / 10)
    assert reply_times.expected("a-team", 0) < SECOND / 5

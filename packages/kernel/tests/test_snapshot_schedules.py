import datetime
import random

import pytest

from chiveridge_kernel import clocks, records, snapshot_schedules

SETTINGS = snapshot_schedules.SnapshotSettings(max_records=100)
SECOND = datetime.timedelta(seconds=1)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def schedule():
    return snapshot_schedules.SnapshotSchedule(SETTINGS, random.Random(3))


def chunk(base, index=0, count=1):
    return records.SnapshotRecord(base=base, digest="0" * 64, index=index, count=count, data=b"")


def test_many_records_make_a_snapshot_due_within_the_random_delay(schedule, clock):
    schedule.record_change(99)
    schedule.schedule_if_needed(99, 0, 10, clock.now())
    assert schedule.next_due() is None
    schedule.schedule_if_needed(100, 0, 10, clock.now())
    assert clock.now() <= schedule.next_due() <= clock.now() + 5 * SECOND
    assert not schedule.claim_due(clock.now())
    clock.advance(5 * SECOND)
    assert schedule.claim_due(clock.now())
    assert not schedule.claim_due(clock.now())


def test_a_complete_snapshot_by_another_node_cancels_the_pending_one(schedule, clock):
    schedule.record_change(120)
    schedule.schedule_if_needed(121, 0, 10, clock.now())
    schedule.record_chunk(chunk(121, 0, 2))
    assert schedule.next_due() is not None
    schedule.record_chunk(chunk(121, 1, 2))
    assert schedule.next_due() is None
    schedule.schedule_if_needed(123, 0, 10, clock.now())
    assert schedule.next_due() is None


def test_a_failed_attempt_is_retried_after_the_minimum_interval(schedule, clock):
    schedule.record_change(120)
    schedule.schedule_if_needed(121, 0, 1, clock.now())
    clock.advance(SECOND)
    assert schedule.claim_due(clock.now())
    schedule.schedule_if_needed(121, 0, 1, clock.now())
    assert schedule.next_due() == clock.now() + SETTINGS.min_interval


@pytest.mark.parametrize(
    ("newest", "first", "is_due"), [(0, 0, False), (20, 10, True), (30, 10, False)]
)
def test_a_snapshot_is_due_before_its_records_expire(schedule, clock, newest, first, is_due):
    if newest:
        schedule.record_chunk(chunk(newest))
    schedule.record_change(45)
    schedule.schedule_if_needed(46, first, 1, clock.now())
    assert (schedule.next_due() is not None) is is_due


def test_an_old_snapshot_is_replaced_only_after_a_change(schedule, clock):
    schedule.record_chunk(chunk(20))
    schedule.schedule_if_needed(21, 0, 1, clock.now())
    clock.advance(SETTINGS.max_age)
    schedule.schedule_if_needed(21, 0, 1, clock.now())
    assert schedule.next_due() is None
    schedule.record_change(21)
    schedule.schedule_if_needed(22, 0, 1, clock.now())
    assert schedule.next_due() is not None

import datetime

import pytest

from chiveridge_kernel import backlogs, clocks

NOW = clocks.EPOCH
SECOND = datetime.timedelta(seconds=1)


@pytest.fixture
def busy() -> backlogs.Backlogs:
    """Return a backlog of 20 tasks of a team that starts 10 a second."""
    table = backlogs.Backlogs()
    table.added("desk", 30)
    for number in range(11):
        table.started("desk", NOW + SECOND * number / 10)
    table.observe(NOW + SECOND)
    table.added("desk", 1)
    return table


def test_work_that_waits_delays_new_work(busy):
    assert busy.expected_wait("desk").total_seconds() == pytest.approx(20 / 11)
    assert busy.expected_wait("registry") == datetime.timedelta()


def test_a_job_that_cannot_be_in_time_is_told_when_to_come_back(busy):
    assert busy.excess("desk", 1, 10 * SECOND) is None
    excess = busy.excess("desk", 20, 4 * SECOND)
    assert excess.total_seconds() == pytest.approx(40 / 11 - 4 * backlogs.DEADLINE_SHARE)


def test_nothing_is_refused_before_a_rate_is_known():
    table = backlogs.Backlogs()
    table.added("desk", 1000)
    assert table.excess("desk", 700, SECOND) is None


def test_a_team_that_does_nothing_is_forgotten(busy):
    busy.dropped("desk", 20)
    busy.observe(NOW + 2 * SECOND)
    assert busy.waiting("desk") == 0
    assert busy.excess("desk", 740, SECOND) is None

import datetime

import pytest

from chiveridge_kernel import backlogs, clocks

NOW = clocks.EPOCH
SECOND = datetime.timedelta(seconds=1)


@pytest.fixture
def busy() -> backlogs.Backlogs:
    """Return a backlog of 20 tasks of a team that starts 10 a second."""
    table = backlogs.Backlogs()
    table.add_waiting("desk", 30)
    for number in range(11):
        table.note_started("desk", NOW + SECOND * number / 10)
    table.observe(NOW + SECOND)
    table.add_waiting("desk", 1)
    return table


def test_waiting_tasks_delay_new_tasks(busy):
    assert busy.expected_wait("desk").total_seconds() == pytest.approx(20 / 11)
    assert busy.expected_wait("registry") == datetime.timedelta()


def test_a_job_that_would_miss_its_deadline_gets_a_retry_delay(busy):
    assert busy.excess_wait("desk", 1, 10 * SECOND) is None
    excess_wait = busy.excess_wait("desk", 20, 4 * SECOND)
    assert excess_wait.total_seconds() == pytest.approx(40 / 11 - 4 * backlogs.DEADLINE_SHARE)


def test_nothing_is_refused_before_a_rate_is_known():
    table = backlogs.Backlogs()
    table.add_waiting("desk", 1000)
    assert table.excess_wait("desk", 700, SECOND) is None


def test_an_idle_team_is_forgotten(busy):
    busy.remove_waiting("desk", 20)
    busy.observe(NOW + 2 * SECOND)
    assert busy.waiting("desk") == 0
    assert busy.excess_wait("desk", 740, SECOND) is None

import datetime

import pytest

from chiveridge_kernel import clocks, targets, vms

START = clocks.EPOCH
SECOND = datetime.timedelta(seconds=1)


@pytest.fixture
def table():
    found = targets.TargetTable()
    vm = vms.Vm(name="t1", role=vms.VmRole.TARGET, domain="d", address="127.0.0.1", port=1)
    found.replace(vms.VmList(1, [vm]))
    return found


def test_after_a_pause_targets_wait_for_a_read_that_began_later(table):
    table.doubt(START)
    assert not table.is_usable("t1")
    assert not table.confirm(START - SECOND)
    assert not table.is_usable("t1")
    assert table.confirm(START)
    assert table.is_usable("t1")
    assert not table.confirm(START)


def test_after_a_pause_without_the_platform_targets_are_used_again(table):
    table.doubt(START)
    assert table.next_expiry() == START + targets.DOUBT_LIMIT
    assert not table.expire(START + targets.DOUBT_LIMIT / 2)
    assert table.expire(START + targets.DOUBT_LIMIT)
    assert table.is_usable("t1")

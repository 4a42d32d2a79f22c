import datetime

import pytest

from chiveridge_kernel import clocks, targets, vms

START = clocks.EPOCH
SECOND = datetime.timedelta(seconds=1)


@pytest.fixture
def table():
    target_table = targets.TargetTable()
    vm = vms.Vm(name="t1", role=vms.VmRole.TARGET, domain="d", address="127.0.0.1", port=1)
    target_table.replace(vms.VmList(1, [vm]))
    return target_table


def test_after_a_pause_targets_are_unusable_until_a_later_read_of_the_list(table):
    table.mark_list_stale(START)
    assert not table.is_usable("t1")
    assert not table.mark_list_read(START - SECOND)
    assert not table.is_usable("t1")
    assert table.mark_list_read(START)
    assert table.is_usable("t1")
    assert not table.mark_list_read(START)


def test_after_a_pause_without_the_platform_targets_become_usable_at_the_limit(table):
    table.mark_list_stale(START)
    assert table.next_expiry() == START + targets.STALE_LIST_LIMIT
    assert not table.expire(START + targets.STALE_LIST_LIMIT / 2)
    assert table.expire(START + targets.STALE_LIST_LIMIT)
    assert table.is_usable("t1")

import datetime

import pytest

from chiveridge_kernel import clocks, slots, vms

NOW = clocks.EPOCH
LATER = NOW + slots.SETTLING_LIMIT


def target(name: str, slot_count: int = 2) -> vms.Vm:
    return vms.Vm(
        name=name,
        role=vms.VmRole.TARGET,
        domain="ikeja",
        address="127.0.0.1",
        port=1,
        slots=slot_count,
    )


@pytest.fixture
def ledger() -> slots.SlotLedger:
    settled = slots.SlotLedger()
    settled.own({"t1": target("t1"), "t2": target("t2")}, [], NOW)
    settled.settle(LATER)
    return settled


def test_lends_no_more_than_there_is(ledger):
    ledger.lend("e1", ["t1", "t1"], NOW)
    assert (ledger.free("t1"), ledger.free("t2")) == (0, 2)
    ledger.give_back("e1", "t1", NOW)
    assert ledger.free("t1") == 1


def test_a_slot_given_back_twice_counts_once(ledger):
    ledger.lend("e1", ["t1"], NOW)
    ledger.lend("e2", ["t1"], NOW)
    ledger.give_back("e1", "t1", NOW)
    ledger.give_back("e1", "t1", NOW)
    assert ledger.free("t1") == 1


def test_a_new_owner_lends_only_once_the_holders_have_reported():
    ledger = slots.SlotLedger()
    ledger.own({"t1": target("t1")}, ["e1", "e2"], NOW)
    ledger.report("e1", 0, {"t1": 1}, NOW)
    assert ledger.free("t1") == 0
    ledger.report("e2", 0, {}, NOW)
    assert ledger.free("t1") == 1


def test_a_new_owner_does_not_wait_for_silent_holders_for_ever():
    ledger = slots.SlotLedger()
    ledger.own({"t1": target("t1")}, ["e1"], NOW)
    assert not ledger.settle(LATER - datetime.timedelta(milliseconds=1))
    assert ledger.settle(LATER)
    assert ledger.free("t1") == 2


def test_a_report_corrects_lost_returns_but_keeps_grants_on_their_way(ledger):
    received = ledger.lend("e1", ["t1", "t2"], NOW)
    ledger.lend("e1", ["t2"], NOW)
    ledger.report("e1", received, {"t1": 1}, NOW)
    assert (ledger.free("t1"), ledger.free("t2")) == (1, 1)


def test_slots_of_a_silent_holder_are_taken_back(ledger):
    ledger.lend("e1", ["t1", "t1"], NOW)
    assert not ledger.expire(NOW + slots.HOLDER_SILENCE_LIMIT)
    assert ledger.expire(NOW + slots.HOLDER_SILENCE_LIMIT + datetime.timedelta(milliseconds=1))
    assert ledger.free("t1") == 2

import datetime

import pytest

from chiveridge_kernel import (
    actions,
    clocks,
    events,
    evidence,
    members,
    target_messages,
    targets,
    vms,
)

NOW = clocks.EPOCH
MINUTE_MS = 60_000


def vm(name: str, role: vms.VmRole, port: int = 1, domain: str = "ikeja") -> vms.Vm:
    return vms.Vm(name=name, role=role, domain=domain, address="127.0.0.1", port=port)


TARGET = vm("t1", vms.VmRole.TARGET)


@pytest.fixture
def target_table() -> targets.TargetTable:
    found = targets.TargetTable()
    found.replace(vms.VmList(1, [TARGET]))
    return found


def message(port: int = 1, lifetime_ms: int = MINUTE_MS) -> target_messages.TargetLeaving:
    return target_messages.TargetLeaving(
        target="t1", address="127.0.0.1", port=port, lifetime_ms=lifetime_ms
    )


def test_the_nodes_of_the_domain_are_told_once(target_table):
    table = members.MemberTable("own", "ikeja")
    entries = [vm("own", vms.VmRole.ENTRY), vm("a", vms.VmRole.ENTRY)]
    outside = vm("z", vms.VmRole.ENTRY, domain="lekki")
    table.replace(vms.VmList(1, [*entries, outside]), NOW)
    (told,) = evidence.tell_leaving(table, target_table, TARGET)
    assert (told.peer.name, told.message) == ("a", message())
    target_table.leaving("t1", NOW + datetime.timedelta(seconds=60))
    assert evidence.tell_leaving(table, target_table, TARGET) == []


@pytest.mark.promise("leaving_target")
def test_a_target_that_a_peer_found_leaving_gets_nothing(target_table):
    evidence.take_leaving(message(), target_table, NOW)
    assert not target_table.is_usable("t1")


def test_evidence_has_a_time_limit_whatever_the_peer_says(target_table):
    evidence.take_leaving(message(lifetime_ms=100 * MINUTE_MS), target_table, NOW)
    target_table.expire(NOW + targets.LEAVING_EVIDENCE_LIFETIME)
    assert target_table.is_usable("t1")


def test_evidence_is_about_one_vm_of_the_name(target_table):
    evidence.take_leaving(message(port=2), target_table, NOW)
    assert target_table.is_usable("t1")
    evidence.take_leaving(message(), target_table, NOW)
    target_table.replace(vms.VmList(2, [vm("t1", vms.VmRole.TARGET, port=2)]))
    assert target_table.is_usable("t1")


@pytest.mark.promise("leaving_target")
def test_a_refusal_as_leaving_is_told_and_the_peer_starts_nothing_there(drive):
    first, second = drive(target_count=1), drive(target_count=1)
    listed = [*first.targets_by_name.values(), vm("ikeja-e2", vms.VmRole.ENTRY)]
    for driven in (first, second):
        driven.list_targets(listed)
    first.submit()
    lease_id = first.starts()[0].lease_id
    first.report(lease_id, events.LeaseOutcome.NOT_STARTED, reason="leaving")
    told = [
        action.message
        for action in first.of(actions.SendToPeer)
        if isinstance(action.message, target_messages.TargetLeaving)
    ]
    assert len(told) == 1
    second.handle(events.PeerMessageReceived(message=told[0]))
    refusal = second.refusal_of(second.submit)
    assert "leaving" in refusal.message
    assert second.starts() == []

import datetime

import pytest

from chiveridge_kernel import (
    actions,
    clocks,
    events,
    leaving_evidence,
    members,
    target_messages,
    targets,
    vms,
)

NOW = clocks.EPOCH
MINUTE_MS = 60_000


def make_vm(name: str, role: vms.VmRole, port: int = 1, domain: str = "ikeja") -> vms.Vm:
    return vms.Vm(name=name, role=role, domain=domain, address="127.0.0.1", port=port)


TARGET = make_vm("t1", vms.VmRole.TARGET)


@pytest.fixture
def target_table() -> targets.TargetTable:
    table = targets.TargetTable()
    table.replace(vms.VmList(1, [TARGET]))
    return table


def make_message(port: int = 1, lifetime_ms: int = MINUTE_MS) -> target_messages.TargetLeaving:
    return target_messages.TargetLeaving(
        target="t1", address="127.0.0.1", port=port, lifetime_ms=lifetime_ms
    )


def test_a_leaving_target_is_announced_to_the_domain_once(target_table):
    table = members.MemberTable("own", "ikeja")
    entries = [make_vm("own", vms.VmRole.ENTRY), make_vm("a", vms.VmRole.ENTRY)]
    outside = make_vm("z", vms.VmRole.ENTRY, domain="lekki")
    table.apply_listing(vms.VmList(1, [*entries, outside]), NOW)
    (sent,) = leaving_evidence.make_leaving_messages(table, target_table, TARGET)
    assert (sent.peer.name, sent.message) == ("a", make_message())
    target_table.mark_leaving("t1", NOW + datetime.timedelta(seconds=60))
    assert leaving_evidence.make_leaving_messages(table, target_table, TARGET) == []


@pytest.mark.promise("leaving_target")
def test_a_target_that_a_peer_reports_as_leaving_gets_no_starts(target_table):
    leaving_evidence.handle_leaving(make_message(), target_table, NOW)
    assert not target_table.is_usable("t1")


def test_the_lifetime_of_leaving_evidence_is_capped(target_table):
    leaving_evidence.handle_leaving(make_message(lifetime_ms=100 * MINUTE_MS), target_table, NOW)
    target_table.expire(NOW + targets.LEAVING_REPORT_TTL)
    assert target_table.is_usable("t1")


def test_leaving_evidence_applies_to_one_vm_of_a_name(target_table):
    leaving_evidence.handle_leaving(make_message(port=2), target_table, NOW)
    assert target_table.is_usable("t1")
    leaving_evidence.handle_leaving(make_message(), target_table, NOW)
    target_table.replace(vms.VmList(2, [make_vm("t1", vms.VmRole.TARGET, port=2)]))
    assert target_table.is_usable("t1")


@pytest.mark.promise("leaving_target")
def test_a_refusal_as_leaving_is_announced_and_peers_start_nothing_there(drive):
    first, second = drive(target_count=1), drive(target_count=1)
    listed = [*first.targets_by_name.values(), make_vm("ikeja-e2", vms.VmRole.ENTRY)]
    for driven in (first, second):
        driven.list_targets(listed)
    first.submit()
    lease_id = first.starts()[0].lease_id
    first.report(lease_id, events.LeaseOutcome.NOT_STARTED, reason="leaving")
    sent = [
        action.message
        for action in first.of(actions.SendToPeer)
        if isinstance(action.message, target_messages.TargetLeaving)
    ]
    assert len(sent) == 1
    second.handle(events.PeerMessageReceived(message=sent[0]))
    refusal = second.refusal_of(second.submit)
    assert "leaving" in refusal.message
    assert second.starts() == []

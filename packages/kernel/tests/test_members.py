import datetime
import random

import pytest

from chiveridge_kernel import (
    actions,
    clocks,
    heartbeats,
    identifiers,
    member_states,
    members,
    peers,
    vms,
)

START = clocks.EPOCH
SECOND = datetime.timedelta(seconds=1)
TIMES = members.MemberTimeouts(suspect_after=3 * SECOND, dead_after=10 * SECOND)


def make_vm(name: str, domain: str = "ikeja", port: int = 7101) -> vms.Vm:
    return vms.Vm(
        name=name,
        role=vms.VmRole.ENTRY,
        domain=domain,
        address="127.0.0.1",
        port=1,
        peer_port=port,
    )


def make_table(*listed: vms.Vm) -> members.MemberTable:
    table = members.MemberTable(identifiers.NodeName("own"), identifiers.DomainName("ikeja"))
    table.apply_listing(vms.VmList(1, [make_vm("own"), *listed]), START)
    return table


def make_heartbeat(
    sender: str, incarnation: str = "b", sequence: int = 1, **fields
) -> peers.Heartbeat:
    return peers.Heartbeat(sender=sender, incarnation=incarnation, sequence=sequence, **fields)


def state_of(table: members.MemberTable, name: str) -> member_states.MemberState:
    return table.members_by_name[name].state


def test_a_silent_member_is_suspected_then_dead_then_live_again():
    table = make_table(make_vm("a"))
    table.record_heartbeat(make_heartbeat("a"), TIMES, START)
    assert state_of(table, "a") is member_states.MemberState.LIVE
    table.check_timeouts(TIMES, START + 4 * SECOND)
    assert state_of(table, "a") is member_states.MemberState.SUSPECT
    assert table.live_names() == ["own"]
    table.check_timeouts(TIMES, START + 11 * SECOND)
    assert state_of(table, "a") is member_states.MemberState.DEAD
    table.members_by_name["a"].last_sent_sequence = 5
    table.record_heartbeat(make_heartbeat("a", sequence=2, echo=5), TIMES, START + 12 * SECOND)
    assert table.live_names() == ["a", "own"]


def test_a_member_that_confirms_no_heartbeat_is_suspected():
    table = make_table(make_vm("a"))
    for second in range(5):
        table.record_heartbeat(
            make_heartbeat("a", sequence=second + 1), TIMES, START + second * SECOND
        )
        table.check_timeouts(TIMES, START + second * SECOND)
    assert state_of(table, "a") is member_states.MemberState.SUSPECT


def test_an_unreachable_member_is_live_again_once_it_confirms_a_later_heartbeat():
    table = make_table(make_vm("a"))
    table.record_heartbeat(make_heartbeat("a"), TIMES, START)
    table.members_by_name["a"].last_sent_sequence = 3
    table.mark_unreachable(make_vm("a"))
    assert table.live_names() == ["own"]
    table.members_by_name["a"].last_sent_sequence = 4
    table.record_heartbeat(make_heartbeat("a", sequence=2, echo=3), TIMES, START)
    assert table.live_names() == ["own"]
    table.record_heartbeat(make_heartbeat("a", sequence=3, echo=4), TIMES, START)
    assert table.live_names() == ["a", "own"]


def test_heartbeats_of_an_earlier_incarnation_are_ignored():
    table = make_table(make_vm("a"))
    table.record_heartbeat(make_heartbeat("a", "b", sequence=9), TIMES, START)
    assert table.record_heartbeat(make_heartbeat("a", "c", sequence=1), TIMES, START)
    assert not table.record_heartbeat(
        make_heartbeat("a", "b", sequence=10, leaving=True), TIMES, START
    )
    assert state_of(table, "a") is member_states.MemberState.LIVE
    assert table.was_replaced("a", "b")
    assert not table.was_replaced("a", "c")
    assert not table.was_replaced("a", "d")


def test_an_incarnation_that_sorts_lower_is_accepted_once_the_old_one_is_dead():
    table = make_table(make_vm("a"))
    table.record_heartbeat(make_heartbeat("a", "c"), TIMES, START)
    assert not table.record_heartbeat(make_heartbeat("a", "b"), TIMES, START + SECOND)
    assert table.record_heartbeat(make_heartbeat("a", "b"), TIMES, START + 11 * SECOND)
    assert table.was_replaced("a", "c")
    assert not table.was_replaced("a", "b")


def test_a_leaving_member_stays_leaving_until_it_is_replaced():
    table = make_table(make_vm("a"))
    table.record_heartbeat(make_heartbeat("a", sequence=2, leaving=True), TIMES, START)
    assert not table.record_heartbeat(make_heartbeat("a", sequence=1), TIMES, START)
    assert state_of(table, "a") is member_states.MemberState.LEAVING
    table.record_heartbeat(make_heartbeat("a", "c"), TIMES, START)
    assert state_of(table, "a") is member_states.MemberState.LIVE


def test_a_new_listed_address_puts_a_member_into_state_replaced():
    table = make_table(make_vm("a"))
    table.record_heartbeat(make_heartbeat("a"), TIMES, START)
    table.apply_listing(vms.VmList(2, [make_vm("a", port=7102)]), START + SECOND)
    assert state_of(table, "a") is member_states.MemberState.REPLACED
    assert table.live_names() == ["a", "own"]


@pytest.mark.parametrize("domain", ["ikeja", "lekki", None])
def test_version_grows_with_each_change_of_the_live_names(domain):
    table = make_table(make_vm("a"), make_vm("z", "lekki"))
    before = table.version, table.live_names(domain)
    table.mark_unreachable(make_vm("a"))
    table.mark_unreachable(make_vm("z", "lekki"))
    assert table.version > before[0]
    assert table.live_names(domain) != before[1]


def test_no_member_is_suspected_after_a_pause_of_this_node():
    table = make_table(make_vm("a"))
    beats = heartbeats.Heartbeats(
        heartbeats.HeartbeatSettings(), table, identifiers.Incarnation("o"), random.Random(1)
    )
    beats.update_interval(START)
    beats.tick(START)
    beats.receive(make_heartbeat("a"), START)
    beats.tick(START + 60 * SECOND)
    assert table.live_names() == ["a", "own"]


def test_slightly_late_ticks_do_not_count_as_a_pause():
    table = make_table(make_vm("a"))
    settings = heartbeats.HeartbeatSettings(interval=SECOND / 10, bytes_per_second=100_000)
    beats = heartbeats.Heartbeats(settings, table, identifiers.Incarnation("o"), random.Random(1))
    beats.update_interval(START)
    beats.receive(make_heartbeat("a"), START)
    for number in range(20):
        beats.tick(START + number * SECOND / 10 * 1.2)
    assert state_of(table, "a") is member_states.MemberState.DEAD


def test_heartbeats_stay_within_their_byte_budget_among_400_nodes():
    listed = [make_vm(f"ikeja-e{number}") for number in range(25)]
    listed += [make_vm(f"other-e{number}", "lekki") for number in range(375)]
    table = make_table(*listed)
    settings = heartbeats.HeartbeatSettings()
    beats = heartbeats.Heartbeats(
        settings, table, identifiers.Incarnation("0" * 20), random.Random(1)
    )
    beats.endpoint = peers.Endpoint("failure-domain-16", "255.255.255.255", 65_000, 65_000)
    beats.update_interval(START)
    sent = 0
    for step in range(600):
        actions_due = beats.tick(START + step * SECOND / 10)
        for action in [due for due in actions_due if isinstance(due, actions.SendToPeer)]:
            data = peers.encode(action.message)
            sent += len(data) + heartbeats.WIRE_BYTES_PER_MESSAGE
    assert 0 < sent / 60 < settings.bytes_per_second


def make_announcing_heartbeat(
    sender: str, port: int, incarnation: str = "b", **fields
) -> peers.Heartbeat:
    endpoint = peers.Endpoint("ikeja", "127.0.0.1", 1, port)
    return make_heartbeat(sender, incarnation, endpoint=endpoint, **fields)


def test_an_unlisted_node_is_reached_at_its_announced_address():
    table = make_table()
    table.record_heartbeat(make_announcing_heartbeat("a", port=7102), TIMES, START)
    assert table.find_vm("a") == make_vm("a", port=7102)
    assert table.live_names() == ["a", "own"]
    table.apply_listing(vms.VmList(2, [make_vm("own")]), START)
    assert table.find_vm("a") == make_vm("a", port=7102)
    table.apply_listing(vms.VmList(3, [make_vm("own"), make_vm("a", port=7102)]), START)
    assert table.live_names() == ["a", "own"]
    table.apply_listing(vms.VmList(4, [make_vm("own")]), START)
    assert table.find_vm("a") is None


def test_the_announced_address_is_tried_once_the_listed_one_fails():
    table = make_table(make_vm("a"))
    table.record_heartbeat(make_announcing_heartbeat("a", port=7102), TIMES, START)
    assert table.find_vm("a") == make_vm("a")
    table.mark_unreachable(make_vm("a"))
    assert table.find_vm("a") == make_vm("a", port=7102)
    assert table.live_names() == ["a", "own"]
    table.mark_unreachable(make_vm("a", port=7102))
    assert table.live_names() == ["own"]
    table.apply_listing(vms.VmList(2, [make_vm("own"), make_vm("a", port=7103)]), START)
    assert table.find_vm("a") == make_vm("a", port=7103)


def test_an_announced_address_is_dropped_once_the_listed_one_has_confirmed():
    table = make_table(make_vm("a"))
    table.members_by_name["a"].last_sent_sequence = 1
    table.record_heartbeat(make_announcing_heartbeat("a", port=7102, echo=1), TIMES, START)
    table.mark_unreachable(make_vm("a"))
    assert table.find_vm("a") == make_vm("a")
    assert table.live_names() == ["own"]


def test_an_unlisted_node_that_falls_silent_has_no_address():
    table = make_table()
    table.record_heartbeat(make_announcing_heartbeat("a", port=7102), TIMES, START)
    table.check_timeouts(TIMES, START + 11 * SECOND)
    assert state_of(table, "a") is member_states.MemberState.DEAD
    assert table.find_vm("a") is None


def test_heartbeats_carry_the_endpoint_until_one_is_confirmed():
    table = make_table(make_vm("a"))
    beats = heartbeats.Heartbeats(
        heartbeats.HeartbeatSettings(), table, identifiers.Incarnation("o"), random.Random(1)
    )
    beats.endpoint = peers.Endpoint("ikeja", "127.0.0.1", 1, 7100)
    beats.update_interval(START)
    (first,) = beats.tick(START)
    assert first.message.endpoint == beats.endpoint
    beats.receive(make_heartbeat("a", echo=1), START)
    (second,) = beats.tick(START + 2 * SECOND)
    assert second.message.endpoint is None
    (third,) = beats.receive(make_heartbeat("a", "c", reply_wanted=True), START + 2 * SECOND)
    assert third.message.endpoint == beats.endpoint

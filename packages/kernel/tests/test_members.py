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
TIMES = members.MemberTimes(suspect_after=3 * SECOND, dead_after=10 * SECOND)


def entry(name: str, domain: str = "ikeja", port: int = 7101) -> vms.Vm:
    return vms.Vm(
        name=name,
        role=vms.VmRole.ENTRY,
        domain=domain,
        address="127.0.0.1",
        port=1,
        peer_port=port,
    )


def table(*listed: vms.Vm) -> members.MemberTable:
    found = members.MemberTable(identifiers.NodeName("own"), identifiers.DomainName("ikeja"))
    found.replace(vms.VmList(1, [entry("own"), *listed]), START)
    return found


def heartbeat(sender: str, incarnation: str = "b", sequence: int = 1, **fields) -> peers.Heartbeat:
    return peers.Heartbeat(sender=sender, incarnation=incarnation, sequence=sequence, **fields)


def state_of(found: members.MemberTable, name: str) -> member_states.MemberState:
    return found.members_by_name[name].state


def test_a_silent_member_is_suspected_then_dead_then_live_again():
    found = table(entry("a"))
    found.heard(heartbeat("a"), TIMES, START)
    assert state_of(found, "a") is member_states.MemberState.LIVE
    found.expire(TIMES, START + 4 * SECOND)
    assert state_of(found, "a") is member_states.MemberState.SUSPECT
    assert found.live_names() == ["own"]
    found.expire(TIMES, START + 11 * SECOND)
    assert state_of(found, "a") is member_states.MemberState.DEAD
    found.members_by_name["a"].sent = 5
    found.heard(heartbeat("a", sequence=2, echo=5), TIMES, START + 12 * SECOND)
    assert found.live_names() == ["a", "own"]


def test_a_member_that_hears_nothing_from_here_is_suspected():
    found = table(entry("a"))
    for second in range(5):
        found.heard(heartbeat("a", sequence=second + 1), TIMES, START + second * SECOND)
        found.expire(TIMES, START + second * SECOND)
    assert state_of(found, "a") is member_states.MemberState.SUSPECT


def test_an_unreachable_member_counts_again_once_it_confirms_a_later_heartbeat():
    found = table(entry("a"))
    found.heard(heartbeat("a"), TIMES, START)
    found.members_by_name["a"].sent = 3
    found.unreachable(entry("a"))
    assert found.live_names() == ["own"]
    found.members_by_name["a"].sent = 4
    found.heard(heartbeat("a", sequence=2, echo=3), TIMES, START)
    assert found.live_names() == ["own"]
    found.heard(heartbeat("a", sequence=3, echo=4), TIMES, START)
    assert found.live_names() == ["a", "own"]


def test_a_later_incarnation_replaces_and_the_earlier_one_is_no_longer_heard():
    found = table(entry("a"))
    found.heard(heartbeat("a", "b", sequence=9), TIMES, START)
    assert found.heard(heartbeat("a", "c", sequence=1), TIMES, START)
    assert not found.heard(heartbeat("a", "b", sequence=10, leaving=True), TIMES, START)
    assert state_of(found, "a") is member_states.MemberState.LIVE
    assert found.was_replaced("a", "b")
    assert not found.was_replaced("a", "c")
    assert not found.was_replaced("a", "d")


def test_a_new_node_whose_clock_is_behind_is_taken_once_the_old_one_is_dead():
    found = table(entry("a"))
    found.heard(heartbeat("a", "c"), TIMES, START)
    assert not found.heard(heartbeat("a", "b"), TIMES, START + SECOND)
    assert found.heard(heartbeat("a", "b"), TIMES, START + 11 * SECOND)
    assert found.was_replaced("a", "c")
    assert not found.was_replaced("a", "b")


def test_a_leaving_member_stays_leaving_until_it_is_replaced():
    found = table(entry("a"))
    found.heard(heartbeat("a", sequence=2, leaving=True), TIMES, START)
    assert not found.heard(heartbeat("a", sequence=1), TIMES, START)
    assert state_of(found, "a") is member_states.MemberState.LEAVING
    found.heard(heartbeat("a", "c"), TIMES, START)
    assert state_of(found, "a") is member_states.MemberState.LIVE


def test_a_new_address_waits_for_the_node_there():
    found = table(entry("a"))
    found.heard(heartbeat("a"), TIMES, START)
    found.replace(vms.VmList(2, [entry("a", port=7102)]), START + SECOND)
    assert state_of(found, "a") is member_states.MemberState.REPLACED
    assert found.live_names() == ["a", "own"]


@pytest.mark.parametrize("domain", ["ikeja", "lekki", None])
def test_version_grows_with_each_change_of_the_live_names(domain):
    found = table(entry("a"), entry("z", "lekki"))
    before = found.version, found.live_names(domain)
    found.unreachable(entry("a"))
    found.unreachable(entry("z", "lekki"))
    assert found.version > before[0]
    assert found.live_names(domain) != before[1]


def test_a_node_that_did_not_run_blames_nobody_for_the_silence():
    found = table(entry("a"))
    beats = heartbeats.Heartbeats(
        heartbeats.HeartbeatSettings(), found, identifiers.Incarnation("o"), random.Random(1)
    )
    beats.listed(START)
    beats.tick(START)
    beats.receive(heartbeat("a"), START)
    beats.tick(START + 60 * SECOND)
    assert found.live_names() == ["a", "own"]


def test_ticks_that_come_a_little_late_forgive_no_silence():
    found = table(entry("a"))
    settings = heartbeats.HeartbeatSettings(interval=SECOND / 10, bytes_per_second=100_000)
    beats = heartbeats.Heartbeats(settings, found, identifiers.Incarnation("o"), random.Random(1))
    beats.listed(START)
    beats.receive(heartbeat("a"), START)
    for number in range(20):
        beats.tick(START + number * SECOND / 10 * 1.2)
    assert state_of(found, "a") is member_states.MemberState.DEAD


def test_heartbeats_keep_their_byte_budget_at_the_full_size():
    listed = [entry(f"ikeja-e{number}") for number in range(25)]
    listed += [entry(f"other-e{number}", "lekki") for number in range(375)]
    found = table(*listed)
    settings = heartbeats.HeartbeatSettings()
    beats = heartbeats.Heartbeats(
        settings, found, identifiers.Incarnation("0" * 20), random.Random(1)
    )
    beats.endpoint = peers.Endpoint("failure-domain-16", "255.255.255.255", 65_000, 65_000)
    beats.listed(START)
    sent = 0
    for step in range(600):
        actions_due = beats.tick(START + step * SECOND / 10)
        for action in [due for due in actions_due if isinstance(due, actions.SendToPeer)]:
            data = peers.encode(action.message)
            sent += len(data) + heartbeats.WIRE_BYTES_PER_MESSAGE
    assert 0 < sent / 60 < settings.bytes_per_second


def announcing(sender: str, port: int, incarnation: str = "b", **fields) -> peers.Heartbeat:
    endpoint = peers.Endpoint("ikeja", "127.0.0.1", 1, port)
    return heartbeat(sender, incarnation, endpoint=endpoint, **fields)


def test_a_node_that_is_not_listed_yet_is_reached_where_it_announced_itself():
    found = table()
    found.heard(announcing("a", port=7102), TIMES, START)
    assert found.find("a") == entry("a", port=7102)
    assert found.live_names() == ["a", "own"]
    found.replace(vms.VmList(2, [entry("own")]), START)
    assert found.find("a") == entry("a", port=7102)
    found.replace(vms.VmList(3, [entry("own"), entry("a", port=7102)]), START)
    assert found.live_names() == ["a", "own"]
    found.replace(vms.VmList(4, [entry("own")]), START)
    assert found.find("a") is None


def test_a_listed_address_goes_first_and_an_announced_one_once_that_fails():
    found = table(entry("a"))
    found.heard(announcing("a", port=7102), TIMES, START)
    assert found.find("a") == entry("a")
    found.unreachable(entry("a"))
    assert found.find("a") == entry("a", port=7102)
    assert found.live_names() == ["a", "own"]
    found.unreachable(entry("a", port=7102))
    assert found.live_names() == ["own"]
    found.replace(vms.VmList(2, [entry("own"), entry("a", port=7103)]), START)
    assert found.find("a") == entry("a", port=7103)


def test_an_announcement_counts_no_more_once_the_listed_address_has_answered():
    found = table(entry("a"))
    found.members_by_name["a"].sent = 1
    found.heard(announcing("a", port=7102, echo=1), TIMES, START)
    found.unreachable(entry("a"))
    assert found.find("a") == entry("a")
    assert found.live_names() == ["own"]


def test_an_announced_node_that_falls_silent_is_no_longer_reached():
    found = table()
    found.heard(announcing("a", port=7102), TIMES, START)
    found.expire(TIMES, START + 11 * SECOND)
    assert state_of(found, "a") is member_states.MemberState.DEAD
    assert found.find("a") is None


def test_a_node_tells_where_it_listens_until_that_is_confirmed():
    found = table(entry("a"))
    beats = heartbeats.Heartbeats(
        heartbeats.HeartbeatSettings(), found, identifiers.Incarnation("o"), random.Random(1)
    )
    beats.endpoint = peers.Endpoint("ikeja", "127.0.0.1", 1, 7100)
    beats.listed(START)
    (first,) = beats.tick(START)
    assert first.message.endpoint == beats.endpoint
    beats.receive(heartbeat("a", echo=1), START)
    (second,) = beats.tick(START + 2 * SECOND)
    assert second.message.endpoint is None
    (third,) = beats.receive(heartbeat("a", "c", reply_wanted=True), START + 2 * SECOND)
    assert third.message.endpoint == beats.endpoint

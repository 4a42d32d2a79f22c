import datetime
import random

import msgspec
import pytest

from chiveridge_kernel import (
    actions,
    catch_ups,
    clocks,
    events,
    kernel_parts,
    kernels,
    peers,
    records,
    snapshots,
    vms,
)

SECOND = datetime.timedelta(seconds=1)
SEED = catch_ups.seed_of("127.0.0.1", 7101)


def vm(name, role=vms.VmRole.ENTRY):
    return vms.Vm(name=name, role=role, domain="ikeja", address="127.0.0.1", port=1, peer_port=2)


LISTING = vms.VmList(1, [vm("e1"), vm("e2"), vm("t1", vms.VmRole.TARGET)])


def new_kernel(name):
    settings = kernel_parts.KernelSettings(
        node=name,
        domain="ikeja",
        incarnation=name,
        secret=b"secret",
        catch_up=catch_ups.CatchUpSettings(seeds=(SEED,)),
    )
    return kernels.Kernel(settings, random.Random(1))


def change(number):
    value = records.TeamObject(name=f"team-{number}", labels={"filler": "x" * number})
    write = records.ObjectWrite(kind=records.ObjectKind.TEAM, name=value.name, team=value)
    record = records.ChangeRecord(
        change_id=f"c{number}", actor="ada", changed_at="", writes=[write]
    )
    return msgspec.json.encode(record)


@pytest.fixture
def clock():
    return clocks.ManualClock()


def read(kernel, count, clock):
    start = kernel.configuration.offset
    pairs = [(start + i, change(start + i)) for i in range(count)]
    return kernel.handle(events.RecordsRead(records=pairs), clock.now())


def asks_after(kernel, clock, seconds):
    found = []
    for _ in range(seconds):
        clock.advance(SECOND)
        found += [
            action
            for action in kernel.handle(events.Ticked(), clock.now())
            if isinstance(action, actions.SendToPeer)
        ]
    return [action for action in found if isinstance(action.message, peers.ConfigurationAsk)]


def deliver(asker, answerer, ask, clock):
    """Let a peer answer; return the messages that the asker gets."""
    event = events.PeerMessageReceived(message=ask, route=b"way")
    messages = []
    for action in answerer.handle(event, clock.now()):
        if isinstance(action, actions.ReplyToPeer):
            messages.append(action.message)
        else:
            chunks = snapshots.encode(action.snapshot)
            messages += [peers.ConfigurationChunk(chunk=chunk) for chunk in chunks]
    for message in messages:
        decoded = peers.decode(peers.encode(message))
        asker.handle(events.PeerMessageReceived(message=decoded), clock.now())
    return messages


def test_a_node_that_boots_in_an_outage_takes_the_highest_offset_of_its_peers(clock):
    old, new, booting = new_kernel("e1"), new_kernel("e2"), new_kernel("e3")
    for kernel, count in ((old, 3), (new, 5)):
        kernel.handle(events.VmsListed(listing=LISTING), clock.now())
        read(kernel, count, clock)
    asks = asks_after(booting, clock, 3)
    assert {ask.peer for ask in asks} == {SEED}
    assert not booting.is_ready()
    ask = asks[0].message
    for answerer in (new, old, new):
        deliver(booting, answerer, ask, clock)
    assert booting.is_ready()
    assert booting.configuration.snapshot() == new.configuration.snapshot()
    assert set(booting.target_table.vms_by_name) == {"t1"}


def test_chunks_may_come_in_any_order_and_twice(clock, monkeypatch):
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 30)
    full, booting = new_kernel("e1"), new_kernel("e2")
    read(full, 5, clock)
    chunks = snapshots.encode(full.configuration.snapshot())
    for chunk in [*reversed(chunks), *chunks]:
        message = peers.ConfigurationChunk(chunk=chunk)
        booting.handle(events.PeerMessageReceived(message=message), clock.now())
    assert booting.configuration.offset == 5


def test_with_neither_log_nor_peer_it_keeps_asking_and_is_not_ready(clock):
    booting = new_kernel("e1")
    assert len(asks_after(booting, clock, 30)) >= 20
    assert not booting.is_ready()


def test_a_node_that_reads_the_log_and_the_list_does_not_ask(clock):
    kernel = new_kernel("e1")
    kernel.handle(events.VmsListed(listing=LISTING), clock.now())
    for _ in range(60):
        read(kernel, 0, clock)
        assert not asks_after(kernel, clock, 1)


def test_a_node_cut_off_from_the_log_asks_seldom_and_a_peer_behind_it_is_silent(clock):
    kernel, behind = new_kernel("e1"), new_kernel("e2")
    kernel.handle(events.VmsListed(listing=LISTING), clock.now())
    read(kernel, 2, clock)
    asks = asks_after(kernel, clock, 300)
    assert 1 <= len(asks) <= 20
    assert {ask.peer.name for ask in asks} == {"e2"}
    read(behind, 1, clock)
    assert deliver(kernel, behind, asks[0].message, clock) == []
    assert kernel.configuration.offset == 2


def test_a_later_state_of_a_peer_is_taken_and_the_log_goes_on_from_it(clock):
    kernel, ahead = new_kernel("e1"), new_kernel("e2")
    read(kernel, 2, clock)
    read(ahead, 6, clock)
    deliver(kernel, ahead, peers.ConfigurationAsk(offset=2), clock)
    assert kernel.follower.read_offset == 6
    read(kernel, 1, clock)
    assert len(kernel.configuration.teams_by_name) == 7


def test_a_listing_of_a_peer_never_replaces_one_that_was_read(clock):
    kernel = new_kernel("e1")
    kernel.handle(events.VmsListed(listing=LISTING), clock.now())
    other = peers.ListingReply(listing=vms.VmList(9, [vm("e9")]))
    kernel.handle(events.PeerMessageReceived(message=other), clock.now())
    assert kernel.members.find("e9") is None

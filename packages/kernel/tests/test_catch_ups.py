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
SEED = catch_ups.make_seed_vm("127.0.0.1", 7101)


def vm(name, role=vms.VmRole.ENTRY):
    return vms.Vm(name=name, role=role, domain="ikeja", address="127.0.0.1", port=1, peer_port=2)


LISTING = vms.VmList(1, [vm("e1"), vm("e2"), vm("t1", vms.VmRole.TARGET)])


def make_kernel(name):
    settings = kernel_parts.KernelSettings(
        node=name,
        domain="ikeja",
        incarnation=name,
        secret=b"secret",
        catch_up=catch_ups.CatchUpSettings(seeds=(SEED,)),
    )
    return kernels.Kernel(settings, random.Random(1))


def make_change(number):
    value = records.TeamObject(name=f"team-{number}", labels={"filler": "x" * number})
    write = records.ObjectWrite(kind=records.ObjectKind.TEAM, name=value.name, team=value)
    record = records.ChangeRecord(
        change_id=f"c{number}", actor="ada", changed_at="", writes=[write]
    )
    return msgspec.json.encode(record)


@pytest.fixture
def clock():
    return clocks.ManualClock()


def read_records(kernel, count, clock):
    start = kernel.configuration.offset
    pairs = [(start + i, make_change(start + i)) for i in range(count)]
    return kernel.handle(events.RecordsRead(records=pairs), clock.now())


def requests_after(kernel, clock, seconds):
    found = []
    for _ in range(seconds):
        clock.advance(SECOND)
        found += [
            action
            for action in kernel.handle(events.Ticked(), clock.now())
            if isinstance(action, actions.SendToPeer)
        ]
    return [action for action in found if isinstance(action.message, peers.ConfigurationAsk)]


def exchange(requester, responder, request, clock):
    """Let a peer answer a request and deliver its messages; return them."""
    event = events.PeerMessageReceived(message=request, route=b"way")
    messages = []
    for action in responder.handle(event, clock.now()):
        if isinstance(action, actions.ReplyToPeer):
            messages.append(action.message)
        else:
            chunks = snapshots.encode(action.snapshot)
            messages += [peers.ConfigurationChunk(chunk=chunk) for chunk in chunks]
    for message in messages:
        decoded = peers.decode(peers.encode(message))
        requester.handle(events.PeerMessageReceived(message=decoded), clock.now())
    return messages


def test_a_node_that_boots_in_an_outage_restores_the_newest_state_of_its_peers(clock):
    old, new, booting = make_kernel("e1"), make_kernel("e2"), make_kernel("e3")
    for kernel, count in ((old, 3), (new, 5)):
        kernel.handle(events.VmsListed(listing=LISTING), clock.now())
        read_records(kernel, count, clock)
    requests = requests_after(booting, clock, 3)
    assert {request.peer for request in requests} == {SEED}
    assert not booting.is_ready()
    request = requests[0].message
    for responder in (new, old, new):
        exchange(booting, responder, request, clock)
    assert booting.is_ready()
    assert booting.configuration.snapshot() == new.configuration.snapshot()
    assert set(booting.target_table.vms_by_name) == {"t1"}


def test_chunks_may_arrive_in_any_order_and_twice(clock, monkeypatch):
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 30)
    full, booting = make_kernel("e1"), make_kernel("e2")
    read_records(full, 5, clock)
    chunks = snapshots.encode(full.configuration.snapshot())
    for chunk in [*reversed(chunks), *chunks]:
        message = peers.ConfigurationChunk(chunk=chunk)
        booting.handle(events.PeerMessageReceived(message=message), clock.now())
    assert booting.configuration.offset == 5


def test_without_log_and_peers_a_node_keeps_requesting_and_is_not_ready(clock):
    booting = make_kernel("e1")
    assert len(requests_after(booting, clock, 30)) >= 20
    assert not booting.is_ready()


def test_a_node_that_reads_the_log_and_the_vm_list_sends_no_requests(clock):
    kernel = make_kernel("e1")
    kernel.handle(events.VmsListed(listing=LISTING), clock.now())
    for _ in range(60):
        read_records(kernel, 0, clock)
        assert not requests_after(kernel, clock, 1)


def test_without_the_log_a_node_requests_rarely_and_a_peer_behind_it_does_not_reply(clock):
    kernel, behind = make_kernel("e1"), make_kernel("e2")
    kernel.handle(events.VmsListed(listing=LISTING), clock.now())
    read_records(kernel, 2, clock)
    requests = requests_after(kernel, clock, 300)
    assert 1 <= len(requests) <= 20
    assert {request.peer.name for request in requests} == {"e2"}
    read_records(behind, 1, clock)
    assert exchange(kernel, behind, requests[0].message, clock) == []
    assert kernel.configuration.offset == 2


def test_a_newer_state_from_a_peer_is_restored_and_log_reading_resumes_after_it(clock):
    kernel, ahead = make_kernel("e1"), make_kernel("e2")
    read_records(kernel, 2, clock)
    read_records(ahead, 6, clock)
    exchange(kernel, ahead, peers.ConfigurationAsk(offset=2), clock)
    assert kernel.follower.read_offset == 6
    read_records(kernel, 1, clock)
    assert len(kernel.configuration.teams_by_name) == 7


def test_a_vm_list_from_a_peer_never_replaces_one_read_from_the_platform(clock):
    kernel = make_kernel("e1")
    kernel.handle(events.VmsListed(listing=LISTING), clock.now())
    other = peers.ListingReply(listing=vms.VmList(9, [vm("e9")]))
    kernel.handle(events.PeerMessageReceived(message=other), clock.now())
    assert kernel.members.find_vm("e9") is None

import datetime

import msgspec
import pytest

from chiveridge_kernel import clocks, member_states, members, peers, results, submission_ids, vms
from chiveridge_node import request_forwarders

TIMES = members.MemberTimeouts(
    suspect_after=datetime.timedelta(seconds=3), dead_after=datetime.timedelta(seconds=10)
)
ISSUER = vms.Vm(
    name="a", role=vms.VmRole.ENTRY, domain="ikeja", address="127.0.0.1", port=1, peer_port=2
)
REQUEST = peers.CallerRequest(
    arrived_at_ms=0,
    request_id=0,
    sender="own",
    operation=peers.Operation.SUBMIT,
    team="desk",
    submission_id="id",
    body=b"job",
    wait_ms=9000,
)
RUNNING = peers.CallerReply(request_id=1, code=results.ResultCode.ACCEPTED, body=b"")
COMPLETE = peers.CallerReply(request_id=1, code=results.ResultCode.COMPLETE, body=b"")


class Kernel(msgspec.Struct):
    members: members.MemberTable


class FakeRequestSender:
    """Fake request sender that records the requests and returns the given replies."""

    def __init__(self, replies: list):
        self.requests: list[peers.CallerRequest] = []
        self._replies = replies

    async def __call__(self, peer, request, timeout_ms):
        self.requests.append(request)
        return self._replies.pop(0)


@pytest.fixture
def table() -> members.MemberTable:
    member_table = members.MemberTable("own", "ikeja")
    member_table.apply_listing(vms.VmList(1, [ISSUER]), clocks.EPOCH)
    heartbeat = peers.Heartbeat(sender="a", incarnation="c", sequence=1)
    member_table.record_heartbeat(heartbeat, TIMES, clocks.EPOCH)
    return member_table


async def forward(table, incarnation: str, replies: list, expires_at_ms: int = 1000):
    forwarder = request_forwarders.Forwarder(Kernel(table), clocks.ManualClock())
    forwarder.send_request = FakeRequestSender(replies)
    issued = submission_ids.IssuedId("a", incarnation, expires_at_ms, 1, "mac")
    return await forwarder.forward(issued, REQUEST), forwarder.send_request.requests


@pytest.mark.promise("honest_refusal")
async def test_an_id_of_an_earlier_incarnation_is_gone_at_once(table):
    assert await forward(table, "b", []) == (request_forwarders.NoReplyReason.GONE, [])


@pytest.mark.promise("honest_refusal")
async def test_an_issuer_that_is_dead_or_not_listed_is_unreachable_at_once(table):
    table.members_by_name["a"].state = member_states.MemberState.DEAD
    assert await forward(table, "c", []) == (request_forwarders.NoReplyReason.UNREACHABLE, [])
    table.apply_listing(vms.VmList(2, []), clocks.EPOCH)
    assert await forward(table, "c", []) == (request_forwarders.NoReplyReason.UNREACHABLE, [])


async def test_a_silent_issuer_is_retried_a_bounded_number_of_times(table):
    reply, requests = await forward(table, "c", [None, None])
    assert reply is request_forwarders.NoReplyReason.UNREACHABLE
    assert [request.body for request in requests] == [
        b"job"
    ] * request_forwarders.MAX_UNANSWERED_ATTEMPTS


async def test_a_replacement_seen_while_waiting_ends_the_wait(table):
    class ReplacedIssuer(FakeRequestSender):
        async def __call__(self, peer, request, timeout_ms):
            heartbeat = peers.Heartbeat(sender="a", incarnation="d", sequence=1)
            table.record_heartbeat(heartbeat, TIMES, clocks.EPOCH)

    forwarder = request_forwarders.Forwarder(Kernel(table), clocks.ManualClock())
    forwarder.send_request = ReplacedIssuer([])
    issued = submission_ids.IssuedId("a", "c", 1000, 1, "mac")
    assert await forwarder.forward(issued, REQUEST) is request_forwarders.NoReplyReason.GONE


async def test_a_long_wait_is_split_into_short_polls_that_send_the_job_once(table):
    reply, requests = await forward(table, "c", [RUNNING, RUNNING, None, COMPLETE])
    assert reply is COMPLETE
    assert [request.body for request in requests] == [b"job", b"", b"", b""]
    assert max(request.wait_ms for request in requests) <= request_forwarders.MAX_POLL_MS
    assert requests[1].operation is peers.Operation.QUERY


async def test_a_wait_that_elapses_returns_the_state_of_the_running_job(table):
    reply, requests = await forward(table, "c", [RUNNING] * 10)
    assert reply is RUNNING
    assert sum(request.wait_ms for request in requests) == REQUEST.wait_ms


@pytest.mark.promise("honest_refusal")
def test_an_id_is_gone_only_at_a_later_incarnation():
    issued = submission_ids.IssuedId("a", "b", 1000, 1, "mac")
    assert request_forwarders.no_reply_reason(issued, "b") is None
    assert request_forwarders.no_reply_reason(issued, "c") is request_forwarders.NoReplyReason.GONE
    assert (
        request_forwarders.no_reply_reason(issued, "a")
        is request_forwarders.NoReplyReason.UNREACHABLE
    )


def remote_domain_table(*others: vms.Vm) -> members.MemberTable:
    member_table = members.MemberTable("own", "lekki")
    member_table.apply_listing(vms.VmList(1, [ISSUER, *others]), clocks.EPOCH)
    return member_table


async def ask_successor(table, replies: list):
    forwarder = request_forwarders.Forwarder(Kernel(table), clocks.ManualClock())
    forwarder.send_request = FakeRequestSender(replies)
    issued = submission_ids.IssuedId("a", "c", 1000, 1, "mac")
    return await forwarder.ask_successor(issued, REQUEST), forwarder.send_request.requests


@pytest.mark.promise("graceful_shutdown")
async def test_a_successor_in_the_domain_of_a_stopped_issuer_is_asked_once():
    neighbour = msgspec.structs.replace(ISSUER, name="b", port=3)
    table = remote_domain_table(neighbour)
    table.apply_listing(vms.VmList(2, [neighbour]), clocks.EPOCH)
    reply, requests = await ask_successor(table, [COMPLETE])
    assert reply == COMPLETE
    assert [request.wait_ms for request in requests] == [0]


async def test_no_peer_is_asked_when_the_issuer_was_alone_or_in_the_own_domain(table):
    assert await ask_successor(remote_domain_table(), []) == (None, [])
    table.apply_listing(
        vms.VmList(2, [ISSUER, msgspec.structs.replace(ISSUER, name="b")]), clocks.EPOCH
    )
    assert await ask_successor(table, []) == (None, [])


async def test_a_peer_without_a_handover_gives_no_reply():
    unknown = peers.CallerReply(
        request_id=1, code=results.ResultCode.ISSUER_UNREACHABLE, body=b"", refused=True
    )
    neighbour = msgspec.structs.replace(ISSUER, name="b", port=3)
    for reply in (unknown, None):
        assert (await ask_successor(remote_domain_table(neighbour), [reply]))[0] is None

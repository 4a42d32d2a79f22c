import asyncio
import contextlib
import types

import hypothesis
import hypothesis.strategies as st
import prometheus_client
import pytest
import zmq
import zmq.asyncio

from chiveridge_kernel import actions, events, peers, results, vms
from chiveridge_node import metrics, peers_zmq
from chiveridge_standins import fault_proxies

HOST = "127.0.0.1"
REQUEST = peers.CallerRequest(
    arrived_at_ms=0,
    request_id=0,
    sender="b",
    operation=peers.Operation.QUERY,
    team="desk",
    submission_id="id",
)


class FakeNode:
    """Has the parts of a node that the adapter uses; replies to every request."""

    def __init__(self, name: str):
        section = types.SimpleNamespace(name=name, address=HOST, peer_port=0)
        self.settings = types.SimpleNamespace(node=section)
        self.runner = self
        self.request_handler = self
        registry = prometheus_client.CollectorRegistry()
        self.metrics = types.SimpleNamespace(peers=metrics.PeerMetrics(registry))
        self.forwarder = types.SimpleNamespace(send_request=None)
        self.events: list[events.Event] = []
        self.changed = asyncio.Event()

    def set_performer(self, action_type, performer) -> None:
        pass

    def handle_and_log_errors(self, event: events.Event) -> None:
        self.events.append(event)
        self.changed.set()

    async def serve_forwarded(self, request: peers.CallerRequest) -> peers.CallerReply:
        code = results.ResultCode.COMPLETE
        return peers.CallerReply(request_id=request.request_id, code=code, body=b"whole")


@contextlib.asynccontextmanager
async def open_adapter(name: str):
    adapter = peers_zmq.ZmqPeers(FakeNode(name))
    await adapter.open()
    try:
        yield adapter
    finally:
        await adapter.close()


def make_vm(port: int) -> vms.Vm:
    return vms.Vm(
        name="a", role=vms.VmRole.ENTRY, domain="ikeja", address=HOST, port=1, peer_port=port
    )


@contextlib.asynccontextmanager
async def open_proxy(port: int):
    proxy = fault_proxies.FaultProxy(HOST, port)
    await proxy.start()
    try:
        yield proxy
    finally:
        await proxy.close()


async def wait_until(condition) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.promise("own_whole_answer")
async def test_a_connection_that_is_silent_for_good_is_replaced():
    async with (
        open_adapter("a") as server,
        open_adapter("b") as sender,
        open_proxy(server.port) as proxy,
    ):
        peer = make_vm(proxy.port)
        first = await sender.send_request(peer, REQUEST, 5000)
        proxy.blackhole()
        assert await sender.send_request(peer, REQUEST, 200) is None
        second = await sender.send_request(peer, REQUEST, 5000)
    assert first.body == second.body == b"whole"


async def test_a_refused_connection_ends_the_exchange_at_once_and_is_reported():
    async with (
        open_adapter("a") as server,
        open_adapter("b") as sender,
        open_proxy(server.port) as proxy,
    ):
        peer = make_vm(proxy.port)
        await sender.send_request(peer, REQUEST, 5000)
        proxy.hold_traffic()
        pending = asyncio.ensure_future(sender.send_request(peer, REQUEST, 600_000))
        await asyncio.sleep(0)
        proxy.disconnect()
        assert await asyncio.wait_for(pending, 10) is None
        assert sender._node.events == [events.PeerUnreachable(peer=peer)]


async def test_a_connection_to_a_peer_that_is_gone_is_closed():
    async with (
        open_adapter("a") as server,
        open_adapter("b") as sender,
        open_proxy(server.port) as proxy,
    ):
        await sender.send_request(make_vm(proxy.port), REQUEST, 5000)
        sender.disconnect(actions.DisconnectPeer(peer=make_vm(proxy.port)))
        await wait_until(lambda: proxy.counts.open == 0)
    assert proxy.counts.accepted == 1


async def test_a_message_for_a_new_connection_is_queued_until_it_opens():
    heartbeat = peers.Heartbeat(sender="b", incarnation="c", sequence=1)
    async with open_adapter("a") as server, open_adapter("b") as sender:
        sender.send(actions.SendToPeer(peer=make_vm(server.port), message=heartbeat))
        await asyncio.wait_for(server._node.changed.wait(), 10)
        (received,) = server._node.events
    assert received.message == heartbeat


def dropped_count(adapter: peers_zmq.ZmqPeers) -> float:
    samples = adapter._node.metrics.peers.messages_dropped.collect()[0].samples
    return sum(sample.value for sample in samples if sample.name.endswith("_total"))


async def send_frames(
    messages: list[list[bytes]],
) -> tuple[peers.CallerReply, peers.CallerReply, float]:
    """Return the reply to the sender, the reply to another peer, and the number of drops."""
    async with open_adapter("a") as server, open_adapter("b") as sender:
        context = zmq.asyncio.Context()
        socket = context.socket(zmq.DEALER)
        socket.connect(f"tcp://{HOST}:{server.port}")
        for frames in messages:
            await socket.send_multipart(frames)
        # Messages of one connection are read in order: a reply to this request shows that all of
        # the preceding ones were read.
        await socket.send(peers.encode(REQUEST))
        reply = peers.decode(await asyncio.wait_for(socket.recv(), 10))
        context.destroy(linger=0)
        peer_reply = await sender.send_request(make_vm(server.port), REQUEST, 5000)
        return reply, peer_reply, dropped_count(server)


@hypothesis.settings(derandomize=True, max_examples=15, deadline=None, database=None)
@hypothesis.given(
    st.lists(st.lists(st.binary(max_size=40), min_size=1, max_size=4), min_size=1, max_size=40)
)
def test_undecodable_messages_are_counted_and_leave_the_node_running(messages):
    reply, peer_reply, drop_counters = asyncio.run(send_frames(messages))
    assert isinstance(reply, peers.CallerReply)
    assert peer_reply.body == b"whole"
    assert drop_counters == len(messages)

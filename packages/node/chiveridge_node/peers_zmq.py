"""Sends messages between nodes over ZeroMQ: one ROUTER to receive, one DEALER for each peer."""

import asyncio
import itertools
import time

import msgspec
import zmq
import zmq.asyncio

from chiveridge_kernel import actions, events, peers, records, snapshots, vms
from chiveridge_node import (
    drop_counters,
    links_zmq,
    log_events,
    metrics,
    plugins,
    snapshot_encodings,
)

MAX_REQUESTS_IN_PROGRESS = 4096
LINK_IDLE_TIMEOUT_SECONDS = 30.0
IDLE_CHECK_INTERVAL_SECONDS = 5.0
CLOSE_TIMEOUT_SECONDS = 1.0
CLOSE_LINGER_MS = 500
REPLY_DRAIN_SECONDS = 0.5
"""Delay before the sockets close, in which peers read the last replies."""


class ZmqPeers:
    """Sends messages to peers and serves the caller requests that they forward."""

    def __init__(self, node):
        self._node = node
        self._metrics: metrics.PeerMetrics = node.metrics.peers
        self._context = zmq.asyncio.Context()
        self._router: zmq.asyncio.Socket | None = None
        self._chunks: list[records.SnapshotRecord] = []
        self._encoding_lock = asyncio.Lock()
        self._links_by_endpoint: dict[tuple[str, int], links_zmq.Link] = {}
        self._request_ids = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._drops = drop_counters.DropCounter(self._metrics.messages_dropped, time.monotonic)
        self._requests_in_progress = 0
        self._serving_tasks: set[asyncio.Task] = set()
        self.port = 0

    async def open(self) -> None:
        """Bind the peer port and start receiving."""
        section = self._node.settings.node
        self._router = links_zmq.make_socket(self._context, zmq.ROUTER)
        endpoint = f"tcp://{section.address}"
        if section.peer_port:
            self._router.bind(f"{endpoint}:{section.peer_port}")
            self.port = section.peer_port
        else:
            self.port = self._router.bind_to_random_port(endpoint)
        self._run_in_background(self._receive_messages())
        self._run_in_background(self._close_idle_links())
        self._node.request_handler.forwarder.send_request = self.send_request
        self._node.runner.set_performer(actions.SendToPeer, self.send)
        self._node.runner.set_performer(actions.ReplyToPeer, self._send_reply)
        self._node.runner.set_performer(actions.SendSnapshot, self._send_snapshot)
        self._node.runner.set_performer(actions.DisconnectPeer, self.disconnect)

    async def close(self) -> None:
        """Finish the replies in progress and close every socket."""
        if self._serving_tasks:
            await asyncio.wait(self._serving_tasks, timeout=CLOSE_TIMEOUT_SECONDS)
            # A peer that has not read a reply yet loses it when the connection closes.
            await asyncio.sleep(REPLY_DRAIN_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._links_by_endpoint.values():
            link.close()
        self._context.destroy(linger=CLOSE_LINGER_MS)

    async def send_request(
        self, peer: vms.Vm, request: peers.CallerRequest, timeout_ms: int
    ) -> peers.CallerReply | None:
        """Forward a caller's request to a peer; return its reply, or None if there is none.

        If nothing is received within the timeout, the connection is closed, as it may never
        deliver anything again.
        """
        link = self._get_or_open_link(peer)
        if len(link.replies_by_request) >= MAX_REQUESTS_IN_PROGRESS:
            return None
        sent_at = asyncio.get_running_loop().time()
        numbered = msgspec.structs.replace(request, request_id=next(self._request_ids))
        reply = asyncio.get_running_loop().create_future()
        link.replies_by_request[numbered.request_id] = reply
        try:
            if not link.send(self._encode(numbered)):
                self._report_unreachable(link)
                return None
            async with asyncio.timeout(timeout_ms / 1000):
                return await reply
        except TimeoutError:
            if link.last_received_at < sent_at:
                log_events.log_event(log_events.LogEvent.PEER_SILENT, peer=peer.name)
                self._close_link(link)
            return None
        finally:
            del link.replies_by_request[numbered.request_id]

    def send(self, action: actions.SendToPeer) -> None:
        """Send a message without blocking; drop it if the peer cannot be reached."""
        link = self._get_or_open_link(action.peer)
        if not link.send(self._encode(action.message)):
            self._report_unreachable(link)

    def _send_reply(self, action: actions.ReplyToPeer) -> None:
        """Send a message back over a route without blocking; drop it if the peer is gone."""
        parts = [action.route, self._encode(action.message)]
        sending = self._router.send_multipart(parts, zmq.NOBLOCK)
        sending.add_done_callback(_ignore_send_error)

    def _send_snapshot(self, action: actions.SendSnapshot) -> None:
        self._run_in_background(self._send_chunks(action.route, action.snapshot))

    async def _send_chunks(self, route: bytes, snapshot: snapshots.Snapshot) -> None:
        """Send a snapshot in chunks; they are cached until a snapshot of another offset is sent."""
        async with self._encoding_lock:
            if not self._chunks or self._chunks[0].base != snapshot.base:
                self._chunks = await snapshot_encodings.encode(snapshot)
        for chunk in list(self._chunks):
            data = self._encode(peers.ConfigurationChunk(chunk=chunk))
            await self._router.send_multipart([route, data])

    def disconnect(self, action: actions.DisconnectPeer) -> None:
        """Close the connection to a peer; the next message opens a new one."""
        link = self._links_by_endpoint.get(_endpoint(action.peer))
        if link is not None:
            self._close_link(link)

    def _get_or_open_link(self, peer: vms.Vm) -> links_zmq.Link:
        endpoint = _endpoint(peer)
        link = self._links_by_endpoint.get(endpoint)
        if link is None:
            link = links_zmq.Link(self._context, peer, self._receive_reply, self._on_unreachable)
            self._links_by_endpoint[endpoint] = link
        return link

    def _close_link(self, link: links_zmq.Link) -> None:
        if self._links_by_endpoint.get(_endpoint(link.peer)) is link:
            del self._links_by_endpoint[_endpoint(link.peer)]
            self._metrics.connections_closed.inc()
            link.close()

    def _on_unreachable(self, link: links_zmq.Link) -> None:
        log_events.log_event(log_events.LogEvent.PEER_UNREACHABLE, peer=link.peer.name)
        self._report_unreachable(link)

    def _report_unreachable(self, link: links_zmq.Link) -> None:
        link.fail_requests()
        self._node.runner.handle_and_log_errors(events.PeerUnreachable(peer=link.peer))

    async def _close_idle_links(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_SECONDS)
            cutoff = loop.time() - LINK_IDLE_TIMEOUT_SECONDS
            for link in list(self._links_by_endpoint.values()):
                if link.last_sent_at < cutoff and not link.replies_by_request:
                    self._close_link(link)

    async def _receive_messages(self) -> None:
        while True:
            identity, *frames = await self._router.recv_multipart()
            self._handle_message(identity, b"".join(frames))

    def _handle_message(self, identity: bytes, data: bytes) -> None:
        message = self._decode(data)
        if isinstance(message, peers.CallerRequest):
            task = self._run_in_background(self._serve(identity, message))
            self._serving_tasks.add(task)
            task.add_done_callback(self._serving_tasks.discard)
        elif message is not None:
            self._deliver_to_kernel(message, identity)

    def _receive_reply(self, link: links_zmq.Link, data: bytes) -> None:
        message = self._decode(data)
        if isinstance(message, peers.CallerReply):
            future = link.replies_by_request.get(message.request_id)
            if future is not None and not future.done():
                future.set_result(message)
        elif message is not None:
            self._deliver_to_kernel(message, b"")

    def _deliver_to_kernel(self, message: peers.PeerMessage, route: bytes) -> None:
        if isinstance(message, peers.CallerRequest | peers.CallerReply):
            text = f"{type(message).__name__} is not expected over this connection"
            self._drops.record(peers.PeerMessageError(peers.DropReason.UNEXPECTED, text))
            return
        self._node.runner.handle_and_log_errors(
            events.PeerMessageReceived(message=message, route=route)
        )

    async def _serve(self, identity: bytes, request: peers.CallerRequest) -> None:
        if self._requests_in_progress >= MAX_REQUESTS_IN_PROGRESS:
            return
        self._requests_in_progress += 1
        try:
            reply = await self._node.request_handler.serve_forwarded(request)
            await self._router.send_multipart([identity, self._encode(reply)])
        finally:
            self._requests_in_progress -= 1

    def _encode(self, message: peers.PeerMessage) -> bytes:
        data = peers.encode(message)
        self._metrics.bytes_sent.inc(len(data))
        self._metrics.messages_sent.inc()
        return data

    def _decode(self, data: bytes) -> peers.PeerMessage | None:
        self._metrics.bytes_received.inc(len(data))
        self._metrics.messages_received.inc()
        try:
            return peers.decode(data)
        except peers.PeerMessageError as error:
            self._drops.record(error)
            return None

    def _run_in_background(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _ignore_send_error(sending: asyncio.Future) -> None:
    """Retrieve the exception of a dropped message, which asyncio would log otherwise."""
    if not sending.cancelled():
        sending.exception()


def _endpoint(peer: vms.Vm) -> tuple[str, int]:
    return peer.address, peer.peer_port


def register() -> None:
    """Register the adapter under the name ``zmq``."""
    plugins.register_factory(plugins.AdapterKind.PEERS, "zmq", ZmqPeers)

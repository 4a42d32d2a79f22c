"""Messages between nodes over ZeroMQ: one ROUTER to receive, one DEALER for each peer."""

import asyncio
import itertools

import zmq
import zmq.asyncio

from chiveridge_kernel import actions, events, peers, records, snapshots, vms
from chiveridge_node import logevents, plugins

HIGH_WATER_MARK = 1000
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000


class ZmqPeers:
    """Forwards requests to peers and serves those that peers forward here."""

    def __init__(self, node):
        self._node = node
        self._context = zmq.asyncio.Context()
        self._router: zmq.asyncio.Socket | None = None
        self._dealers_by_endpoint: dict[str, zmq.asyncio.Socket] = {}
        self._replies_by_request: dict[int, asyncio.Future] = {}
        self._encoding = asyncio.Lock()
        self._chunks: list[records.SnapshotRecord] = []
        self._request_ids = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self.port = 0

    async def open(self) -> None:
        """Bind the port and begin to receive."""
        section = self._node.settings.node
        self._router = self._configured(zmq.ROUTER)
        endpoint = f"tcp://{section.address}"
        if section.peer_port:
            self._router.bind(f"{endpoint}:{section.peer_port}")
            self.port = section.peer_port
        else:
            self.port = self._router.bind_to_random_port(endpoint)
        self._in_background(self._receive_requests())
        self._node.requests.forward = self.forward
        self._node.shell.perform_with(actions.SendToPeer, self.send)
        self._node.shell.perform_with(actions.ReplyToPeer, self._reply)
        self._node.shell.perform_with(actions.SendSnapshot, self._send_snapshot)

    async def close(self) -> None:
        """Close every socket."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._context.destroy(linger=0)

    async def forward(self, peer: vms.Vm, *, timeout_ms: int, **fields) -> peers.CallerReply | None:
        """Send a caller's request to a peer; return its reply, or None when there is none."""
        request = peers.CallerRequest(
            request_id=next(self._request_ids), sender=self._node.settings.node.name, **fields
        )
        reply = asyncio.get_running_loop().create_future()
        self._replies_by_request[request.request_id] = reply
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._dealer(peer).send(peers.encode(request))
                return await reply
        except (TimeoutError, zmq.ZMQError) as error:
            logevents.write(logevents.LogEvent.PEER_UNREACHABLE, peer=peer.name, error=repr(error))
            return None
        finally:
            del self._replies_by_request[request.request_id]

    def send(self, action: actions.SendToPeer) -> None:
        """Send a message without waiting; it is dropped when the peer is not connected."""
        # The future of a send that would block is left to fail by itself.
        sending = self._dealer(action.peer).send(peers.encode(action.message), zmq.NOBLOCK)
        sending.add_done_callback(_ignore_dropped)

    def _reply(self, action: actions.ReplyToPeer) -> None:
        """Send a message back without waiting; it is dropped when the peer has gone."""
        parts = [action.route, peers.encode(action.message)]
        sending = self._router.send_multipart(parts, zmq.NOBLOCK)
        sending.add_done_callback(_ignore_dropped)

    def _send_snapshot(self, action: actions.SendSnapshot) -> None:
        self._in_background(self._send_chunks(action.route, action.snapshot))

    async def _send_chunks(self, route: bytes, snapshot: snapshots.Snapshot) -> None:
        """Send the chunks, encoded once for each offset."""
        async with self._encoding:
            if not self._chunks or self._chunks[0].base != snapshot.base:
                self._chunks = await asyncio.to_thread(snapshots.encode, snapshot)
            chunks = self._chunks
        for chunk in chunks:
            data = peers.encode(peers.ConfigurationChunk(chunk=chunk))
            await self._router.send_multipart([route, data])

    def _dealer(self, peer: vms.Vm) -> zmq.asyncio.Socket:
        endpoint = f"tcp://{peer.address}:{peer.peer_port}"
        dealer = self._dealers_by_endpoint.get(endpoint)
        if dealer is None:
            dealer = self._configured(zmq.DEALER)
            dealer.connect(endpoint)
            self._dealers_by_endpoint[endpoint] = dealer
            self._in_background(self._receive_replies(dealer))
        return dealer

    def _configured(self, kind: int) -> zmq.asyncio.Socket:
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = HIGH_WATER_MARK
        socket.rcvhwm = HIGH_WATER_MARK
        socket.maxmsgsize = peers.MAX_PEER_MESSAGE_BYTES
        socket.heartbeat_ivl = HEARTBEAT_INTERVAL_MS
        socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        # Nothing is queued for a peer that is not connected, so nothing arrives long after.
        socket.immediate = True
        return socket

    async def _receive_requests(self) -> None:
        while True:
            identity, data = await self._router.recv_multipart()
            message = self._decode(data)
            if isinstance(message, peers.CallerRequest):
                self._in_background(self._serve(identity, message))
            elif message is not None:
                event = events.PeerMessageReceived(message=message, route=identity)
                self._node.shell.handle_safely(event)

    async def _receive_replies(self, dealer: zmq.asyncio.Socket) -> None:
        while True:
            message = self._decode(await dealer.recv())
            if isinstance(message, peers.CallerReply):
                waiting = self._replies_by_request.get(message.request_id)
                if waiting is not None and not waiting.done():
                    waiting.set_result(message)
            elif message is not None:
                self._node.shell.handle_safely(events.PeerMessageReceived(message=message))

    async def _serve(self, identity: bytes, request: peers.CallerRequest) -> None:
        reply = await self._node.requests.serve_peer(request)
        await self._router.send_multipart([identity, peers.encode(reply)])

    def _decode(self, data: bytes) -> peers.PeerMessage | None:
        try:
            return peers.decode(data)
        except peers.PeerMessageError as error:
            logevents.write(logevents.LogEvent.PEER_MESSAGE_DROPPED, error=str(error))
            return None

    def _in_background(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _ignore_dropped(sending: asyncio.Future) -> None:
    if not sending.cancelled() and isinstance(sending.exception(), zmq.Again):
        return


def register() -> None:
    """Register the adapter under the name ``zmq``."""
    plugins.add(plugins.Kind.PEERS, "zmq", ZmqPeers)

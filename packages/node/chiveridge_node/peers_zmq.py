"""Messages between nodes over ZeroMQ: one ROUTER to receive, one DEALER for each peer."""

import asyncio
import itertools

import zmq
import zmq.asyncio

from chiveridge_kernel import actions, events, peers, vms
from chiveridge_node import logevents, plugins

HIGH_WATER_MARK = 1000
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
CLOSE_TIMEOUT_SECONDS = 1.0
CLOSE_LINGER_MS = 500


class ZmqPeers:
    """Forwards requests to peers and serves those that peers forward here."""

    def __init__(self, node):
        self._node = node
        self._context = zmq.asyncio.Context()
        self._router: zmq.asyncio.Socket | None = None
        self._dealers_by_endpoint: dict[str, zmq.asyncio.Socket] = {}
        self._replies_by_request: dict[int, asyncio.Future] = {}
        self._request_ids = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._servings: set[asyncio.Task] = set()
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

    async def close(self) -> None:
        """Finish the replies in progress and close every socket."""
        if self._servings:
            await asyncio.wait(self._servings, timeout=CLOSE_TIMEOUT_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._context.destroy(linger=CLOSE_LINGER_MS)

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
                serving = self._in_background(self._serve(identity, message))
                self._servings.add(serving)
                serving.add_done_callback(self._servings.discard)
            elif message is not None:
                self._node.shell.handle_safely(events.PeerMessageReceived(message=message))

    async def _receive_replies(self, dealer: zmq.asyncio.Socket) -> None:
        while True:
            message = self._decode(await dealer.recv())
            if isinstance(message, peers.CallerReply):
                waiting = self._replies_by_request.get(message.request_id)
                if waiting is not None and not waiting.done():
                    waiting.set_result(message)

    async def _serve(self, identity: bytes, request: peers.CallerRequest) -> None:
        reply = await self._node.requests.serve_peer(request)
        await self._router.send_multipart([identity, peers.encode(reply)])

    def _decode(self, data: bytes) -> peers.PeerMessage | None:
        try:
            return peers.decode(data)
        except peers.PeerMessageError as error:
            logevents.write(logevents.LogEvent.PEER_MESSAGE_DROPPED, error=str(error))
            return None

    def _in_background(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _ignore_dropped(sending: asyncio.Future) -> None:
    if not sending.cancelled() and isinstance(sending.exception(), zmq.Again):
        return


def register() -> None:
    """Register the adapter under the name ``zmq``."""
    plugins.add(plugins.Kind.PEERS, "zmq", ZmqPeers)

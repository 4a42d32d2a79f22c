"""A DEALER socket to one peer, with a short queue until the connection is open."""

import asyncio
import collections
from collections.abc import Callable

import msgspec
import zmq
import zmq.asyncio
import zmq.utils.monitor

from chiveridge_kernel import peers, vms

HIGH_WATER_MARK = 1000
CONNECT_TIMEOUT_SECONDS = 1.0
FLUSH_INTERVAL_SECONDS = 0.005
RECONNECT_MIN_MS = 200
RECONNECT_MAX_MS = 2000
MAX_MESSAGES_WHILE_CONNECTING = 64

_EVENTS = zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED | zmq.EVENT_CONNECT_RETRIED


class _QueuedMessage(msgspec.Struct, frozen=True):
    data: bytes
    queued_at: float


class Link:
    """Sends to one peer and receives its replies.

    Messages are queued while the connection opens, for at most ``CONNECT_TIMEOUT_SECONDS``, so
    that no message arrives long after it was sent. ``on_message`` is called with each message
    received, ``on_unreachable`` when the connection is lost or refused.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        peer: vms.Vm,
        on_message: Callable[["Link", bytes], None],
        on_unreachable: Callable[["Link"], None],
    ):
        self.peer = peer
        self.replies_by_request: dict[int, asyncio.Future[peers.CallerReply | None]] = {}
        self.last_sent_at = _loop_time()
        self.last_received_at = _loop_time()
        self._on_message = on_message
        self._on_unreachable = on_unreachable
        self._opened_at = _loop_time()
        self._is_connected = False
        self._is_unreachable = False
        self._flush_timer: asyncio.TimerHandle | None = None
        self._queue: collections.deque[_QueuedMessage] = collections.deque()
        self._socket = make_socket(context, zmq.DEALER)
        self._monitor = self._socket.get_monitor_socket(_EVENTS)
        self._socket.connect(f"tcp://{peer.address}:{peer.peer_port}")
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._receive()),
            loop.create_task(self._watch_connection()),
        ]

    def send(self, data: bytes) -> bool:
        """Send a message, or queue it until the connection is open; return False if dropped."""
        self.last_sent_at = _loop_time()
        if not self._queue and self._send_now(data):
            return True
        if not self._may_queue():
            return False
        self._queue.append(_QueuedMessage(data, _loop_time()))
        if self._is_connected:
            self._flush_soon()
        return True

    def close(self) -> None:
        """Close the connection, and resolve pending requests with None."""
        for task in self._tasks:
            task.cancel()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self._socket.disable_monitor()
        self._monitor.close(linger=0)
        self._socket.close(linger=0)
        self.fail_requests()

    def fail_requests(self) -> None:
        """Resolve pending requests with None, as no reply will arrive."""
        for reply in self.replies_by_request.values():
            if not reply.done():
                reply.set_result(None)

    def _may_queue(self) -> bool:
        age = _loop_time() - self._opened_at
        has_room = len(self._queue) < MAX_MESSAGES_WHILE_CONNECTING
        return has_room and not self._is_unreachable and age < CONNECT_TIMEOUT_SECONDS

    def _send_now(self, data: bytes) -> bool:
        return self._socket.send(data, zmq.NOBLOCK).exception() is None

    async def _receive(self) -> None:
        while True:
            data = await self._socket.recv()
            self.last_received_at = _loop_time()
            self._on_message(self, data)

    async def _watch_connection(self) -> None:
        while True:
            parts = await self._monitor.recv_multipart()
            self._handle_monitor_event(zmq.utils.monitor.parse_monitor_message(parts)["event"])

    def _handle_monitor_event(self, event: int) -> None:
        if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
            self._is_connected = True
            self._is_unreachable = False
            self._opened_at = _loop_time()
            self._flush()
            return
        self._queue.clear()
        self._is_connected = False
        if not self._is_unreachable:
            self._is_unreachable = True
            self._on_unreachable(self)

    def _flush(self) -> None:
        cutoff = _loop_time() - CONNECT_TIMEOUT_SECONDS
        while self._queue:
            message = self._queue[0]
            if message.queued_at >= cutoff and not self._send_now(message.data):
                self._flush_soon()
                return
            self._queue.popleft()

    def _flush_soon(self) -> None:
        # A send may still fail for up to a millisecond after the connection has opened.
        if self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_later(
                FLUSH_INTERVAL_SECONDS, self._on_flush_timer
            )

    def _on_flush_timer(self) -> None:
        self._flush_timer = None
        self._flush()


def make_socket(context: zmq.asyncio.Context, socket_type: int) -> zmq.asyncio.Socket:
    """Create a socket with the limits and timeouts of the peer protocol."""
    socket = context.socket(socket_type)
    socket.linger = 0
    socket.sndhwm = HIGH_WATER_MARK
    socket.rcvhwm = HIGH_WATER_MARK
    socket.maxmsgsize = peers.MAX_PEER_MESSAGE_BYTES
    socket.reconnect_ivl = RECONNECT_MIN_MS
    socket.reconnect_ivl_max = RECONNECT_MAX_MS
    # Queue no messages for a peer that is not connected; they would arrive long after sending.
    socket.immediate = True
    return socket


def _loop_time() -> float:
    return asyncio.get_running_loop().time()

"""One DEALER socket to a peer, with what is known of its connection."""

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


class _Held(msgspec.Struct, frozen=True):
    data: bytes
    held_at: float


class Link:
    """Sends to one peer and receives its replies.

    Nothing is held for a peer longer than a connection may take to open, so that nothing
    arrives long after it was sent. ``on_message`` is told each message that arrives and
    ``on_lost`` that the peer cannot be reached.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        peer: vms.Vm,
        on_message: Callable[["Link", bytes], None],
        on_lost: Callable[["Link"], None],
    ):
        self.peer = peer
        self.replies_by_request: dict[int, asyncio.Future[peers.CallerReply | None]] = {}
        self.used_at = _loop_time()
        self.heard_at = _loop_time()
        self._on_message = on_message
        self._on_lost = on_lost
        self._opened_at = _loop_time()
        self._is_up = False
        self._is_refused = False
        self._flushing: asyncio.TimerHandle | None = None
        self._held: collections.deque[_Held] = collections.deque()
        self._socket = configured(context, zmq.DEALER)
        self._monitor = self._socket.get_monitor_socket(_EVENTS)
        self._socket.connect(f"tcp://{peer.address}:{peer.peer_port}")
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._receive()), loop.create_task(self._watch())]

    def send(self, data: bytes) -> bool:
        """Send, or hold until the connection is open; tell whether either could be done."""
        self.used_at = _loop_time()
        if not self._held and self._send_now(data):
            return True
        if not self._may_hold():
            return False
        self._held.append(_Held(data, _loop_time()))
        if self._is_up:
            self._flush_soon()
        return True

    def close(self) -> None:
        """Close the connection; requests without a reply get none."""
        for task in self._tasks:
            task.cancel()
        if self._flushing is not None:
            self._flushing.cancel()
        self._socket.disable_monitor()
        self._monitor.close(linger=0)
        self._socket.close(linger=0)
        self.give_up_requests()

    def give_up_requests(self) -> None:
        """End the wait for every reply."""
        for reply in self.replies_by_request.values():
            if not reply.done():
                reply.set_result(None)

    def _may_hold(self) -> bool:
        age = _loop_time() - self._opened_at
        room = len(self._held) < MAX_MESSAGES_WHILE_CONNECTING
        return room and not self._is_refused and age < CONNECT_TIMEOUT_SECONDS

    def _send_now(self, data: bytes) -> bool:
        return self._socket.send(data, zmq.NOBLOCK).exception() is None

    async def _receive(self) -> None:
        while True:
            data = await self._socket.recv()
            self.heard_at = _loop_time()
            self._on_message(self, data)

    async def _watch(self) -> None:
        while True:
            parts = await self._monitor.recv_multipart()
            self._take(zmq.utils.monitor.parse_monitor_message(parts)["event"])

    def _take(self, event: int) -> None:
        if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
            self._is_up = True
            self._is_refused = False
            self._opened_at = _loop_time()
            self._flush()
            return
        self._held.clear()
        self._is_up = False
        if not self._is_refused:
            self._is_refused = True
            self._on_lost(self)

    def _flush(self) -> None:
        oldest = _loop_time() - CONNECT_TIMEOUT_SECONDS
        while self._held:
            held = self._held[0]
            if held.held_at >= oldest and not self._send_now(held.data):
                self._flush_soon()
                return
            self._held.popleft()

    def _flush_soon(self) -> None:
        # A socket notices a connection that has opened up to a millisecond late.
        if self._flushing is None:
            self._flushing = asyncio.get_running_loop().call_later(
                FLUSH_INTERVAL_SECONDS, self._flush_now
            )

    def _flush_now(self) -> None:
        self._flushing = None
        self._flush()


def configured(context: zmq.asyncio.Context, kind: int) -> zmq.asyncio.Socket:
    """Return a socket of a kind with the limits of this protocol."""
    socket = context.socket(kind)
    socket.linger = 0
    socket.sndhwm = HIGH_WATER_MARK
    socket.rcvhwm = HIGH_WATER_MARK
    socket.maxmsgsize = peers.MAX_PEER_MESSAGE_BYTES
    socket.reconnect_ivl = RECONNECT_MIN_MS
    socket.reconnect_ivl_max = RECONNECT_MAX_MS
    # Nothing is queued for a peer that is not connected, so nothing arrives long after.
    socket.immediate = True
    return socket


def _loop_time() -> float:
    return asyncio.get_running_loop().time()

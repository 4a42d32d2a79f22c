"""Sends messages between pool nodes over ZeroMQ: one ROUTER to receive, one DEALER per peer."""

import asyncio
import time

import zmq

from chiveridge_node import log_events, pool_kernel_runners
from chiveridge_pool import actions, events, identifiers, messages

HIGH_WATER_MARK = 10_000
PING_INTERVAL_MS = 250
PING_TIMEOUT_MS = 750
"""Silence after which ZeroMQ reconnects; close to the time after which a node counts as dead."""

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
IDLE_TIMEOUT_SECONDS = 30.0
READ_INTERVAL_SECONDS = 0.02
"""Interval of reads without a wake-up; wake-ups are edge-triggered and one may be missed."""

CLOSE_LINGER_MS = 200
_READABLE = int(zmq.POLLIN)


class PoolLinks:
    """Sends messages to peers without blocking, and delivers received messages to the kernel."""

    def __init__(self, runner: pool_kernel_runners.PoolKernelRunner, address: str, port: int):
        self._runner = runner
        self._address = address
        self._port = port
        self._context = zmq.Context()
        self._router: zmq.Socket | None = None
        self._dealers_by_endpoint: dict[identifiers.Endpoint, zmq.Socket] = {}
        self._last_used_at: dict[identifiers.Endpoint, float] = {}
        self._read_timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def open(self) -> None:
        """Bind the port and start receiving."""
        self._router = _make_socket(self._context, zmq.ROUTER)
        self._router.bind(f"tcp://{self._address}:{self._port}")
        loop = asyncio.get_running_loop()
        loop.add_reader(self._router.fileno(), self._read_available)
        self._runner.set_performer(actions.SendMessage, self.send)
        self._runner.set_performer(actions.Reconnect, self.reconnect)
        self._read_periodically()

    def close(self) -> None:
        """Close every socket, with a short linger for the last messages."""
        if self._read_timer is not None:
            self._read_timer.cancel()
        asyncio.get_running_loop().remove_reader(self._router.fileno())
        self._context.destroy(linger=CLOSE_LINGER_MS)

    def send(self, action: actions.SendMessage) -> None:
        """Send a message; count it as dropped if the peer is not connected or its queue is full."""
        dealer = self._dealers_by_endpoint.get(action.endpoint)
        if dealer is None:
            dealer = self._connect(action.endpoint)
        self._last_used_at[action.endpoint] = time.monotonic()
        try:
            dealer.send(messages.encode(action.message), zmq.NOBLOCK)
        except zmq.Again:
            self.dropped += 1

    def reconnect(self, action: actions.Reconnect) -> None:
        """Replace a connection at once, without the reconnect delay of a refused one."""
        dealer = self._dealers_by_endpoint.pop(action.endpoint, None)
        if dealer is not None:
            dealer.close(linger=0)
        self._connect(action.endpoint)

    def _connect(self, endpoint: identifiers.Endpoint) -> zmq.Socket:
        dealer = _make_socket(self._context, zmq.DEALER)
        dealer.connect(f"tcp://{endpoint}")
        self._dealers_by_endpoint[endpoint] = dealer
        self._last_used_at[endpoint] = time.monotonic()
        return dealer

    def _read_periodically(self) -> None:
        """Read messages whose edge-triggered wake-up was missed; close idle connections."""
        self._read_available()
        self._read_timer = asyncio.get_running_loop().call_later(
            READ_INTERVAL_SECONDS, self._read_periodically
        )
        cutoff = time.monotonic() - IDLE_TIMEOUT_SECONDS
        for endpoint in [key for key, used_at in self._last_used_at.items() if used_at < cutoff]:
            del self._last_used_at[endpoint]
            self._dealers_by_endpoint.pop(endpoint).close(linger=0)

    def _read_available(self) -> None:
        # Checking first is cheaper than the exception that a read of an empty socket raises.
        while self._router.get(zmq.EVENTS) & _READABLE:
            self._deliver_to_kernel(self._router.recv_multipart(zmq.NOBLOCK)[-1])

    def _deliver_to_kernel(self, data: bytes) -> None:
        try:
            message = messages.decode(data)
        except messages.MessageError as error:
            log_events.log_event(log_events.LogEvent.PEER_MESSAGE_DROPPED, error=str(error))
            return
        self._runner.handle(events.MessageReceived(message=message))


def _make_socket(context: zmq.Context, socket_type: int) -> zmq.Socket:
    """Create a socket with the limits and timeouts of the pool protocol."""
    socket = context.socket(socket_type)
    socket.linger = 0
    socket.sndhwm = HIGH_WATER_MARK
    socket.rcvhwm = HIGH_WATER_MARK
    socket.maxmsgsize = messages.MAX_MESSAGE_BYTES
    socket.heartbeat_ivl = PING_INTERVAL_MS
    socket.heartbeat_timeout = PING_TIMEOUT_MS
    socket.connect_timeout = PING_TIMEOUT_MS
    socket.reconnect_ivl = RECONNECT_MIN_MS
    socket.reconnect_ivl_max = RECONNECT_MAX_MS
    # Queue no messages for a peer that is not connected; they would arrive long after sending.
    socket.immediate = True
    return socket

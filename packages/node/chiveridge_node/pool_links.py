"""Sends messages between pool nodes over ZeroMQ: one ROUTER to receive, one DEALER per peer."""

import asyncio
import collections
import time

import zmq

from chiveridge_node import log_events, pool_kernel_runners
from chiveridge_pool import actions, events, identifiers, messages

HIGH_WATER_MARK = 10_000
ACKNOWLEDGED_WITHIN_MS = 750
"""Time without a TCP acknowledgement after which a connection is closed, and opened again."""

MAX_QUEUED_MESSAGES = 32
QUEUED_SECONDS = 0.15
"""Limits of the messages kept for a peer while its connection opens.

Older ones are dropped, so that no message arrives long after it was sent.
"""

MAX_LOGGED_ENDPOINTS = 100
"""Limits the endpoints of which it is remembered that they were logged as unusable."""

FLUSH_INTERVAL_SECONDS = 0.003

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
IDLE_TIMEOUT_SECONDS = 30.0
READ_INTERVAL_SECONDS = 0.1
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
        self._queue_by_endpoint: dict[identifiers.Endpoint, collections.deque] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        self._read_timer: asyncio.TimerHandle | None = None
        self._idle_check_at = 0.0
        self._refused_endpoints: set[identifiers.Endpoint] = set()
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
        for timer in (self._read_timer, self._flush_timer):
            if timer is not None:
                timer.cancel()
        if self._router is not None:
            asyncio.get_running_loop().remove_reader(self._router.fileno())
        self._context.destroy(linger=CLOSE_LINGER_MS)

    def send(self, action: actions.SendMessage) -> None:
        """Send a message, or queue it for a short time while the connection opens."""
        endpoint = action.endpoint
        dealer = self._dealers_by_endpoint.get(endpoint)
        try:
            if dealer is None:
                dealer = self._connect(endpoint)
            data = messages.encode(action.message)
        except Exception as error:
            # An address or a value that the library does not take.
            self._drop(endpoint, error)
            return
        now = time.monotonic()
        self._last_used_at[endpoint] = now
        if endpoint in self._queue_by_endpoint:
            self._enqueue(endpoint, data, now)
            return
        try:
            dealer.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self._enqueue(endpoint, data, now)

    def _drop(self, endpoint: identifiers.Endpoint, error: Exception) -> None:
        """Count a message that cannot be sent, and log the first one to each endpoint."""
        self.dropped += 1
        if endpoint in self._refused_endpoints:
            return
        if len(self._refused_endpoints) < MAX_LOGGED_ENDPOINTS:
            self._refused_endpoints.add(endpoint)
            log_events.log_event(
                log_events.LogEvent.PEER_MESSAGE_DROPPED,
                endpoint=endpoint,
                error=f"{type(error).__name__}: {error}",
            )

    def _enqueue(self, endpoint: identifiers.Endpoint, data: bytes, now: float) -> None:
        """Queue a message for a peer that is not connected yet; drop it if the queue is full."""
        queue = self._queue_by_endpoint.setdefault(endpoint, collections.deque())
        if len(queue) >= MAX_QUEUED_MESSAGES:
            self.dropped += 1
            return
        queue.append((now + QUEUED_SECONDS, data))
        if self._flush_timer is None:
            self._flush_later()

    def _flush_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._flush_timer = loop.call_later(FLUSH_INTERVAL_SECONDS, self._flush_queues)

    def _flush_queues(self) -> None:
        """Send the queued messages of peers that are connected now; drop the expired ones."""
        self._flush_timer = None
        now = time.monotonic()
        for endpoint, queue in list(self._queue_by_endpoint.items()):
            self._flush_queue(self._dealers_by_endpoint[endpoint], queue, now)
            if not queue:
                del self._queue_by_endpoint[endpoint]
        if self._queue_by_endpoint:
            self._flush_later()

    def _flush_queue(self, dealer: zmq.Socket, queue: collections.deque, now: float) -> None:
        while queue:
            expires_at, data = queue[0]
            if now >= expires_at:
                self.dropped += 1
            else:
                try:
                    dealer.send(data, zmq.NOBLOCK)
                except zmq.Again:
                    return
            queue.popleft()

    def reconnect(self, action: actions.Reconnect) -> None:
        """Replace a connection at once, without the reconnect delay of a refused one."""
        self._close_connection(action.endpoint)
        self._connect(action.endpoint)

    def _close_connection(self, endpoint: identifiers.Endpoint) -> None:
        dealer = self._dealers_by_endpoint.pop(endpoint, None)
        if dealer is not None:
            dealer.close(linger=0)

    def _connect(self, endpoint: identifiers.Endpoint) -> zmq.Socket:
        dealer = _make_socket(self._context, zmq.DEALER)
        try:
            dealer.connect(f"tcp://{endpoint}")
        except zmq.ZMQError:
            dealer.close(linger=0)
            raise
        self._dealers_by_endpoint[endpoint] = dealer
        self._last_used_at[endpoint] = time.monotonic()
        return dealer

    def _read_periodically(self) -> None:
        """Read messages whose edge-triggered wake-up was missed; close idle connections."""
        self._read_available()
        self._read_timer = asyncio.get_running_loop().call_later(
            READ_INTERVAL_SECONDS, self._read_periodically
        )
        now = time.monotonic()
        if now >= self._idle_check_at:
            self._idle_check_at = now + IDLE_TIMEOUT_SECONDS / 2
            self._close_idle(now - IDLE_TIMEOUT_SECONDS)

    def _close_idle(self, cutoff: float) -> None:
        """Close the connections that were last used before a time."""
        for endpoint in [key for key, used_at in self._last_used_at.items() if used_at < cutoff]:
            del self._last_used_at[endpoint]
            self._queue_by_endpoint.pop(endpoint, None)
            self._close_connection(endpoint)

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
    # The heartbeats of the pool notice a silent connection, so that ZeroMQ needs none of its own.
    socket.tcp_maxrt = ACKNOWLEDGED_WITHIN_MS
    socket.connect_timeout = ACKNOWLEDGED_WITHIN_MS
    socket.reconnect_ivl = RECONNECT_MIN_MS
    socket.reconnect_ivl_max = RECONNECT_MAX_MS
    # Queue no messages for a peer that is not connected; they would arrive long after sending.
    socket.immediate = True
    return socket

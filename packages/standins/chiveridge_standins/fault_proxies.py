"""TCP proxy that injects faults and runs on the event loop of a test."""

import asyncio
import datetime
import socket
import struct

import msgspec

from chiveridge_standins import servers

CHUNK_BYTES = 65_536
MAX_CHUNKS_IN_FLIGHT = 64
# Value of SO_LINGER with which closing a socket sends a TCP reset.
ZERO_LINGER = struct.pack("ii", 1, 0)


class ConnectionCounts(msgspec.Struct):
    """Counts of a proxy since its start.

    ``open`` is the current number of connections. The bytes are those of both directions.
    """

    accepted: int = 0
    open: int = 0
    cut: int = 0
    dropped_requests: int = 0
    dropped_replies: int = 0
    received_bytes: int = 0
    passed_bytes: int = 0


class FaultProxy:
    """Forwards TCP connections to one upstream address and injects the faults set on it."""

    def __init__(self, upstream_host: str, upstream_port: int):
        self.port = 0
        self.delay = datetime.timedelta()
        self.counts = ConnectionCounts()
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.requests_thawed = asyncio.Event()
        self.requests_thawed.set()
        self.replies_thawed = asyncio.Event()
        self.replies_thawed.set()
        self._upstream_host = upstream_host
        self._upstream_port = upstream_port
        self._replies_to_drop = 0
        self._requests_to_drop = 0
        self._connections: set[_ProxiedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server | None = None
        self._reserved_socket: socket.socket | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._reserved_socket = servers.bind_loopback_socket(0)
        self.port = self._reserved_socket.getsockname()[1]
        await self.reconnect()

    async def close(self) -> None:
        """Close the listener and every connection."""
        self.disconnect()
        if self._reserved_socket is not None:
            self._reserved_socket.close()
            self._reserved_socket = None
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def disconnect(self) -> None:
        """Reset every connection and refuse new ones."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
            self._reserved_socket = servers.bind_loopback_socket(self.port)
        for connection in list(self._connections):
            self._cut_connection(connection)

    async def reconnect(self) -> None:
        """Accept connections again after :meth:`disconnect`."""
        if self._reserved_socket is None:
            return
        reserved_socket, self._reserved_socket = self._reserved_socket, None
        self._listener = await asyncio.start_server(
            self._handle_client, sock=reserved_socket, limit=CHUNK_BYTES, backlog=servers.BACKLOG
        )

    def hold_traffic(self) -> None:
        """Hold all bytes in both directions until :meth:`release_traffic`."""
        self.thawed.clear()

    def release_traffic(self) -> None:
        """Forward the bytes held since :meth:`hold_traffic` and all later ones."""
        self.thawed.set()

    def hold_requests(self) -> None:
        """Hold the bytes towards the upstream address until :meth:`release_one_way`."""
        self.requests_thawed.clear()

    def hold_replies(self) -> None:
        """Hold the bytes from the upstream address until :meth:`release_one_way`."""
        self.replies_thawed.clear()

    def release_one_way(self) -> None:
        """Forward what :meth:`hold_requests` and :meth:`hold_replies` held, and all later bytes."""
        self.requests_thawed.set()
        self.replies_thawed.set()

    def redirect(self, upstream_port: int) -> None:
        """Forward new connections to another port of the upstream host."""
        self._upstream_port = upstream_port

    def blackhole(self) -> None:
        """Discard all further bytes on the connections open now; new connections work."""
        for connection in self._connections:
            connection.is_silent = True

    def drop_next_requests(self, count: int) -> None:
        """Reset each of the next ``count`` connections when its first request byte arrives."""
        self._requests_to_drop = count

    def drop_next_replies(self, count: int) -> None:
        """Reset the connection of each of the next ``count`` replies at its first byte."""
        self._replies_to_drop = count

    def cut_if_request_dropped(self, connection: "_ProxiedConnection") -> bool:
        """Reset ``connection`` if its request is to be dropped; return whether it was reset."""
        if not connection.is_request_dropped:
            return False
        self.counts.dropped_requests += 1
        self._cut_connection(connection)
        return True

    def cut_if_reply_dropped(self, connection: "_ProxiedConnection") -> bool:
        """Reset ``connection`` if its reply is to be dropped; return whether it was reset."""
        if self._replies_to_drop <= 0:
            return False
        self._replies_to_drop -= 1
        self.counts.dropped_replies += 1
        self._cut_connection(connection)
        return True

    async def _handle_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._listener is None:
            # The connection was accepted in the event-loop iteration of the disconnect.
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        self.counts.accepted += 1
        self.counts.open += 1
        connection = _ProxiedConnection(
            self, reader, writer, is_request_dropped=self._requests_to_drop > 0
        )
        self._requests_to_drop = max(self._requests_to_drop - 1, 0)
        self._connections.add(connection)
        try:
            await connection.run(self._upstream_host, self._upstream_port)
        except OSError:
            connection.abort()
        except asyncio.CancelledError:
            connection.abort()
        finally:
            self.counts.open -= 1
            self._connections.discard(connection)
            self._tasks.discard(task)

    def _cut_connection(self, connection: "_ProxiedConnection") -> None:
        if not connection.is_aborted:
            self.counts.cut += 1
            connection.abort()


class _ProxiedConnection:
    """A client connection and the matching upstream connection."""

    def __init__(
        self,
        proxy: FaultProxy,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request_dropped: bool,
    ):
        self.is_silent = False
        self.is_request_dropped = is_request_dropped
        self.is_aborted = False
        self._proxy = proxy
        self._client_reader = reader
        self._client_writer = writer
        self._upstream_writer: asyncio.StreamWriter | None = None

    async def run(self, host: str, port: int) -> None:
        """Connect upstream and forward bytes both ways until both ends are closed."""
        upstream_reader, self._upstream_writer = await asyncio.open_connection(
            host, port, limit=CHUNK_BYTES
        )
        if self.is_aborted:
            self._upstream_writer.transport.abort()
            return
        async with asyncio.TaskGroup() as group:
            group.create_task(self._forward(self._client_reader, self._upstream_writer, False))
            group.create_task(self._forward(upstream_reader, self._client_writer, True))
        self._client_writer.close()
        self._upstream_writer.close()

    def abort(self) -> None:
        """Reset both connections."""
        self.is_aborted = True
        for writer in (self._client_writer, self._upstream_writer):
            if writer is not None:
                _reset(writer)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_reply: bool
    ) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_CHUNKS_IN_FLIGHT)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_chunks(reader, chunks))
            group.create_task(self._write_chunks(writer, chunks, is_reply))

    async def _read_chunks(
        self, reader: asyncio.StreamReader, chunks: asyncio.Queue[tuple[float, bytes]]
    ) -> None:
        loop = asyncio.get_running_loop()
        chunk = b"first"
        while chunk:
            chunk = await self._read_chunk(reader)
            self._proxy.counts.received_bytes += len(chunk)
            await chunks.put((loop.time() + self._proxy.delay.total_seconds(), chunk))

    async def _read_chunk(self, reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.read(CHUNK_BYTES)
        except OSError:
            if not self.is_silent:
                self.abort()
            return b""

    async def _write_chunks(
        self,
        writer: asyncio.StreamWriter,
        chunks: asyncio.Queue[tuple[float, bytes]],
        is_reply: bool,
    ) -> None:
        while True:
            due_at, chunk = await chunks.get()
            await self._wait_until_due(due_at, is_reply)
            if not chunk:
                self._write_eof(writer)
                return
            if self.is_silent or self.is_aborted:
                continue
            if not is_reply and self._proxy.cut_if_request_dropped(self):
                continue
            if is_reply and self._proxy.cut_if_reply_dropped(self):
                continue
            await self._write_chunk(writer, chunk)

    async def _wait_until_due(self, due_at: float, is_reply: bool) -> None:
        remaining = due_at - asyncio.get_running_loop().time()
        if remaining > 0:
            await asyncio.sleep(remaining)
        await self._proxy.thawed.wait()
        one_way = self._proxy.replies_thawed if is_reply else self._proxy.requests_thawed
        await one_way.wait()

    async def _write_chunk(self, writer: asyncio.StreamWriter, chunk: bytes) -> None:
        self._proxy.counts.passed_bytes += len(chunk)
        try:
            writer.write(chunk)
            await writer.drain()
        except OSError:
            if not self.is_silent:
                self.abort()

    def _write_eof(self, writer: asyncio.StreamWriter) -> None:
        if self.is_silent or writer.is_closing():
            return
        try:
            writer.write_eof()
        except OSError:
            self.abort()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    writer.transport.abort()

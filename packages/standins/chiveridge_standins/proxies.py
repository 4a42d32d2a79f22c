"""TCP proxy that injects faults, for use on the event loop of a test."""

import asyncio
import datetime
import socket
import struct

import msgspec

from chiveridge_standins import servers

CHUNK_BYTES = 65_536
MAX_CHUNKS_IN_FLIGHT = 64
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class ConnectionCounts(msgspec.Struct):
    """Connections of a proxy since its start, how many are open now, and bytes."""

    accepted: int = 0
    open: int = 0
    cut: int = 0
    dropped_requests: int = 0
    dropped_replies: int = 0
    received_bytes: int = 0
    passed_bytes: int = 0


class FaultProxy:
    """Passes TCP connections on to one target until a fault is set."""

    def __init__(self, target_host: str, target_port: int):
        self.port = 0
        self.delay = datetime.timedelta()
        self.counts = ConnectionCounts()
        self.flowing = asyncio.Event()
        self.flowing.set()
        self._target_host = target_host
        self._target_port = target_port
        self._replies_to_drop = 0
        self._requests_to_drop = 0
        self._links: set[_Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server | None = None
        self._reserved: socket.socket | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._reserved = servers.bound_socket(0)
        self.port = self._reserved.getsockname()[1]
        await self.heal()

    async def close(self) -> None:
        """Close the listener and every connection."""
        self.cut()
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Reset every connection and refuse new ones."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
            self._reserved = servers.bound_socket(self.port)
        for link in list(self._links):
            self._cut_link(link)

    async def heal(self) -> None:
        """Accept connections again after :meth:`cut`."""
        if self._reserved is None:
            return
        reserved, self._reserved = self._reserved, None
        self._listener = await asyncio.start_server(
            self._serve, sock=reserved, limit=CHUNK_BYTES, backlog=servers.BACKLOG
        )

    def freeze(self) -> None:
        """Hold every byte both ways until :meth:`thaw`."""
        self.flowing.clear()

    def thaw(self) -> None:
        """Pass on what was held and what follows."""
        self.flowing.set()

    def go_silent(self) -> None:
        """Pass no byte more on the connections open now; new connections work."""
        for link in self._links:
            link.silent = True

    def drop_requests(self, count: int) -> None:
        """Cut each of the next ``count`` connections when the first byte of its request comes."""
        self._requests_to_drop = count

    def drop_replies(self, count: int) -> None:
        """Cut a connection when the first byte of its next reply comes, ``count`` times."""
        self._replies_to_drop = count

    def take_dropped_request(self, link: "_Link") -> bool:
        """Cut ``link`` in place of passing its request on; return whether that was done."""
        if not link.drops_request:
            return False
        self.counts.dropped_requests += 1
        self._cut_link(link)
        return True

    def take_dropped_reply(self, link: "_Link") -> bool:
        """Cut ``link`` in place of passing its reply on; return whether that was done."""
        if self._replies_to_drop <= 0:
            return False
        self._replies_to_drop -= 1
        self.counts.dropped_replies += 1
        self._cut_link(link)
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._listener is None:
            # It was accepted in the turn of the loop in which the proxy was cut.
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        self.counts.accepted += 1
        self.counts.open += 1
        link = _Link(self, reader, writer, drops_request=self._requests_to_drop > 0)
        self._requests_to_drop = max(self._requests_to_drop - 1, 0)
        self._links.add(link)
        try:
            await link.run(self._target_host, self._target_port)
        except OSError:
            link.abort()
        except asyncio.CancelledError:
            link.abort()
        finally:
            self.counts.open -= 1
            self._links.discard(link)
            self._tasks.discard(task)

    def _cut_link(self, link: "_Link") -> None:
        if not link.aborted:
            self.counts.cut += 1
            link.abort()


class _Link:
    """One connection of a client and the connection to the target that goes with it."""

    def __init__(
        self,
        proxy: FaultProxy,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        drops_request: bool,
    ):
        self.silent = False
        self.drops_request = drops_request
        self.aborted = False
        self._proxy = proxy
        self._client_reader = reader
        self._client_writer = writer
        self._target_writer: asyncio.StreamWriter | None = None

    async def run(self, host: str, port: int) -> None:
        """Connect to the target and pass bytes both ways until both ends are closed."""
        target_reader, self._target_writer = await asyncio.open_connection(
            host, port, limit=CHUNK_BYTES
        )
        if self.aborted:
            self._target_writer.transport.abort()
            return
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pass(self._client_reader, self._target_writer, False))
            group.create_task(self._pass(target_reader, self._client_writer, True))
        self._client_writer.close()
        self._target_writer.close()

    def abort(self) -> None:
        """Reset both connections."""
        self.aborted = True
        for writer in (self._client_writer, self._target_writer):
            if writer is not None:
                _reset(writer)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_reply: bool
    ) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_CHUNKS_IN_FLIGHT)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read(reader, chunks))
            group.create_task(self._write(writer, chunks, is_reply))

    async def _read(
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
            if not self.silent:
                self.abort()
            return b""

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        chunks: asyncio.Queue[tuple[float, bytes]],
        is_reply: bool,
    ) -> None:
        while True:
            due, chunk = await chunks.get()
            await self._wait_until(due)
            if not chunk:
                self._finish(writer)
                return
            if self.silent or self.aborted:
                continue
            if not is_reply and self._proxy.take_dropped_request(self):
                continue
            if is_reply and self._proxy.take_dropped_reply(self):
                continue
            await self._write_chunk(writer, chunk)

    async def _wait_until(self, due: float) -> None:
        remaining = due - asyncio.get_running_loop().time()
        if remaining > 0:
            await asyncio.sleep(remaining)
        await self._proxy.flowing.wait()

    async def _write_chunk(self, writer: asyncio.StreamWriter, chunk: bytes) -> None:
        self._proxy.counts.passed_bytes += len(chunk)
        try:
            writer.write(chunk)
            await writer.drain()
        except OSError:
            if not self.silent:
                self.abort()

    def _finish(self, writer: asyncio.StreamWriter) -> None:
        if self.silent or writer.is_closing():
            return
        try:
            writer.write_eof()
        except OSError:
            self.abort()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    writer.transport.abort()

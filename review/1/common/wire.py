"""A small HTTP/1.1 server on a loopback address, which a test can abort like a killed process."""

import asyncio
import json
import socket
import urllib.parse

REASONS = {200: "OK", 204: "No Content"}


class Request:
    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))
        self.headers = headers
        self.body = body

    def json(self) -> dict:
        return json.loads(self.body)


class Reply:
    def __init__(self, status: int, body: object = b""):
        self.status = status
        self.body = body if isinstance(body, bytes) else json.dumps(body).encode()


class Server:
    """Calls ``handler(request)`` for each request; None as its result sends no reply."""

    def __init__(self, handler, host: str = "127.0.0.1"):
        self._handler = handler
        self.host = host
        self.port = free_port(host)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )

    def abort(self) -> None:
        """Close the port and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                reply = await self._handler(request)
                if reply is None:
                    await asyncio.sleep(3600)
                reason = REASONS.get(reply.status, "Status")
                writer.write(
                    f"HTTP/1.1 {reply.status} {reason}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(reply.body)}\r\n\r\n".encode() + reply.body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]

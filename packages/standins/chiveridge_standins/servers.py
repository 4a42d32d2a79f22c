"""Serves falcon applications with uvicorn on the loopback address."""

import asyncio
import functools
import signal
import socket
from collections.abc import Callable

import falcon.asgi
import msgspec
import uvicorn
from uvicorn.protocols.http import httptools_impl

LOOPBACK = "127.0.0.1"
BACKLOG = 2048
KEEP_ALIVE_S = 3600
SHUTDOWN_GRACE_S = 1
UNLIMITED_CONNECTIONS = 1_000_000

ConnectionLimit = Callable[[], int]


class Listening(msgspec.Struct, tag="listening", tag_field="event"):
    """Announcement that a process with one port prints once it listens."""

    port: int


class AppServer:
    """One falcon application on ``port`` of the loopback address; port 0 picks a free one."""

    def __init__(
        self,
        app: falcon.asgi.App,
        port: int = 0,
        connection_limit: ConnectionLimit = lambda: UNLIMITED_CONNECTIONS,
    ):
        self._socket = bind_loopback_socket(port)
        self._socket.listen(BACKLOG)
        self.port: int = self._socket.getsockname()[1]
        self._server = _UvicornServer(_uvicorn_config(app, connection_limit))
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Accept connections."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))

    def refuse_connections(self) -> None:
        """Close the port and abort all connections; requests in progress go on without a reply."""
        for server in self._server.servers:
            server.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()

    async def accept_connections(self) -> None:
        """Open the port again."""
        reopened = bind_loopback_socket(self.port)
        reopened.listen(BACKLOG)
        await self._server.startup(sockets=[reopened])

    async def stop(self) -> None:
        """Stop accepting, give open requests :data:`SHUTDOWN_GRACE_S` to end, and close."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task


def bind_loopback_socket(port: int) -> socket.socket:
    """Return a socket bound to ``port``, which refuses connections until it listens.

    The protocol is given because asyncio sets TCP_NODELAY only on sockets created with it.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((LOOPBACK, port))
    bound.setblocking(False)
    return bound


def abort_connection(req: falcon.asgi.Request) -> None:
    """Abort the connection of a request, so that no reply is sent."""
    req.scope["state"]["transport"].abort()


async def serve_until_signal(app_servers: list[AppServer], announcement: msgspec.Struct) -> None:
    """Serve until SIGTERM or SIGINT; print ``announcement`` as one JSON line once listening."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    for app_server in app_servers:
        await app_server.start()
    print(msgspec.json.encode(announcement).decode(), flush=True)
    await stop_requested.wait()
    await asyncio.gather(*(app_server.stop() for app_server in app_servers))


class _UvicornServer(uvicorn.Server):
    """Server that leaves signals to :func:`serve_until_signal`.

    A graceful stop then exits with code 0.
    """

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        await self._serve(sockets)


class _LimitedHttpProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP/1.1 connection that is aborted on accept when the limit is exceeded."""

    def __init__(self, *args, connection_limit: ConnectionLimit, **kwargs):
        super().__init__(*args, **kwargs)
        self._connection_limit = connection_limit

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        if len(self.connections) > self._connection_limit():
            transport.abort()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope["state"]["transport"] = self.transport


def _uvicorn_config(app: falcon.asgi.App, connection_limit: ConnectionLimit) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        http=functools.partial(_LimitedHttpProtocol, connection_limit=connection_limit),
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        log_level="warning",
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=SHUTDOWN_GRACE_S,
    )

"""Serves callers over HTTP with falcon on uvicorn."""

import asyncio
import contextlib
import socket

import uvicorn

from chiveridge_node import caller_resources, plugins

LISTEN_BACKLOG = 2048
GRACEFUL_EXIT_SECONDS = 60
STALL_SECONDS = 20.0
"""Time without progress after which a stopping node waits for no caller.

A caller's reads show only once the systems' buffers, of several megabytes, have room again.
"""

STALL_CHECK_SECONDS = 0.1


class _Server(uvicorn.Server):
    """Leaves signals to the node."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpCallers:
    """The callers' port."""

    def __init__(self, node):
        self._node = node
        self.port = 0
        self._server: _Server | None = None
        self._task: asyncio.Task | None = None

    async def open(self) -> None:
        """Bind the port and begin to serve."""
        section = self._node.settings.node
        listener = _listener(section.address, section.caller_port)
        self.port = listener.getsockname()[1]
        config = uvicorn.Config(
            caller_resources.new_app(self._node),
            http="httptools",
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            timeout_graceful_shutdown=GRACEFUL_EXIT_SECONDS,
        )
        self._server = _Server(config)
        serving = self._server.serve(sockets=[listener])
        self._task = asyncio.get_running_loop().create_task(serving)

    async def close(self) -> None:
        """Finish the replies in progress and close the port."""
        self._server.should_exit = True
        watching = asyncio.get_running_loop().create_task(self._watch_stalls())
        await self._task
        watching.cancel()

    async def _watch_stalls(self) -> None:
        """Wait for callers no longer once none of them reads."""
        loop = asyncio.get_running_loop()
        unread, moved_at = self._unread_bytes(), loop.time()
        while loop.time() - moved_at < STALL_SECONDS:
            await asyncio.sleep(STALL_CHECK_SECONDS)
            before, unread = unread, self._unread_bytes()
            if unread != before:
                moved_at = loop.time()
        self._server.force_exit = True

    def _unread_bytes(self) -> int:
        connections = self._server.server_state.connections
        return sum(connection.transport.get_write_buffer_size() for connection in connections)


def _listener(address: str, port: int) -> socket.socket:
    """Return a listening socket; asyncio sets TCP_NODELAY only where the protocol is named."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def register() -> None:
    """Register the adapter under the name ``http``."""
    plugins.add(plugins.Kind.CALLERS, "http", HttpCallers)

"""HTTP server for callers: falcon on uvicorn."""

import asyncio

import uvicorn

from chiveridge_node import caller_resources, listeners, plugins

LISTEN_BACKLOG = 2048
GRACEFUL_SHUTDOWN_TIMEOUT_SECONDS = 60
STALL_TIMEOUT_SECONDS = 20.0
"""Time without progress after which a stopping node drops the callers that are still connected.

The socket buffers of both hosts hold several megabytes, and a caller's reads become visible here
only once these buffers have room again.
"""

STALL_CHECK_INTERVAL_SECONDS = 0.1


class HttpCallerServer:
    """Serves the callers' HTTP port of a node."""

    def __init__(self, node):
        self._node = node
        self.port = 0
        self._server: listeners.SignalFreeServer | None = None
        self._task: asyncio.Task | None = None

    async def open(self) -> None:
        """Bind the port and start serving."""
        section = self._node.settings.node
        listener = listeners.open_listening_socket(
            section.address, section.caller_port, LISTEN_BACKLOG
        )
        self.port = listener.getsockname()[1]
        config = uvicorn.Config(
            caller_resources.new_app(self._node),
            http="httptools",
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_TIMEOUT_SECONDS,
        )
        self._server = listeners.SignalFreeServer(config)
        serving = self._server.serve(sockets=[listener])
        self._task = asyncio.get_running_loop().create_task(serving)

    async def close(self) -> None:
        """Finish the replies in progress and close the port."""
        self._server.request_exit()
        watchdog = asyncio.get_running_loop().create_task(self._force_exit_when_stalled())
        await self._task
        watchdog.cancel()

    async def _force_exit_when_stalled(self) -> None:
        """Force the server to exit once no caller has read from its connection for a while."""
        loop = asyncio.get_running_loop()
        unsent, progress_at = self._unsent_bytes(), loop.time()
        while loop.time() - progress_at < STALL_TIMEOUT_SECONDS:
            await asyncio.sleep(STALL_CHECK_INTERVAL_SECONDS)
            self._close_idle_connections()
            previous, unsent = unsent, self._unsent_bytes()
            if unsent != previous:
                progress_at = loop.time()
        self._server.force_exit = True

    def _close_idle_connections(self) -> None:
        """Close idle connections; uvicorn misses one that is accepted while the port closes."""
        for connection in list(self._server.server_state.connections):
            connection.shutdown()

    def _unsent_bytes(self) -> int:
        connections = self._server.server_state.connections
        return sum(connection.transport.get_write_buffer_size() for connection in connections)


def register() -> None:
    """Register the adapter under the name ``http``."""
    plugins.register_factory(plugins.AdapterKind.CALLERS, "http", HttpCallerServer)

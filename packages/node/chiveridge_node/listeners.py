"""Sockets and servers of the node's HTTP ports."""

import asyncio
import contextlib
import socket

import uvicorn


class SignalFreeServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the node, and sleeps until it has to exit."""

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self._exit_requested = asyncio.Event()

    def request_exit(self) -> None:
        """Close the port after the replies in progress are finished."""
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        """Wait for the exit; the original wakes ten times a second."""
        await self.on_tick(0)
        await self._exit_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no signal handlers."""
        yield


def open_listening_socket(address: str, port: int, backlog: int) -> socket.socket:
    """Return a listening socket.

    The protocol is given explicitly, as asyncio sets TCP_NODELAY only on such sockets.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listening_socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.bind((address, port))
    listening_socket.listen(backlog)
    listening_socket.setblocking(False)
    return listening_socket

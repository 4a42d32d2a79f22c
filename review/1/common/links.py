"""A proxy in front of one minion, which delays what passes and can cut the link."""

import asyncio
import socket

from common import wire


class Link:
    """Forwards connections from its own address to ``target``, each way after ``delay_s``."""

    def __init__(self, target: str, delay_s: float):
        self._host, port = target.rsplit(":", 1)
        self._port = int(port)
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._own_port = wire.free_port()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.is_cut = False

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._own_port}"

    async def open(self) -> None:
        """Accept connections; the end of a cut, in which the earlier connections were lost."""
        self._abort_all()
        self.is_cut = False
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self._own_port, reuse_address=True
        )

    def cut(self) -> None:
        """Let nothing pass; new connections, and packets on open ones, are answered by a reset."""
        self.is_cut = True
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """End all connections; the end of the test."""
        self.cut()
        self._abort_all()
        for task in list(self._tasks):
            task.cancel()

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _set_nodelay(writer)
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        _set_nodelay(far_writer)
        self._writers.add(far_writer)
        for source, sink, back in ((reader, far_writer, writer), (far_reader, writer, far_writer)):
            task = asyncio.get_running_loop().create_task(self._pump(source, sink, back))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        back: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await source.read(65536):
                if self.is_cut:
                    back.transport.abort()
                    return
                loop.call_later(self._delay_s, self._deliver, sink, data)
        except (ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(back)
            if not self.is_cut:
                loop.call_later(self._delay_s, sink.close)

    def _deliver(self, sink: asyncio.StreamWriter, data: bytes) -> None:
        if not self.is_cut and not sink.transport.is_closing():
            sink.write(data)


def _set_nodelay(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

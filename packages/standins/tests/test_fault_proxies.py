import asyncio
import contextlib
import datetime

import pytest

from chiveridge_standins import fault_proxies


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(1024):
            writer.write(chunk)
    writer.close()


class Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer

    async def send_and_read_echo(self, message: bytes) -> bytes:
        self.writer.write(message)
        async with asyncio.timeout(20):
            return await self.reader.readexactly(len(message))

    async def receives_nothing(self) -> bool:
        try:
            async with asyncio.timeout(0.1):
                await self.reader.read(1)
        except TimeoutError:
            return True
        return False


@contextlib.asynccontextmanager
async def running_proxy():
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    proxy = fault_proxies.FaultProxy("127.0.0.1", server.sockets[0].getsockname()[1])
    await proxy.start()
    yield proxy
    await proxy.close()
    server.close()


@pytest.fixture
async def connected():
    connections: list[Connection] = []

    async def connect(proxy: fault_proxies.FaultProxy) -> Connection:
        connections.append(Connection(*await asyncio.open_connection("127.0.0.1", proxy.port)))
        return connections[-1]

    yield connect
    for connection in connections:
        connection.writer.close()


async def test_passes_bytes_with_a_delay(connected):
    async with running_proxy() as proxy:
        proxy.delay = datetime.timedelta(milliseconds=5)
        connection = await connected(proxy)
        message = b"m" * 300_000
        assert await connection.send_and_read_echo(message) == message
        connection.writer.write_eof()
        assert await connection.reader.read() == b""
        assert proxy.counts.accepted == 1
        assert proxy.counts.passed_bytes == 2 * len(message)


async def test_cut_resets_connections_and_refuses_new_ones_until_healed(connected):
    async with running_proxy() as proxy:
        connection = await connected(proxy)
        await connection.send_and_read_echo(b"before")
        proxy.disconnect()
        with pytest.raises(ConnectionError):
            await connection.send_and_read_echo(b"after")
        with pytest.raises(ConnectionRefusedError):
            await connected(proxy)
        await proxy.reconnect()
        assert await (await connected(proxy)).send_and_read_echo(b"again") == b"again"
        assert proxy.counts.cut == 1


async def test_cut_resets_a_connection_that_was_just_accepted():
    async with running_proxy() as proxy:
        proxy.disconnect()
        # Simulates a connection that the proxy's listener accepted just before the disconnect and
        # that is handled after it.
        server = await asyncio.start_server(proxy._handle_client, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        connection = Connection(*await asyncio.open_connection(*address))
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await connection.send_and_read_echo(b"after")
        connection.writer.close()
        server.close()


async def test_freeze_holds_bytes_until_thawed(connected):
    async with running_proxy() as proxy:
        connection = await connected(proxy)
        await connection.send_and_read_echo(b"before")
        proxy.hold_traffic()
        connection.writer.write(b"held")
        assert await connection.receives_nothing()
        proxy.release_traffic()
        assert await connection.reader.readexactly(4) == b"held"


async def test_silent_connections_stay_silent_while_new_ones_work(connected):
    async with running_proxy() as proxy:
        silent = await connected(proxy)
        await silent.send_and_read_echo(b"before")
        proxy.blackhole()
        silent.writer.write(b"lost")
        assert await (await connected(proxy)).send_and_read_echo(b"new") == b"new"
        proxy.hold_traffic()
        proxy.release_traffic()
        assert await silent.receives_nothing()


async def test_drops_only_the_next_reply(connected):
    async with running_proxy() as proxy:
        proxy.drop_next_replies(1)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await (await connected(proxy)).send_and_read_echo(b"lost")
        assert await (await connected(proxy)).send_and_read_echo(b"kept") == b"kept"
        assert proxy.counts.dropped_replies == 1


async def test_drops_only_the_next_request(connected):
    async with running_proxy() as proxy:
        proxy.drop_next_requests(1)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await (await connected(proxy)).send_and_read_echo(b"lost")
        assert proxy.counts.passed_bytes == 0
        assert await (await connected(proxy)).send_and_read_echo(b"kept") == b"kept"
        assert proxy.counts.dropped_requests == 1


async def test_a_one_way_hold_keeps_the_bytes_of_that_direction_until_released(connected):
    async with running_proxy() as proxy:
        for hold in (proxy.hold_requests, proxy.hold_replies):
            connection = await connected(proxy)
            hold()
            connection.writer.write(b"held")
            assert await connection.receives_nothing()
            proxy.release_one_way()
            async with asyncio.timeout(20):
                assert await connection.reader.readexactly(4) == b"held"


async def test_only_the_held_direction_is_held(connected):
    async with running_proxy() as proxy:
        connection = await connected(proxy)
        proxy.hold_replies()
        connection.writer.write(b"passed on")
        async with asyncio.timeout(20):
            while proxy.counts.received_bytes < 2 * len(b"passed on"):
                await asyncio.sleep(0.01)
        assert proxy.counts.passed_bytes == len(b"passed on")


async def test_redirected_proxy_forwards_new_connections_to_the_new_port(connected):
    async with running_proxy() as first, running_proxy() as second:
        first.redirect(second.port)
        assert await (await connected(first)).send_and_read_echo(b"echo") == b"echo"
        assert second.counts.accepted == 1

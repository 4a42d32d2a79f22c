import aiohttp
import pytest

from chiveridge_node import settings, start_connections


@pytest.fixture
async def connections():
    section = settings.TargetsSection(connections_per_target=3, kept_connections_per_target=2)
    opened = start_connections.StartConnections(section, aiohttp.TraceConfig())
    yield opened
    await opened.close()


async def test_starts_beyond_the_kept_connections_use_single_ones(connections):
    contexts = [connections.session("t1") for _ in range(4)]
    sessions = [context.__enter__() for context in contexts]
    kept, single = sessions[0], sessions[2]
    assert sessions == [kept, kept, single, kept]
    assert single.connector.force_close
    assert (kept.connector.limit_per_host, single.connector.limit_per_host) == (2, 1)
    with connections.session("t2") as session:
        assert session is kept
    for context in contexts:
        context.__exit__(None, None, None)
    with connections.session("t1") as session:
        assert session is kept


@pytest.mark.parametrize("kept", [1, 6])
async def test_a_limit_of_one_connection_is_never_exceeded(kept):
    section = settings.TargetsSection(connections_per_target=1, kept_connections_per_target=kept)
    connections = start_connections.StartConnections(section, aiohttp.TraceConfig())
    with connections.session("t1") as first, connections.session("t1") as second:
        assert first is second
        assert first.connector.limit_per_host == 1
    await connections.close()

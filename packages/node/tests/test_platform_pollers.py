"""Tests of how soon a poller sees a change after the platform did not reply, on virtual time."""

import asyncio
import contextlib
import datetime
import itertools
import random
import types

import aiohttp
import msgspec
import prometheus_client
import pytest

from chiveridge_node import log_events, platform_pollers, settings
from chiveridge_standins import virtual_loops

IN_FORCE_WITHIN = datetime.timedelta(seconds=11)
"""Time from the platform's reply to an operator until every node follows the change."""

LONGEST_OUTAGE_SECONDS = 60
LATENCY_SECONDS = 0.01
SECTION = settings.PlatformSection(log_url="http://x", vms_url="http://x")


class SilentPlatform:
    """A version that can be polled for; reads during an outage are never answered."""

    def __init__(self):
        self.version = 1
        self._lost = asyncio.Event()
        self._changed = asyncio.Event()

    def write(self) -> None:
        """Write the next version, which answers the long polls that wait for it."""
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def be_silent_for(self, seconds: float) -> None:
        """Lose the reads in progress and all further ones, then return."""
        lost, self._lost = self._lost, asyncio.Event()
        lost.set()
        self._lost.set()
        await asyncio.sleep(seconds)
        self._lost = asyncio.Event()

    @contextlib.asynccontextmanager
    async def get(self, url, *, timeout: aiohttp.ClientTimeout, params: dict | None = None):
        """Reply as ``aiohttp.ClientSession.get`` does, after the wait that is asked for."""
        lost = self._lost
        wait_ms = (params or {}).get("wait_ms", SECTION.poll_wait_ms)
        async with asyncio.timeout(timeout.total):
            await asyncio.sleep(LATENCY_SECONDS)
            if int(url.rpartition("since=")[2] or 0) >= self.version:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(wait_ms) / 1000):
                        await self._changed.wait()
            if lost.is_set():
                await asyncio.Event().wait()
        body = msgspec.json.encode(self.version)
        content = types.SimpleNamespace(iter_any=lambda: _send_parts(body))
        yield types.SimpleNamespace(status=200, content=content, raw_headers=())

    async def close(self) -> None:
        """Close nothing."""


async def _send_parts(body: bytes):
    yield body


class VersionPoller(platform_pollers.Poller):
    """Polls for the version, and records when it saw each."""

    unreachable_event = log_events.LogEvent.LOG_UNREACHABLE
    reachable_event = log_events.LogEvent.LOG_REACHABLE

    def __init__(self, node):
        registry = prometheus_client.CollectorRegistry()
        counters = [prometheus_client.Counter(name, name, registry=registry) for name in "ab"]
        super().__init__(node, *counters)
        self.seen_at_by_version: dict[int, float] = {}
        self._decoder = msgspec.json.Decoder(int)

    async def poll(self) -> None:
        """Read the version."""
        known = max(self.seen_at_by_version, default=0)
        url = f"http://x/?since={known}"
        _, version = await self.get(url, self._decoder, self.settings.poll_wait_ms)
        self.seen_at_by_version.setdefault(version, asyncio.get_running_loop().time())


async def measure_delay(platform: SilentPlatform, seed: int, begin: float, length: float) -> float:
    """Return the seconds from the platform's return, with a change, until it is seen."""
    node = types.SimpleNamespace(
        runner=None, rng=random.Random(seed), settings=types.SimpleNamespace(platform=SECTION)
    )
    poller = VersionPoller(node)
    await poller.open()
    await asyncio.sleep(10 + begin)
    await platform.be_silent_for(length)
    platform.write()
    returned_at = asyncio.get_running_loop().time()
    async with asyncio.timeout(60):
        while platform.version not in poller.seen_at_by_version:
            await asyncio.sleep(0.05)
    await poller.close()
    return poller.seen_at_by_version[platform.version] - returned_at


@pytest.mark.promise("configuration_in_force", failures=["platform_outage"])
def test_reads_lost_in_an_outage_of_the_platform_do_not_delay_changes_after_its_return(monkeypatch):
    async def play(*outage) -> float:
        platform = SilentPlatform()
        monkeypatch.setattr(aiohttp, "ClientSession", lambda **_: platform)
        return await measure_delay(platform, *outage)

    outages = itertools.product(range(4), (0, 1, 2), range(1, LONGEST_OUTAGE_SECONDS))
    delays = (virtual_loops.run(play(*outage)) for outage in outages)
    assert max(delays) <= IN_FORCE_WITHIN.total_seconds()

"""Manages the connections for starts: a few per target are kept alive, the others are single-use.

A connection is in use until its task ends, so a node may need as many as a target has slots. If
every node kept that many idle connections, they would exceed what a target accepts.
"""

import collections
import contextlib
from collections.abc import Iterator

import aiohttp

from chiveridge_node import settings


class StartConnections:
    """Provides the sessions for the starts of one node; limits the connections per target."""

    def __init__(self, section: settings.TargetsSection, trace: aiohttp.TraceConfig):
        limit = section.connections_per_target
        self._kept_limit = min(section.kept_connections_per_target, limit)
        self._single_use_limit = limit - self._kept_limit
        self._kept_in_use: collections.Counter[str] = collections.Counter()
        self._single_use_in_use: collections.Counter[str] = collections.Counter()
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=section.connect_timeout_ms / 1000)
        self._kept_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=self._kept_limit,
                keepalive_timeout=section.idle_timeout_ms / 1000,
            ),
            timeout=timeout,
            trace_configs=[trace],
        )
        self._single_use_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, limit_per_host=self._single_use_limit, force_close=True
            ),
            timeout=timeout,
            trace_configs=[trace],
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._kept_session.close()
        await self._single_use_session.close()

    @contextlib.contextmanager
    def session(self, target: str) -> Iterator[aiohttp.ClientSession]:
        """Provide the session for one start; its request waits if all connections are in use."""
        kept_is_full = self._kept_in_use[target] >= self._kept_limit
        is_single_use = kept_is_full and self._single_use_in_use[target] < self._single_use_limit
        in_use = self._single_use_in_use if is_single_use else self._kept_in_use
        in_use[target] += 1
        try:
            yield self._single_use_session if is_single_use else self._kept_session
        finally:
            in_use[target] -= 1
            if not in_use[target]:
                del in_use[target]

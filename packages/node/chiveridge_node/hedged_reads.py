"""Hedged reads of a service that may lose requests or replies.

A lost request is never answered, not even after the service is back. So a read that is overdue is
not a reason to wait longer: further reads (hedges) are sent at a fixed interval, and the first
reply to any of them counts. Earlier reads stay in progress, as a slow service may still reply.
"""

import asyncio
import dataclasses
import datetime
import random
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import aiohttp

_Reply = TypeVar("_Reply")

MIN_JITTER = 0.75
"""Smallest share of the interval; nodes that lost their reads together hedge at different times."""


@dataclasses.dataclass(frozen=True)
class HedgeSchedule:
    """When hedges are sent: ``overdue_after`` the first read, then at most every ``interval``."""

    overdue_after: datetime.timedelta
    interval: datetime.timedelta

    def delay_after(self, read_count: int, rng: random.Random) -> datetime.timedelta:
        """Return the time to wait for a reply after a number of reads, before the next is sent."""
        if read_count == 1:
            return self.overdue_after
        return rng.uniform(MIN_JITTER, 1.0) * self.interval


class HedgedRead(Generic[_Reply]):
    """One read with its hedges.

    ``send(is_hedge, record_progress)`` sends a read; it calls ``record_progress`` for each part of
    its reply, as no hedge is sent while one arrives. It has to fail by itself after a time, which
    limits how many are in progress. ``on_overdue`` is called before each hedge.
    """

    def __init__(
        self,
        send: Callable[[bool, Callable[[], None]], Awaitable[_Reply]],
        schedule: HedgeSchedule,
        rng: random.Random,
        on_overdue: Callable[[], None],
    ):
        self._send = send
        self._schedule = schedule
        self._rng = rng
        self._on_overdue = on_overdue
        self._loop = asyncio.get_running_loop()
        self._reads: set[asyncio.Future[_Reply]] = set()
        self._read_count = 0
        self._quiet_since = 0.0

    async def first_reply(self) -> _Reply:
        """Return the first reply to any of the reads, and cancel the others.

        :raises Exception: what the last read raised, if all that were sent have failed.
        """
        try:
            while True:
                self._send_next()
                delay = self._schedule.delay_after(self._read_count, self._rng)
                read = await self._wait_while_in_time(delay.total_seconds())
                if read is not None:
                    return read.result()
                self._on_overdue()
        finally:
            for read in self._reads:
                read.cancel()

    def _send_next(self) -> None:
        read = self._send(self._read_count > 0, self._record_progress)
        self._reads.add(asyncio.ensure_future(read))
        self._read_count += 1
        self._record_progress()

    def _record_progress(self) -> None:
        self._quiet_since = self._loop.time()

    async def _wait_while_in_time(self, delay_seconds: float) -> asyncio.Future[_Reply] | None:
        """Return a read that succeeded, or the last one to fail; None if a hedge is due first.

        Reads that fail while others are in progress are discarded.
        """
        while (remaining := self._quiet_since + delay_seconds - self._loop.time()) > 0:
            done, self._reads = await asyncio.wait(
                self._reads, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
            )
            for read in done:
                if read.exception() is None or not self._reads:
                    return read
        return None


async def read_body(response: aiohttp.ClientResponse, record_progress: Callable[[], None]) -> bytes:
    """Return the body of a response, and call ``record_progress`` for its headers and each part."""
    record_progress()
    parts = []
    async for part in response.content.iter_any():
        record_progress()
        parts.append(part)
    return b"".join(parts)

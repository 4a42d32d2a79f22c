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
from typing import TypeVar

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


async def first_reply(
    send: Callable[[bool], Awaitable[_Reply]],
    schedule: HedgeSchedule,
    rng: random.Random,
    on_overdue: Callable[[], None],
) -> _Reply:
    """Return the first reply to a read or to one of its hedges, and cancel the others.

    :param send: sends one read, and says by its argument whether it is a hedge; a read must fail
        by itself after a time, which limits how many are in progress.
    :param on_overdue: called before each hedge.
    :raises Exception: what the last read raised, if all that were sent have failed.
    """
    loop = asyncio.get_running_loop()
    reads: set[asyncio.Future[_Reply]] = set()
    read_count = 0
    try:
        while True:
            reads.add(asyncio.ensure_future(send(read_count > 0)))
            read_count += 1
            delay = schedule.delay_after(read_count, rng)
            reply = await _wait_until(loop.time() + delay.total_seconds(), reads)
            if reply is not None:
                return reply.result()
            on_overdue()
    finally:
        for read in reads:
            read.cancel()


async def _wait_until(
    end: float, reads: set[asyncio.Future[_Reply]]
) -> asyncio.Future[_Reply] | None:
    """Return a read that succeeded, or the last one to fail; None if neither is there by ``end``.

    Reads that fail while others are in progress are removed from ``reads``.
    """
    loop = asyncio.get_running_loop()
    while (remaining := end - loop.time()) > 0:
        done, _ = await asyncio.wait(reads, timeout=remaining, return_when=asyncio.FIRST_COMPLETED)
        reads -= done
        for read in done:
            if read.exception() is None or not reads:
                return read
    return None

"""Tests of reads that are sent again while earlier ones are unanswered, on virtual time."""

import asyncio
import datetime
import random

import pytest

from chiveridge_node import hedged_reads
from chiveridge_standins import virtual_loops

SECOND = datetime.timedelta(seconds=1)
SCHEDULE = hedged_reads.HedgeSchedule(overdue_after=2 * SECOND, interval=SECOND)
NEVER = 3600.0


class ReadError(Exception):
    """A read failed."""


class Reads:
    """Reads of which each has an outcome after some seconds; ``sent`` has the time of each.

    Before its outcome the first read receives a part of its reply after each of ``pauses``.
    """

    def __init__(self, *outcomes: tuple[float, object]):
        self.outcomes = list(outcomes)
        self.sent: list[tuple[float, bool]] = []
        self.cancelled = 0
        self.pauses: list[float] = []

    async def send(self, is_hedge: bool, record_progress) -> object:
        """Wait for the outcome of the next read, and return or raise it."""
        self.sent.append((asyncio.get_running_loop().time(), is_hedge))
        seconds, outcome = self.outcomes[len(self.sent) - 1]
        try:
            for pause in self.pauses if len(self.sent) == 1 else ():
                await asyncio.sleep(pause)
                record_progress()
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


def play(reads: Reads, schedule=SCHEDULE, seed: int = 1) -> tuple[object, float, int]:
    """Return the reply, the time at which it came, and the number of hedges."""
    overdue_times = []

    async def main():
        loop = asyncio.get_running_loop()
        try:
            reply = await hedged_reads.HedgedRead(
                reads.send, schedule, random.Random(seed), lambda: overdue_times.append(loop.time())
            ).first_reply()
        except ReadError as error:
            reply = error
        ended_at = loop.time()
        await asyncio.sleep(0)
        return reply, ended_at, len(overdue_times)

    return virtual_loops.run(main())


def test_a_read_that_is_answered_in_time_is_sent_once():
    reads = Reads((1.9, "reply"))
    assert play(reads) == ("reply", 1.9, 0)
    assert reads.sent == [(0.0, False)]


def test_a_lost_read_is_followed_by_hedges_until_one_is_answered():
    reads = Reads((NEVER, None), (NEVER, None), (0.1, "reply"))
    reply, ended_at, overdue_count = play(reads)
    assert (reply, overdue_count) == ("reply", 2)
    assert 2.75 + 0.1 <= ended_at <= 3 + 0.1
    assert [is_hedge for _, is_hedge in reads.sent] == [False, True, True]
    assert reads.cancelled == 2


def test_a_slow_reply_to_the_first_read_counts():
    reads = Reads((3.5, "slow"), (NEVER, None), (NEVER, None))
    assert play(reads)[:2] == ("slow", 3.5)


def test_no_hedge_is_sent_while_parts_of_a_reply_arrive():
    reads = Reads((1.5, "long"))
    reads.pauses = [1.5] * 39
    assert play(reads) == ("long", 60.0, 0)


def test_a_reply_that_stops_halfway_is_followed_by_hedges():
    reads = Reads((NEVER, None), (0.5, "reply"))
    reads.pauses = [1.0]
    assert play(reads)[:2] == ("reply", 1.0 + 2.0 + 0.5)


def test_a_hedge_that_fails_does_not_give_up_the_reads_in_progress():
    reads = Reads((2.5, "slow"), (0.1, ReadError("refused")))
    assert play(reads)[:2] == ("slow", 2.5)


def test_the_last_error_is_raised_at_once_when_no_read_is_in_progress():
    first, last = ReadError("first"), ReadError("last")
    assert play(Reads((0.5, first)))[:2] == (first, 0.5)
    assert play(Reads((2.4, first), (0.5, last)))[:2] == (last, 2.5)


def test_hedges_keep_their_interval_with_a_jitter():
    reads = Reads(*[(NEVER, None)] * 20, (0.0, "reply"))
    play(reads)
    times = [sent_at for sent_at, _ in reads.sent[1:]]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert all(hedged_reads.MIN_JITTER <= gap <= 1 + 1e-9 for gap in gaps)
    assert max(gaps) - min(gaps) > 0.1


def test_a_cancelled_read_cancels_all_that_are_in_progress():
    reads = Reads(*[(NEVER, None)] * 5)

    async def main():
        read = hedged_reads.HedgedRead(reads.send, SCHEDULE, random.Random(1), lambda: None)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(3.5):
                await read.first_reply()
        await asyncio.sleep(0)

    virtual_loops.run(main())
    assert reads.cancelled == len(reads.sent) == 3

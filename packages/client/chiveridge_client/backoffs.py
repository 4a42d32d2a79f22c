"""Delays between attempts: exponential, bounded and jittered."""

import datetime
import random

BASE_DELAY = datetime.timedelta(milliseconds=50)
MAX_DELAY = datetime.timedelta(seconds=2)
MAX_DOUBLINGS = 10


def delay(attempt: int, rng: random.Random) -> datetime.timedelta:
    """Return the delay after the failed attempt number ``attempt``, counted from 0.

    The delay is uniformly distributed between half the exponential bound and the bound.
    """
    bound = min(BASE_DELAY * 2 ** min(attempt, MAX_DOUBLINGS), MAX_DELAY)
    return bound * rng.uniform(0.5, 1.0)


def delay_with_retry_after(
    retry_after: datetime.timedelta | None, attempt: int, rng: random.Random
) -> datetime.timedelta:
    """Return the back-off delay, but at least the ``retry_after`` that the server requested."""
    return max(delay(attempt, rng), retry_after or datetime.timedelta(0))

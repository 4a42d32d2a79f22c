"""Delays between attempts: exponential, bounded and jittered."""

import datetime
import random

BASE_DELAY = datetime.timedelta(milliseconds=50)
MAX_DELAY = datetime.timedelta(seconds=2)
MAX_DOUBLINGS = 10


def delay(attempt: int, rng: random.Random) -> datetime.timedelta:
    """Return the delay before the attempt that follows failed attempt ``attempt``, from 0.

    The delay is uniform between half the bound and the bound.
    """
    bound = min(BASE_DELAY * 2 ** min(attempt, MAX_DOUBLINGS), MAX_DELAY)
    return bound * rng.uniform(0.5, 1.0)


def delay_with_retry_after(
    retry_after: datetime.timedelta | None, attempt: int, rng: random.Random
) -> datetime.timedelta:
    """Return the back-off, and never less than what the server asked for."""
    return max(delay(attempt, rng), retry_after or datetime.timedelta(0))

"""Delays between attempts: exponential, bounded and jittered."""

import datetime
import random

BASE = datetime.timedelta(milliseconds=50)
CAP = datetime.timedelta(seconds=2)
MAX_DOUBLINGS = 10


def delay(attempt: int, rng: random.Random) -> datetime.timedelta:
    """Return the delay before the attempt that follows failed attempt ``attempt``, from 0.

    The delay is uniform between half the bound and the bound.
    """
    bound = min(BASE * 2 ** min(attempt, MAX_DOUBLINGS), CAP)
    return bound * rng.uniform(0.5, 1.0)


def delay_after(
    retry_after: datetime.timedelta | None, attempt: int, rng: random.Random
) -> datetime.timedelta:
    """Return the back-off, and never less than what the server asked for."""
    return max(delay(attempt, rng), retry_after or datetime.timedelta(0))

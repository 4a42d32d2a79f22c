"""Interface of the wall clock, so that tests can inject their own."""

import datetime
from typing import Protocol


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> datetime.datetime:
        """Return the current time as a time-zone-aware datetime in UTC."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime.datetime:
        """Return the current time in UTC."""
        return datetime.datetime.now(datetime.UTC)


def epoch_ms(moment: datetime.datetime) -> int:
    """Convert a time to milliseconds since the Unix epoch."""
    return int(moment.timestamp() * 1000)

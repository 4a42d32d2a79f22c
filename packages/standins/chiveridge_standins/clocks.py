"""Wall clock as an interface, so that tests can pass their own."""

import datetime
from typing import Protocol


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> datetime.datetime:
        """Return the current time, aware and in UTC."""


class SystemClock:
    """Clock of the machine."""

    def now(self) -> datetime.datetime:
        """Return the current time in UTC."""
        return datetime.datetime.now(datetime.UTC)


def epoch_ms(moment: datetime.datetime) -> int:
    """Return milliseconds since the Unix epoch."""
    return int(moment.timestamp() * 1000)

"""Clock interface, and its implementation by the clock of the operating system."""

import asyncio
import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for the client."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""

    def elapsed(self) -> datetime.timedelta:
        """Return the monotonic time since an arbitrary fixed point."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Return after ``duration``."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def elapsed(self) -> datetime.timedelta:
        """Return the monotonic time of the system."""
        return datetime.timedelta(seconds=time.monotonic())

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the task for ``duration``."""
        await asyncio.sleep(duration.total_seconds())

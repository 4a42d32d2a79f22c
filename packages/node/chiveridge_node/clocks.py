"""The system clock: UTC at boot plus the time since, which never goes back."""

import datetime
import time


class SystemClock:
    """Counts on through a suspended VM, and is not moved by steps of the wall clock."""

    def __init__(self):
        self._started_at = datetime.datetime.now(datetime.UTC)
        self._boottime_at_start = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Return the current time."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._boottime_at_start
        return self._started_at + datetime.timedelta(seconds=elapsed)

"""The system clock: UTC at start plus the elapsed time, which never goes backwards."""

import datetime
import time


class SystemClock:
    """Includes the time in which a VM was suspended, and ignores steps of the wall clock."""

    def __init__(self):
        self._started_at = datetime.datetime.now(datetime.UTC)
        self._boottime_at_start = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Return the current time."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._boottime_at_start
        return self._started_at + datetime.timedelta(seconds=elapsed)

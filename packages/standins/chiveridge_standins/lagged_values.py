"""Values whose writes become visible to readers after a delay."""

import collections
import datetime
from typing import Generic, TypeVar

from chiveridge_standins import clocks

T = TypeVar("T")


class LaggedValue(Generic[T]):
    """A value whose writes become visible only after ``lag``."""

    def __init__(self, initial: T, clock: clocks.Clock, lag: datetime.timedelta):
        self.lag = lag
        self._clock = clock
        self._visible_value = initial
        self._pending_writes: collections.deque[tuple[datetime.datetime, T]] = collections.deque()

    def write(self, value: T) -> None:
        """Set the value; readers see it after the lag."""
        now = self._clock.now()
        self._publish_due_writes(now)
        self._pending_writes.append((now, value))

    def read(self) -> T:
        """Return the newest value that was written at least ``lag`` ago."""
        self._publish_due_writes(self._clock.now())
        return self._visible_value

    def _publish_due_writes(self, now: datetime.datetime) -> None:
        visible_until = now - self.lag
        while self._pending_writes and self._pending_writes[0][0] <= visible_until:
            self._visible_value = self._pending_writes.popleft()[1]

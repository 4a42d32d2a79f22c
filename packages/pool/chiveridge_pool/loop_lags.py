"""Measures the event loop lag of this process, so that it is not mistaken for lost replies."""

import datetime

from chiveridge_pool import timings

_DECAY = 0.9
"""Decay of the lag estimate per tick; its half-life is 130 ms."""

_LAG_FACTOR = 4
"""A call waits for the event loop about twice on sending and twice on receiving the reply."""

_MAX_ALLOWANCE = datetime.timedelta(seconds=2)
"""Limit of the allowance; a call that is given up too early is repeated, which adds to the lag."""


SLOW_LAG = datetime.timedelta(milliseconds=25)
"""Lag above which a node is too slow to own targets; a tenth of the shortest objective."""

OVERLOAD_LAG = datetime.timedelta(milliseconds=150)
"""Lag above which no new jobs are taken; the steps of a job would exceed its objective."""

_SLOW_AFTER = datetime.timedelta(milliseconds=300)
_RECOVERED_AFTER = datetime.timedelta(seconds=2)
"""Time that the lag must stay on the other side of ``SLOW_LAG`` before ``is_slow`` changes.

This hysteresis keeps targets from changing owners with every burst.
"""


class LoopLag:
    """Estimates the delay of event handling from the delay of ticks."""

    def __init__(self):
        self.is_slow = False
        self._ticked_at: datetime.datetime | None = None
        self._lag = datetime.timedelta()
        self._crossed_at: datetime.datetime | None = None

    def tick(self, now: datetime.datetime, due_at: datetime.datetime | None = None) -> None:
        """Update the estimate; a tick without ``due_at`` is due an interval after the last."""
        if due_at is None and self._ticked_at is not None:
            due_at = self._ticked_at + timings.TICK_INTERVAL
        if due_at is not None:
            lateness = max(now - due_at, datetime.timedelta())
            self._lag = max(lateness, self._lag * _DECAY)
        self._ticked_at = now
        self._update_is_slow(now)

    def _update_is_slow(self, now: datetime.datetime) -> None:
        """Change ``is_slow`` once the lag has crossed ``SLOW_LAG`` for long enough."""
        if (self._lag > SLOW_LAG) == self.is_slow:
            self._crossed_at = None
            return
        if self._crossed_at is None:
            self._crossed_at = now
        if now - self._crossed_at >= (_RECOVERED_AFTER if self.is_slow else _SLOW_AFTER):
            self.is_slow = not self.is_slow
            self._crossed_at = None

    def is_overloaded(self) -> bool:
        """Return whether a new job could not be served in time."""
        return self._lag > OVERLOAD_LAG

    def timeout_allowance(self) -> datetime.timedelta:
        """Return the time to add to timeouts."""
        return min(_LAG_FACTOR * self._lag, _MAX_ALLOWANCE)

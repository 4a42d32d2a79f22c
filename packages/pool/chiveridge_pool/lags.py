"""How late this process runs, so that its own slowness is not taken for a lost reply."""

import datetime

from chiveridge_pool import timings

_DECAY = 0.9
"""Part of the lag that is still assumed a tick later; half of it is forgotten in 130 ms."""

_LAG_FACTOR = 4
"""A reply waits for the loop about as often as the order did: twice each way."""

_MAX_ALLOWANCE = datetime.timedelta(milliseconds=400)


SLOW_LAG = datetime.timedelta(milliseconds=25)
"""Lag of a node that is too slow to own targets: a tenth of the shortest objective."""

_SLOW_HOLD_TIME = datetime.timedelta(milliseconds=300)
_RECOVERY_HOLD_TIME = datetime.timedelta(seconds=2)
"""Hysteresis, so that targets do not change their owner with every burst."""


class Lag:
    """Estimates how late events are handled, from how late ticks are."""

    def __init__(self):
        self.is_slow = False
        self._ticked_at: datetime.datetime | None = None
        self._lag = datetime.timedelta()
        self._crossed_at: datetime.datetime | None = None

    def tick(self, now: datetime.datetime) -> None:
        """Note a tick, which is due one interval after the last."""
        if self._ticked_at is not None:
            lateness = now - self._ticked_at - timings.TICK_INTERVAL
            self._lag = max(lateness, self._lag * _DECAY)
        self._ticked_at = now
        self._update_is_slow(now)

    def _update_is_slow(self, now: datetime.datetime) -> None:
        """Change ``is_slow`` once the lag has spoken for it long enough."""
        if (self._lag > SLOW_LAG) == self.is_slow:
            self._crossed_at = None
            return
        if self._crossed_at is None:
            self._crossed_at = now
        if now - self._crossed_at >= (_RECOVERY_HOLD_TIME if self.is_slow else _SLOW_HOLD_TIME):
            self.is_slow = not self.is_slow
            self._crossed_at = None

    def allowance(self) -> datetime.timedelta:
        """Return what is to be added to a timeout."""
        return min(_LAG_FACTOR * self._lag, _MAX_ALLOWANCE)

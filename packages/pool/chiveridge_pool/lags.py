"""How late this process runs, so that its own slowness is not taken for a lost reply."""

import datetime

from chiveridge_pool import timings

_DECAY = 0.9
"""Part of the lag that is still assumed a tick later; half of it is forgotten in 130 ms."""

_FACTOR = 4
"""A reply waits for the loop about as often as the order did: twice each way."""

_MOST = datetime.timedelta(milliseconds=400)


SLOW_LAG = datetime.timedelta(milliseconds=25)
"""Lag of a node that is too slow to own targets: a tenth of the shortest objective."""

_SLOW_AFTER = datetime.timedelta(milliseconds=300)
_WELL_AFTER = datetime.timedelta(seconds=2)
"""Hysteresis, so that targets do not change their owner with every burst."""


class Lag:
    """Estimates how late events are handled, from how late ticks are."""

    def __init__(self):
        self.is_slow = False
        self._ticked_at: datetime.datetime | None = None
        self._lag = datetime.timedelta()
        self._changes_since: datetime.datetime | None = None

    def tick(self, now: datetime.datetime) -> None:
        """Note a tick, which is due one interval after the last."""
        if self._ticked_at is not None:
            late = now - self._ticked_at - timings.TICK_INTERVAL
            self._lag = max(late, self._lag * _DECAY)
        self._ticked_at = now
        self._judge(now)

    def _judge(self, now: datetime.datetime) -> None:
        """Change ``is_slow`` once the lag has spoken for it long enough."""
        if (self._lag > SLOW_LAG) == self.is_slow:
            self._changes_since = None
            return
        if self._changes_since is None:
            self._changes_since = now
        if now - self._changes_since >= (_WELL_AFTER if self.is_slow else _SLOW_AFTER):
            self.is_slow = not self.is_slow
            self._changes_since = None

    def allowance(self) -> datetime.timedelta:
        """Return what is to be added to a timeout."""
        return min(_FACTOR * self._lag, _MOST)

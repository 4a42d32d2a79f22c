"""The clock as an interface, so that tests and replays choose the time."""

import datetime
from collections.abc import Iterable
from typing import Protocol

EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Clock(Protocol):
    """Tells the time in UTC; it never goes back."""

    def now(self) -> datetime.datetime:
        """Return the current time, with its time zone."""
        ...


class ManualClock:
    """A clock that stands still until it is advanced."""

    def __init__(self, start: datetime.datetime = EPOCH):
        self._now = start

    def now(self) -> datetime.datetime:
        """Return the time that was set."""
        return self._now

    def advance(self, by: datetime.timedelta) -> None:
        """Move the time forward."""
        self._now += by


def to_epoch_ms(moment: datetime.datetime) -> int:
    """Return milliseconds since the Unix epoch."""
    return (moment - EPOCH) // _MILLISECOND


def from_epoch_ms(milliseconds: int) -> datetime.datetime:
    """Return the moment that many milliseconds after the Unix epoch."""
    return EPOCH + milliseconds * _MILLISECOND


def to_ms(duration: datetime.timedelta) -> float:
    """Return a duration in milliseconds."""
    return duration / _MILLISECOND


def earliest(moments: Iterable[datetime.datetime | None]) -> datetime.datetime | None:
    """Return the first of some moments, leaving out those that are None."""
    return min((moment for moment in moments if moment is not None), default=None)

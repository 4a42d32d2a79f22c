"""The clock as an interface, so that tests and replays control the time."""

import datetime
from collections.abc import Iterable
from typing import Protocol

EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Clock(Protocol):
    """A clock in UTC that never goes backwards."""

    def now(self) -> datetime.datetime:
        """Return the current time as an aware datetime."""
        ...


class ManualClock:
    """A clock that stands still until it is advanced."""

    def __init__(self, start: datetime.datetime = EPOCH):
        self._now = start

    def now(self) -> datetime.datetime:
        """Return the start time plus all advances."""
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
    """Return the earliest of some moments, ignoring None; None if there is no other."""
    return min((moment for moment in moments if moment is not None), default=None)

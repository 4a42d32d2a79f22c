"""Counts of the tasks of a target, by task key."""

import collections
import datetime

import msgspec

from chiveridge_standins import clocks

MAX_KEYS = 200_000
MAX_START_TIMES_PER_KEY = 100


class Counts(msgspec.Struct):
    """Starts, ends and stops by task key.

    ``total_requests`` counts the requests to start, including refused ones. Keys beyond
    :data:`MAX_KEYS` count only in ``total_starts``. ``started_at_ms`` holds the times of the first
    :data:`MAX_START_TIMES_PER_KEY` starts of each key, in milliseconds since the Unix epoch.
    """

    starts: dict[str, int] = {}
    ends: dict[str, int] = {}
    stops: dict[str, int] = {}
    total_requests: int = 0
    total_starts: int = 0
    max_busy: int = 0
    started_at_ms: dict[str, list[int]] = {}


class TaskCounter:
    """Counts task events, in constant time per event."""

    def __init__(self) -> None:
        self.counts = Counts(
            starts=collections.defaultdict(int),
            ends=collections.defaultdict(int),
            stops=collections.defaultdict(int),
            started_at_ms=collections.defaultdict(list),
        )

    def count_request(self) -> None:
        """Count a request to start a task."""
        self.counts.total_requests += 1

    def count_start(self, key: str, busy_slots: int, now: datetime.datetime) -> None:
        """Count a start; ``busy_slots`` is the number of slots in use at that time."""
        counts = self.counts
        counts.total_starts += 1
        counts.max_busy = max(counts.max_busy, busy_slots)
        is_counted = self._increment(counts.starts, key)
        if is_counted and counts.starts[key] <= MAX_START_TIMES_PER_KEY:
            counts.started_at_ms[key].append(clocks.epoch_ms(now))

    def count_end(self, key: str) -> None:
        """Count a task that ended without being stopped."""
        self._increment(self.counts.ends, key)

    def count_stop(self, key: str) -> None:
        """Count a task that was stopped on request."""
        self._increment(self.counts.stops, key)

    def _increment(self, counts_by_key: dict[str, int], key: str) -> bool:
        if len(counts_by_key) >= MAX_KEYS and key not in counts_by_key:
            return False
        counts_by_key[key] += 1
        return True

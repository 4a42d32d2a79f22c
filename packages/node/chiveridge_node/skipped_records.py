"""Counts and logs the records of other processes that are skipped, at a limited rate."""

import collections
import time
from collections.abc import Callable

from chiveridge_node import log_events

_LOG_INTERVAL_SECONDS = 60.0
"""Time between two lines on the same record; lists are read again every second."""

_MAX_LINES_PER_INTERVAL = 100
"""Maximum number of lines on all records within the interval."""


class SkippedRecords:
    """The records that could not be used, by the source that they were read from.

    ``clock`` returns seconds; only differences count.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self.count_by_source: collections.Counter[str] = collections.Counter()
        self._logged: set[tuple[str, str]] = set()
        self._interval_ends_at = clock() + _LOG_INTERVAL_SECONDS
        self._suppressed = 0

    def record(self, source: str, key: str, reason: str) -> None:
        """Count a skipped record, and log it unless it was logged within the interval."""
        self.count_by_source[source] += 1
        now = self._clock()
        if now >= self._interval_ends_at:
            self._interval_ends_at = now + _LOG_INTERVAL_SECONDS
            self._logged.clear()
        if (source, key) in self._logged or len(self._logged) >= _MAX_LINES_PER_INTERVAL:
            self._suppressed += 1
            return
        self._logged.add((source, key))
        suppressed, self._suppressed = self._suppressed, 0
        log_events.log_event(
            log_events.LogEvent.RECORD_SKIPPED,
            source=source,
            key=key,
            reason=reason,
            suppressed=suppressed,
        )

    def recorder(self, source: str) -> Callable[[str, str], None]:
        """Return a function that records a key and a reason of one source."""
        return lambda key, reason: self.record(source, key, reason)

"""Counts dropped peer messages and logs them at a limited rate."""

import collections
from collections.abc import Callable

import prometheus_client

from chiveridge_kernel import peers
from chiveridge_node import log_events

LOG_INTERVAL_SECONDS = 10.0


class DropCounter:
    """Counts drops by reason; each reason is logged at most once per interval."""

    def __init__(self, counter: prometheus_client.Counter, monotonic_clock: Callable[[], float]):
        self._counter = counter
        self._monotonic_clock = monotonic_clock
        self._unlogged_by_reason: collections.Counter[peers.DropReason] = collections.Counter()
        self._logged_at_by_reason: dict[peers.DropReason, float] = {}

    def record(self, error: peers.PeerMessageError) -> None:
        """Count a dropped message."""
        reason = error.reason
        self._counter.labels(reason.value).inc()
        self._unlogged_by_reason[reason] += 1
        now = self._monotonic_clock()
        logged_at = self._logged_at_by_reason.get(reason)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at_by_reason[reason] = now
        log_events.log_event(
            log_events.LogEvent.PEER_MESSAGE_DROPPED,
            reason=reason.value,
            count=self._unlogged_by_reason.pop(reason),
            error=str(error),
        )

"""Stopped starts that may still begin on their targets."""

import datetime
import heapq
from collections.abc import Callable, Iterable

from chiveridge_kernel import actions, identifiers, jobs


class PendingStops:
    """Ended jobs with starts that may still begin.

    A start is settled once its target has confirmed the stop, or once its ``start_before`` has
    passed. ``emit`` is called with an :class:`actions.NoteStopped` when the last start of a job
    is settled.
    """

    def __init__(self, emit: Callable[[actions.Action], None]):
        self._emit = emit
        self._unsettled_by_job: dict[identifiers.SubmissionId, set[identifiers.LeaseId]] = {}
        self._jobs_by_lease: dict[identifiers.LeaseId, identifiers.SubmissionId] = {}
        self._start_limits: list[tuple[datetime.datetime, identifiers.LeaseId]] = []

    def add(self, tasks: Iterable[jobs.Task], now: datetime.datetime) -> None:
        """Track the stopped starts of tasks, except those past their ``start_before``."""
        for task in tasks:
            if task.start_before <= now:
                continue
            submission_id = task.job.submission_id
            self._unsettled_by_job.setdefault(submission_id, set()).add(task.lease_id)
            self._jobs_by_lease[task.lease_id] = submission_id
            heapq.heappush(self._start_limits, (task.start_before, task.lease_id))

    def has_pending(self, submission_id: identifiers.SubmissionId) -> bool:
        """Return whether a start of an ended job may still begin."""
        return submission_id in self._unsettled_by_job

    def settle(self, lease_id: identifiers.LeaseId) -> None:
        """Record that a start can no longer begin; ignore an unknown lease."""
        submission_id = self._jobs_by_lease.pop(lease_id, None)
        if submission_id is None:
            return
        leases = self._unsettled_by_job[submission_id]
        leases.discard(lease_id)
        if not leases:
            del self._unsettled_by_job[submission_id]
            self._emit(actions.NoteStopped(submission_id=submission_id))

    def expire(self, now: datetime.datetime) -> None:
        """Settle the starts whose ``start_before`` has passed."""
        while self._start_limits and self._start_limits[0][0] <= now:
            _, lease_id = heapq.heappop(self._start_limits)
            self.settle(lease_id)

    def next_wakeup_at(self) -> datetime.datetime | None:
        """Return the earliest tracked ``start_before``, or None."""
        return self._start_limits[0][0] if self._start_limits else None

"""Detects slow targets from the run times and the progress of their tasks.

Declared run times are often far off. Each queue therefore has a mean ratio of actual to declared
run time, and a target counts as slow when its tasks take much longer than is typical for their
queues and for the target.
"""

import datetime
import math
from collections.abc import Callable

from chiveridge_pool import grants, identifiers

SLOW_RATIO = 2.2
"""Run time on a slow target relative to the typical one; healthy targets reach up to 1.25."""

_SLOW_EXCESS = math.log(SLOW_RATIO)

IN_PROGRESS_SLOW_RATIO = 4.8
"""The same for a run in progress; higher, as the reported progress is coarse."""

_TARGET_WEIGHT = 0.35
"""Weight of the newest run time in a target's mean; three tasks outweigh all earlier ones."""

_MIN_QUEUE_WEIGHT = 0.02
_MAX_STEP = 1.0
"""Largest deviation of one task from its queue's mean that counts, as a natural logarithm."""

_MIN_SAMPLES = 5
"""Completed tasks of a queue before the progress of its runs is evaluated."""

_MIN_ELAPSED = datetime.timedelta(milliseconds=40)
"""Run time below which the reported progress is not meaningful."""

_MIN_PERCENT = 3
_STALL_MARGIN = datetime.timedelta(milliseconds=100)
_UNKNOWN_QUEUE_FACTOR = 2
"""Factor on the stall limit for runs of queues with too few completed tasks."""

_STALLED_FACTOR = 100.0
_MAX_EXCESS = 3.0
"""Upper limit of a target's excess, so that a few normal run times outweigh it."""

_MAX_EXCESS_OF_RUN = math.log(3.4)
"""Upper limit of what one run counts, so that two long tasks in a row do not make a target slow.

Three runs do, if they take more than three times as long as usual.
"""

_RESTART_COST = datetime.timedelta(milliseconds=30)
_MIN_RESTART_GAIN = 1.5
"""A run is moved if its remaining time is more than this multiple of a restart elsewhere."""

_MIN_DURATION = datetime.timedelta(milliseconds=1)


class _QueueRatio:
    """Mean ratio of actual to declared run time in a queue, as a natural logarithm."""

    def __init__(self):
        self.mean = 0.0
        self.samples = 0

    def add(self, ratio: float) -> None:
        """Update the mean with the ratio of one completed task, as a natural logarithm."""
        self.samples += 1
        step = max(-_MAX_STEP, min(ratio - self.mean, _MAX_STEP))
        self.mean += max(_MIN_QUEUE_WEIGHT, 1 / self.samples) * step


class SlowTargets:
    """Moving averages of how slow each target is.

    The excess of a target is the natural logarithm of actual over typical run time.
    ``usual_excess`` returns the one at a target's usual speed, or 0 if that is not known.
    """

    def __init__(self, usual_excess: Callable[[identifiers.TargetId], float] = lambda target: 0.0):
        self._usual_excess = usual_excess
        self._ratio_by_queue: dict[identifiers.QueueName, _QueueRatio] = {}
        self._excess_by_target: dict[identifiers.TargetId, float] = {}
        # When a run on a target was last done in a time that is usual there.
        self._usual_at_by_target: dict[identifiers.TargetId, datetime.datetime] = {}

    def record_completion(
        self, target: identifiers.TargetId, grant: grants.Grant, now: datetime.datetime
    ) -> float | None:
        """Update queue and target with the run time of a completed task.

        Return the natural logarithm of its run time over what is typical for its queue, or None if
        that is not known.
        """
        if grant.running_since is None:
            return None
        ratio = math.log((now - grant.running_since + _MIN_DURATION) / _declared(grant))
        queue_ratio = self._queue_ratio(grant)
        queue_ratio.add(ratio)
        previous = self._excess_by_target.get(target, 0.0)
        excess = min(ratio - queue_ratio.mean, _MAX_EXCESS_OF_RUN)
        self._excess_by_target[target] = previous + _TARGET_WEIGHT * (excess - previous)
        if queue_ratio.samples < _MIN_SAMPLES:
            return None
        if ratio - queue_ratio.mean - self._usual_excess(target) < _SLOW_EXCESS:
            self._usual_at_by_target[target] = now
        return ratio - queue_ratio.mean

    def forget(self, target: identifiers.TargetId) -> None:
        """Forget a target."""
        self._excess_by_target.pop(target, None)
        self._usual_at_by_target.pop(target, None)

    def record_progress(
        self, target: identifiers.TargetId, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        """Raise the excess of a target on which a run is far too slow or stalled.

        If another run was done in the usual time meanwhile, it is the task that takes long, unless
        it makes no progress at all.
        """
        queue_ratio = self._queue_ratio(grant)
        may_be_long = queue_ratio.samples < _MIN_SAMPLES or self._was_usual_since(target, grant)
        if may_be_long and not self._is_stalled(grant, now):
            return
        excess = math.log(self._projected_time(grant, now) / _declared(grant)) - queue_ratio.mean
        if excess > math.log(IN_PROGRESS_SLOW_RATIO):
            previous = self._excess_by_target.get(target, 0.0)
            self._excess_by_target[target] = max(previous, min(excess, _MAX_EXCESS))

    def _was_usual_since(self, target: identifiers.TargetId, grant: grants.Grant) -> bool:
        """Return whether another run was done on a target in the usual time since one started."""
        usual_at = self._usual_at_by_target.get(target)
        return usual_at is not None and usual_at >= grant.running_since

    def is_slow(self, target: identifiers.TargetId) -> bool:
        """Tell whether run times on a target are far above the typical ones at its usual speed."""
        excess = self._excess_by_target.get(target, 0.0)
        return excess - self._usual_excess(target) > _SLOW_EXCESS

    def should_restart_elsewhere(self, grant: grants.Grant, now: datetime.datetime) -> bool:
        """Tell whether a run would finish much sooner if it was restarted on another target."""
        if now - grant.running_since < _MIN_ELAPSED:
            return False
        projected = self._projected_time(grant, now)
        remaining = projected - (now - grant.running_since)
        restarted = self._typical_time(grant) + _RESTART_COST
        return remaining > _MIN_RESTART_GAIN * restarted and projected > SLOW_RATIO * restarted

    def _queue_ratio(self, grant: grants.Grant) -> _QueueRatio:
        return self._ratio_by_queue.setdefault(grant.queue, _QueueRatio())

    def _typical_time(self, grant: grants.Grant) -> datetime.timedelta:
        return _declared(grant) * math.exp(self._queue_ratio(grant).mean)

    def _projected_time(self, grant: grants.Grant, now: datetime.datetime) -> datetime.timedelta:
        """Return the total run time extrapolated from the progress so far."""
        elapsed = now - grant.running_since
        if self._is_stalled(grant, now):
            return max(elapsed, _MIN_DURATION) * _STALLED_FACTOR
        if elapsed < _MIN_ELAPSED or grant.percent < _MIN_PERCENT:
            return self._typical_time(grant)
        return elapsed * (100 / grant.percent)

    def _is_stalled(self, grant: grants.Grant, now: datetime.datetime) -> bool:
        """Tell whether a run has made no progress for longer than its typical total run time."""
        is_known = self._queue_ratio(grant).samples >= _MIN_SAMPLES
        allowed = self._typical_time(grant) * (1 if is_known else _UNKNOWN_QUEUE_FACTOR)
        return now - grant.progressed_at > allowed + _STALL_MARGIN


def _declared(grant: grants.Grant) -> datetime.timedelta:
    return max(grant.estimate, _MIN_DURATION)

"""One queue for all targets, without messages: a bound for what the pool's owners can serve.

It knows all run times, which no owner does, and starts the tasks of waiting jobs in the order of
the pool's ranking; a job that cannot start in time any more is refused. Tasks of different kinds do
not slow each other down here.
"""

import collections
import datetime
import heapq
import itertools

import msgspec

from chiveridge_load import pool_loads
from chiveridge_pool import resources

_REFUSAL_OBJECTIVES = 2.0
"""As in the pool: jobs are refused that would take longer than this multiple of their objective."""


class Target(msgspec.Struct):
    """A target's speed, and its capacity that is free."""

    speed: float
    free: resources.Resources


class _Waiting(msgspec.Struct):
    """A job with the tasks that have not started, the longest last."""

    job: pool_loads.SubmittedJob
    run_times: list[datetime.timedelta]
    cost: float
    unfinished: int
    has_started: bool = False

    @property
    def size(self) -> resources.Resources:
        """What one of its tasks needs."""
        return self.job.request.steps[0].size

    def latest_start(self) -> datetime.datetime:
        """Return until when it can start and be done in time."""
        return self.job.submitted_at + self.job.objective - max(self.run_times)

    def refused_at(self) -> datetime.datetime:
        """Return when it is refused unless it has started."""
        longest = _REFUSAL_OBJECTIVES * self.job.objective
        return self.job.submitted_at + max(longest - max(self.run_times), self.job.objective / 4)


def response_times(
    submitted: list[pool_loads.SubmittedJob], targets: list[Target]
) -> dict[int, datetime.timedelta]:
    """Return the response times of the jobs that are completed, by caller."""
    return _CentralQueue(targets, submitted).play()


class _CentralQueue:
    def __init__(self, targets: list[Target], submitted: list[pool_loads.SubmittedJob]):
        self._targets = targets
        self._value_by_kind = _value_by_kind(submitted)
        self._waiting: list[_Waiting] = []
        self._numbers = itertools.count()
        self._events = [(job.submitted_at, next(self._numbers), job) for job in submitted]
        heapq.heapify(self._events)
        self._response_times: dict[int, datetime.timedelta] = {}

    def play(self) -> dict[int, datetime.timedelta]:
        """Handle all arrivals and ends in the order of their times."""
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if isinstance(event, pool_loads.SubmittedJob):
                run_times = sorted(event.run_times)
                cost = self._cost(event)
                self._waiting.append(_Waiting(event, run_times, cost, len(run_times)))
            else:
                self._end(*event, now)
            self._start_tasks(now)
        return self._response_times

    def _cost(self, job: pool_loads.SubmittedJob) -> float:
        """Return the work per value of a job, where all kinds have the same total value."""
        work_s = sum(job.run_times, datetime.timedelta()).total_seconds()
        return work_s * self._value_by_kind[job.kind.name] / job.value

    def _end(self, waiting: _Waiting, target: Target, now: datetime.datetime) -> None:
        target.free = target.free.plus(waiting.size)
        waiting.unfinished -= 1
        if not waiting.unfinished:
            self._response_times[waiting.job.caller] = now - waiting.job.submitted_at

    def _start_tasks(self, now: datetime.datetime) -> None:
        self._waiting = [
            waiting
            for waiting in self._waiting
            if waiting.run_times and (waiting.has_started or now < waiting.refused_at())
        ]
        self._waiting.sort(
            key=lambda waiting: (
                not waiting.has_started,
                now > waiting.latest_start(),
                waiting.cost,
            )
        )
        for waiting in self._waiting:
            while waiting.run_times and self._start_one(waiting, now):
                waiting.has_started = True

    def _start_one(self, waiting: _Waiting, now: datetime.datetime) -> bool:
        """Start the longest task on the fastest target with room, if there is one."""
        fitting = [target for target in self._targets if waiting.size.fits_in(target.free)]
        if not fitting:
            return False
        target = min(fitting, key=lambda target: (-target.speed, target.free.cpu))
        target.free = target.free.minus(waiting.size)
        end = now + waiting.run_times.pop() / target.speed
        heapq.heappush(self._events, (end, next(self._numbers), (waiting, target)))
        return True


def _value_by_kind(submitted: list[pool_loads.SubmittedJob]) -> collections.Counter[str]:
    """Return the total value of each kind's jobs; shares make these equal."""
    value_by_kind: collections.Counter[str] = collections.Counter()
    for job in submitted:
        value_by_kind[job.kind.name] += job.value
    return value_by_kind

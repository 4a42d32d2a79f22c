"""When a job is refused, and when it is given up."""

import datetime

from chiveridge_pool import jobs

ANSWER_MARGIN = datetime.timedelta(milliseconds=50)
"""The answer must reach the caller before it leaves."""

_LATE_OBJECTIVES = 2.0
"""Multiple of the objective after which a job that has not started is refused."""

_SOONEST_END = 0.5
"""Part of the declared run time that a task takes at least; declarations are off by so much."""


def start_limit(job: jobs.Job) -> datetime.datetime:
    """Return when a job that has not started is refused."""
    by_objective = _LATE_OBJECTIVES * job.objective()
    in_time = min(by_objective, job.request.patience) - job.request.estimate
    return job.arrived_at + max(in_time, job.objective() / 4)


def is_over(job: jobs.Job, now: datetime.datetime) -> bool:
    """Tell whether a job cannot be answered in time any more."""
    return now >= job.deadline - ANSWER_MARGIN or _is_hopeless(job, now)


def _is_hopeless(job: jobs.Job, now: datetime.datetime) -> bool:
    """Tell whether a task that does not run could not end before the deadline."""
    if not job.has_started or not job.waiting():
        return False
    return now + _SOONEST_END * job.time_left() > job.deadline

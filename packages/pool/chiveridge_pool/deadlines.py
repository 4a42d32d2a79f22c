"""When a job is refused, and when it is given up."""

import datetime

from chiveridge_pool import jobs

ANSWER_MARGIN = datetime.timedelta(milliseconds=50)
"""The answer must reach the caller before it leaves."""

_REFUSAL_OBJECTIVES = 2.0
"""Multiple of the objective after which a job that has not started is refused."""

_MIN_RUN_TIME_SHARE = 0.5
"""Part of the declared run time that a task takes at least; declarations are off by so much."""


def refusal_time(job: jobs.Job) -> datetime.datetime:
    """Return when a job that has not started is refused."""
    longest_response = _REFUSAL_OBJECTIVES * job.objective()
    longest_wait = min(longest_response, job.request.patience) - job.request.estimate
    return job.arrived_at + max(longest_wait, job.objective() / 4)


def is_deadline_unreachable(job: jobs.Job, now: datetime.datetime) -> bool:
    """Tell whether a job cannot be answered in time any more."""
    return now >= job.deadline - ANSWER_MARGIN or _cannot_finish(job, now)


def _cannot_finish(job: jobs.Job, now: datetime.datetime) -> bool:
    """Tell whether a task that does not run could not end before the deadline."""
    if not job.has_started or not job.waiting_count():
        return False
    return now + _MIN_RUN_TIME_SHARE * job.remaining_time() > job.deadline

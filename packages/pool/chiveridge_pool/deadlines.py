"""Deadline rules: when a job is refused, and when it is given up."""

import datetime

from chiveridge_pool import jobs

ANSWER_MARGIN = datetime.timedelta(milliseconds=50)
"""Time reserved before the deadline for the answer to reach the caller."""

_REFUSAL_OBJECTIVES = 2.0
"""A waiting job is refused when it can no longer finish within this multiple of its objective."""

_MIN_RUN_TIME_SHARE = 0.5
"""Minimum share of its declared run time that a task takes; declarations are off by this much."""

_RETRY_TIME_FACTOR = 2.0
"""Time reserved for a retry, in declared run times; it may have to wait for a target."""


def refusal_time(job: jobs.Job) -> datetime.datetime:
    """Return the time from which a job that has not started is refused."""
    longest_response = _REFUSAL_OBJECTIVES * job.objective()
    longest_wait = min(longest_response, job.request.caller_timeout) - job.request.estimate
    return job.arrived_at + max(longest_wait, job.objective() / 4)


def retry_slack(job: jobs.Job, now: datetime.datetime) -> datetime.timedelta:
    """Return how long a task may wait for proof that its last run has ended.

    What is left of the deadline then is twice the declared run time of the job.
    """
    slack = job.deadline - ANSWER_MARGIN - _RETRY_TIME_FACTOR * job.request.estimate - now
    return max(slack, datetime.timedelta())


def is_deadline_unreachable(job: jobs.Job, now: datetime.datetime) -> bool:
    """Tell whether a job can no longer be answered before its deadline."""
    return now >= job.deadline - ANSWER_MARGIN or _cannot_finish(job, now)


def _cannot_finish(job: jobs.Job, now: datetime.datetime) -> bool:
    """Tell whether the waiting tasks of a started job cannot finish before the deadline."""
    if not job.has_started or not job.waiting_count():
        return False
    return now + _MIN_RUN_TIME_SHARE * job.remaining_time() > job.deadline

"""Reasons to refuse a job on arrival, before anything of it is started."""

import datetime
from collections.abc import Callable, Sequence

from chiveridge_kernel import backlogs, clocks, errors, jobs, results, vms

RETRY_AFTER_MS = 1000

Usable = Callable[[jobs.Job, jobs.Task], Sequence[vms.Vm]]
"""Returns the targets that may be sent a task of a job now."""


def check_deadline(job: jobs.Job, now: datetime.datetime) -> None:
    """Check that a job came before its deadline.

    :raises errors.RefusedError: when it is too late.
    """
    if job.deadline <= now:
        message = "deadline_ms: the deadline had passed when the submission was read"
        raise errors.RefusedError(results.ResultCode.DEADLINE_UNREACHABLE, message, 0)


def check_runnable(job: jobs.Job) -> None:
    """Check that every task fits a target.

    :raises errors.RefusedError: when a task can never run.
    """
    for task in job.tasks:
        if not job.candidates.fitting(task.spec):
            message = f"tasks[{task.index}]: its declared needs fit no target it may run on"
            raise errors.RefusedError(results.ResultCode.NEVER_RUNNABLE, message)


def check_usable(job: jobs.Job, usable: Usable) -> None:
    """Check that some target is usable now.

    :raises errors.RefusedError: when nothing of the job can run now.
    """
    if not any(usable(job, task) for task in job.tasks):
        message = "every target that the team may use is leaving or unreachable"
        raise errors.RefusedError(results.ResultCode.OVERLOADED, message, RETRY_AFTER_MS)


def check_backlog(job: jobs.Job, team_backlogs: backlogs.Backlogs, now: datetime.datetime) -> None:
    """Check that what waits already leaves a job enough time.

    :raises errors.RefusedError: with when to come back, when it does not.
    """
    excess_wait = team_backlogs.excess_wait(job.team, len(job.tasks), job.deadline - now)
    if excess_wait is not None:
        message = "deadline_ms: tasks of the team that wait already leave too little time"
        retry_after_ms = max(int(clocks.to_ms(excess_wait)), RETRY_AFTER_MS)
        raise errors.RefusedError(results.ResultCode.DEADLINE_UNREACHABLE, message, retry_after_ms)

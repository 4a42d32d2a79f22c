"""Admission checks of a job, made on arrival before any of its tasks starts."""

import datetime
from collections.abc import Callable, Sequence

from chiveridge_kernel import backlogs, clocks, errors, jobs, results, vms

RETRY_AFTER_MS = 1000

FindUsableTargets = Callable[[jobs.Job, jobs.Task], Sequence[vms.Vm]]
"""Returns the targets to which a task of a job may be sent now."""


def check_deadline(job: jobs.Job, now: datetime.datetime) -> None:
    """Check that the deadline of a job has not passed.

    :raises errors.RefusedError: when it has passed.
    """
    if job.deadline <= now:
        message = "deadline_ms: the deadline had passed when the submission was read"
        raise errors.RefusedError(results.ResultCode.DEADLINE_UNREACHABLE, message, 0)


def check_runnable(job: jobs.Job) -> None:
    """Check that every task fits a candidate target.

    :raises errors.RefusedError: when a task can never run.
    """
    for task in job.tasks:
        if not job.candidates.fitting_vms(task.spec):
            message = f"tasks[{task.index}]: its declared needs fit no target it may run on"
            raise errors.RefusedError(results.ResultCode.NEVER_RUNNABLE, message)


def check_usable(job: jobs.Job, find_usable: FindUsableTargets) -> None:
    """Check that at least one task has a usable target.

    :raises errors.RefusedError: when no task of the job can run now.
    """
    if not any(find_usable(job, task) for task in job.tasks):
        message = "every target that the team may use is leaving or unreachable"
        raise errors.RefusedError(results.ResultCode.OVERLOADED, message, RETRY_AFTER_MS)


def check_backlog(job: jobs.Job, team_backlogs: backlogs.Backlogs, now: datetime.datetime) -> None:
    """Check that the waiting tasks of the team leave a job enough time.

    :raises errors.RefusedError: with a retry delay, when they do not.
    """
    excess_wait = team_backlogs.excess_wait(job.team, len(job.tasks), job.deadline - now)
    if excess_wait is not None:
        message = "deadline_ms: tasks of the team that wait already leave too little time"
        retry_after_ms = max(int(clocks.to_ms(excess_wait)), RETRY_AFTER_MS)
        raise errors.RefusedError(results.ResultCode.DEADLINE_UNREACHABLE, message, retry_after_ms)

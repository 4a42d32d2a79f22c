"""Handlers for the reported outcomes of starts."""

import datetime
from collections.abc import Callable
from typing import Protocol

from chiveridge_kernel import (
    actions,
    backlogs,
    events,
    jobs,
    leaving_evidence,
    limits,
    members,
    outcome_queries,
    placements,
    results,
    targets,
)

MAX_OUTCOME_QUERIES = 5
OUTCOME_QUERY_DELAY = datetime.timedelta(milliseconds=200)

_OUTCOME_UNKNOWN_MESSAGE = "the outcome of a start is unknown; nothing more of this job will start"


class Dispatcher(Protocol):
    """Dispatcher as the outcome handlers use it; implemented by :mod:`dispatchers`."""

    members: members.MemberTable
    target_table: targets.TargetTable
    outbox: list[actions.Action]
    backlogs: backlogs.Backlogs
    limiter: limits.Limiter
    prober: outcome_queries.Prober
    policy: placements.Policy

    def finish_task(
        self,
        task: jobs.Task,
        event: events.LeaseReported,
        signal: jobs.TaskSignal,
        now: datetime.datetime,
    ) -> None:
        """Record the result of a task that has ended."""

    def release_lease(
        self, task: jobs.Task, report: events.LeaseReported | None, now: datetime.datetime
    ) -> None:
        """Release the lease of a start."""

    def query_outcome(
        self, task: jobs.Task, delay: datetime.timedelta = datetime.timedelta()
    ) -> None:
        """Query the target for the outcome of a start, after a delay."""

    def give_up_waiting_tasks(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Give up the waiting tasks of a job and mark it as ended."""

    def give_up_revoked_task(self, task: jobs.Task) -> None:
        """Give up a task that may not be started because its job was revoked."""

    def fail_if_cut_short(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Fail a job that was cut short once all of its tasks have ended."""

    def fail_job(
        self, job: jobs.Job, code: results.ResultCode, message: str, now: datetime.datetime
    ) -> None:
        """End a job as failed."""

    def end_job(
        self,
        job: jobs.Job,
        state: results.JobState,
        code: results.ResultCode,
        message: str,
        now: datetime.datetime,
    ) -> None:
        """End a job and emit its final answer."""

    def expire_jobs(self, now: datetime.datetime) -> None:
        """Fail the jobs whose deadline has passed."""


def handle(
    dispatcher: Dispatcher,
    task: jobs.Task,
    event: events.LeaseReported,
    now: datetime.datetime,
) -> None:
    """Handle the outcome of a start that is in progress."""
    _HANDLERS_BY_OUTCOME[event.outcome](dispatcher, task, event, now)


def _handle_succeeded(
    dispatcher: Dispatcher,
    task: jobs.Task,
    event: events.LeaseReported,
    now: datetime.datetime,
) -> None:
    dispatcher.finish_task(task, event, jobs.TaskSignal.SUCCEED, now)
    job = task.job
    dispatcher.fail_if_cut_short(job, now)
    if job.unfinished_count == 0 and not job.was_cut_short:
        dispatcher.end_job(job, results.JobState.COMPLETE, results.ResultCode.COMPLETE, "", now)


def _handle_failed(
    dispatcher: Dispatcher,
    task: jobs.Task,
    event: events.LeaseReported,
    now: datetime.datetime,
) -> None:
    dispatcher.give_up_waiting_tasks(task.job, now)
    dispatcher.finish_task(task, event, jobs.TaskSignal.FAIL, now)
    message = f"tasks[{task.index}] {event.outcome.value} on {task.target.name}: {event.reason}"
    dispatcher.fail_job(task.job, results.ResultCode.TASK_FAILED, message, now)


def _handle_not_started(
    dispatcher: Dispatcher,
    task: jobs.Task,
    event: events.LeaseReported,
    now: datetime.datetime,
) -> None:
    vm = task.target
    dispatcher.release_lease(task, event, now)
    task.signal(jobs.TaskSignal.NOT_STARTED)
    task.target = None
    job = task.job
    avoid_until = now + _BACKOFFS_BY_REASON.get(event.reason, targets.UNREACHABLE_BACKOFF)
    if event.reason == "leaving":
        dispatcher.outbox.extend(
            leaving_evidence.make_leaving_messages(dispatcher.members, dispatcher.target_table, vm)
        )
        dispatcher.target_table.mark_leaving(vm.name, avoid_until)
    dispatcher.target_table.exclude_until(vm.name, avoid_until)
    if job.revocation_reason:
        dispatcher.give_up_revoked_task(task)
        dispatcher.fail_if_cut_short(job, now)
        return
    is_held = dispatcher.limiter.requeue_task(task)
    if not is_held:
        job.waiting.append(task)
    dispatcher.backlogs.add_waiting(job.team, 1)
    if job.deadline <= now:
        dispatcher.expire_jobs(now)
    elif not is_held:
        dispatcher.policy.place_tasks(job, now)


def _handle_lost(
    dispatcher: Dispatcher,
    task: jobs.Task,
    event: events.LeaseReported,
    now: datetime.datetime,
) -> None:
    avoid_until = now + targets.UNREACHABLE_BACKOFF
    dispatcher.target_table.exclude_until(task.target.name, avoid_until)
    task.is_connection_lost = task.is_connection_lost or not event.asked
    if task.is_query_pending:
        return
    task.lost_reports += 1
    if task.lost_reports > MAX_OUTCOME_QUERIES:
        _fail_outcome_unknown(dispatcher, task, event, now)
        return
    dispatcher.query_outcome(task, OUTCOME_QUERY_DELAY * (task.lost_reports - 1))


def _handle_running(
    dispatcher: Dispatcher,
    task: jobs.Task,
    event: events.LeaseReported,
    now: datetime.datetime,
) -> None:
    task.lost_reports = 0
    if task.is_connection_lost:
        dispatcher.query_outcome(task)
    else:
        dispatcher.prober.note_running(task, now)


def _handle_queued(
    dispatcher: Dispatcher,
    task: jobs.Task,
    event: events.LeaseReported,
    now: datetime.datetime,
) -> None:
    dispatcher.prober.note_queued(task, now)


def _handle_unseen(
    dispatcher: Dispatcher,
    task: jobs.Task,
    event: events.LeaseReported,
    now: datetime.datetime,
) -> None:
    # Other idle connections to the target may have gone silent too; they are closed by the end
    # of this backoff.
    dispatcher.target_table.exclude_until(task.target.name, now + targets.SILENT_BACKOFF)
    _fail_outcome_unknown(dispatcher, task, event, now)


def _fail_outcome_unknown(
    dispatcher: Dispatcher,
    task: jobs.Task,
    event: events.LeaseReported,
    now: datetime.datetime,
) -> None:
    dispatcher.give_up_waiting_tasks(task.job, now)
    dispatcher.release_lease(task, event, now)
    task.signal(jobs.TaskSignal.LOSE)
    message = f"tasks[{task.index}] on {task.target.name}: {_OUTCOME_UNKNOWN_MESSAGE}"
    dispatcher.fail_job(task.job, results.ResultCode.OUTCOME_UNKNOWN, message, now)


_Handler = Callable[[Dispatcher, jobs.Task, events.LeaseReported, datetime.datetime], None]

_HANDLERS_BY_OUTCOME: dict[events.LeaseOutcome, _Handler] = {
    events.LeaseOutcome.SUCCEEDED: _handle_succeeded,
    events.LeaseOutcome.FAILED: _handle_failed,
    events.LeaseOutcome.STOPPED: _handle_failed,
    events.LeaseOutcome.RUNNING: _handle_running,
    events.LeaseOutcome.NOT_STARTED: _handle_not_started,
    events.LeaseOutcome.REFUSED: _handle_not_started,
    events.LeaseOutcome.UNSEEN: _handle_unseen,
    events.LeaseOutcome.QUEUED: _handle_queued,
    events.LeaseOutcome.LOST: _handle_lost,
}

_BACKOFFS_BY_REASON = {
    "busy": targets.BUSY_BACKOFF,
    "too_late": targets.BUSY_BACKOFF,
    "leaving": targets.LEAVING_REPORT_TTL,
    actions.WITHDRAWN: datetime.timedelta(),
}

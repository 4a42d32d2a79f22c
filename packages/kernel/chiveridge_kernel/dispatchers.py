"""Dispatch of jobs: admission, starts, outcomes, deadlines and final answers."""

import datetime
import heapq
import random
from collections.abc import Sequence

from chiveridge_kernel import (
    actions,
    admission_checks,
    backlogs,
    eligible_targets,
    events,
    identifiers,
    jobs,
    limits,
    members,
    outcome_queries,
    outcomes,
    pending_stops,
    placements,
    reaches,
    results,
    starts_in_progress,
    targets,
    vms,
)

START_WINDOW = datetime.timedelta(seconds=2)


class Dispatcher:
    """Runs the jobs of one node and appends the resulting actions to ``outbox``.

    Implements :class:`placements.TaskStarter` for the placement policy.
    """

    def __init__(
        self,
        reach: reaches.Reach,
        target_table: targets.TargetTable,
        member_table: members.MemberTable,
        rng: random.Random,
        policy_name: str,
        incarnation: identifiers.Incarnation,
        probe_limits: outcome_queries.QueryDelayLimits,
    ):
        self.rng = rng
        self.starts_in_progress = starts_in_progress.StartsInProgress()
        self.start_counts_by_target = self.starts_in_progress.count_by_target
        self.jobs_by_id: dict[identifiers.SubmissionId, jobs.Job] = {}
        self.outbox: list[actions.Action] = []
        self.reach = reach
        self.target_table = target_table
        self.members = member_table
        self._incarnation = incarnation
        self._tasks_by_lease: dict[identifiers.LeaseId, jobs.Task] = {}
        self._deadlines: list[tuple[datetime.datetime, identifiers.SubmissionId]] = []
        self._eligible_targets = eligible_targets.EligibleTargets(target_table)
        self._lease_serial = 0
        self.backlogs = backlogs.Backlogs()
        self.limiter = limits.Limiter(member_table, incarnation, self._emit)
        self.stops = pending_stops.PendingStops(self._emit)
        self.prober = outcome_queries.Prober(probe_limits)
        self.policy = placements.create(policy_name, self)

    def admit(self, event: events.SubmissionReceived, now: datetime.datetime) -> None:
        """Admit a job and place its tasks.

        :raises errors.RefusedError: when it can never run, no approved target is usable now, its
            deadline cannot be met, or too many tasks of its team wait for the team's limit.
        """
        candidates = self.reach.candidates(event.team, event.submission.selector)
        job = jobs.Job(event.team, event.submission, candidates, event.arrived_at or now)
        admission_checks.check_deadline(job, now)
        admission_checks.check_runnable(job)
        if not self.target_table.is_list_stale():
            admission_checks.check_usable(job, self.usable_targets)
        admission_checks.check_backlog(job, self.backlogs, now)
        task_count = len(job.waiting)
        self.limiter.hold_excess_tasks(job, now)
        self.jobs_by_id[job.submission_id] = job
        self.backlogs.add_waiting(job.team, task_count)
        heapq.heappush(self._deadlines, (job.deadline, job.submission_id))
        if job.waiting:
            self.policy.place_tasks(job, now)

    def place_within_limits(self, now: datetime.datetime) -> None:
        """Place the tasks that the limits of their teams now permit."""
        for job in self.limiter.admit_tasks(now):
            if not job.has_ended:
                self.policy.place_tasks(job, now)

    def start(self, task: jobs.Task, vm: vms.Vm, now: datetime.datetime) -> None:
        """Start a waiting task on a target."""
        job = task.job
        task.signal(jobs.TaskSignal.START)
        job.waiting.remove(task)
        self.backlogs.note_started(job.team, now)
        self._lease_serial += 1
        task.lease_id = identifiers.LeaseId(f"{self._incarnation}-{self._lease_serial}")
        task.target = vm
        task.attempts += 1
        task.started_at = now
        task.is_unsent = False
        task.start_before = min(job.deadline, now + START_WINDOW)
        if job.first_start_at is None:
            job.first_start_at = now
        self._tasks_by_lease[task.lease_id] = task
        self.prober.note_started(task, now)
        self.starts_in_progress.add(vm.name, job.team)
        self.outbox.append(
            actions.StartTask(
                lease_id=task.lease_id,
                target=vm,
                team=job.team,
                body=bytes(task.spec.body),
                start_before=task.start_before,
            )
        )

    def usable_targets(self, job: jobs.Job, task: jobs.Task) -> Sequence[vms.Vm]:
        """Return the targets to which the task may be sent now."""
        return self._eligible_targets.for_task(job, task)

    def handle_outcome(self, event: events.LeaseReported, now: datetime.datetime) -> None:
        """Handle the reported outcome of a start; ignore starts that are not in progress."""
        task = self._tasks_by_lease.get(event.lease_id)
        if task is not None:
            task.is_query_pending = task.is_query_pending and not event.asked
            outcomes.handle(self, task, event, now)

    def is_outcome_awaited(self, lease_id: identifiers.LeaseId) -> bool:
        """Return whether the outcome of a start is still awaited."""
        return lease_id in self._tasks_by_lease

    def set_unsent(self, lease_id: identifiers.LeaseId, *, is_unsent: bool) -> None:
        """Record whether a start is waiting for a connection."""
        task = self._tasks_by_lease.get(lease_id)
        if task is not None:
            task.is_unsent = is_unsent

    def cancel(self, submission_id: identifiers.SubmissionId, now: datetime.datetime) -> None:
        """Cancel a running job; a job that has ended keeps its answer."""
        job = self.jobs_by_id.get(submission_id)
        if job is not None:
            self.fail_job(job, results.ResultCode.CANCELLED, "the caller cancelled the job", now)

    def fail_job(
        self, job: jobs.Job, code: results.ResultCode, message: str, now: datetime.datetime
    ) -> None:
        """End a job as failed: give up its waiting tasks, stop or withdraw its starts."""
        self.give_up_waiting_tasks(job, now)
        for task in job.running_tasks():
            if task.is_unsent:
                self._withdraw(task, now)
            else:
                self._stop_task(task, now)
            task.signal(jobs.TaskSignal.GIVE_UP)
        self.end_job(job, results.JobState.FAILED, code, message, now)

    def fail_all_jobs(self, code: results.ResultCode, message: str, now: datetime.datetime) -> None:
        """End every job as failed."""
        for job in list(self.jobs_by_id.values()):
            self.fail_job(job, code, message, now)

    def expire_jobs(self, now: datetime.datetime) -> None:
        """Fail the jobs whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, submission_id = heapq.heappop(self._deadlines)
            job = self.jobs_by_id.get(submission_id)
            if job is not None:
                message = "the deadline passed before every task had ended"
                self.fail_job(job, results.ResultCode.DEADLINE_EXCEEDED, message, now)

    def query_late_outcomes(self, now: datetime.datetime) -> None:
        """Query the outcomes of the starts whose reply is late."""
        for lease_id in self.prober.pop_due(now):
            task = self._tasks_by_lease.get(lease_id)
            if task is not None and not task.is_query_pending:
                self.query_outcome(task)

    def next_deadline(self) -> datetime.datetime | None:
        """Return the earliest queued deadline, possibly of a job that has ended, or None."""
        return self._deadlines[0][0] if self._deadlines else None

    def place_waiting(self, now: datetime.datetime) -> None:
        """Offer the waiting tasks of all jobs to the placement policy again."""
        waiting = [job for job in self.jobs_by_id.values() if job.waiting]
        self.policy.handle_target_changes(waiting, now)

    def revoke_job(self, job: jobs.Job, reason: str, now: datetime.datetime) -> None:
        """Give up the tasks of a job that were not started, and permit no further starts.

        The job fails for ``reason`` once its running tasks have ended, unless all of its tasks
        were started: then it continues.
        """
        job.revocation_reason = reason
        self.backlogs.remove_waiting(job.team, len(job.waiting) + len(job.held_tasks))
        for task in [*job.waiting, *self.limiter.remove_held_tasks(job)]:
            self.limiter.release_task(task)
            self.give_up_revoked_task(task)
        job.waiting.clear()
        self.policy.handle_job_end(job, now)
        self.fail_if_cut_short(job, now)

    def _stop_task(self, task: jobs.Task, now: datetime.datetime) -> None:
        """Stop a start that was sent or is about to be sent."""
        self.stops.add([task], now)
        self.outbox.append(
            actions.StopTask(
                lease_id=task.lease_id, target=task.target, start_before=task.start_before
            )
        )
        self.release_lease(task, None, now)

    def _withdraw(self, task: jobs.Task, now: datetime.datetime) -> None:
        """Withdraw a start that was not sent to its target."""
        self.outbox.append(actions.WithdrawStart(lease_id=task.lease_id))
        self.release_lease(task, None, now)
        task.signal(jobs.TaskSignal.NOT_STARTED)
        task.target = None

    def give_up_revoked_task(self, task: jobs.Task) -> None:
        """Give up a task that may not be started because its job was revoked."""
        task.signal(jobs.TaskSignal.GIVE_UP)
        task.job.unfinished_count -= 1
        task.job.was_cut_short = True

    def fail_if_cut_short(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Fail a job that was cut short once all of its tasks have ended."""
        if job.was_cut_short and job.unfinished_count == 0:
            message = f"{job.revocation_reason}; nothing more of this job was started"
            code = results.ResultCode.APPROVAL_REVOKED
            self.end_job(job, results.JobState.FAILED, code, message, now)

    def _emit(self, action: actions.Action) -> None:
        self.outbox.append(action)

    def query_outcome(
        self, task: jobs.Task, delay: datetime.timedelta = datetime.timedelta()
    ) -> None:
        """Query the target for the outcome of a start, after a delay."""
        task.is_query_pending = True
        self.outbox.append(
            actions.AskOutcome(
                lease_id=task.lease_id,
                target=task.target,
                delay=delay,
                wait=task.is_connection_lost,
            )
        )

    def finish_task(
        self,
        task: jobs.Task,
        event: events.LeaseReported,
        signal: jobs.TaskSignal,
        now: datetime.datetime,
    ) -> None:
        """Record the result of a task that has ended."""
        task.signal(signal)
        self.prober.note_ended(task, now)
        task.run_ms = event.run_ms
        task.result = event.result
        task.reason = event.reason
        task.job.unfinished_count -= 1
        self.release_lease(task, event, now)

    def release_lease(
        self, task: jobs.Task, report: events.LeaseReported | None, now: datetime.datetime
    ) -> None:
        """Release the lease of a start; ``report`` is None when its outcome is not awaited."""
        del self._tasks_by_lease[task.lease_id]
        self.limiter.release_task(task)
        self.starts_in_progress.remove(task.target.name, task.job.team)
        self.policy.handle_start_end(task, task.target, report, now)

    def end_job(
        self,
        job: jobs.Job,
        state: results.JobState,
        code: results.ResultCode,
        message: str,
        now: datetime.datetime,
    ) -> None:
        """End a job and emit its final answer."""
        self.give_up_waiting_tasks(job, now)
        del self.jobs_by_id[job.submission_id]
        for task in job.tasks:
            self.limiter.release_task(task)
        answer = job.answer(state, code, message, now)
        self.outbox.append(actions.AnswerJob(team=job.team, answer=answer))

    def give_up_waiting_tasks(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Give up the waiting tasks of a job and mark it as ended.

        Must be called before targets are released, so that the policy does not offer them to
        this job again.
        """
        if not job.has_ended:
            job.has_ended = True
            self.backlogs.remove_waiting(job.team, len(job.waiting) + len(job.held_tasks))
            job.give_up_waiting()
            for task in self.limiter.remove_held_tasks(job):
                task.signal(jobs.TaskSignal.GIVE_UP)
            self.policy.handle_job_end(job, now)

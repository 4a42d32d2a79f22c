"""Tasks under which a target was lost: when they may start again, and when their job ends."""

import datetime

from chiveridge_pool import (
    actions,
    capacity_requests,
    crash_histories,
    crash_reports,
    identifiers,
    jobs,
    notes,
    outboxes,
)

CRASHING_REASON = "a task has crashed its targets"
"""Reason of the answer to a job that was ended for the crashes under one of its tasks."""

LOST_REASON = "the targets of a task were lost too often"
"""The same where it is not known whether the targets have crashed."""

_ISOLATION_PATIENCE = datetime.timedelta(milliseconds=200)
"""How long a task that is hardly the cause of a crash waits for a target without other runs."""

_MAX_LOGGED_CRASHES = 12

_ENDING_BY_FINDING = {
    crash_histories.Finding.POISON: (actions.Verdict.FAILED, CRASHING_REASON),
    crash_histories.Finding.UNEXPLAINED: (actions.Verdict.GIVEN_UP, LOST_REASON),
}


class Suspects:
    """Decides about the suspect tasks of the jobs that a node coordinates."""

    def __init__(
        self,
        reports: crash_reports.CrashReports,
        requester: capacity_requests.CapacityRequester,
        outbox: outboxes.Outbox,
    ):
        self._reports = reports
        self._history = reports.history
        self._requester = requester
        self._outbox = outbox

    def find_ending(
        self, job: identifiers.JobId, now: datetime.datetime
    ) -> tuple[actions.Verdict, str] | None:
        """Return how a job ends for the targets lost under it, and why; None if it may go on."""
        return _ENDING_BY_FINDING.get(self._history.worst_finding(job, now))

    def fields_for(self, job: identifiers.JobId) -> dict[str, object]:
        """Return the log field that lists the targets lost under a job; none if there are none."""
        rows = _rows(self._history.crashes_of(job))
        return {"lost_targets": rows} if rows else {}

    def report_lost_run(self, run: jobs.Run, now: datetime.datetime) -> None:
        """Report that a run was lost with its target."""
        self._reports.report_run(
            run.job.request.id, run.job.task_name(run.task), run.target, run.started_at, now
        )

    def put_back(self, job: jobs.Job, task: jobs.Task, now: datetime.datetime) -> None:
        """Let a task that has to run again wait, a suspect by itself."""
        if self._set_apart(job, task, now):
            return
        task.step.waiting_tasks.append(task)
        _request_soon(task.step, now)

    def isolate_known(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Set the tasks apart under which a target was lost before their job was sent again."""
        for step in job.steps:
            for task in list(step.waiting_tasks):
                if self._set_apart(job, task, now):
                    step.waiting_tasks.remove(task)

    def tick(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Let tasks go on whose targets were explained, or which have waited long enough."""
        is_held = self._is_held(job, now)
        for step in job.steps:
            if is_held:
                self._hold_isolated(job, step)
            elif step.held_tasks:
                held_tasks, step.held_tasks = step.held_tasks, []
                for task in held_tasks:
                    self.put_back(job, task, now)
            self._end_long_isolations(job, step, now)

    def _set_apart(self, job: jobs.Job, task: jobs.Task, now: datetime.datetime) -> bool:
        """Hold or isolate a suspect task; return whether this was needed."""
        finding = self._history.finding(job.request.id, job.task_name(task), now)
        if finding is not crash_histories.Finding.NONE and self._is_held(job, now):
            self._hold(job, task)
            return True
        if not self._history.must_isolate(job.request.id, job.task_name(task), now):
            return False
        is_likely = self._is_likely_cause(job, task, now)
        task.step.isolate(task, now, is_last=is_likely)
        _request_soon(task.step.isolated, now)
        self._log(job, task, "isolated, after others" if is_likely else "isolated")
        return True

    def _is_held(self, job: jobs.Job, now: datetime.datetime) -> bool:
        return self._history.worst_finding(job.request.id, now) is crash_histories.Finding.HELD

    def _hold(self, job: jobs.Job, task: jobs.Task) -> None:
        task.step.held_tasks.append(task)
        self._log(job, task, "held")

    def _hold_isolated(self, job: jobs.Job, step: jobs.Step) -> None:
        """Hold the other suspects of a job with a task that is held; they may be poison too."""
        if not step.isolated.waiting_tasks:
            return
        for task in step.isolated.waiting_tasks:
            self._hold(job, task)
        step.isolated.waiting_tasks = []
        self._requester.withdraw(job, step.isolated)

    def _end_long_isolations(self, job: jobs.Job, step: jobs.Step, now: datetime.datetime) -> None:
        """Let tasks run beside others that are hardly the cause, if no target becomes empty."""
        for task in list(step.isolated.waiting_tasks):
            waited = now - task.isolated_since
            if waited < _ISOLATION_PATIENCE or self._is_likely_cause(job, task, now):
                continue
            step.isolated.waiting_tasks.remove(task)
            step.waiting_tasks.append(task)
            step.request_all_at = now
            self._log(job, task, "beside others")
            if not step.isolated.waiting_tasks:
                self._requester.withdraw(job, step.isolated)

    def _is_likely_cause(self, job: jobs.Job, task: jobs.Task, now: datetime.datetime) -> bool:
        return self._history.is_likely_cause(job.request.id, job.task_name(task), now)

    def _log(self, job: jobs.Job, task: jobs.Task, how: str) -> None:
        name = job.task_name(task)
        self._outbox.note(
            notes.NoteEvent.TASK_SUSPECTED,
            job=job.request.id,
            task=name,
            how=how,
            lost_targets=_rows(self._history.crashes_under(job.request.id, name)),
        )


def _request_soon(demand: jobs.CapacityDemand, now: datetime.datetime) -> None:
    if demand.request_all_at is None:
        demand.request_all_at = now


def _rows(crashes) -> list[tuple]:
    """Return for the log which targets were lost, with what is known, when, and who reported it."""
    return [
        (
            crash.task,
            crash.target,
            crash.evidence.value,
            crash.was_running,
            crash.ran_ms,
            crash.recorded_at_ms,
            crash.reporter,
        )
        for crash in sorted(crashes, key=lambda crash: crash.recorded_at_ms)[-_MAX_LOGGED_CRASHES:]
    ]

"""Tasks under which a target has crashed: when they may start again, and when their job ends."""

import datetime

from chiveridge_pool import (
    actions,
    capacity_requests,
    crash_histories,
    crash_reports,
    identifiers,
    jobs,
)

CRASHING_REASON = "a task has crashed its targets"
"""Reason of the answer to a job that was ended for the crashes under one of its tasks."""

_ISOLATION_PATIENCE = datetime.timedelta(milliseconds=200)
"""How long a task that is probably innocent waits for a target on which nothing else runs."""

_ENDING_BY_FINDING = {
    crash_histories.Finding.CULPRIT: (actions.Verdict.FAILED, CRASHING_REASON),
    crash_histories.Finding.UNEXPLAINED: (
        actions.Verdict.GIVEN_UP,
        "the targets of a task were lost too often",
    ),
}


class Suspects:
    """Decides about the suspect tasks of the jobs that a node coordinates."""

    def __init__(
        self,
        reports: crash_reports.CrashReports,
        requester: capacity_requests.CapacityRequester,
    ):
        self._reports = reports
        self._history = reports.history
        self._requester = requester

    def find_ending(self, job: identifiers.JobId) -> tuple[actions.Verdict, str] | None:
        """Return how a job ends for the crashes under its tasks, and why; None if it may go on."""
        return _ENDING_BY_FINDING.get(self._history.worst_finding(job))

    def report_lost_run(self, run: jobs.Run, now: datetime.datetime) -> None:
        """Report that a run was lost with its target."""
        self._reports.report_run(
            run.job.request.id, run.job.task_name(run.task), run.target, run.started_at, now
        )

    def put_back(self, job: jobs.Job, task: jobs.Task, now: datetime.datetime) -> None:
        """Let a task that has to run again wait: a suspect for a target of its own."""
        demand: jobs.CapacityDemand = task.step
        if self._must_isolate(job, task, now):
            demand = task.step.isolated
            self._isolate(job, task, now)
        else:
            demand.waiting_tasks.append(task)
        if demand.request_all_at is None:
            demand.request_all_at = now

    def isolate_known(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Isolate the tasks under which a target crashed before their job was sent again."""
        for step in job.steps:
            for task in list(step.waiting_tasks):
                if self._must_isolate(job, task, now):
                    step.waiting_tasks.remove(task)
                    self._isolate(job, task, now)

    def end_long_isolations(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Let suspects that are probably innocent run beside others if no target becomes empty."""
        for step in job.steps:
            for task in list(step.isolated.waiting_tasks):
                waited = now - task.isolated_since
                if waited < _ISOLATION_PATIENCE or self._is_likely_culprit(job, task, now):
                    continue
                step.isolated.waiting_tasks.remove(task)
                step.waiting_tasks.append(task)
                step.request_all_at = now
                if not step.isolated.waiting_tasks:
                    self._requester.withdraw(job, step.isolated)

    def _isolate(self, job: jobs.Job, task: jobs.Task, now: datetime.datetime) -> None:
        task.step.isolate(task, now, is_last=self._is_likely_culprit(job, task, now))

    def _must_isolate(self, job: jobs.Job, task: jobs.Task, now: datetime.datetime) -> bool:
        return self._history.must_isolate(job.request.id, job.task_name(task), now)

    def _is_likely_culprit(self, job: jobs.Job, task: jobs.Task, now: datetime.datetime) -> bool:
        return self._history.is_likely_culprit(job.request.id, job.task_name(task), now)

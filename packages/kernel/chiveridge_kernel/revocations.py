"""Applies changes of the targets that teams may use to jobs that are already admitted.

Tasks that have not started are sent only to targets that the team may still use. A job with a
task that fits none of them fails. Starts that wait for a connection are withdrawn. Running tasks
are not stopped.
"""

import datetime

from chiveridge_kernel import actions, dispatchers, errors, jobs, reaches


class Revoker:
    """Checks the jobs of a dispatcher again after the configuration has changed."""

    def __init__(self, dispatcher: dispatchers.Dispatcher, reach: reaches.Reach):
        self._dispatcher = dispatcher
        self._reach = reach

    def recheck_jobs(self, teams: set[str], now: datetime.datetime) -> None:
        """Restrict or extend the jobs of some teams to the targets that the teams may use now."""
        for job in self._unrevoked_jobs(teams):
            self._recheck_job(job, now)
            for task in job.running_tasks():
                if job.revocation_reason or not job.candidates.contains(task.target.name):
                    self._withdraw_start(task)

    def revoke_jobs(self, teams: set[str], now: datetime.datetime) -> None:
        """Revoke the jobs of teams whose last key was removed."""
        for job in self._unrevoked_jobs(teams):
            self._dispatcher.revoke_job(job, f"team {job.team!r} has no key any more", now)
            for task in job.running_tasks():
                self._withdraw_start(task)

    def _unrevoked_jobs(self, teams: set[str]) -> list[jobs.Job]:
        current_jobs = self._dispatcher.jobs_by_id.values()
        return [job for job in current_jobs if job.team in teams and not job.revocation_reason]

    def _recheck_job(self, job: jobs.Job, now: datetime.datetime) -> None:
        old_candidates = job.candidates
        try:
            job.candidates = self._reach.candidates(job.team, job.selector)
        except errors.RefusedError as refusal:
            self._dispatcher.revoke_job(job, refusal.message, now)
            return
        if not all(
            job.candidates.fitting_vms(task.spec) for task in [*job.waiting, *job.held_tasks]
        ):
            reason = "a task fits no target that the team may still use"
            self._dispatcher.revoke_job(job, reason, now)
        elif job.waiting and job.candidates is not old_candidates:
            self._dispatcher.policy.place_tasks(job, now)

    def _withdraw_start(self, task: jobs.Task) -> None:
        self._dispatcher.outbox.append(actions.WithdrawStart(lease_id=task.lease_id))

"""Hold and stop requests to targets, and the handling of their replies."""

import datetime
from typing import TYPE_CHECKING

from chiveridge_pool import (
    actions,
    events,
    grants,
    holdings,
    identifiers,
    lags,
    mailboxes,
    notes,
    runs,
    speeds,
    timings,
)

if TYPE_CHECKING:
    from chiveridge_pool import holders

_RETRY_AFTER = {
    events.Failure.UNREACHABLE: datetime.timedelta(milliseconds=100),
    events.Failure.UNHEALTHY: datetime.timedelta(milliseconds=100),
    events.Failure.INVALID: datetime.timedelta(milliseconds=500),
}
"""Delay before the next hold request, by the failure of the last; none after a timeout."""

_UNKNOWN_RUN_POLL_INTERVAL = datetime.timedelta(milliseconds=30)
_STOPPED_RUN_LISTED_WITHIN = datetime.timedelta(milliseconds=60)
"""Time after a confirmed stop within which the target lists the run's end.

The platform's stop time and 10 ms.
"""

_FIRST_SUSPENSION = datetime.timedelta(milliseconds=500)
_MAX_SUSPENSION = datetime.timedelta(seconds=4)
_SLOW_TARGET_TRIAL_INTERVAL = datetime.timedelta(milliseconds=700)
"""Interval between single runs on a slow target, which show when it has recovered."""

_FIRST_RUN = 1
_FAILED_JOBS_TOLERATED = 1


class Orders:
    """Sends hold and stop requests to owned targets."""

    def __init__(self, mailbox: mailboxes.Mailbox, holder: "holders.Holder", lag: lags.Lag):
        self._mailbox = mailbox
        self._holder = holder
        self._due_by_target: dict[identifiers.TargetId, datetime.datetime] = {}
        self._pending_token_by_target: dict[identifiers.TargetId, identifiers.FencingToken] = {}
        self._lag = lag
        self._speeds = speeds.Speeds()
        self._trial_due_by_target: dict[identifiers.TargetId, datetime.datetime] = {}
        self._last_timeout_at: datetime.datetime | None = None
        self._failed_jobs_by_target: dict[identifiers.TargetId, set[identifiers.JobId]] = {}

    def tick(self, holding: holdings.Holding, now: datetime.datetime) -> None:
        """Perform the due hold, stops and expirations of one target."""
        target = holding.target.id
        due = self._due_by_target.get(target)
        if self._pending_token_by_target.get(target) != holding.token and (
            due is None or now >= due
        ):
            self.send_hold(holding, now)
        for grant in list(holding.grants_by_id.values()):
            self._tick_grant(holding, grant, now)
        if holding.failures and now >= holding.lease_expires_at:
            self._expire_runs(holding)

    def _tick_grant(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        if grant.state is runs.GrantState.RESERVED:
            if now >= grant.expires_at:
                holding.remove(grant)
        elif grant.state is runs.GrantState.STOPPING:
            is_due = now - (grant.stop_sent_at or now) >= timings.STOP_INTERVAL
            if is_due and not grant.is_confirmed_stopped:
                self._send_run_stop(holding, grant, now)

    def _expire_runs(self, holding: holdings.Holding) -> None:
        """End the runs of a silent target whose lease has expired, and release it."""
        expired = holding.sent_grants()
        for grant in expired:
            self._holder.end_grant(holding, grant, runs.RunEnd.LAPSED, "the target is silent")
        if expired:
            self._holder.release_target(holding)

    def send_hold(self, holding: holdings.Holding, now: datetime.datetime) -> None:
        """Send a hold request: renew the lease, acknowledge ends and poll for new ones."""
        is_held = holding.state is holdings.HoldingState.HELD
        # The lease of a silent target is not renewed, so that its runs expire at a known time.
        may_renew = holding.has_clock() and not holding.unknown_runs and not holding.failures
        until_ms = holding.lease_end_ms(now) if may_renew else None
        if until_ms is not None:
            holding.extend_lease(now)
        is_healthy = is_held and not holding.failures and not holding.unknown_runs
        wait = self._hold_wait(now) if is_healthy else datetime.timedelta()
        self._pending_token_by_target[holding.target.id] = holding.token
        self._mailbox.add(
            actions.Hold(
                target=holding.target,
                token=holding.token,
                until_ms=until_ms,
                acknowledged=holding.acknowledged,
                wait=wait,
                timeout=wait + timings.HOLD_TIMEOUT + self._lag.allowance(),
            )
        )

    def _hold_wait(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long a hold may wait; a short wait delays fewer ends if its reply is lost."""
        is_losing_replies = (
            self._last_timeout_at is not None and now - self._last_timeout_at < timings.LOSS_MEMORY
        )
        return timings.HOLD_WAIT_IN_LOSS if is_losing_replies else timings.HOLD_WAIT

    def handle_hold_reply(
        self, holding: holdings.Holding, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        """Handle the reply to a hold request, or its failure."""
        target = holding.target.id
        self._pending_token_by_target.pop(target, None)
        if event.failure is events.Failure.FENCED:
            self._holder.handle_fencing(holding, now)
            return
        if event.failure is events.Failure.WRONG_INSTANCE:
            self._holder.handle_wrong_instance(holding, now)
            return
        if event.failure is not None:
            self._handle_hold_failure(holding, event.failure, now)
            return
        self._due_by_target.pop(target, None)
        if event.born and holding.born and event.born != holding.born:
            self._holder.end_incarnation(holding, "the target started anew", now)
            return
        self._process_reply(holding, event, now)
        if holding.unknown_runs:
            self._due_by_target[target] = now + _UNKNOWN_RUN_POLL_INTERVAL
            return
        self.send_hold(holding, now)

    def _handle_hold_failure(
        self, holding: holdings.Holding, failure: events.Failure, now: datetime.datetime
    ) -> None:
        if not holding.failures:
            self._mailbox.note(
                notes.NoteEvent.TARGET_SILENT, target=holding.target.id, failure=failure.value
            )
        holding.failures += 1
        if failure is events.Failure.TIMEOUT:
            self._last_timeout_at = now
        if failure is events.Failure.UNREACHABLE and holding.grants_by_id:
            self._holder.end_incarnation(holding, "the target refuses connections", now)
            return
        pause = _RETRY_AFTER.get(failure, datetime.timedelta())
        if now >= holding.lease_expires_at:
            pause = timings.CLAIM_RETRY
        if pause:
            self._due_by_target[holding.target.id] = now + pause
        else:
            self.send_hold(holding, now)

    def _process_reply(
        self, holding: holdings.Holding, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        if holding.failures:
            self._mailbox.note(notes.NoteEvent.TARGET_BACK, target=holding.target.id)
        holding.born = event.born or holding.born
        holding.failures = 0
        holding.replied_at = now
        holding.record_clock(event.clock_ms, now)
        self._process_ends(holding, event, now)
        self._process_running(holding, event, now)

    def _process_ends(
        self, holding: holdings.Holding, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        by_key = {grant.key: grant for grant in holding.sent_grants()}
        for row in event.ended:
            if row.number <= holding.acknowledged:
                continue
            holding.acknowledged = row.number
            grant = by_key.get((row.task, row.run))
            if grant is None:
                continue
            how = runs.END_BY_WORD.get(row.how, runs.RunEnd.LOST)
            self._suspend_if_failing(holding, grant, how, now)
            if how is runs.RunEnd.DONE:
                self._speeds.ended(holding.target.id, grant, now)
            self._holder.end_grant(holding, grant, how)

    def _suspend_if_failing(
        self,
        holding: holdings.Holding,
        grant: grants.Grant,
        how: runs.RunEnd,
        now: datetime.datetime,
    ) -> None:
        """Suspend a target on which tasks of several jobs fail without a success in between."""
        jobs = self._failed_jobs_by_target.setdefault(holding.target.id, set())
        if how is runs.RunEnd.DONE:
            jobs.clear()
        elif how is runs.RunEnd.FAILED:
            jobs.add(grant.job)
            if len(jobs) > _FAILED_JOBS_TOLERATED:
                pause = _FIRST_SUSPENSION * 2 ** (len(jobs) - _FAILED_JOBS_TOLERATED - 1)
                holding.suspended_until = now + min(pause, _MAX_SUSPENSION)
                self._mailbox.note(
                    notes.NoteEvent.TARGET_SUSPENDED,
                    target=holding.target.id,
                    failed_jobs=len(jobs),
                )

    def _process_running(
        self, holding: holdings.Holding, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        rows = {(row.task, row.run): row for row in event.running}
        by_key = {grant.key: grant for grant in holding.sent_grants()}
        holding.unknown_runs = {key for key in rows if key not in by_key}
        for task, run in sorted(holding.unknown_runs):
            self._mailbox.note(
                notes.NoteEvent.STRANGER_STOPPED, target=holding.target.id, task=task, run=run
            )
            self._request_stop(holding, identifiers.GrantId(""), task, run)
        for key, grant in by_key.items():
            if key in rows:
                self._process_progress(holding, grant, rows[key], now)
            else:
                self._end_if_stopped(holding, grant, event.sent_at)
        if holding.state is holdings.HoldingState.CLAIM and not holding.unknown_runs:
            holding.state = holdings.HoldingState.HELD
            self._holder.record_accepted_claim(holding)

    def _process_progress(
        self,
        holding: holdings.Holding,
        grant: grants.Grant,
        row: events.Running,
        now: datetime.datetime,
    ) -> None:
        """Record a run's progress, and stop the run if it would finish sooner on another target."""
        if grant.state is runs.GrantState.STARTING:
            grant.state = runs.GrantState.RUNNING
        grant.record_progress(row.percent, now)
        if grant.state is not runs.GrantState.RUNNING:
            return
        self._speeds.progressed(holding.target.id, grant, now)
        # A task is moved at most once, since the job rather than the target may be slow.
        may_move = grant.run == _FIRST_RUN and self._speeds.is_slow(holding.target.id)
        if may_move and self._speeds.is_sooner_elsewhere(grant, now):
            self.stop(holding, grant, f"at {row.percent}% on a slow target", now)

    def is_fast_or_trial_due(self, holding: holdings.Holding, now: datetime.datetime) -> bool:
        """Return whether a target is not slow, or is due for a single trial run."""
        target = holding.target.id
        if not self._speeds.is_slow(target):
            return True
        return not holding.grants_by_id and now >= self._trial_due_by_target.get(target, now)

    def record_use(self, holding: holdings.Holding, now: datetime.datetime) -> None:
        """Record that a run is about to start; delays the next trial run on a slow target."""
        self._trial_due_by_target[holding.target.id] = now + _SLOW_TARGET_TRIAL_INTERVAL

    def _end_if_stopped(
        self, holding: holdings.Holding, grant: grants.Grant, requested_at: datetime.datetime
    ) -> None:
        """End a grant whose stop was confirmed and whose run the target does not list."""
        is_stopped = grant.state is runs.GrantState.STOPPING and grant.is_confirmed_stopped
        if is_stopped and requested_at - grant.state_changed_at >= _STOPPED_RUN_LISTED_WITHIN:
            self._holder.end_grant(holding, grant, runs.RunEnd.STOPPED, "it never ran")

    def stop(
        self,
        holding: holdings.Holding,
        grant: grants.Grant,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        """Stop a run; its capacity becomes free when its end is known."""
        if not grant.is_sent():
            self._holder.end_grant(holding, grant, runs.RunEnd.REFUSED, reason)
            return
        if grant.state is runs.GrantState.STOPPING:
            return
        grant.state = runs.GrantState.STOPPING
        grant.state_changed_at = now
        self._mailbox.note(
            notes.NoteEvent.RUN_STOPPED,
            job=grant.job,
            task=grant.task,
            run=grant.run,
            reason=reason,
        )
        self._send_run_stop(holding, grant, now)

    def _send_run_stop(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        grant.stop_sent_at = now
        self._request_stop(holding, grant.id, grant.task, grant.run)

    def _request_stop(
        self,
        holding: holdings.Holding,
        grant: identifiers.GrantId,
        task: identifiers.TaskName,
        run: identifiers.RunNumber,
    ) -> None:
        self._mailbox.add(
            actions.StopRun(
                target=holding.target,
                token=holding.token,
                grant=grant,
                task=task,
                run=run,
                timeout=timings.ORDER_TIMEOUT + self._lag.allowance(),
            )
        )

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

_STRANGER_POLL = datetime.timedelta(milliseconds=30)
_SETTLED_AFTER_STOP = datetime.timedelta(milliseconds=60)
"""Time after a confirmed stop within which the target lists the run's end.

The platform's stop time and 10 ms.
"""

_SUSPEND_FAILING = datetime.timedelta(milliseconds=500)
_MAX_SUSPENSION = datetime.timedelta(seconds=4)
_TRY_SLOW_EVERY = datetime.timedelta(milliseconds=700)
"""Interval between single runs on a slow target, which show when it has recovered."""

_FIRST_RUN = 1
_FAILURES_TOLERATED = 1


class Orders:
    """Sends hold and stop requests to owned targets."""

    def __init__(self, mailbox: mailboxes.Mailbox, holder: "holders.Holder", lag: lags.Lag):
        self._mailbox = mailbox
        self._holder = holder
        self._due_by_target: dict[identifiers.TargetId, datetime.datetime] = {}
        self._pending: dict[identifiers.TargetId, identifiers.FencingToken] = {}
        self._lag = lag
        self._speeds = speeds.Speeds()
        self._try_due_by_target: dict[identifiers.TargetId, datetime.datetime] = {}
        self._lost_at: datetime.datetime | None = None
        self._failed_jobs_by_target: dict[identifiers.TargetId, set[identifiers.JobId]] = {}

    def tick(self, holding: holdings.Holding, now: datetime.datetime) -> None:
        """Perform the due hold, stops and expirations of one target."""
        target = holding.target.id
        due = self._due_by_target.get(target)
        if self._pending.get(target) != holding.token and (due is None or now >= due):
            self.hold(holding, now)
        for grant in list(holding.grants_by_id.values()):
            self._tick_grant(holding, grant, now)
        if holding.failures and now >= holding.lapses_at:
            self._lapse(holding)

    def _tick_grant(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        if grant.state is runs.GrantState.RESERVED:
            if now >= grant.expires_at:
                holding.remove(grant)
        elif grant.state is runs.GrantState.STOPPING:
            is_due = now - (grant.stopped_at or now) >= timings.STOP_INTERVAL
            if is_due and not grant.is_confirmed_stopped:
                self._send_stop(holding, grant, now)

    def _lapse(self, holding: holdings.Holding) -> None:
        """End the runs of a silent target whose lease has expired, and release it."""
        lapsed = holding.sent_grants()
        for grant in lapsed:
            self._holder.finish(holding, grant, runs.RunEnd.LAPSED, "the target is silent")
        if lapsed:
            self._holder.renounce(holding)

    def hold(self, holding: holdings.Holding, now: datetime.datetime) -> None:
        """Send a hold request: renew the lease, acknowledge ends and poll for new ones."""
        is_held = holding.state is holdings.HoldingState.HELD
        # The lease of a silent target is not renewed, so that its runs expire at a known time.
        may_renew = holding.knows_clock() and not holding.strangers and not holding.failures
        until_ms = holding.lease_until(now) if may_renew else None
        if until_ms is not None:
            holding.note_renewal(now)
        is_calm = is_held and not holding.failures and not holding.strangers
        wait = self._wait(now) if is_calm else datetime.timedelta()
        self._pending[holding.target.id] = holding.token
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

    def _wait(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long a hold may wait; a short wait delays fewer ends if its reply is lost."""
        is_lossy = self._lost_at is not None and now - self._lost_at < timings.LOSS_MEMORY
        return timings.HOLD_WAIT_IN_LOSS if is_lossy else timings.HOLD_WAIT

    def hold_replied(
        self, holding: holdings.Holding, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        """Handle the reply to a hold request, or its failure."""
        target = holding.target.id
        self._pending.pop(target, None)
        if event.failure is events.Failure.FENCED:
            self._holder.fenced(holding, now)
            return
        if event.failure is events.Failure.WRONG_INSTANCE:
            self._holder.target_gone(holding, now)
            return
        if event.failure is not None:
            self._hold_failed(holding, event.failure, now)
            return
        self._due_by_target.pop(target, None)
        if event.born and holding.born and event.born != holding.born:
            self._holder.drop_life(holding, "the target started anew", now)
            return
        self._take_news(holding, event, now)
        if holding.strangers:
            self._due_by_target[target] = now + _STRANGER_POLL
            return
        self.hold(holding, now)

    def _hold_failed(
        self, holding: holdings.Holding, failure: events.Failure, now: datetime.datetime
    ) -> None:
        if not holding.failures:
            self._mailbox.note(
                notes.NoteEvent.TARGET_SILENT, target=holding.target.id, failure=failure.value
            )
        holding.failures += 1
        if failure is events.Failure.TIMEOUT:
            self._lost_at = now
        if failure is events.Failure.UNREACHABLE and holding.grants_by_id:
            self._holder.drop_life(holding, "the target refuses connections", now)
            return
        pause = _RETRY_AFTER.get(failure, datetime.timedelta())
        if now >= holding.lapses_at:
            pause = timings.CLAIM_RETRY
        if pause:
            self._due_by_target[holding.target.id] = now + pause
        else:
            self.hold(holding, now)

    def _take_news(
        self, holding: holdings.Holding, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        if holding.failures:
            self._mailbox.note(notes.NoteEvent.TARGET_BACK, target=holding.target.id)
        holding.born = event.born or holding.born
        holding.failures = 0
        holding.replied_at = now
        holding.see_clock(event.clock_ms, now)
        self._take_ends(holding, event, now)
        self._take_running(holding, event, now)

    def _take_ends(
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
            self._judge(holding, grant, how, now)
            if how is runs.RunEnd.DONE:
                self._speeds.ended(holding.target.id, grant, now)
            self._holder.finish(holding, grant, how)

    def _judge(
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
            if len(jobs) > _FAILURES_TOLERATED:
                pause = _SUSPEND_FAILING * 2 ** (len(jobs) - _FAILURES_TOLERATED - 1)
                holding.suspended_until = now + min(pause, _MAX_SUSPENSION)
                self._mailbox.note(
                    notes.NoteEvent.TARGET_SUSPENDED,
                    target=holding.target.id,
                    failed_jobs=len(jobs),
                )

    def _take_running(
        self, holding: holdings.Holding, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        rows = {(row.task, row.run): row for row in event.running}
        by_key = {grant.key: grant for grant in holding.sent_grants()}
        holding.strangers = {key for key in rows if key not in by_key}
        for task, run in sorted(holding.strangers):
            self._mailbox.note(
                notes.NoteEvent.STRANGER_STOPPED, target=holding.target.id, task=task, run=run
            )
            self._order_stop(holding, identifiers.GrantId(""), task, run)
        for key, grant in by_key.items():
            if key in rows:
                self._take_progress(holding, grant, rows[key], now)
            else:
                self._missing(holding, grant, event.sent_at)
        if holding.state is holdings.HoldingState.CLAIM and not holding.strangers:
            holding.state = holdings.HoldingState.HELD
            self._holder.claimed(holding)

    def _take_progress(
        self,
        holding: holdings.Holding,
        grant: grants.Grant,
        row: events.Running,
        now: datetime.datetime,
    ) -> None:
        """Record a run's progress, and stop the run if it would finish sooner on another target."""
        if grant.state is runs.GrantState.STARTING:
            grant.state = runs.GrantState.RUNNING
        grant.see_running(row.percent, now)
        if grant.state is not runs.GrantState.RUNNING:
            return
        self._speeds.progressed(holding.target.id, grant, now)
        # A task is moved at most once, since the job rather than the target may be slow.
        may_move = grant.run == _FIRST_RUN and self._speeds.is_slow(holding.target.id)
        if may_move and self._speeds.is_sooner_elsewhere(grant, now):
            self.stop(holding, grant, f"at {row.percent}% on a slow target", now)

    def may_use(self, holding: holdings.Holding, now: datetime.datetime) -> bool:
        """Return whether a target is not slow, or is due for a single trial run."""
        target = holding.target.id
        if not self._speeds.is_slow(target):
            return True
        return not holding.grants_by_id and now >= self._try_due_by_target.get(target, now)

    def note_use(self, holding: holdings.Holding, now: datetime.datetime) -> None:
        """Record that a run is about to start; delays the next trial run on a slow target."""
        self._try_due_by_target[holding.target.id] = now + _TRY_SLOW_EVERY

    def _missing(
        self, holding: holdings.Holding, grant: grants.Grant, asked_at: datetime.datetime
    ) -> None:
        """End a grant whose stop was confirmed and whose run the target does not list."""
        is_stopped = grant.state is runs.GrantState.STOPPING and grant.is_confirmed_stopped
        if is_stopped and asked_at - grant.changed_at >= _SETTLED_AFTER_STOP:
            self._holder.finish(holding, grant, runs.RunEnd.STOPPED, "it never ran")

    def stop(
        self,
        holding: holdings.Holding,
        grant: grants.Grant,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        """Stop a run; its capacity becomes free when its end is known."""
        if not grant.is_sent():
            self._holder.finish(holding, grant, runs.RunEnd.REFUSED, reason)
            return
        if grant.state is runs.GrantState.STOPPING:
            return
        grant.state = runs.GrantState.STOPPING
        grant.changed_at = now
        self._mailbox.note(
            notes.NoteEvent.RUN_STOPPED,
            job=grant.job,
            task=grant.task,
            run=grant.run,
            reason=reason,
        )
        self._send_stop(holding, grant, now)

    def _send_stop(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        grant.stopped_at = now
        self._order_stop(holding, grant.id, grant.task, grant.run)

    def _order_stop(
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

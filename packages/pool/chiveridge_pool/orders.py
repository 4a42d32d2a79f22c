"""Hold and stop requests to targets, and the handling of their replies."""

import datetime
import itertools
from typing import TYPE_CHECKING

import msgspec

from chiveridge_pool import (
    actions,
    end_proofs,
    events,
    grants,
    identifiers,
    loop_lags,
    notes,
    outboxes,
    owned_targets,
    restart_signs,
    runs,
    slow_targets,
    target_preferences,
    timings,
)

if TYPE_CHECKING:
    from chiveridge_pool import target_owners

_RETRY_AFTER = {
    events.Failure.UNREACHABLE: datetime.timedelta(milliseconds=100),
    events.Failure.UNHEALTHY: datetime.timedelta(milliseconds=100),
    events.Failure.INVALID: datetime.timedelta(milliseconds=500),
    events.Failure.UNREADABLE: datetime.timedelta(milliseconds=500),
}
"""Delay before the next hold request, by the failure of the last; none after a timeout."""

_LOST_REPLIES = frozenset({events.Failure.TIMEOUT, events.Failure.BROKEN})

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


class _PendingHold(msgspec.Struct, frozen=True):
    """The newest hold request sent to a target, until it is answered."""

    number: int
    token: identifiers.FencingToken
    wait: datetime.timedelta

    @property
    def is_idle(self) -> bool:
        """Whether it waits for the end of a run on a target on which nothing runs."""
        return self.wait == timings.IDLE_HOLD_WAIT


class Orders:
    """Sends hold and stop requests to owned targets."""

    def __init__(
        self,
        outbox: outboxes.Outbox,
        target_owner: "target_owners.TargetOwner",
        loop_lag: loop_lags.LoopLag,
        preferences: frozenset[target_preferences.Preference],
    ):
        self._outbox = outbox
        self._target_owner = target_owner
        self._due_by_target: dict[identifiers.TargetId, datetime.datetime] = {}
        self._hold_numbers = itertools.count(1)
        self._pending_by_target: dict[identifiers.TargetId, _PendingHold] = {}
        self._loop_lag = loop_lag
        self.preferences = target_preferences.TargetPreferences(outbox, preferences)
        self._slow_targets = slow_targets.SlowTargets(self.preferences.speeds.excess_of)
        self._trial_due_by_target: dict[identifiers.TargetId, datetime.datetime] = {}
        self._last_timeout_at: datetime.datetime | None = None
        self._failed_jobs_by_target: dict[identifiers.TargetId, set[identifiers.JobId]] = {}

    def tick(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Perform the due hold, stops and expirations of one target."""
        if self._is_hold_due(owned, now):
            self.send_hold(owned, now)
        for grant in list(owned.grants_by_id.values()):
            self._tick_grant(owned, grant, now)
        if owned.failures and now >= owned.lease_expires_at:
            self._target_owner.lost_targets.expire_runs(owned, now)

    def _is_hold_due(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> bool:
        pending = self._pending_by_target.get(owned.target.id)
        if pending is None or pending.token != owned.token:
            due = self._due_by_target.get(owned.target.id)
            return due is None or now >= due
        return pending.is_idle and owned.needs_renewal(now)

    def probe(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Ask a target at once that did not answer, unless a hold will soon show why."""
        pending = self._pending_by_target.get(owned.target.id)
        if pending is not None and pending.is_idle:
            self.send_hold(owned, now)

    def suspect_restart(
        self, owned: owned_targets.OwnedTarget, sign: str, now: datetime.datetime
    ) -> None:
        """Record a sign that a target may have restarted, and ask it at once.

        One hold at a time asks: if a sign comes while one is on its way, the next one follows its
        reply.
        """
        self._record_sign(owned, sign)
        self.ask_at_once(owned, now)

    def ask_at_once(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Send a hold that is answered at once, unless one is on its way or due later."""
        pending = self._pending_by_target.get(owned.target.id)
        if pending is not None and pending.wait:
            self.send_hold(owned, now)

    def check_clock(
        self, owned: owned_targets.OwnedTarget, clock_ms: int, now: datetime.datetime
    ) -> bool:
        """Record a reading of the target's clock; return whether its incarnation is the same.

        A reading of 0 tells nothing.
        """
        is_same = owned.agrees_with_clock(clock_ms, now)
        if clock_ms:
            if is_same:
                owned.restart_signs.record_reply(now)
            else:
                self.suspect_restart(owned, "another clock", now)
            owned.record_clock(clock_ms, now)
        return is_same

    def _record_sign(self, owned: owned_targets.OwnedTarget, sign: str) -> None:
        if owned.restart_signs.record_sign():
            self._outbox.note(
                notes.NoteEvent.RESTART_SUSPECTED,
                target=owned.target.id,
                started_at_ms=owned.started_at_ms,
                sign=sign,
                runs=len(owned.sent_grants()),
            )

    def _record_hold_reply(
        self, owned: owned_targets.OwnedTarget, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        # A process that was paused finds old replies.
        latest_reply_at = event.sent_at + timings.HOLD_WAIT + timings.HOLD_TIMEOUT
        owned.restart_signs.record_reply(min(now, latest_reply_at))
        if owned.restart_signs.record_hold_reply(event.number):
            self._outbox.note(
                notes.NoteEvent.RESTART_RULED_OUT,
                target=owned.target.id,
                started_at_ms=owned.started_at_ms,
                waiting=len(owned.waiting_starts),
            )

    def _tick_grant(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        if grant.state is runs.GrantState.RESERVED:
            # A start that waits is refused with its reason instead.
            if now >= grant.expires_at and grant.id not in owned.waiting_starts:
                owned.remove(grant)
        elif grant.state is runs.GrantState.STOPPING:
            is_due = now - (grant.stop_sent_at or now) >= timings.STOP_INTERVAL
            if is_due and not grant.is_confirmed_stopped:
                self._send_run_stop(owned, grant, now)
        told_at = grant.unanswered_told_at
        if told_at is not None and now - told_at >= timings.UNANSWERED_NOTICE_INTERVAL:
            self._outbox.notify_unanswered(grant, now)

    def send_hold(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Send a hold request: renew the lease, acknowledge ends and poll for new ones."""
        is_owned = owned.state is owned_targets.OwnershipState.OWNED
        # The lease of a silent target is not renewed, so that its runs expire at a known time.
        is_idle = is_owned and owned.is_idle(now)
        may_renew = (
            owned.has_clock() and not owned.unknown_runs and not owned.failures and not is_idle
        )
        until_ms = owned.lease_end_ms(now) if may_renew else None
        if until_ms is not None:
            owned.extend_lease(now)
        is_healthy = (
            is_owned
            and not owned.failures
            and not owned.unknown_runs
            and not owned.restart_signs.has_sign()
            and not owned.waiting_starts
        )
        wait = self._hold_wait(now, is_idle) if is_healthy else datetime.timedelta()
        number = next(self._hold_numbers)
        self._pending_by_target[owned.target.id] = _PendingHold(number, owned.token, wait)
        allowance = self._loop_lag.timeout_allowance()
        owned.restart_signs.record_hold(
            number, now + wait + timings.REPLY_OVERDUE_AFTER + allowance
        )
        self._outbox.add(
            actions.Hold(
                target=owned.target,
                token=owned.token,
                number=number,
                until_ms=until_ms,
                acknowledged=owned.acknowledged,
                wait=wait,
                timeout=wait + timings.HOLD_TIMEOUT + allowance,
            )
        )

    def _hold_wait(self, now: datetime.datetime, is_idle: bool) -> datetime.timedelta:
        """Return how long a hold may wait; a short wait delays fewer ends if its reply is lost."""
        if is_idle:
            return timings.IDLE_HOLD_WAIT
        is_losing_replies = (
            self._last_timeout_at is not None
            and now - self._last_timeout_at < timings.REPLY_LOSS_WINDOW
        )
        return timings.HOLD_WAIT_DURING_LOSS if is_losing_replies else timings.HOLD_WAIT

    def handle_hold_reply(
        self, owned: owned_targets.OwnedTarget, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        """Handle the reply to a hold request, or its failure."""
        target = owned.target.id
        pending = self._pending_by_target.get(target)
        is_newest = pending is None or pending.number <= event.number
        if is_newest:
            self._pending_by_target.pop(target, None)
        if event.failure is events.Failure.FENCED:
            self._target_owner.handle_fencing(owned, now)
            return
        if event.failure is events.Failure.WRONG_INSTANCE:
            self._target_owner.handle_wrong_instance(owned, now)
            return
        if not is_newest:
            self._process_overtaken_reply(owned, event, now)
            return
        if event.failure is not None:
            self._handle_hold_failure(owned, event.failure, now)
            return
        self._due_by_target.pop(target, None)
        if (
            event.started_at_ms
            and owned.started_at_ms
            and event.started_at_ms != owned.started_at_ms
        ):
            self._target_owner.lost_targets.end_incarnation(owned, "the target started anew", now)
            return
        self._process_reply(owned, event, now)
        self._target_owner.resume_starts(owned, now)
        if owned.unknown_runs:
            self._due_by_target[target] = now + _UNKNOWN_RUN_POLL_INTERVAL
            return
        self.send_hold(owned, now)

    def _process_overtaken_reply(
        self, owned: owned_targets.OwnedTarget, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        """Take the ends from a reply after which a newer hold was sent; what runs may be old."""
        if event.failure in restart_signs.UNANSWERED_ORDERS:
            self.suspect_restart(owned, f"hold {event.failure.value}", now)
        elif 0 < owned.started_at_ms < event.started_at_ms:
            self.suspect_restart(owned, "hold answered by another incarnation", now)
        elif event.failure is None and event.started_at_ms in (0, owned.started_at_ms):
            self._record_hold_reply(owned, event, now)
            self._process_ends(owned, event, now)

    def _handle_hold_failure(
        self, owned: owned_targets.OwnedTarget, failure: events.Failure, now: datetime.datetime
    ) -> None:
        if not owned.failures:
            self._outbox.note(
                notes.NoteEvent.TARGET_SILENT, target=owned.target.id, failure=failure.value
            )
        owned.failures += 1
        if failure in restart_signs.UNANSWERED_ORDERS:
            self._record_sign(owned, f"hold {failure.value}")
        if failure in _LOST_REPLIES:
            self._last_timeout_at = now
        if failure is events.Failure.UNREACHABLE and owned.grants_by_id:
            self._target_owner.lost_targets.end_refusing(owned, now)
            return
        pause = _RETRY_AFTER.get(failure, datetime.timedelta())
        if now >= owned.lease_expires_at:
            pause = timings.CLAIM_RETRY_INTERVAL
        if pause:
            self._due_by_target[owned.target.id] = now + pause
        else:
            self.send_hold(owned, now)

    def _process_reply(
        self, owned: owned_targets.OwnedTarget, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        if owned.failures:
            self._outbox.note(notes.NoteEvent.TARGET_BACK, target=owned.target.id)
        owned.started_at_ms = event.started_at_ms or owned.started_at_ms
        if self._target_owner.incarnations.observe(owned, now):
            self.forget_target(owned.target.id)
        owned.failures = 0
        self._record_hold_reply(owned, event, now)
        # A process that was paused finds old replies.
        owned.replied_at = min(now, event.sent_at + timings.HOLD_WAIT + timings.HOLD_TIMEOUT)
        owned.record_clock(event.clock_ms, now)
        self._process_ends(owned, event, now)
        self._process_running(owned, event, now)

    def forget_target(self, target: identifiers.TargetId) -> None:
        """Forget what was learned of a target, as its next incarnation may be of another kind."""
        self.preferences.speeds.forget(target)
        self._slow_targets.forget(target)
        self._trial_due_by_target.pop(target, None)
        self._failed_jobs_by_target.pop(target, None)

    def _process_ends(
        self, owned: owned_targets.OwnedTarget, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        by_key = {grant.key: grant for grant in owned.sent_grants()}
        for row in event.ended:
            if row.number <= owned.acknowledged:
                continue
            owned.acknowledged = row.number
            grant = by_key.get((row.task, row.run))
            how = runs.END_BY_VALUE.get(row.how, runs.RunEnd.LOST)
            if grant is None:
                key = (row.task, row.run)
                self._target_owner.orphaned_grants.end_listed(owned.target.id, key, how, now)
                continue
            self._suspend_if_failing(owned, grant, how, now)
            if how is runs.RunEnd.DONE:
                excess = self._slow_targets.record_completion(owned.target.id, grant, now)
                if excess is not None:
                    is_slow = self._slow_targets.is_slow(owned.target.id)
                    self.preferences.record_completion(owned, grant, excess, is_slow=is_slow)
            proof = end_proofs.EndProof.LISTED
            self._target_owner.end_grant(owned, grant, how, proof, "", now)

    def _suspend_if_failing(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        how: runs.RunEnd,
        now: datetime.datetime,
    ) -> None:
        """Suspend a target on which tasks of several jobs fail without a success in between."""
        jobs = self._failed_jobs_by_target.setdefault(owned.target.id, set())
        if how is runs.RunEnd.DONE:
            jobs.clear()
        elif how is runs.RunEnd.FAILED:
            jobs.add(grant.job)
            if len(jobs) > _FAILED_JOBS_TOLERATED:
                pause = _FIRST_SUSPENSION * 2 ** (len(jobs) - _FAILED_JOBS_TOLERATED - 1)
                owned.suspended_until = now + min(pause, _MAX_SUSPENSION)
                self._outbox.note(
                    notes.NoteEvent.TARGET_SUSPENDED,
                    target=owned.target.id,
                    failed_jobs=len(jobs),
                )

    def _process_running(
        self, owned: owned_targets.OwnedTarget, event: events.HoldReplied, now: datetime.datetime
    ) -> None:
        rows = {(row.task, row.run): row for row in event.running}
        by_key = {grant.key: grant for grant in owned.sent_grants()}
        owned.unknown_runs = {key for key in rows if key not in by_key}
        for task, run in sorted(owned.unknown_runs):
            self._outbox.note(
                notes.NoteEvent.STRANGER_STOPPED, target=owned.target.id, task=task, run=run
            )
            self._request_stop(owned, identifiers.GrantId(""), task, run)
        for key, grant in by_key.items():
            if key in rows:
                self._process_progress(owned, grant, rows[key], now)
            elif owned.state is owned_targets.OwnershipState.CLAIMING:
                # The accepted token fences off what the former owner has sent.
                proof, reason = end_proofs.EndProof.FENCED_UNLISTED, "the target does not run it"
                self._target_owner.end_grant(owned, grant, runs.RunEnd.LOST, proof, reason, now)
            else:
                self._end_if_stopped(owned, grant, event.sent_at, now)
        if owned.state is owned_targets.OwnershipState.CLAIMING and not owned.unknown_runs:
            owned.state = owned_targets.OwnershipState.OWNED
            self._target_owner.record_accepted_claim(owned, now)

    def _process_progress(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        row: events.Running,
        now: datetime.datetime,
    ) -> None:
        """Record a run's progress, and stop the run if it would finish sooner on another target."""
        if grant.state is runs.GrantState.STARTING:
            grant.state = runs.GrantState.RUNNING
        grant.is_start_confirmed = True
        grant.record_progress(row.percent, now)
        if grant.state is not runs.GrantState.RUNNING:
            return
        self._slow_targets.record_progress(owned.target.id, grant, now)
        # A task is moved at most once, since the job rather than the target may be slow.
        may_move = grant.run == _FIRST_RUN and self._slow_targets.is_slow(owned.target.id)
        if may_move and self._slow_targets.should_restart_elsewhere(grant, now):
            self.stop(owned, grant, f"at {row.percent}% on a slow target", now)

    def is_fast_or_trial_due(
        self, owned: owned_targets.OwnedTarget, now: datetime.datetime
    ) -> bool:
        """Return whether a target is not slow, or is due for a single trial run."""
        target = owned.target.id
        if not self._slow_targets.is_slow(target):
            return True
        return not owned.grants_by_id and now >= self._trial_due_by_target.get(target, now)

    def record_use(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Record that a run is about to start; delays the next trial run on a slow target."""
        self._trial_due_by_target[owned.target.id] = now + _SLOW_TARGET_TRIAL_INTERVAL

    def _end_if_stopped(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        requested_at: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        """End a grant whose stop was confirmed and whose run the target does not list."""
        is_stopped = grant.state is runs.GrantState.STOPPING and grant.is_confirmed_stopped
        if is_stopped and requested_at - grant.state_changed_at >= _STOPPED_RUN_LISTED_WITHIN:
            proof = end_proofs.EndProof.STOPPED
            if grant.is_outdated:
                proof = end_proofs.EndProof.OUTDATED_UNLISTED
            end = runs.RunEnd.STOPPED
            self._target_owner.end_grant(owned, grant, end, proof, "it never ran", now)

    def stop(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        """Stop a run; its capacity becomes free when its end is known."""
        if not grant.is_sent():
            proof = end_proofs.EndProof.NEVER_SENT
            self._target_owner.end_grant(owned, grant, runs.RunEnd.REFUSED, proof, reason, now)
            return
        if grant.state is runs.GrantState.STOPPING:
            return
        grant.state = runs.GrantState.STOPPING
        grant.state_changed_at = now
        self._outbox.note(
            notes.NoteEvent.RUN_STOPPED,
            job=grant.job,
            task=grant.task,
            run=grant.run,
            reason=reason,
            attempts=grant.attempts.sent,
            unanswered=grant.attempts.unanswered_count(),
        )
        self._send_run_stop(owned, grant, now)

    def _send_run_stop(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        grant.stop_sent_at = now
        grant.stops_sent += 1
        self._request_stop(owned, grant.id, grant.task, grant.run)

    def _request_stop(
        self,
        owned: owned_targets.OwnedTarget,
        grant: identifiers.GrantId,
        task: identifiers.TaskName,
        run: identifiers.RunNumber,
    ) -> None:
        self._outbox.add(
            actions.StopRun(
                target=owned.target,
                token=owned.token,
                grant=grant,
                task=task,
                run=run,
                timeout=timings.ORDER_TIMEOUT + self._loop_lag.timeout_allowance(),
            )
        )

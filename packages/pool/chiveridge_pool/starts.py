"""Start requests to targets, and the handling of their replies."""

import datetime
from typing import TYPE_CHECKING

from chiveridge_pool import (
    actions,
    attempts,
    end_proofs,
    events,
    grants,
    loop_lags,
    orders,
    outboxes,
    owned_targets,
    runs,
    start_checks,
    timings,
)

if TYPE_CHECKING:
    from chiveridge_pool import target_owners

_UNHEALTHY_SUSPENSION = datetime.timedelta(milliseconds=400)
"""Pause in the use of a target that could not be reached or rejected a start as unhealthy."""

_SUSPENSION_BY_FAILURE = {
    # The target has less free capacity than its owner assumed.
    events.Failure.NO_ROOM: datetime.timedelta(milliseconds=50),
    # The estimate of the target's clock is out of date until the next hold.
    events.Failure.TOO_LATE: datetime.timedelta(milliseconds=50),
    events.Failure.UNHEALTHY: _UNHEALTHY_SUSPENSION,
    events.Failure.UNREACHABLE: _UNHEALTHY_SUSPENSION,
    events.Failure.UNREADABLE: _UNHEALTHY_SUSPENSION,
}
"""Pause in the use of a target after a failed start."""

_UNSENT_STATES = frozenset({runs.GrantState.RESERVED, runs.GrantState.STARTING})
"""States in which a start may still be sent for the first time, or again."""

_REASON_BY_FAILURE = {
    events.Failure.NO_ROOM: "the target has no room",
    events.Failure.UNHEALTHY: "the target is unhealthy",
    events.Failure.UNREACHABLE: "the target refused the connection",
    events.Failure.INVALID: "the target took it as invalid",
    events.Failure.TOO_LATE: "its start arrived too late",
    events.Failure.OLD_RUN: "the target saw a higher run",
    events.Failure.UNREADABLE: "the reply to its start was not readable",
    events.Failure.NOT_SENT: "its start could not be sent in time",
}


class Starts:
    """Starts runs on owned targets."""

    def __init__(
        self,
        outbox: outboxes.Outbox,
        target_owner: "target_owners.TargetOwner",
        target_orders: orders.Orders,
        loop_lag: loop_lags.LoopLag,
    ):
        self._outbox = outbox
        self._target_owner = target_owner
        self._orders = target_orders
        self._loop_lag = loop_lag
        self._checks = start_checks.StartChecks(target_owner)

    def start(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        """Send the start of a run, or a further attempt, if all that it needs still holds.

        Otherwise it waits for the target's next reply, or is not sent any more.
        """
        decision, reason = self._checks.decide(owned, grant, now)
        owned.waiting_starts.pop(grant.id, None)
        if decision is start_checks.Decision.SEND:
            self._send(owned, grant, now)
        elif decision is start_checks.Decision.STOP:
            self._orders.stop(owned, grant, reason, now)
        else:
            owned.waiting_starts[grant.id] = None
            if not owned.restart_signs.has_sign() and owned.restart_signs.is_reply_overdue(now):
                self._orders.suspect_restart(owned, "reply overdue", now)
            else:
                self._orders.ask_at_once(owned, now)

    def resume_waiting(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Send the starts that wait for a target which has replied, as far as they still may be."""
        for grant_id in list(owned.waiting_starts):
            grant = owned.grants_by_id[grant_id]
            if grant.state in _UNSENT_STATES:
                self.start(owned, grant, now)
            else:
                del owned.waiting_starts[grant_id]

    def refuse_waiting(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Return the waiting starts of which nothing was sent, as the target does not reply."""
        for grant_id in list(owned.waiting_starts):
            grant = owned.grants_by_id[grant_id]
            if not grant.is_sent():
                self._orders.stop(owned, grant, "the target does not reply", now)

    def _send(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        """Send an attempt; further ones have the lease end of the first."""
        if grant.state is runs.GrantState.RESERVED:
            grant.state = runs.GrantState.STARTING
            grant.first_sent_at = now
            grant.state_changed_at = now
            grant.token = owned.token
            grant.until_ms = owned.lease_end_ms(now)
            owned.extend_lease(now)
        attempt = grant.attempts.send(now)
        allowance = self._loop_lag.timeout_allowance()
        owned.restart_signs.record_start(
            (grant.id, attempt), now + timings.REPLY_OVERDUE_AFTER + allowance
        )
        self._outbox.add(
            actions.StartRun(
                target=owned.target,
                token=owned.token,
                grant=grant.id,
                task=grant.task,
                run=grant.run,
                spec=grant.spec,
                until_ms=grant.until_ms,
                attempt=attempt,
                send_by=now + timings.ORDER_TIMEOUT + allowance,
                timeout=timings.ORDER_TIMEOUT + allowance,
            )
        )

    def handle_reply(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        event: events.StartReplied,
        now: datetime.datetime,
    ) -> None:
        """Handle the reply to one attempt of a start, or its failure."""
        verdict = grant.attempts.record(event.attempt, event.failure, now)
        if event.failure is events.Failure.FENCED:
            self._target_owner.handle_fencing(owned, now)
        elif event.failure is events.Failure.WRONG_INSTANCE:
            self._target_owner.handle_wrong_instance(owned, now)
        elif grant.state is runs.GrantState.STARTING and verdict is not None:
            is_same_incarnation = self._orders.check_clock(owned, event.clock_ms, now)
            pause = _SUSPENSION_BY_FAILURE.get(event.failure, datetime.timedelta())
            owned.suspended_until = max(owned.suspended_until, now + pause)
            if verdict is attempts.Verdict.RUNNING:
                self._record_running(grant, now, is_same_incarnation=is_same_incarnation)
            else:
                reason = _REASON_BY_FAILURE.get(event.failure, start_checks.NO_REPLY)
                _HANDLER_BY_VERDICT[verdict](self, owned, grant, reason, now)

    def _record_running(
        self, grant: grants.Grant, now: datetime.datetime, *, is_same_incarnation: bool
    ) -> None:
        grant.state = runs.GrantState.RUNNING
        grant.is_start_confirmed = is_same_incarnation
        # A process that was paused finds old replies.
        latest_reply_at = grant.first_sent_at + timings.START_RETRY_TIMEOUT
        grant.record_progress(grant.percent, min(now, latest_reply_at + timings.ORDER_TIMEOUT))

    def _retry(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        self._outbox.notify_unanswered(grant, now)
        self.start(owned, grant, now)

    def _stop(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        self._orders.probe(owned, now)
        self._outbox.notify_unanswered(grant, now)
        if grant.attempts.sent > 1:
            reason = f"{reason}, and another attempt got no reply"
        self._orders.stop(owned, grant, reason, now)

    def _end_not_run(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        proof = end_proofs.EndProof.ALL_REJECTED
        self._target_owner.end_grant(owned, grant, runs.RunEnd.REFUSED, proof, reason, now)

    def _end_superseded(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        proof = end_proofs.EndProof.OUTDATED
        self._target_owner.end_grant(owned, grant, runs.RunEnd.OLD, proof, reason, now)

    def _await_end(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        """Wait for the end of an earlier attempt's run, which the target lists if there was one."""
        grant.state = runs.GrantState.STOPPING
        grant.is_confirmed_stopped = True
        grant.is_outdated = True
        grant.stop_sent_at = now
        grant.state_changed_at = now


_HANDLER_BY_VERDICT = {
    attempts.Verdict.RETRY: Starts._retry,
    attempts.Verdict.NOT_RUN: Starts._end_not_run,
    attempts.Verdict.SUPERSEDED: Starts._end_superseded,
    attempts.Verdict.STOP: Starts._stop,
    attempts.Verdict.AWAIT_END: Starts._await_end,
}

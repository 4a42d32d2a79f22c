"""Start requests to targets, and the handling of their replies."""

import datetime
from typing import TYPE_CHECKING

from chiveridge_pool import (
    actions,
    evacuations,
    events,
    grants,
    loop_lags,
    orders,
    outboxes,
    owned_targets,
    runs,
    timings,
)

if TYPE_CHECKING:
    from chiveridge_pool import target_owners

_NO_CAPACITY_SUSPENSION = datetime.timedelta(milliseconds=50)
"""Pause in the use of a target that had less free capacity than its owner assumed."""

_UNHEALTHY_SUSPENSION = datetime.timedelta(milliseconds=400)
"""Pause in the use of a target that could not be reached or rejected a start as unhealthy."""


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

    def start(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        """Send the start of a run, or send it again with the lease end of the first attempt."""
        if grant.state is runs.GrantState.RESERVED:
            grant.state = runs.GrantState.STARTING
            grant.first_sent_at = now
            grant.state_changed_at = now
            grant.until_ms = owned.lease_end_ms(now)
            owned.extend_lease(now)
        self._outbox.add(
            actions.StartRun(
                target=owned.target,
                token=owned.token,
                grant=grant.id,
                task=grant.task,
                run=grant.run,
                spec=grant.spec,
                until_ms=grant.until_ms,
                timeout=timings.ORDER_TIMEOUT + self._loop_lag.timeout_allowance(),
            )
        )

    def handle_reply(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        event: events.StartReplied,
        now: datetime.datetime,
    ) -> None:
        """Handle the reply to a start request, or its failure."""
        is_same_incarnation = owned.agrees_with_clock(event.clock_ms, now)
        if event.clock_ms:
            owned.record_clock(event.clock_ms, now)
        if event.failure is None:
            grant.state = runs.GrantState.RUNNING
            grant.is_start_confirmed = is_same_incarnation
            # A process that was paused finds old replies.
            latest_reply_at = grant.first_sent_at + timings.START_RETRY_TIMEOUT
            grant.record_progress(grant.percent, min(now, latest_reply_at + timings.ORDER_TIMEOUT))
            return
        handler = _HANDLER_BY_FAILURE[event.failure]
        handler(self, owned, grant, now)

    def _retry_or_stop(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        self._orders.probe(owned, now)
        if self._target_owner.is_evacuated(owned.target):
            self._orders.stop(owned, grant, evacuations.STOP_REASON, now)
        elif now - grant.first_sent_at < timings.START_RETRY_TIMEOUT:
            self.start(owned, grant, now)
        else:
            self._orders.stop(owned, grant, "its start got no reply", now)

    def _handle_fenced(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        self._target_owner.handle_fencing(owned, now)

    def _handle_old_run(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        if grant.first_sent_at == grant.state_changed_at and not self._may_have_been_repeated(
            grant, now
        ):
            self._target_owner.end_grant(
                owned, grant, runs.RunEnd.OLD, "the target saw a higher run"
            )
            return
        # An earlier attempt may have been executed and have ended; the target then lists its end.
        grant.state = runs.GrantState.STOPPING
        grant.is_confirmed_stopped = True
        grant.stop_sent_at = now
        grant.state_changed_at = now

    def _may_have_been_repeated(self, grant: grants.Grant, now: datetime.datetime) -> bool:
        return now - grant.first_sent_at >= timings.ORDER_TIMEOUT

    def _handle_no_capacity(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        owned.suspended_until = max(owned.suspended_until, now + _NO_CAPACITY_SUSPENSION)
        self._target_owner.end_grant(owned, grant, runs.RunEnd.REFUSED, "the target has no room")

    def _handle_unhealthy(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        owned.suspended_until = max(owned.suspended_until, now + _UNHEALTHY_SUSPENSION)
        self._target_owner.end_grant(owned, grant, runs.RunEnd.REFUSED, "the target is unhealthy")

    def _handle_invalid(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        self._target_owner.end_grant(
            owned, grant, runs.RunEnd.REFUSED, "the target took it as invalid"
        )

    def _handle_wrong_instance(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        self._target_owner.handle_wrong_instance(owned, now)


_HANDLER_BY_FAILURE = {
    events.Failure.TIMEOUT: Starts._retry_or_stop,
    events.Failure.UNREACHABLE: Starts._handle_unhealthy,
    events.Failure.TOO_LATE: Starts._retry_or_stop,
    events.Failure.FENCED: Starts._handle_fenced,
    events.Failure.OLD_RUN: Starts._handle_old_run,
    events.Failure.NO_ROOM: Starts._handle_no_capacity,
    events.Failure.UNHEALTHY: Starts._handle_unhealthy,
    events.Failure.INVALID: Starts._handle_invalid,
    events.Failure.WRONG_INSTANCE: Starts._handle_wrong_instance,
}

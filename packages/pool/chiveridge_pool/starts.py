"""Start requests to targets, and the handling of their replies."""

import datetime
from typing import TYPE_CHECKING

from chiveridge_pool import (
    actions,
    events,
    grants,
    holdings,
    lags,
    mailboxes,
    orders,
    runs,
    timings,
)

if TYPE_CHECKING:
    from chiveridge_pool import holders

_NO_CAPACITY_SUSPENSION = datetime.timedelta(milliseconds=50)
"""Pause in the use of a target that had less free capacity than its owner assumed."""

_UNHEALTHY_SUSPENSION = datetime.timedelta(milliseconds=400)
"""Pause in the use of a target that could not be reached or rejected a start as unhealthy."""


class Starts:
    """Starts runs on owned targets."""

    def __init__(
        self,
        mailbox: mailboxes.Mailbox,
        holder: "holders.Holder",
        target_orders: orders.Orders,
        lag: lags.Lag,
    ):
        self._mailbox = mailbox
        self._holder = holder
        self._orders = target_orders
        self._lag = lag

    def start(self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime) -> None:
        """Send the start of a run, or send it again with the lease end of the first attempt."""
        if grant.state is runs.GrantState.RESERVED:
            grant.state = runs.GrantState.STARTING
            grant.first_sent_at = now
            grant.state_changed_at = now
            grant.until_ms = holding.lease_end_ms(now)
            holding.extend_lease(now)
        self._mailbox.add(
            actions.StartRun(
                target=holding.target,
                token=holding.token,
                grant=grant.id,
                task=grant.task,
                run=grant.run,
                spec=grant.spec,
                until_ms=grant.until_ms,
                timeout=timings.ORDER_TIMEOUT + self._lag.allowance(),
            )
        )

    def handle_reply(
        self,
        holding: holdings.Holding,
        grant: grants.Grant,
        event: events.StartReplied,
        now: datetime.datetime,
    ) -> None:
        """Handle the reply to a start request, or its failure."""
        if event.clock_ms:
            holding.record_clock(event.clock_ms, now)
        if event.failure is None:
            grant.state = runs.GrantState.RUNNING
            grant.record_progress(grant.percent, now)
            return
        handler = _HANDLER_BY_FAILURE[event.failure]
        handler(self, holding, grant, now)

    def _retry_or_stop(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        if now - grant.first_sent_at < timings.START_PATIENCE:
            self.start(holding, grant, now)
        else:
            self._orders.stop(holding, grant, "its start got no reply", now)

    def _handle_fenced(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        self._holder.handle_fencing(holding, now)

    def _handle_old_run(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        if grant.first_sent_at == grant.state_changed_at and not self._may_have_been_repeated(
            grant, now
        ):
            self._holder.end_grant(holding, grant, runs.RunEnd.OLD, "the target saw a higher run")
            return
        # An earlier attempt may have been executed and have ended; the target then lists its end.
        grant.state = runs.GrantState.STOPPING
        grant.is_confirmed_stopped = True
        grant.stop_sent_at = now
        grant.state_changed_at = now

    def _may_have_been_repeated(self, grant: grants.Grant, now: datetime.datetime) -> bool:
        return now - grant.first_sent_at >= timings.ORDER_TIMEOUT

    def _handle_no_capacity(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        holding.suspended_until = max(holding.suspended_until, now + _NO_CAPACITY_SUSPENSION)
        self._holder.end_grant(holding, grant, runs.RunEnd.REFUSED, "the target has no room")

    def _handle_unhealthy(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        holding.suspended_until = max(holding.suspended_until, now + _UNHEALTHY_SUSPENSION)
        self._holder.end_grant(holding, grant, runs.RunEnd.REFUSED, "the target is unhealthy")

    def _handle_invalid(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        self._holder.end_grant(holding, grant, runs.RunEnd.REFUSED, "the target took it as invalid")

    def _handle_wrong_instance(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        self._holder.handle_wrong_instance(holding, now)


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

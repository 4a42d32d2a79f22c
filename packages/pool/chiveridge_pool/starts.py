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

_SUSPEND_NO_ROOM = datetime.timedelta(milliseconds=50)
"""Pause in the use of a target that had less free capacity than its owner assumed."""

_SUSPEND_UNHEALTHY = datetime.timedelta(milliseconds=400)
"""Pause in the use of a target that could not be reached or rejected a start as unhealthy."""


class Starts:
    """Starts runs on owned targets."""

    def __init__(
        self,
        mailbox: mailboxes.Mailbox,
        holder: "holders.Holder",
        orders_given: orders.Orders,
        lag: lags.Lag,
    ):
        self._mailbox = mailbox
        self._holder = holder
        self._orders = orders_given
        self._lag = lag

    def start(self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime) -> None:
        """Send the start of a run, or send it again with the lease end of the first attempt."""
        if grant.state is runs.GrantState.RESERVED:
            grant.state = runs.GrantState.STARTING
            grant.first_sent_at = now
            grant.changed_at = now
            grant.until_ms = holding.lease_until(now)
            holding.note_renewal(now)
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

    def replied(
        self,
        holding: holdings.Holding,
        grant: grants.Grant,
        event: events.StartReplied,
        now: datetime.datetime,
    ) -> None:
        """Handle the reply to a start request, or its failure."""
        if event.clock_ms:
            holding.see_clock(event.clock_ms, now)
        if event.failure is None:
            grant.state = runs.GrantState.RUNNING
            grant.see_running(grant.percent, now)
            return
        handler = _START_FAILED[event.failure]
        handler(self, holding, grant, now)

    def _start_again(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        if now - grant.first_sent_at < timings.START_PATIENCE:
            self.start(holding, grant, now)
        else:
            self._orders.stop(holding, grant, "its start got no reply", now)

    def _start_fenced(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        self._holder.fenced(holding, now)

    def _start_old(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        if grant.first_sent_at == grant.changed_at and not self._was_repeated(grant, now):
            self._holder.finish(holding, grant, runs.RunEnd.OLD, "the target saw a higher run")
            return
        # An earlier attempt may have been executed and have ended; the target then lists its end.
        grant.state = runs.GrantState.STOPPING
        grant.is_confirmed_stopped = True
        grant.stopped_at = now
        grant.changed_at = now

    def _was_repeated(self, grant: grants.Grant, now: datetime.datetime) -> bool:
        return now - grant.first_sent_at >= timings.ORDER_TIMEOUT

    def _start_refused(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        holding.suspended_until = max(holding.suspended_until, now + _SUSPEND_NO_ROOM)
        self._holder.finish(holding, grant, runs.RunEnd.REFUSED, "the target has no room")

    def _start_unhealthy(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        holding.suspended_until = max(holding.suspended_until, now + _SUSPEND_UNHEALTHY)
        self._holder.finish(holding, grant, runs.RunEnd.REFUSED, "the target is unhealthy")

    def _start_invalid(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        self._holder.finish(holding, grant, runs.RunEnd.REFUSED, "the target took it as invalid")

    def _start_elsewhere(
        self, holding: holdings.Holding, grant: grants.Grant, now: datetime.datetime
    ) -> None:
        self._holder.target_gone(holding, now)


_START_FAILED = {
    events.Failure.TIMEOUT: Starts._start_again,
    events.Failure.UNREACHABLE: Starts._start_unhealthy,
    events.Failure.TOO_LATE: Starts._start_again,
    events.Failure.FENCED: Starts._start_fenced,
    events.Failure.OLD_RUN: Starts._start_old,
    events.Failure.NO_ROOM: Starts._start_refused,
    events.Failure.UNHEALTHY: Starts._start_unhealthy,
    events.Failure.INVALID: Starts._start_invalid,
    events.Failure.WRONG_INSTANCE: Starts._start_elsewhere,
}

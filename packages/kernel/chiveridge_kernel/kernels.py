"""The kernel maps typed events to typed actions; it does no I/O and has no clock."""

import datetime

from chiveridge_kernel import actions, events, handlers, kernel_parts


class Kernel(kernel_parts.KernelParts):
    """The decision logic of one node; its state changes only through :meth:`handle`."""

    def handle(self, event: events.Event, now: datetime.datetime) -> list[actions.Action]:
        """Handle one event and return the actions to perform, in order.

        :raises errors.RefusedError: when the event is a request that is refused; the actions
            are then left to :meth:`pop_actions`.
        """
        # Expired jobs are ended before any event, so that nothing starts after a deadline.
        self.dispatcher.expire_jobs(now)
        handlers.handle(event, self, now)
        self.dispatcher.place_within_limits(now)
        if self.is_draining and not self.dispatcher.jobs_by_id:
            self.leave(now)
        return self.pop_actions()

"""The kernel: typed events in, typed actions out, no I/O and no clock of its own."""

import datetime

from chiveridge_kernel import actions, events, handlers, kernel_parts


class Kernel(kernel_parts.KernelParts):
    """Decides for one node; :meth:`handle` is the only way to change it."""

    def handle(self, event: events.Event, now: datetime.datetime) -> list[actions.Action]:
        """Handle one event and return what is to be done, in order.

        :raises errors.RefusedError: when the event is a request that is refused; what else is
            to be done is then left to :meth:`take_actions`.
        """
        # Whatever woke the process up, nothing is started past a deadline.
        self.dispatcher.expire(now)
        handlers.handle(event, self, now)
        self.dispatcher.place_permitted(now)
        if self.draining and not self.dispatcher.jobs_by_id:
            self.leave(now)
        return self.take_actions()

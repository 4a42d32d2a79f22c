"""Runs the pool's kernel on the asyncio loop: passes it events and performs its actions."""

import asyncio
import datetime
from collections.abc import Callable

from chiveridge_kernel import clocks
from chiveridge_node import log_events
from chiveridge_pool import actions, events, kernels, timings

PAUSE_THRESHOLD = datetime.timedelta(milliseconds=400)
"""Time without a tick after which the process is considered to have been paused."""


class PoolKernelRunner:
    """Connects the kernel to the adapters that perform its actions."""

    def __init__(self, kernel: kernels.Kernel, clock: clocks.Clock):
        self.kernel = kernel
        self.clock = clock
        self._performers_by_type: dict[type, Callable[[actions.Action], None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._last_tick_at = clock.now()
        self._due_at = self._last_tick_at

    def set_performer(self, action_type: type, performer: Callable[[actions.Action], None]) -> None:
        """Register the callable that performs actions of a type."""
        self._performers_by_type[action_type] = performer

    def start(self) -> None:
        """Start delivering ticks."""
        self._last_tick_at = self.clock.now()
        self._schedule_tick(timings.TICK_INTERVAL)

    def _schedule_tick(self, interval: datetime.timedelta) -> None:
        self._due_at = self.clock.now() + interval
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(interval.total_seconds(), self._tick)

    def _advance_tick(self) -> None:
        """Schedule the next tick earlier if there is work now that was not there at the last."""
        if self._timer is None or self._due_at - self.clock.now() <= timings.TICK_INTERVAL:
            return
        if self.kernel.tick_interval() <= timings.TICK_INTERVAL:
            self._timer.cancel()
            self._schedule_tick(timings.TICK_INTERVAL)

    def stop(self) -> None:
        """Stop delivering ticks."""
        if self._timer is not None:
            self._timer.cancel()

    def handle(self, event: events.Event) -> bool:
        """Pass an event to the kernel and perform the resulting actions.

        Return whether the kernel has handled it; an exception is logged.
        """
        is_handled = True
        try:
            decided = self.kernel.handle(event, self.clock.now())
        except Exception:
            is_handled = False
            log_events.log_exception(log_events.LogEvent.INTERNAL_FAULT, kind=type(event).__name__)
            decided = self.kernel.outbox.take_actions()
        for action in decided:
            self._perform(action)
        self._advance_tick()
        return is_handled

    def _perform(self, action: actions.Action) -> None:
        try:
            self._performers_by_type[type(action)](action)
        except Exception:
            log_events.log_exception(log_events.LogEvent.INTERNAL_FAULT, kind=type(action).__name__)

    def _tick(self) -> None:
        now = self.clock.now()
        since_last_tick = now - self._last_tick_at
        if since_last_tick > PAUSE_THRESHOLD:
            log_events.log_event(
                log_events.LogEvent.PROCESS_PAUSED, paused_ms=clocks.to_ms(since_last_tick)
            )
        self._last_tick_at = now
        self._timer = None
        self.handle(events.Ticked(due_at=self._due_at))
        self._schedule_tick(self.kernel.tick_interval())

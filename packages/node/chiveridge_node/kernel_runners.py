"""Runs the kernel on the asyncio loop: delivers events to it and performs its actions."""

import asyncio
import datetime
from collections.abc import Callable

from chiveridge_kernel import actions, clocks, errors, events, kernels
from chiveridge_node import log_events

MAX_TICK_INTERVAL = datetime.timedelta(milliseconds=250)

PAUSE_THRESHOLD = datetime.timedelta(seconds=1)
"""Time without a tick after which the process counts as having been paused."""

PAUSE_BACKLOG_TIME = datetime.timedelta(seconds=1)
"""Time after a pause in which requests that arrived during the pause may still be read."""


class KernelRunner:
    """Connects the kernel to the adapters that perform its actions."""

    def __init__(self, kernel: kernels.Kernel, clock: clocks.Clock):
        self.kernel = kernel
        self.clock = clock
        self._performers_by_type: dict[type, Callable[[actions.Action], None]] = {}
        self._observers_by_type: dict[type, list[Callable]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due: datetime.datetime | None = None
        self._ticked_at = clock.now()
        self._pause_started_at = self._ticked_at
        self._pause_backlog_until = self._ticked_at

    def set_performer(self, action_type: type, performer: Callable[[actions.Action], None]) -> None:
        """Register the callable that performs actions of a type."""
        self._performers_by_type[action_type] = performer

    def add_observer(self, observed_type: type, observer: Callable) -> None:
        """Register a callable that gets each event or action of a type before it is handled."""
        self._observers_by_type.setdefault(observed_type, []).append(observer)

    def start(self) -> None:
        """Start delivering ticks."""
        self._ticked_at = self.clock.now()
        self._schedule_tick()

    def stop(self) -> None:
        """Stop delivering ticks."""
        if self._timer is not None:
            self._timer.cancel()

    def handle(self, event: events.Event) -> None:
        """Pass an event to the kernel and perform the actions that it decides on.

        :raises errors.RefusedError: if the event is a request that is refused.
        """
        self._detect_pause()
        self._notify_observers(event)
        try:
            decided = self.kernel.handle(event, self.clock.now())
        except errors.RefusedError:
            self._perform_actions(self.kernel.pop_actions())
            raise
        self._perform_actions(decided)

    def earliest_arrival(self) -> datetime.datetime:
        """Return the earliest time at which a request that is read now may have arrived.

        After a pause of the process, a request may have waited unread for as long as the pause.
        """
        now = self.clock.now()
        if self._was_paused(now):
            return self._ticked_at
        return self._pause_started_at if now < self._pause_backlog_until else now

    def handle_and_log_errors(self, event: events.Event) -> None:
        """Handle an event without a waiting caller; errors are logged and the node continues."""
        try:
            self.handle(event)
        except errors.RefusedError as error:
            log_events.log_event(log_events.LogEvent.INTERNAL_FAULT, message=str(error))
        except Exception:
            log_events.log_exception(log_events.LogEvent.INTERNAL_FAULT, kind=type(event).__name__)

    def _perform_actions(self, decided: list[actions.Action]) -> None:
        for action in decided:
            self._perform(action)
        self._schedule_tick()

    def _perform(self, action: actions.Action) -> None:
        try:
            self._notify_observers(action)
            self._performers_by_type[type(action)](action)
        except Exception:
            log_events.log_exception(log_events.LogEvent.INTERNAL_FAULT, kind=type(action).__name__)

    def _notify_observers(self, observed: events.Event | actions.Action) -> None:
        for observer in self._observers_by_type.get(type(observed), ()):
            observer(observed)

    def _schedule_tick(self) -> None:
        now = self.clock.now()
        wakeup = self.kernel.next_wakeup_at()
        due = now + MAX_TICK_INTERVAL if wakeup is None else min(wakeup, now + MAX_TICK_INTERVAL)
        if self._timer is not None and self._timer_due <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        delay = max((due - now).total_seconds(), 0.0)
        self._timer_due = due
        self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._detect_pause()
        self._ticked_at = self.clock.now()
        self.handle_and_log_errors(events.Ticked())
        self._schedule_tick()

    def _detect_pause(self) -> None:
        now = self.clock.now()
        if not self._was_paused(now):
            return
        log_events.log_event(
            log_events.LogEvent.PROCESS_PAUSED, paused_ms=clocks.to_ms(now - self._ticked_at)
        )
        self._pause_started_at = self._ticked_at
        self._pause_backlog_until = now + PAUSE_BACKLOG_TIME
        self._ticked_at = now
        self.handle_and_log_errors(events.ProcessPaused())

    def _was_paused(self, now: datetime.datetime) -> bool:
        return now - self._ticked_at > PAUSE_THRESHOLD

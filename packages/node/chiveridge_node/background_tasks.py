"""Background tasks of a node, none of which ends without a trace."""

import asyncio

from chiveridge_node import log_events


def log_fault(task: asyncio.Task) -> None:
    """Log the exception that has ended a task, if there is one; a callback for its end."""
    if task.cancelled() or task.exception() is None:
        return
    error = task.exception()
    log_events.log_event(
        log_events.LogEvent.INTERNAL_FAULT,
        kind="background task",
        task=task.get_coro().__qualname__,
        error=f"{type(error).__name__}: {error}",
    )

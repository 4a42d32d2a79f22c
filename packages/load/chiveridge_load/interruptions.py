"""Runs a command's coroutine so that a signal cancels it and it can end its child processes."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import TypeVar

SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_CODE_BASE = 128
"""A command that a signal ended exits with this base plus the signal number, as in a shell."""

T = TypeVar("T")


class _StoppedError(Exception):
    """The coroutine was cancelled because of a signal."""

    def __init__(self, signum: signal.Signals):
        super().__init__(signum.name)
        self.signum = signum


def run(coroutine: Coroutine[None, None, T]) -> T:
    """Run a coroutine on a new event loop and return its result.

    The first SIGTERM or SIGINT cancels it; later ones are ignored while it cleans up.

    :raises SystemExit: when a signal has cancelled it.
    """
    try:
        return asyncio.run(_run_until_signal(coroutine))
    except _StoppedError as error:
        raise SystemExit(EXIT_CODE_BASE + error.signum) from error


async def _run_until_signal(coroutine: Coroutine[None, None, T]) -> T:
    received_signals: list[signal.Signals] = []
    task = asyncio.ensure_future(coroutine)

    def stop(signum: signal.Signals) -> None:
        if not received_signals:
            task.cancel()
        received_signals.append(signum)

    loop = asyncio.get_running_loop()
    for signum in SIGNALS:
        loop.add_signal_handler(signum, stop, signum)
    try:
        return await task
    except asyncio.CancelledError:
        if not received_signals:
            raise
        raise _StoppedError(received_signals[0]) from None

"""An event loop on virtual time, so that tests of timeouts take no time and repeat exactly."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import TypeVar

_Result = TypeVar("_Result")


class DeadlockError(Exception):
    """Every task waits, and no timer will wake one."""


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Advances its clock to the next timer instead of waiting for it; supports no real sockets."""

    def __init__(self):
        self._elapsed_seconds = 0.0
        super().__init__(_InstantSelector(self._advance))

    def time(self) -> float:
        """Return the seconds of virtual time since the loop was made."""
        return self._elapsed_seconds

    def _advance(self, seconds: float) -> None:
        self._elapsed_seconds += seconds


class _InstantSelector(selectors.SelectSelector):
    """Reports the time to wait to a callback in place of waiting."""

    def __init__(self, advance: Callable[[float], None]):
        super().__init__()
        self._advance = advance

    def select(self, timeout=None):
        """Return the ready files at once.

        :raises DeadlockError: if the wait would never end.
        """
        if timeout is None:
            raise DeadlockError("all tasks wait for something that no timer will bring")
        if timeout > 0:
            self._advance(timeout)
        return super().select(0)


def run(main: Coroutine[object, object, _Result]) -> _Result:
    """Run a coroutine on a loop of its own with virtual time, and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)

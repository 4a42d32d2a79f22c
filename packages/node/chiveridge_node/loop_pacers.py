"""Spreads work over the turns of the event loop, so that other events are handled in between."""

import asyncio
import collections


class Pacer:
    """Admits up to ``per_turn`` callers in each turn of the event loop, in order of arrival."""

    def __init__(self, per_turn: int):
        self._per_turn = per_turn
        self._remaining = per_turn
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()
        self._is_scheduled = False

    async def wait_for_turn(self) -> None:
        """Return in this turn of the loop if it has a free place, else wait for a later one."""
        self._schedule()
        if self._remaining > 0 and not self._waiters:
            self._remaining -= 1
            return
        future = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        await future

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._remaining = self._per_turn
        while self._waiters and self._remaining > 0:
            future = self._waiters.popleft()
            if not future.done():
                self._remaining -= 1
                future.set_result(None)
        if self._waiters:
            self._schedule()

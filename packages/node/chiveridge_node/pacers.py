"""Spreads work over the turns of the event loop, so that other events are handled in between."""

import asyncio
import collections


class Pacer:
    """Lets up to ``per_turn`` callers pass in each turn of the event loop, in order of arrival."""

    def __init__(self, per_turn: int):
        self._per_turn = per_turn
        self._left = per_turn
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()
        self._is_scheduled = False

    async def turn(self) -> None:
        """Return in this turn of the loop if it has room, else in a later one."""
        self._schedule()
        if self._left > 0 and not self._waiting:
            self._left -= 1
            return
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        await future

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._next_turn)

    def _next_turn(self) -> None:
        self._is_scheduled = False
        self._left = self._per_turn
        while self._waiting and self._left > 0:
            future = self._waiting.popleft()
            if not future.done():
                self._left -= 1
                future.set_result(None)
        if self._waiting:
            self._schedule()

"""Obtains submission ids from the nodes ahead of their use."""

import asyncio
import datetime
import random

import msgspec

from chiveridge_client import backoffs, calls, clocks, errors, exchanges, pools
from chiveridge_kernel import messages

BATCH_SIZE = 32
LOW_MARK = 8
REFILL_TIMEOUT = datetime.timedelta(seconds=30)

_decoder = msgspec.json.Decoder(messages.IdsAnswer)


class IdSource:
    """Hands out submission ids and fetches a batch in the background when few are left."""

    def __init__(
        self,
        urls: list[str],
        sender: exchanges.Exchanges,
        *,
        rng: random.Random,
        clock: clocks.Clock,
        batch_size: int = BATCH_SIZE,
    ):
        self._urls = urls
        self._exchanges = sender
        self._rng = rng
        self._clock = clock
        self._batch_size = batch_size
        self._pool = pools.IdPool()
        self._lock = asyncio.Lock()
        self._refill: asyncio.Task | None = None

    async def close(self) -> None:
        """Stop fetching."""
        if self._refill is not None:
            self._refill.cancel()
            await asyncio.gather(self._refill, return_exceptions=True)

    async def take(self, deadline: datetime.timedelta, until: datetime.timedelta) -> pools.HeldId:
        """Return an id that outlives ``deadline``.

        :param until: when to give up, on the monotonic clock.
        :raises errors.UnreachableError: when no node gave such an id.
        :raises errors.RefusedError: when the nodes refuse to issue ids.
        """
        async with self._lock:
            held = self._pool.take(self._clock.now(), deadline)
            if held is None:
                await self._fetch(until)
                held = self._pool.take(self._clock.now(), deadline)
        if held is None:
            raise errors.UnreachableError("the nodes issue ids that expire before the deadline")
        self._start_refill()
        return held

    def drop_url(self, url: str) -> None:
        """Drop the ids of a node that no longer serves them."""
        self._pool.drop_url(url)

    def _start_refill(self) -> None:
        is_running = self._refill is not None and not self._refill.done()
        if is_running or len(self._pool) >= min(LOW_MARK, self._batch_size - 1):
            return
        self._refill = asyncio.create_task(self._refill_pool())

    async def _refill_pool(self) -> None:
        """Fetch one batch; a failure is left to the next submission, which fetches itself."""
        try:
            await self._fetch(self._clock.elapsed() + REFILL_TIMEOUT)
        except errors.ClientError:
            return

    async def _fetch(self, until: datetime.timedelta) -> None:
        """Add one batch to the pool; the ids of a lost reply expire unused."""
        urls = self._rng.sample(self._urls, len(self._urls))
        body = messages.encoder.encode(messages.IdsRequest(count=self._batch_size))
        attempt = 0
        while True:
            url = urls[attempt % len(urls)]
            try:
                path = f"{url}/v1/submission-ids"
                issued = await self._exchanges.ask("POST", path, _decoder, body=body)
            except (errors.ReplyLostError, errors.RefusedError) as error:
                await self._back_off(error, attempt, until)
                attempt += 1
                continue
            self._pool.add(_held_ids(issued, url))
            return

    async def _back_off(
        self, error: errors.ClientError, attempt: int, until: datetime.timedelta
    ) -> None:
        retry_after = None
        if isinstance(error, errors.RefusedError):
            if error.code not in calls.REFUSED_FOR_NOW:
                raise error
            retry_after = error.retry_after
        delay = backoffs.delay_after(retry_after, attempt, self._rng)
        if self._clock.elapsed() + delay >= until:
            raise errors.UnreachableError(f"no submission id: {error}") from error
        await self._clock.sleep(delay)


def _held_ids(issued: messages.IdsAnswer, url: str) -> list[pools.HeldId]:
    seconds = issued.expires_at_ms / 1000
    expires_at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return [pools.HeldId(id_, expires_at, url) for id_ in issued.submission_ids]

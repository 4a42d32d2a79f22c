"""Prefetches submission ids from the nodes."""

import asyncio
import datetime
import random

import msgspec

from chiveridge_client import backoffs, calls, clocks, errors, id_pools, transports
from chiveridge_kernel import messages

BATCH_SIZE = 32
LOW_WATERMARK = 8
REFILL_TIMEOUT = datetime.timedelta(seconds=30)

_decoder = msgspec.json.Decoder(messages.IdsAnswer)


class IdSource:
    """Provides submission ids; fetches a batch in the background when few are left."""

    def __init__(
        self,
        urls: list[str],
        transport: transports.NodeTransport,
        *,
        rng: random.Random,
        clock: clocks.Clock,
        batch_size: int = BATCH_SIZE,
    ):
        self._urls = urls
        self._transport = transport
        self._rng = rng
        self._clock = clock
        self._batch_size = batch_size
        self._pool = id_pools.IdPool()
        self._lock = asyncio.Lock()
        self._refill_task: asyncio.Task | None = None

    async def close(self) -> None:
        """Stop the background fetch."""
        if self._refill_task is not None:
            self._refill_task.cancel()
            await asyncio.gather(self._refill_task, return_exceptions=True)

    async def acquire(
        self, deadline: datetime.timedelta, give_up_at: datetime.timedelta
    ) -> id_pools.IssuedId:
        """Return an unused id that is valid until ``deadline`` is over.

        :param deadline: time from now by which the job must end.
        :param give_up_at: when to stop trying, on the monotonic clock.
        :raises errors.UnreachableError: when no node issued such an id.
        :raises errors.RefusedError: when the nodes refuse to issue ids.
        """
        async with self._lock:
            issued_id = self._pool.pop(self._clock.now(), deadline)
            if issued_id is None:
                await self._fetch_batch(give_up_at)
                issued_id = self._pool.pop(self._clock.now(), deadline)
        if issued_id is None:
            raise errors.UnreachableError("the nodes issue ids that expire before the deadline")
        self._start_refill()
        return issued_id

    def drop_issued_by(self, url: str) -> None:
        """Drop the ids issued by the node at ``url``, which no longer accepts them."""
        self._pool.drop_issued_by(url)

    def _start_refill(self) -> None:
        is_running = self._refill_task is not None and not self._refill_task.done()
        if is_running or len(self._pool) >= min(LOW_WATERMARK, self._batch_size - 1):
            return
        self._refill_task = asyncio.create_task(self._refill_pool())

    async def _refill_pool(self) -> None:
        """Fetch one batch; ignore failures, as the next submission fetches ids itself if needed."""
        try:
            await self._fetch_batch(self._clock.elapsed() + REFILL_TIMEOUT)
        except errors.ClientError:
            return

    async def _fetch_batch(self, give_up_at: datetime.timedelta) -> None:
        """Add one batch to the pool; ids whose reply was lost expire unused."""
        urls = self._rng.sample(self._urls, len(self._urls))
        body = messages.encoder.encode(messages.IdsRequest(count=self._batch_size))
        attempt = 0
        while True:
            url = urls[attempt % len(urls)]
            try:
                path = f"{url}/v1/submission-ids"
                ids_answer = await self._transport.request("POST", path, _decoder, body=body)
            except (errors.ReplyLostError, errors.RefusedError) as error:
                await self._back_off(error, attempt, give_up_at)
                attempt += 1
                continue
            self._pool.add(_issued_ids(ids_answer, url))
            return

    async def _back_off(
        self, error: errors.ClientError, attempt: int, give_up_at: datetime.timedelta
    ) -> None:
        retry_after = None
        if isinstance(error, errors.RefusedError):
            if error.code not in calls.TEMPORARY_REFUSAL_CODES:
                raise error
            retry_after = error.retry_after
        delay = backoffs.delay_with_retry_after(retry_after, attempt, self._rng)
        if self._clock.elapsed() + delay >= give_up_at:
            raise errors.UnreachableError(f"no submission id: {error}") from error
        await self._clock.sleep(delay)


def _issued_ids(ids_answer: messages.IdsAnswer, url: str) -> list[id_pools.IssuedId]:
    seconds = ids_answer.expires_at_ms / 1000
    expires_at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return [id_pools.IssuedId(id_, expires_at, url) for id_ in ids_answer.submission_ids]

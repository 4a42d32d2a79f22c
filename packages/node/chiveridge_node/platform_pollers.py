"""Polls the platform over HTTP until closed; no failure of a poll ends the polling."""

import asyncio
import datetime
import random
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
import prometheus_client

from chiveridge_kernel import errors
from chiveridge_node import hedged_reads, log_events

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
MAX_DOUBLINGS = 32
REPLY_MARGIN_MS = 1000
"""Time without a reply, beyond the requested wait, after which a read is sent again."""

HEDGE_INTERVAL = datetime.timedelta(seconds=1)
"""Longest time between further reads, whatever the length of the silence."""

_HEADER_SEPARATOR_BYTES = len(": \r\n")


_EXPECTED_ERRORS = (
    aiohttp.ClientError,
    errors.VmListError,
    OSError,
    TimeoutError,
    msgspec.MsgspecError,
    UnicodeError,
)


class Poller:
    """Polls the platform until closed; backs off exponentially, with jitter, while polls fail."""

    unreachable_event: log_events.LogEvent
    reachable_event: log_events.LogEvent

    def __init__(
        self, node, bytes_read: prometheus_client.Counter, faults: prometheus_client.Counter
    ):
        self.runner = node.runner
        self.settings = node.settings.platform
        self._rng: random.Random = node.rng
        self._session: aiohttp.ClientSession | None = None
        self._hedge_session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task | None = None
        self._consecutive_failures = 0
        self._overdue_reads = 0
        self._bytes_read = bytes_read
        self._faults = faults
        self._last_fault_type: type[Exception] | None = None

    async def open(self) -> None:
        """Start polling."""
        timeout = aiohttp.ClientTimeout(total=self.settings.request_timeout_ms / 1000)
        self._session = aiohttp.ClientSession(timeout=timeout)
        # Idle connections may have gone silent together with the one of the overdue read.
        self._hedge_session = aiohttp.ClientSession(
            timeout=timeout, connector=aiohttp.TCPConnector(force_close=True)
        )
        self._task = asyncio.get_running_loop().create_task(self._poll_forever())

    async def close(self) -> None:
        """Stop polling."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()
        await self._hedge_session.close()

    async def poll(self) -> None:
        """Poll once; if the poll succeeds, also wait for the pause before the next."""
        raise NotImplementedError

    async def get(
        self, url: str, decoder: msgspec.json.Decoder, wait_ms: int
    ) -> tuple[int, object]:
        """Send a GET with the parameter ``wait_ms``; return status and decoded body of the reply.

        A read without a reply is sent again while it stays in progress, so that a silent
        connection is noticed early and a slow platform has time to reply.

        :raises aiohttp.ClientError: when the status is neither 200 nor 410.
        """
        schedule = hedged_reads.HedgeSchedule(
            overdue_after=datetime.timedelta(milliseconds=wait_ms + REPLY_MARGIN_MS),
            interval=HEDGE_INTERVAL,
        )

        def send(
            is_hedge: bool, record_progress: Callable[[], None]
        ) -> Awaitable[tuple[int, bytes]]:
            # A hedge asks for no wait, so that a platform that is back replies at once.
            if is_hedge:
                return self._send(self._hedge_session, url, 0, record_progress)
            return self._send(self._session, url, wait_ms, record_progress)

        read = hedged_reads.HedgedRead(send, schedule, self._rng, self._record_overdue)
        status, body = await read.first_reply()
        return status, decoder.decode(body)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        url: str,
        wait_ms: int,
        record_progress: Callable[[], None],
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(total=self.settings.request_timeout_ms / 1000)
        async with session.get(url, params={"wait_ms": wait_ms}, timeout=timeout) as response:
            body = await hedged_reads.read_body(response, record_progress)
            self._bytes_read.inc(len(body) + _header_bytes(response))
            if response.status not in (200, 410):
                raise aiohttp.ClientError(f"status {response.status} from {url}")
            return response.status, body

    def _record_overdue(self) -> None:
        if not self._consecutive_failures and not self._overdue_reads:
            log_events.log_event(self.unreachable_event, error="no reply yet")
        self._overdue_reads += 1

    async def _poll_forever(self) -> None:
        while True:
            try:
                await self.poll()
            except _EXPECTED_ERRORS as error:
                await self._back_off(error)
            except Exception as error:
                self._record_fault(error)
                await self._back_off(error)
            else:
                self._record_success()

    def reset(self) -> None:
        """Discard the results of earlier reads, as an exception may have kept one unreported."""

    def _record_fault(self, error: Exception) -> None:
        """Count an unexpected exception; log it unless the previous one had the same type."""
        self._faults.inc()
        if type(error) is not self._last_fault_type:
            log_events.log_exception(
                log_events.LogEvent.PLATFORM_READ_FAULT,
                reader=type(self).__name__,
                kind=type(error).__name__,
                error=repr(error),
            )
        self._last_fault_type = type(error)
        self.reset()

    async def _back_off(self, error: Exception) -> None:
        if not self._consecutive_failures and not self._overdue_reads:
            log_events.log_event(self.unreachable_event, error=repr(error))
        self._consecutive_failures += 1
        max_delay = self._double_per_failure(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        await asyncio.sleep(self._rng.uniform(MIN_BACKOFF_SECONDS, max_delay))

    def _double_per_failure(self, initial: float, limit: float) -> float:
        """Return ``initial``, doubled for each failure in a row, but no more than ``limit``."""
        return min(initial * 2 ** min(self._consecutive_failures, MAX_DOUBLINGS), limit)

    def _record_success(self) -> None:
        failures = self._consecutive_failures + self._overdue_reads
        if failures:
            log_events.log_event(self.reachable_event, failures=failures)
        self._consecutive_failures = 0
        self._overdue_reads = 0
        self._last_fault_type = None


def _header_bytes(response: aiohttp.ClientResponse) -> int:
    return sum(
        len(name) + len(value) + _HEADER_SEPARATOR_BYTES for name, value in response.raw_headers
    )

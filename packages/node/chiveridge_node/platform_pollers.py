"""Polls the platform over HTTP until told to stop, whatever a poll ends in."""

import asyncio
import random

import aiohttp
import msgspec
import prometheus_client

from chiveridge_kernel import errors
from chiveridge_node import logevents

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
MAX_DOUBLINGS = 32
REPLY_MARGIN_MS = 1000
"""Time beyond its wait after which a read counts as lost; it doubles with each that is."""

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
    """Polls one URL of the platform until closed, with back-off while it is unreachable."""

    unreachable_event: logevents.LogEvent
    reachable_event: logevents.LogEvent

    def __init__(
        self, node, bytes_read: prometheus_client.Counter, faults: prometheus_client.Counter
    ):
        self.shell = node.shell
        self.settings = node.settings.platform
        self._rng: random.Random = node.rng
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task | None = None
        self._consecutive_failures = 0
        self._bytes_read = bytes_read
        self._faults = faults
        self._last_fault_type: type[Exception] | None = None

    async def open(self) -> None:
        """Begin to poll."""
        total = self.settings.request_timeout_ms / 1000
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=total))
        self._task = asyncio.get_running_loop().create_task(self._poll_forever())

    async def close(self) -> None:
        """Stop polling."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()

    async def poll(self) -> None:
        """Poll once, and wait as long as a successful poll should be followed by a pause."""
        raise NotImplementedError

    async def get(
        self, url: str, decoder: msgspec.json.Decoder, wait_ms: int
    ) -> tuple[int, object]:
        """Return status and decoded body of a GET that the platform may hold for a while.

        A connection that went silent is noticed soon, and a slow platform has more time after
        each read that was lost.
        """
        limit_ms = self._double_per_failure(
            wait_ms + REPLY_MARGIN_MS, self.settings.request_timeout_ms
        )
        timeout = aiohttp.ClientTimeout(total=limit_ms / 1000)
        async with self._session.get(url, timeout=timeout) as response:
            body = await response.read()
            self._bytes_read.inc(len(body) + _header_bytes(response))
            if response.status not in (200, 410):
                raise aiohttp.ClientError(f"status {response.status} from {url}")
            return response.status, decoder.decode(body)

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
        """Forget what was read, as a fault may have kept it from being reported."""

    def _record_fault(self, error: Exception) -> None:
        """Count a fault in the program; each kind in a row is logged once."""
        self._faults.inc()
        if type(error) is not self._last_fault_type:
            logevents.write_error(
                logevents.LogEvent.PLATFORM_READ_FAULT,
                reader=type(self).__name__,
                kind=type(error).__name__,
                error=repr(error),
            )
        self._last_fault_type = type(error)
        self.reset()

    async def _back_off(self, error: Exception) -> None:
        if self._consecutive_failures == 0:
            logevents.write(self.unreachable_event, error=repr(error))
        self._consecutive_failures += 1
        max_delay = self._double_per_failure(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        await asyncio.sleep(self._rng.uniform(MIN_BACKOFF_SECONDS, max_delay))

    def _double_per_failure(self, initial: float, limit: float) -> float:
        """Return a value that doubles with each failure in a row, up to a limit."""
        return min(initial * 2 ** min(self._consecutive_failures, MAX_DOUBLINGS), limit)

    def _record_success(self) -> None:
        if self._consecutive_failures:
            logevents.write(self.reachable_event, failures=self._consecutive_failures)
        self._consecutive_failures = 0
        self._last_fault_type = None


def _header_bytes(response: aiohttp.ClientResponse) -> int:
    return sum(
        len(name) + len(value) + _HEADER_SEPARATOR_BYTES for name, value in response.raw_headers
    )

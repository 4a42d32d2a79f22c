"""Reads the platform's log and its list of VMs over HTTP."""

import asyncio
import random

import aiohttp
import msgspec

from chiveridge_kernel import events, identifiers, vms
from chiveridge_node import logevents, plugins

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
READ_LIMIT = 500


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: identifiers.Offset
    value: object


class LogPage(msgspec.Struct, frozen=True):
    """Reply to a read: ``first`` is the oldest offset kept, ``next`` that of the next append."""

    first: int
    next: int
    records: list[LogRecord] = []


class _Poller:
    """Polls one URL of the platform until closed, with back-off while it is unreachable."""

    lost_event: logevents.LogEvent
    found_event: logevents.LogEvent

    def __init__(self, node):
        self.shell = node.shell
        self.settings = node.settings.platform
        self._rng: random.Random = node.rng
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task | None = None
        self._failures = 0

    async def open(self) -> None:
        """Begin to poll."""
        total = self.settings.request_timeout_ms / 1000
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=total))
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop polling."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()

    async def poll(self) -> None:
        """Poll once, and wait as long as a successful poll should be followed by a pause."""
        raise NotImplementedError

    async def get(self, url: str, decoder: msgspec.json.Decoder) -> tuple[int, object]:
        """Return status and decoded body of a GET."""
        async with self._session.get(url) as response:
            body = await response.read()
            if response.status not in (200, 410):
                raise aiohttp.ClientError(f"status {response.status} from {url}")
            return response.status, decoder.decode(body)

    async def _run(self) -> None:
        while True:
            try:
                await self.poll()
            except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError) as error:
                await self._back_off(error)
            else:
                self._recovered()

    async def _back_off(self, error: Exception) -> None:
        if self._failures == 0:
            logevents.write(self.lost_event, error=repr(error))
        self._failures += 1
        ceiling = min(MIN_BACKOFF_SECONDS * 2**self._failures, MAX_BACKOFF_SECONDS)
        await asyncio.sleep(self._rng.uniform(MIN_BACKOFF_SECONDS, ceiling))

    def _recovered(self) -> None:
        if self._failures:
            logevents.write(self.found_event, failures=self._failures)
        self._failures = 0


class HttpLog(_Poller):
    """Follows the configuration stream with long polls."""

    lost_event = logevents.LogEvent.LOG_UNREACHABLE
    found_event = logevents.LogEvent.LOG_REACHABLE
    _decoder = msgspec.json.Decoder(LogPage)

    async def poll(self) -> None:
        """Read the records after the applied offset."""
        offset = self.shell.kernel.configuration.offset
        url = (
            f"{self.settings.log_url}/v1/streams/{self.settings.config_stream}/records"
            f"?from={offset}&limit={READ_LIMIT}&wait_ms={self.settings.poll_wait_ms}"
        )
        status, page = await self.get(url, self._decoder)
        if status == 410:
            logevents.write(logevents.LogEvent.RECORDS_EXPIRED, offset=offset, first=page.first)
            raise aiohttp.ClientError(f"records from {offset} have expired")
        pairs = [(record.offset, record.value) for record in page.records]
        self.shell.handle_safely(events.RecordsRead(records=pairs))


class HttpVms(_Poller):
    """Reads the list of VMs at a fixed interval."""

    lost_event = logevents.LogEvent.VMS_UNREACHABLE
    found_event = logevents.LogEvent.VMS_REACHABLE
    _decoder = msgspec.json.Decoder(vms.VmList)

    def __init__(self, node):
        super().__init__(node)
        self._version = -1

    async def poll(self) -> None:
        """Read the list and report it when it changed."""
        _, listing = await self.get(f"{self.settings.vms_url}/v1/vms", self._decoder)
        if listing.version != self._version:
            self._version = listing.version
            self.shell.handle_safely(events.VmsListed(listing=listing))
        await asyncio.sleep(self.settings.vms_interval_ms / 1000)


def register() -> None:
    """Register the adapters under the name ``http``."""
    plugins.add(plugins.Kind.LOG, "http", HttpLog)
    plugins.add(plugins.Kind.VMS, "http", HttpVms)

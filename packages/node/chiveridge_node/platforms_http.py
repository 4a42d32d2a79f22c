"""Reads and appends to the platform's log, and reads its list of VMs, over HTTP."""

import asyncio
import random

import aiohttp
import msgspec

from chiveridge_kernel import actions, errors, events, identifiers, snapshots, vms
from chiveridge_node import logevents, plugins

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
READ_LIMIT = 500


_POLL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError, UnicodeError)


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: identifiers.Offset
    value: msgspec.Raw


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
            except _POLL_ERRORS as error:
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
    """Follows the configuration stream with long polls, and appends snapshots to it."""

    lost_event = logevents.LogEvent.LOG_UNREACHABLE
    found_event = logevents.LogEvent.LOG_REACHABLE
    _decoder = msgspec.json.Decoder(LogPage)

    def __init__(self, node):
        super().__init__(node)
        self._stream_url = (
            f"{self.settings.log_url}/v1/streams/{self.settings.config_stream}/records"
        )
        self._appending: asyncio.Task | None = None
        self.shell.perform_with(actions.AppendSnapshot, self._append_snapshot)

    async def close(self) -> None:
        """Stop polling and appending."""
        if self._appending is not None:
            self._appending.cancel()
            await asyncio.gather(self._appending, return_exceptions=True)
        await super().close()

    async def poll(self) -> None:
        """Read the records that the kernel needs next."""
        offset = self.shell.kernel.follower.read_offset
        try:
            status, page = await self._read(offset, READ_LIMIT)
        except RecursionError:
            # One record that is nested too deeply makes its whole page unreadable.
            status, page = await self._read_one(offset)
        if status == 410:
            self._expired(offset, page)
            return
        pairs = [(record.offset, bytes(record.value)) for record in page.records]
        event = events.RecordsRead(records=pairs, first=page.first, next_offset=page.next)
        self.shell.handle_safely(event)

    async def _read(self, offset: int, limit: int) -> tuple[int, LogPage]:
        wait_ms = self.settings.poll_wait_ms
        query = f"from={offset}&limit={limit}&wait_ms={wait_ms}"
        return await self.get(f"{self._stream_url}?{query}", self._decoder)

    async def _read_one(self, offset: int) -> tuple[int, LogPage]:
        try:
            return await self._read(offset, 1)
        except RecursionError:
            malformed = LogRecord(identifiers.Offset(offset), msgspec.Raw(b"null"))
            return 200, LogPage(0, 0, [malformed])

    def _expired(self, offset: int, page: LogPage) -> None:
        logevents.write(logevents.LogEvent.RECORDS_EXPIRED, offset=offset, first=page.first)
        event = events.RecordsExpired(first=page.first, next_offset=page.next)
        self.shell.handle_safely(event)

    def _append_snapshot(self, action: actions.AppendSnapshot) -> None:
        if self._appending is None or self._appending.done():
            loop = asyncio.get_running_loop()
            self._appending = loop.create_task(self._append_chunks(action.snapshot))

    async def _append_chunks(self, snapshot: snapshots.Snapshot) -> None:
        """Append every chunk once; the kernel asks again when the log does not show them all."""
        try:
            chunks = snapshots.encode(snapshot)
            for chunk in chunks:
                await self._append(msgspec.json.encode(chunk))
        except (errors.SnapshotError, aiohttp.ClientError, OSError, TimeoutError) as error:
            logevents.write(
                logevents.LogEvent.SNAPSHOT_FAILED, base=snapshot.base, error=repr(error)
            )
            return
        logevents.write(logevents.LogEvent.SNAPSHOT_WRITTEN, base=snapshot.base, chunks=len(chunks))

    async def _append(self, value: bytes) -> None:
        async with self._session.post(self._stream_url, data=value) as response:
            await response.read()
            response.raise_for_status()


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
        asked_at = self.shell.clock.now()
        try:
            _, listing = await self.get(f"{self.settings.vms_url}/v1/vms", self._decoder)
        except _POLL_ERRORS:
            self.shell.list_was_polled(asked_at)
            raise
        if listing.version != self._version:
            self._version = listing.version
            self.shell.handle_safely(events.VmsListed(listing=listing))
        else:
            self.shell.handle_safely(events.VmsConfirmed())
        self.shell.list_was_polled(asked_at)
        await asyncio.sleep(self.settings.vms_interval_ms / 1000)


def register() -> None:
    """Register the adapters under the name ``http``."""
    plugins.add(plugins.Kind.LOG, "http", HttpLog)
    plugins.add(plugins.Kind.VMS, "http", HttpVms)

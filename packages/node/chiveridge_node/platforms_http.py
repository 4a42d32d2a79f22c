"""Reads and appends to the platform's log, and reads its list of VMs, over HTTP."""

import asyncio
import random

import aiohttp
import msgspec
import prometheus_client

from chiveridge_kernel import actions, errors, events, identifiers, snapshots, vms
from chiveridge_node import logevents, plugins, snapshot_encodings

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
MAX_DOUBLINGS = 32
READ_LIMIT = 500
MAX_VMS_WAIT_MS = 1000
REPLY_MARGIN_MS = 1000
"""Time beyond its wait after which a read counts as lost; it doubles with each that is."""

_HEADER_SEPARATORS = len(": \r\n")


_POLL_ERRORS = (
    aiohttp.ClientError,
    errors.VmListError,
    OSError,
    TimeoutError,
    msgspec.MsgspecError,
    UnicodeError,
)


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

    def __init__(self, node, bytes_read: prometheus_client.Counter):
        self.shell = node.shell
        self.settings = node.settings.platform
        self._rng: random.Random = node.rng
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task | None = None
        self._failures = 0
        self._bytes_read = bytes_read

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

    async def get(
        self, url: str, decoder: msgspec.json.Decoder, wait_ms: int
    ) -> tuple[int, object]:
        """Return status and decoded body of a GET that the platform may hold for a while.

        A connection that went silent is noticed soon, and a slow platform has more time after
        each read that was lost.
        """
        limit_ms = self._doubled(wait_ms + REPLY_MARGIN_MS, self.settings.request_timeout_ms)
        timeout = aiohttp.ClientTimeout(total=limit_ms / 1000)
        async with self._session.get(url, timeout=timeout) as response:
            body = await response.read()
            self._bytes_read.inc(len(body) + _header_bytes(response))
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
        ceiling = self._doubled(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        await asyncio.sleep(self._rng.uniform(MIN_BACKOFF_SECONDS, ceiling))

    def _doubled(self, first: float, limit: float) -> float:
        """Return a value that doubles with each failure in a row, up to a limit."""
        return min(first * 2 ** min(self._failures, MAX_DOUBLINGS), limit)

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
        super().__init__(node, node.metrics.platform.log_bytes)
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
        return await self.get(f"{self._stream_url}?{query}", self._decoder, wait_ms)

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
            chunks = await snapshot_encodings.encode(snapshot)
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
    """Follows the list of VMs by long polls for its changes, with a pause after each.

    A platform that does not know the query answers with the whole list at once.
    """

    lost_event = logevents.LogEvent.VMS_UNREACHABLE
    found_event = logevents.LogEvent.VMS_REACHABLE
    _decoder = msgspec.json.Decoder(vms.VmListReply)

    def __init__(self, node):
        super().__init__(node, node.metrics.platform.vms_bytes)
        self._listing: vms.VmList | None = None
        self._reading: asyncio.Task | None = None
        self.shell.observe_with(events.ProcessPaused, self._read_again)

    async def poll(self) -> None:
        """Read what changed and report it."""
        known = self._listing
        asked_at = self.shell.clock.now()
        reply = await self._read(known)
        if reply is None:
            return
        self._listing = self._merged(known, reply)
        if known is None or self._listing.version != known.version:
            self.shell.handle_safely(events.VmsListed(listing=self._listing, asked_at=asked_at))
        else:
            self.shell.handle_safely(events.VmsConfirmed(asked_at=asked_at))
        if not self._is_doubted():
            await asyncio.sleep(self.settings.vms_interval_ms / 1000)

    async def _read(self, known: vms.VmList | None) -> vms.VmListReply | None:
        """Return the reply to a read, or None when a pause of the process broke it off."""
        self._reading = asyncio.get_running_loop().create_task(self._get_changes(known))
        try:
            _, reply = await self._reading
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            return None
        return reply

    def _read_again(self, _event: events.ProcessPaused) -> None:
        if self._reading is not None:
            self._reading.cancel()

    def _is_doubted(self) -> bool:
        return self.shell.kernel.target_table.is_doubted()

    def _merged(self, known: vms.VmList | None, reply: vms.VmListReply) -> vms.VmList:
        try:
            return vms.merged(known, reply)
        except errors.VmListError:
            self._listing = None
            raise

    async def _get_changes(self, known: vms.VmList | None) -> tuple[int, vms.VmListReply]:
        url = f"{self.settings.vms_url}/v1/vms"
        if known is None:
            return await self.get(url, self._decoder, 0)
        wait_ms = 0 if self._is_doubted() else min(self.settings.poll_wait_ms, MAX_VMS_WAIT_MS)
        query = f"since={known.version}&wait_ms={wait_ms}"
        return await self.get(f"{url}?{query}", self._decoder, wait_ms)


def _header_bytes(response: aiohttp.ClientResponse) -> int:
    return sum(len(name) + len(value) + _HEADER_SEPARATORS for name, value in response.raw_headers)


def register() -> None:
    """Register the adapters under the name ``http``."""
    plugins.add(plugins.Kind.LOG, "http", HttpLog)
    plugins.add(plugins.Kind.VMS, "http", HttpVms)

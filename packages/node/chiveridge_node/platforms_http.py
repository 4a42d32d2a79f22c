"""Reads the platform's log, appends to it, and reads the platform's list of VMs, over HTTP."""

import asyncio

import aiohttp
import msgspec

from chiveridge_kernel import actions, errors, events, identifiers, snapshots, vms
from chiveridge_node import log_events, platform_pollers, plugins, snapshot_encodings

MAX_RECORDS_PER_READ = 500
MAX_VMS_WAIT_MS = 1000


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: identifiers.Offset
    value: msgspec.Raw


class LogPage(msgspec.Struct, frozen=True):
    """Reply to a read: ``first`` is the oldest offset kept, ``next`` that of the next append."""

    first: int
    next: int
    records: list[LogRecord] = []


class HttpLog(platform_pollers.Poller):
    """Follows the configuration stream with long polls, and appends snapshots to it."""

    unreachable_event = log_events.LogEvent.LOG_UNREACHABLE
    reachable_event = log_events.LogEvent.LOG_REACHABLE
    _decoder = msgspec.json.Decoder(LogPage)

    def __init__(self, node):
        metrics = node.metrics.platform
        super().__init__(node, metrics.log_bytes, metrics.log_read_errors)
        self._stream_url = (
            f"{self.settings.log_url}/v1/streams/{self.settings.config_stream}/records"
        )
        self._append_task: asyncio.Task | None = None
        self.runner.set_performer(actions.AppendSnapshot, self._append_snapshot)

    async def close(self) -> None:
        """Stop polling and appending."""
        if self._append_task is not None:
            self._append_task.cancel()
            await asyncio.gather(self._append_task, return_exceptions=True)
        await super().close()

    async def poll(self) -> None:
        """Read the records that the kernel needs next."""
        offset = self.runner.kernel.follower.read_offset
        try:
            status, page = await self._read(offset, MAX_RECORDS_PER_READ)
        except RecursionError:
            # A record that is nested too deeply makes its whole page undecodable.
            status, page = await self._read_one(offset)
        if status == 410:
            self._report_expired(offset, page)
            return
        pairs = [(record.offset, bytes(record.value)) for record in page.records]
        event = events.RecordsRead(records=pairs, first=page.first, next_offset=page.next)
        self.runner.handle(event)

    async def _read(self, offset: int, limit: int) -> tuple[int, LogPage]:
        wait_ms = self.settings.poll_wait_ms
        query = f"from={offset}&limit={limit}"
        return await self.get(f"{self._stream_url}?{query}", self._decoder, wait_ms)

    async def _read_one(self, offset: int) -> tuple[int, LogPage]:
        try:
            return await self._read(offset, 1)
        except RecursionError:
            malformed = LogRecord(identifiers.Offset(offset), msgspec.Raw(b"null"))
            return 200, LogPage(0, 0, [malformed])

    def _report_expired(self, offset: int, page: LogPage) -> None:
        log_events.log_event(log_events.LogEvent.RECORDS_EXPIRED, offset=offset, first=page.first)
        event = events.RecordsExpired(first=page.first, next_offset=page.next)
        self.runner.handle(event)

    def _append_snapshot(self, action: actions.AppendSnapshot) -> None:
        if self._append_task is None or self._append_task.done():
            loop = asyncio.get_running_loop()
            self._append_task = loop.create_task(self._append_chunks(action.snapshot))

    async def _append_chunks(self, snapshot: snapshots.Snapshot) -> None:
        """Append every chunk once; the kernel repeats the action if the log lacks any of them."""
        try:
            chunks = await snapshot_encodings.encode(snapshot)
            for chunk in chunks:
                await self._append(msgspec.json.encode(chunk))
        except (errors.SnapshotError, aiohttp.ClientError, OSError, TimeoutError) as error:
            log_events.log_event(
                log_events.LogEvent.SNAPSHOT_FAILED, base=snapshot.base, error=repr(error)
            )
            return
        log_events.log_event(
            log_events.LogEvent.SNAPSHOT_WRITTEN, base=snapshot.base, chunks=len(chunks)
        )

    async def _append(self, value: bytes) -> None:
        async with self._session.post(self._stream_url, data=value) as response:
            await response.read()
            response.raise_for_status()


class HttpVms(platform_pollers.Poller):
    """Follows the list of VMs with long polls for changes and a pause after each poll.

    A platform that doesn't support the query parameters returns the whole list at once.
    """

    unreachable_event = log_events.LogEvent.VMS_UNREACHABLE
    reachable_event = log_events.LogEvent.VMS_REACHABLE
    _decoder = msgspec.json.Decoder(vms.VmListReply)

    def __init__(self, node):
        metrics = node.metrics.platform
        super().__init__(node, metrics.vms_bytes, metrics.vms_read_errors)
        self._listing: vms.VmList | None = None
        self._read_task: asyncio.Task | None = None
        self.runner.add_observer(events.ProcessPaused, self._cancel_read)

    async def poll(self) -> None:
        """Read the changes of the list, merge them and report the result to the kernel."""
        known = self._listing
        asked_at = self.runner.clock.now()
        reply = await self._read(known)
        if reply is None:
            return
        self._listing = self._merge(known, reply)
        if known is None or self._listing.version != known.version:
            self.runner.handle(events.VmsListed(listing=self._listing, asked_at=asked_at))
        else:
            self.runner.handle(events.VmsConfirmed(asked_at=asked_at))
        if not self._needs_fresh_list():
            await asyncio.sleep(self.settings.vms_interval_ms / 1000)

    async def _read(self, known: vms.VmList | None) -> vms.VmListReply | None:
        """Return the reply to a read, or None if the read was cancelled after a process pause."""
        self._read_task = asyncio.get_running_loop().create_task(self._get_changes(known))
        try:
            _, reply = await self._read_task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            return None
        return reply

    def reset(self) -> None:
        """Discard the list, so that the next poll reads and reports it in full."""
        self._listing = None

    def _cancel_read(self, _event: events.ProcessPaused) -> None:
        if self._read_task is not None:
            self._read_task.cancel()

    def _needs_fresh_list(self) -> bool:
        return self.runner.kernel.target_table.is_list_stale()

    def _merge(self, known: vms.VmList | None, reply: vms.VmListReply) -> vms.VmList:
        try:
            return vms.merged(known, reply)
        except errors.VmListError:
            self._listing = None
            raise

    async def _get_changes(self, known: vms.VmList | None) -> tuple[int, vms.VmListReply]:
        url = f"{self.settings.vms_url}/v1/vms"
        if known is None:
            return await self.get(url, self._decoder, 0)
        wait_ms = (
            0 if self._needs_fresh_list() else min(self.settings.poll_wait_ms, MAX_VMS_WAIT_MS)
        )
        return await self.get(f"{url}?since={known.version}", self._decoder, wait_ms)


def register() -> None:
    """Register the adapters under the name ``http``."""
    plugins.register_factory(plugins.AdapterKind.LOG, "http", HttpLog)
    plugins.register_factory(plugins.AdapterKind.VMS, "http", HttpVms)

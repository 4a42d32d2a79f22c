"""Stand-in for the platform's append-only log."""

import asyncio
import datetime

import falcon
import falcon.asgi
import msgspec

from chiveridge_standins import clocks, fault_controls, servers

DEFAULT_READ_LIMIT = 1000


class LogFaults(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Faults of the log.

    ``drop_append_replies`` is the number of further appends that take effect but get no reply.
    ``expire_before`` maps the name of a stream to the oldest offset that it keeps.
    ``max_records`` is the number of records kept in each stream, 0 for no limit.
    """

    down: bool = False
    delay_ms: float = 0
    drop_append_replies: int = 0
    expire_before: dict[str, int] = {}
    max_records: int = 0


class Record(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: int
    appended_at: datetime.datetime
    value: msgspec.Raw


class ReadReply(msgspec.Struct, frozen=True):
    """Records read, with the oldest retained offset and the offset of the next append."""

    first: int
    next: int
    records: list[Record] = []


class AppendReply(msgspec.Struct, frozen=True):
    """Offset of the appended record."""

    offset: int


class Stream:
    """Ordered records with offsets from 0; the oldest records expire first."""

    def __init__(self) -> None:
        self.first_offset = 0
        self._records: list[Record] = []
        self._append_event = asyncio.Event()

    @property
    def next_offset(self) -> int:
        """Offset of the next append."""
        return self.first_offset + len(self._records)

    def append(self, value: msgspec.Raw, now: datetime.datetime) -> int:
        """Append a record and return its offset."""
        offset = self.next_offset
        self._records.append(Record(offset, now, value))
        self._append_event.set()
        self._append_event = asyncio.Event()
        return offset

    def expire_before(self, offset: int) -> None:
        """Drop the records before ``offset``."""
        count = min(max(offset - self.first_offset, 0), len(self._records))
        del self._records[:count]
        self.first_offset += count

    def read(self, start_offset: int, limit: int) -> ReadReply:
        """Return up to ``limit`` records from ``start_offset``; none if that offset has expired."""
        if start_offset < self.first_offset:
            return ReadReply(self.first_offset, self.next_offset)
        index = start_offset - self.first_offset
        return ReadReply(self.first_offset, self.next_offset, self._records[index : index + limit])

    async def wait_for_record(self, offset: int, wait_s: float) -> None:
        """Wait until a record at ``offset`` exists, for at most ``wait_s`` seconds."""
        try:
            async with asyncio.timeout(wait_s):
                while self.next_offset <= offset:
                    await self._append_event.wait()
        except TimeoutError:
            return


class Log:
    """Streams by name, with the faults that apply to them."""

    def __init__(self, clock: clocks.Clock):
        self.faults = LogFaults()
        self._clock = clock
        self._streams_by_name: dict[str, Stream] = {}

    def stream(self, name: str) -> Stream:
        """Return a stream, creating it on first use."""
        return self._streams_by_name.setdefault(name, Stream())

    def append(self, name: str, value: msgspec.Raw) -> int:
        """Append a record to a stream and return its offset."""
        offset = self.stream(name).append(value, self._clock.now())
        self._expire_records(name)
        return offset

    def set_faults(self, faults: LogFaults) -> None:
        """Replace the faults and expire records accordingly."""
        self.faults = faults
        for name in faults.expire_before.keys() | self._streams_by_name.keys():
            self._expire_records(name)

    def consume_reply_drop(self) -> bool:
        """Return whether to drop the reply to this append; if so, decrement the number left."""
        count = self.faults.drop_append_replies
        if count <= 0:
            return False
        self.faults = msgspec.structs.replace(self.faults, drop_append_replies=count - 1)
        return True

    async def apply_request_faults(self) -> None:
        """Delay a request, and reject it while the log is down."""
        await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            raise falcon.HTTPServiceUnavailable(description="the log is down")

    def _expire_records(self, name: str) -> None:
        stream = self.stream(name)
        stream.expire_before(self.faults.expire_before.get(name, 0))
        if self.faults.max_records > 0:
            stream.expire_before(stream.next_offset - self.faults.max_records)


class RecordsResource:
    """Appends records to a stream and reads them."""

    def __init__(self, log: Log):
        self._log = log

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, stream: str
    ) -> None:
        """Append one record."""
        await self._log.apply_request_faults()
        value = _parse_json_object(await req.stream.read())
        offset = self._log.append(stream, value)
        if self._log.consume_reply_drop():
            servers.abort_connection(req)
            return
        resp.status = falcon.HTTP_201
        resp.data = msgspec.json.encode(AppendReply(offset))

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, stream: str
    ) -> None:
        """Read records; wait up to ``wait_ms`` for the first one if there is none."""
        await self._log.apply_request_faults()
        start_offset = req.get_param_as_int("from", min_value=0, default=0)
        limit = req.get_param_as_int("limit", min_value=1, default=DEFAULT_READ_LIMIT)
        wait_ms = req.get_param_as_int("wait_ms", min_value=0, default=0)
        record_stream = self._log.stream(stream)
        if wait_ms:
            await record_stream.wait_for_record(start_offset, wait_ms / 1000)
        if start_offset < record_stream.first_offset:
            resp.status = falcon.HTTP_410
        resp.data = msgspec.json.encode(record_stream.read(start_offset, limit))


def add_routes(app: falcon.asgi.App, log: Log) -> None:
    """Add the routes of the log and of its fault control to an application."""
    app.add_route("/v1/streams/{stream}/records", RecordsResource(log))
    app.add_route(
        "/log/control", fault_controls.ControlResource(lambda: log.faults, log.set_faults)
    )


def _parse_json_object(body: bytes) -> msgspec.Raw:
    try:
        msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
    return msgspec.Raw(body)

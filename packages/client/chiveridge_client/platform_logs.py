"""Client of the platform's append-only log."""

import datetime

import aiohttp
import msgspec

from chiveridge_client import errors
from chiveridge_kernel import identifiers

REQUEST_TIMEOUT = datetime.timedelta(seconds=5)
DEFAULT_READ_LIMIT = 500

_MILLISECOND = datetime.timedelta(milliseconds=1)
_ZERO = datetime.timedelta(0)


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream; ``value`` is its JSON text."""

    offset: identifiers.Offset
    appended_at: datetime.datetime
    value: msgspec.Raw


class LogPage(msgspec.Struct, frozen=True):
    """Records of one read, the oldest offset in the log and the offset of the next append."""

    first: identifiers.Offset
    next: identifiers.Offset
    records: list[LogRecord] = []


class Appended(msgspec.Struct, frozen=True):
    """Reply to an append: the offset of the stored record."""

    offset: identifiers.Offset


_page_decoder = msgspec.json.Decoder(LogPage)
_appended_decoder = msgspec.json.Decoder(Appended)


class LogClient:
    """Client of the platform's log at ``url``; the caller closes the session."""

    def __init__(self, url: str, session: aiohttp.ClientSession):
        self._url = url.rstrip("/")
        self._session = session

    async def append(self, stream: str, value: bytes) -> identifiers.Offset:
        """Append one JSON object and return its offset.

        :raises errors.LogReplyLostError: when the append may or may not have taken effect.
        :raises errors.LogError: when the log refused the record.
        """
        status, payload = await self._send("POST", stream, {}, value, _ZERO)
        _check_status(status, 201, payload)
        return _decode(_appended_decoder, payload).offset

    async def read(
        self,
        stream: str,
        start: identifiers.Offset,
        *,
        limit: int = DEFAULT_READ_LIMIT,
        wait: datetime.timedelta = _ZERO,
    ) -> LogPage:
        """Read up to ``limit`` records from offset ``start``; wait up to ``wait`` if there is none.

        :raises errors.OffsetExpiredError: when the log no longer has ``start``.
        :raises errors.LogReplyLostError: when no complete, readable reply arrived.
        :raises errors.LogError: when the log refused the request.
        """
        query = {"from": start, "limit": limit, "wait_ms": wait // _MILLISECOND}
        status, payload = await self._send("GET", stream, query, None, wait)
        if status == 410:
            page = _decode(_page_decoder, payload)
            raise errors.OffsetExpiredError(page.first, page.next)
        _check_status(status, 200, payload)
        return _decode(_page_decoder, payload)

    async def _send(
        self,
        method: str,
        stream: str,
        query: dict[str, int],
        body: bytes | None,
        wait: datetime.timedelta,
    ) -> tuple[int, bytes]:
        request = self._session.request(
            method,
            f"{self._url}/v1/streams/{stream}/records",
            params=query,
            data=body,
            timeout=aiohttp.ClientTimeout(total=(wait + REQUEST_TIMEOUT).total_seconds()),
        )
        try:
            async with request as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = str(error) or type(error).__name__
            raise errors.LogReplyLostError(f"{self._url}: {reason}") from error


def _check_status(status: int, expected: int, payload: bytes) -> None:
    if status == expected:
        return
    text = payload[:200].decode(errors="replace")
    if status >= 500:
        raise errors.LogReplyLostError(f"the log answered {status}: {text}")
    raise errors.LogError(f"the log answered {status}: {text}")


def _decode(decoder: msgspec.json.Decoder, payload: bytes):
    try:
        return decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.LogReplyLostError(f"unreadable reply of the log: {error}") from error

"""Sends requests to nodes and decodes their typed replies."""

import datetime

import aiohttp
import msgspec

from chiveridge_client import errors
from chiveridge_kernel import messages, results

SILENCE_TIMEOUT = datetime.timedelta(seconds=1)
"""Time without data, beyond the requested wait, after which a connection counts as lost."""

TRANSFER_TIMEOUT = datetime.timedelta(seconds=5)
"""Time limit, beyond the requested wait, for a whole request and its reply."""


class _RefusalWithOutcome(messages.Refusal, frozen=True, kw_only=True):
    """A refusal with a required ``ran``: a body without it does not decode as a refusal."""

    ran: results.TaskOutcome


_refusal_decoder = msgspec.json.Decoder(_RefusalWithOutcome)


class NodeTransport:
    """Sends requests with the caller's credential over one HTTP session."""

    def __init__(self, session: aiohttp.ClientSession, credential: str):
        self._session = session
        self._headers = {"Authorization": f"Bearer {credential}"}

    async def request(
        self,
        method: str,
        url: str,
        decoder: msgspec.json.Decoder,
        *,
        body: bytes | None = None,
        wait: datetime.timedelta = datetime.timedelta(0),
    ):
        """Send one request and return its decoded reply.

        :raises errors.RefusedError: when the node refused the request.
        :raises errors.NotSentError: when no connection could be made.
        :raises errors.ReplyLostError: when no complete, readable reply arrived.
        """
        status, headers, payload = await self._send(method, url, body, wait)
        if status in (200, 202):
            return _decode(decoder, payload)
        raise _refusal_error(_decode(_refusal_decoder, payload), headers)

    async def _send(self, method: str, url: str, body: bytes | None, wait: datetime.timedelta):
        request = self._session.request(
            method,
            url,
            data=body,
            params={"wait_ms": wait // datetime.timedelta(milliseconds=1)},
            headers=self._headers,
            allow_redirects=False,
            timeout=_timeout(wait),
        )
        try:
            async with request as response:
                return response.status, response.headers, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise errors.NotSentError(f"{url}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.ReplyLostError(f"{url}: {error or type(error).__name__}") from error


def _timeout(wait: datetime.timedelta) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=(wait + TRANSFER_TIMEOUT).total_seconds(),
        sock_connect=SILENCE_TIMEOUT.total_seconds(),
        sock_read=(wait + SILENCE_TIMEOUT).total_seconds(),
    )


def _decode(decoder: msgspec.json.Decoder, payload: bytes):
    try:
        return decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.ReplyLostError(f"unreadable reply: {error}") from error


def _refusal_error(refusal: messages.Refusal, headers) -> errors.RefusedError:
    return errors.RefusedError(
        refusal.code,
        refusal.message,
        _retry_after(refusal, headers),
        refusal.ran,
    )


def _retry_after(refusal: messages.Refusal, headers) -> datetime.timedelta | None:
    if refusal.retry_after_ms is not None:
        return datetime.timedelta(milliseconds=refusal.retry_after_ms)
    seconds = headers.get("Retry-After", "")
    return datetime.timedelta(seconds=int(seconds)) if seconds.isdigit() else None

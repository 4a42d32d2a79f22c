"""Control of faults at run time by JSON objects with the fields to change."""

from collections.abc import Callable
from typing import TypeVar

import falcon
import falcon.asgi
import msgspec

T = TypeVar("T", bound=msgspec.Struct)


class ControlResource:
    """``POST`` changes some fields of a struct of faults and returns the whole struct."""

    def __init__(self, get_faults: Callable[[], T], set_faults: Callable[[T], None]):
        self._get_faults = get_faults
        self._set_faults = set_faults

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Apply the changes of the request body."""
        faults = merge_fields(self._get_faults(), await req.stream.read())
        self._set_faults(faults)
        resp.data = msgspec.json.encode(faults)


def merge_fields(faults: T, body: bytes) -> T:
    """Return ``faults`` with the values of the JSON object ``body`` merged in.

    :raises falcon.HTTPBadRequest: when the body is not a JSON object, or a field is unknown or
        of the wrong type.
    """
    try:
        changes = msgspec.json.decode(body, type=dict[str, object])
        return msgspec.convert(msgspec.to_builtins(faults) | changes, type(faults))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error


def decode_body(body: bytes, body_type: type[T]) -> T:
    """Decode a request body.

    :raises falcon.HTTPBadRequest: when the body is not a valid ``body_type``.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error

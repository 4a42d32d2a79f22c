"""Messages between nodes, as msgpack with a type tag."""

import enum

import msgspec

from chiveridge_kernel import errors, identifiers, results

PROTOCOL_VERSION = 1
MAX_PEER_MESSAGE_BYTES = 16 * 1024 * 1024


class PeerMessageError(errors.ChiveridgeError):
    """Bytes from a peer are not a message of this protocol version."""


class Operation(enum.Enum):
    """What a caller wants from the issuer of a submission id."""

    SUBMIT = "submit"
    ASK = "ask"
    CANCEL = "cancel"


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True, tag="caller_request"):
    """A caller's request, forwarded to the issuer; ``wait_ms`` bounds the wait for the answer.

    ``arrived_at_ms`` is when it arrived at the sender, in milliseconds since the Unix epoch.
    """

    request_id: int
    sender: identifiers.NodeName
    operation: Operation
    team: identifiers.TeamName
    submission_id: str
    body: bytes = b""
    wait_ms: int = 0
    arrived_at_ms: int


class CallerReply(msgspec.Struct, frozen=True, kw_only=True, tag="caller_reply"):
    """The issuer's reply to a forwarded request: a JSON body for the caller and its code."""

    request_id: int
    code: results.ResultCode
    body: bytes
    retry_after_ms: int | None = None
    refused: bool = False


PeerMessage = CallerRequest | CallerReply

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)
_VERSION_PREFIX = bytes([PROTOCOL_VERSION])


def encode(message: PeerMessage) -> bytes:
    """Return the bytes of a message: one version byte and msgpack."""
    return _VERSION_PREFIX + _encoder.encode(message)


def decode(data: bytes) -> PeerMessage:
    """Decode a message.

    :raises PeerMessageError: when it is corrupt, oversized or of another version.
    """
    if len(data) > MAX_PEER_MESSAGE_BYTES:
        raise PeerMessageError(f"message of {len(data)} bytes is too large")
    if data[:1] != _VERSION_PREFIX:
        raise PeerMessageError(f"message has version {data[:1].hex()!r}")
    try:
        return _decoder.decode(memoryview(data)[1:])
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise PeerMessageError(f"message cannot be decoded: {error}") from error

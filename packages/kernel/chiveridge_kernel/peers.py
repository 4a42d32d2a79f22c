"""Messages between nodes, encoded as msgpack with a type tag."""

import enum
import typing
from typing import Annotated

import msgspec

from chiveridge_kernel import (
    errors,
    identifiers,
    limit_messages,
    records,
    results,
    slot_messages,
    target_messages,
    vms,
)

PROTOCOL_VERSION = 1
MAX_PEER_MESSAGE_BYTES = 16 * 1024 * 1024


# The keys are short because heartbeats are a large part of the control traffic.
_HEARTBEAT_KEYS_BY_FIELD = {
    "sender": "s",
    "incarnation": "i",
    "sequence": "q",
    "echo": "e",
    "offset": "o",
    "leaving": "l",
    "exited": "x",
    "reply_wanted": "r",
    "endpoint": "a",
}

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class DropReason(enum.Enum):
    """Why a message from a peer is dropped."""

    CORRUPT = "corrupt"
    OVERSIZED = "oversized"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_TYPE = "unknown_type"
    UNEXPECTED = "unexpected"


class PeerMessageError(errors.ChiveridgeError):
    """Bytes from a peer are not a message that this node can handle."""

    def __init__(self, reason: DropReason, message: str):
        super().__init__(message)
        self.reason = reason


class Operation(enum.Enum):
    """The operation that a caller requests from the issuer of a submission id."""

    SUBMIT = "submit"
    QUERY = "ask"
    CANCEL = "cancel"


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True, tag="caller_request"):
    """A caller's request, forwarded to the issuer; ``wait_ms`` is the longest wait for the answer.

    ``arrived_at_ms`` is its arrival at the sender, in milliseconds since the Unix epoch.
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
    """The issuer's reply to a forwarded request: a JSON body for the caller and the result code."""

    request_id: int
    code: results.ResultCode
    body: bytes
    retry_after_ms: int | None = None
    refused: bool = False


class HandoverAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The encoded answer to a submission and the team that may read it."""

    submission_id: identifiers.SubmissionId
    team: identifiers.TeamName
    code: results.ResultCode
    body: bytes


class Handover(msgspec.Struct, frozen=True, kw_only=True, tag="handover"):
    """One part of the handover of a stopping node: its answers and the ids that it admitted.

    ``admitted`` holds bitmaps with a bit for each issued id; ids that had expired at
    ``made_at_ms``, by the sender's clock, are not marked. The sender starts no task after it has
    sent the first part.
    """

    sender: identifiers.NodeName
    incarnation: identifiers.Incarnation
    part: int
    part_count: int
    made_at_ms: int
    admitted: dict[int, bytes] = {}
    answers: list[HandoverAnswer] = []


class HandoverKept(msgspec.Struct, frozen=True, kw_only=True, tag="handover_kept"):
    """Confirms that the sender has stored a part of the handover of an incarnation."""

    sender: identifiers.NodeName
    incarnation: identifiers.Incarnation
    part: int


class ConfigurationAsk(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_ask"):
    """Requests the configuration if the peer's offset is higher, and on request the list of VMs."""

    offset: identifiers.Offset
    wants_listing: bool = False


class ConfigurationChunk(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_chunk"):
    """One chunk of the peer's configuration."""

    chunk: records.SnapshotRecord


class ListingReply(msgspec.Struct, frozen=True, kw_only=True, tag="listing_reply"):
    """The list of VMs that the peer last read."""

    listing: vms.VmList


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """The failure domain, IP address and TCP ports of a node, as in :class:`vms.Vm`."""

    domain: identifiers.DomainName
    address: str
    port: Port
    peer_port: Port


class Heartbeat(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag="hb",
    rename=_HEARTBEAT_KEYS_BY_FIELD.get,
):
    """Says that an incarnation of a node is alive and which configuration it has applied.

    ``sequence`` counts the heartbeats of this incarnation to the receiver; ``echo`` is the
    last sequence that the sender received from the receiver. ``offset`` is the applied offset of
    the configuration. ``leaving`` means that the node is draining, and ``exited`` that it has
    ended all of its tasks and starts no more. ``endpoint`` is included until the receiver has
    confirmed a heartbeat, because its list of VMs may not show this incarnation yet.
    """

    sender: identifiers.NodeName
    incarnation: identifiers.Incarnation
    sequence: Annotated[int, msgspec.Meta(ge=1)]
    echo: Annotated[int, msgspec.Meta(ge=0)] = 0
    offset: Annotated[int, msgspec.Meta(ge=0)] = 0
    leaving: bool = False
    exited: bool = False
    reply_wanted: bool = False
    endpoint: Endpoint | None = None


PeerMessage = (
    CallerRequest
    | CallerReply
    | Handover
    | HandoverKept
    | Heartbeat
    | target_messages.TargetLeaving
    | target_messages.ProbeRequest
    | target_messages.ProbeReply
    | limit_messages.LimitBatch
    | ConfigurationAsk
    | ConfigurationChunk
    | ListingReply
    | slot_messages.SlotRequest
    | slot_messages.SlotGrant
    | slot_messages.SlotReturn
    | slot_messages.SlotReport
    | slot_messages.StartCounts
)


class _Tagged(msgspec.Struct):
    type: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)
_tag_decoder = msgspec.msgpack.Decoder(_Tagged)
_KNOWN_TAGS = frozenset(kind.__struct_config__.tag for kind in typing.get_args(PeerMessage))
_VERSION_PREFIX = bytes([PROTOCOL_VERSION])


def encode(message: PeerMessage) -> bytes:
    """Encode a message as one version byte and msgpack."""
    return _VERSION_PREFIX + _encoder.encode(message)


def decode(data: bytes) -> PeerMessage:
    """Decode a message.

    :raises PeerMessageError: when it is corrupt, oversized or of another version.
    """
    if len(data) > MAX_PEER_MESSAGE_BYTES:
        message = f"message of {len(data)} bytes is too large"
        raise PeerMessageError(DropReason.OVERSIZED, message)
    if data[:1] != _VERSION_PREFIX:
        message = f"message has version {data[:1].hex()!r}"
        raise PeerMessageError(DropReason.UNKNOWN_VERSION, message)
    content = memoryview(data)[1:]
    try:
        return _decoder.decode(content)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        message = f"message cannot be decoded: {error}"
        raise PeerMessageError(_find_drop_reason(content), message) from error


def _find_drop_reason(content: memoryview) -> DropReason:
    """Return why bytes cannot be decoded; a newer node may send unknown message types."""
    try:
        tag = _tag_decoder.decode(content).type
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return DropReason.CORRUPT
    return DropReason.CORRUPT if tag in _KNOWN_TAGS else DropReason.UNKNOWN_TYPE

"""Messages between nodes, as msgpack with a type tag."""

import enum

import msgspec

from chiveridge_kernel import errors, identifiers, records, results, vms

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
    """A caller's request, forwarded to the issuer; ``wait_ms`` bounds the wait for the answer."""

    request_id: int
    sender: identifiers.NodeName
    operation: Operation
    team: identifiers.TeamName
    submission_id: str
    body: bytes = b""
    wait_ms: int = 0


class CallerReply(msgspec.Struct, frozen=True, kw_only=True, tag="caller_reply"):
    """The issuer's reply to a forwarded request: a JSON body for the caller and its code."""

    request_id: int
    code: results.ResultCode
    body: bytes
    retry_after_ms: int | None = None


class SlotRequest(msgspec.Struct, frozen=True, kw_only=True, tag="slot_request"):
    """Asks the owner of targets for slots; it replaces an earlier request of the demand.

    ``wanted`` 0 cancels. The owner serves requests by ``due_ms``, when the job would end
    without any wait; like ``arrived_at_ms`` it is in milliseconds since the Unix epoch.
    """

    sender: identifiers.NodeName
    demand_id: int
    team: identifiers.TeamName
    selector: str
    wanted: int
    arrived_at_ms: int
    due_ms: int
    memory_mb: int = 0
    cores: int = 0
    accelerators: int = 0


class SlotGrant(msgspec.Struct, frozen=True, kw_only=True, tag="slot_grant"):
    """Lends slots, one for each target named; ``free`` is what the owner has left.

    ``serial`` counts the owner's grants to this node from 1.
    """

    sender: identifiers.NodeName
    demand_id: int
    serial: int
    targets: list[identifiers.TargetName]
    free: int


class SlotEnd(msgspec.Struct, frozen=True, array_like=True):
    """A slot given back, with what its start showed of the target."""

    target: identifiers.TargetName
    team: identifiers.TeamName
    outcome: str = ""
    run_ms: float = 0.0


class SlotReturn(msgspec.Struct, frozen=True, kw_only=True, tag="slot_return"):
    """Gives slots back to their owner; ``free`` is what the sender has left of its own."""

    sender: identifiers.NodeName
    ends: list[SlotEnd]
    free: int


class SlotReport(msgspec.Struct, frozen=True, kw_only=True, tag="slot_report"):
    """All slots of the owner that the sender holds, as a correction of lost messages.

    ``last_serial`` is the last grant received from the owner, 0 for none.
    """

    sender: identifiers.NodeName
    last_serial: int
    held_by_target: dict[identifiers.TargetName, int]
    free: int


class ConfigurationAsk(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_ask"):
    """Asks for the configuration when the peer's offset is higher, and for a list of VMs."""

    offset: identifiers.Offset
    wants_listing: bool = False


class ConfigurationChunk(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_chunk"):
    """A part of the peer's configuration."""

    chunk: records.SnapshotRecord


class ListingReply(msgspec.Struct, frozen=True, kw_only=True, tag="listing_reply"):
    """The list of VMs that the peer last read."""

    listing: vms.VmList


PeerMessage = (
    CallerRequest
    | CallerReply
    | ConfigurationAsk
    | ConfigurationChunk
    | ListingReply
    | SlotRequest
    | SlotGrant
    | SlotReturn
    | SlotReport
)

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

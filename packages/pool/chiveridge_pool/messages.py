"""Messages between nodes of a pool, and their codec."""

import msgspec

from chiveridge_pool import identifiers, resources, targets

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class MessageError(Exception):
    """Bytes from a peer that are not a message."""


class Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A message; ``sender`` is the incarnation that sent it. New fields are added at the end."""

    sender: identifiers.NodeId


class NodeState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What changes rarely of a node.

    ``hears`` names the nodes heard lately, and ``held`` the targets under its token with none but
    its own runs. ``leaving`` are the targets that it has seen draining, with the time of their
    birth.
    """

    zone: identifiers.ZoneName
    endpoint: identifiers.Endpoint
    hears: tuple[identifiers.NodeId, ...] = ()
    held: dict[identifiers.TargetId, identifiers.FencingToken] = {}
    leaving: tuple[tuple[identifiers.TargetId, int], ...] = ()
    is_leaving: bool = False
    is_slow: bool = False
    version: int = 0


class Heartbeat(Message, tag="hb", frozen=True, kw_only=True):
    """The state of a node as one peer needs it.

    ``state`` is left out once the recipient has confirmed ``state_number``, which it does by
    ``seen``. ``free`` is the room left on each usable target. ``runs`` are the grants in use on
    behalf of ``recipient``, see :func:`chiveridge_pool.grants.short_id`, complete for all starts
    up to ``started``; the recipient is unset while the sender does not know who listens there.
    ``jobs`` are those that the sender has had in progress for so long that their callers may have
    sent them to another node as well.
    """

    state_number: int
    state: NodeState | None = None
    recipient: identifiers.NodeId | None = None
    seen: int = 0
    free: tuple[resources.Resources, ...] = ()
    runs: tuple[int | identifiers.GrantId, ...] = ()
    started: int = 0
    jobs: tuple[identifiers.JobId, ...] = ()
    endpoints: tuple[identifiers.Endpoint, ...] = ()


class Goodbye(Message, tag="gb", frozen=True, kw_only=True):
    """The node at an endpoint exits."""

    endpoint: identifiers.Endpoint


class Ask(Message, tag="ask", frozen=True, kw_only=True):
    """Ask an owner for room for ``count`` tasks of a job's step; replaces an earlier ask.

    Away from the racks with the label ``rack`` a task takes ``remote_factor`` times as long.
    """

    job: identifiers.JobId
    step: int = 0
    rank: tuple[float, float]
    queue: identifiers.QueueName
    service: identifiers.ServiceName
    size: resources.Resources
    count: int
    estimate_ms: float = 0.0
    label: str = ""
    rack: str = ""
    remote_factor: float = 1.0
    per_target: int = 0


class Withdraw(Message, tag="wd", frozen=True, kw_only=True):
    """The step of a job needs no more room."""

    job: identifiers.JobId
    step: int = 0


class Granted(Message, tag="gr", frozen=True, kw_only=True):
    """Room for tasks of a job's step, reserved for a short time."""

    job: identifiers.JobId
    step: int = 0
    grants: tuple[tuple[identifiers.GrantId, identifiers.TargetId, identifiers.FencingToken], ...]


class Release(Message, tag="rl", frozen=True, kw_only=True):
    """Give grants back that were not used."""

    grants: tuple[identifiers.GrantId, ...]


class Start(Message, tag="st", frozen=True, kw_only=True):
    """Run tasks on granted room; ``sequence`` numbers the starts sent to one owner."""

    job: identifiers.JobId
    sequence: int
    spec: str
    runs: tuple[tuple[identifiers.GrantId, identifiers.TaskName, identifiers.RunNumber], ...]


class Stop(Message, tag="sp", frozen=True, kw_only=True):
    """Stop runs; confirmed by :class:`Ended`."""

    grants: tuple[identifiers.GrantId, ...]


class Ended(Message, tag="en", frozen=True, kw_only=True):
    """Grants that are over, each with how; see :class:`chiveridge_pool.runs.RunEnd`."""

    ends: tuple[tuple[identifiers.GrantId, str], ...]


class HandedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that changes its owner with its target."""

    grant: identifiers.GrantId
    node: identifiers.NodeId
    job: identifiers.JobId
    queue: identifiers.QueueName
    task: identifiers.TaskName
    run: identifiers.RunNumber
    size: resources.Resources
    estimate_ms: float
    step: int = 0


class Handover(Message, tag="ho", frozen=True, kw_only=True):
    """Hand a target with all that runs there to another owner."""

    target: targets.Target
    token: identifiers.FencingToken
    acknowledged: int
    born: int
    runs: tuple[HandedRun, ...]


class Moved(Message, tag="mv", frozen=True, kw_only=True):
    """Tell a job's node that grants belong to another owner from now on."""

    grants: tuple[identifiers.GrantId, ...]
    owner: identifiers.NodeId


class Configuration(Message, tag="cf", frozen=True, kw_only=True):
    """The newest configuration that the sender knows, for a peer whose version is older."""

    version: int
    text: bytes


class Targets(Message, tag="tg", frozen=True, kw_only=True):
    """Targets that the sender knows, for a peer that has not read the platform's list."""

    targets: tuple[targets.Target, ...]


class Follow(Message, tag="fo", frozen=True, kw_only=True):
    """Ask for the answer of a job that the recipient works at; answered by :class:`Outcome`.

    ``patience_ms`` is how much longer the sender's caller waits.
    """

    job: identifiers.JobId
    patience_ms: float


class Unfollow(Message, tag="uf", frozen=True, kw_only=True):
    """Nobody waits for a job at the sender any more."""

    job: identifiers.JobId


class Outcome(Message, tag="oc", frozen=True, kw_only=True):
    """The answer of a job for those who follow it.

    ``verdict`` is a word of :class:`chiveridge_pool.actions.Verdict`, or empty when the job ended
    without an answer and nothing of it runs any more, so that it may be run anew.
    """

    job: identifiers.JobId
    verdict: str = ""
    reason: str = ""


class Cancel(Message, tag="cn", frozen=True, kw_only=True):
    """Cancel a job that the recipient works at."""

    job: identifiers.JobId


AnyMessage = (
    Heartbeat
    | Goodbye
    | Ask
    | Withdraw
    | Granted
    | Release
    | Start
    | Stop
    | Ended
    | Handover
    | Moved
    | Configuration
    | Targets
    | Follow
    | Unfollow
    | Outcome
    | Cancel
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Return the message in ``data``.

    :raises MessageError: when there is none.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error

"""Messages between the nodes of a pool, and their codec."""

import msgspec

from chiveridge_kernel import readers
from chiveridge_pool import (
    crash_histories,
    identifiers,
    node_lists,
    resources,
    targets,
    value_ranges,
)

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class MessageError(Exception):
    """Raised for bytes from a peer that do not decode to a message."""


class Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base class of messages; ``sender`` is the sending incarnation. Add new fields at the end."""

    sender: identifiers.NodeId


Room = tuple[identifiers.NodeId, identifiers.Endpoint, int]
"""An owner with its endpoint and its free processor capacity, in thousandths of a core."""


class NodeState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The rarely changing state of a node.

    ``owned_tokens`` lists the targets that have accepted its token and run only what it knows.
    ``draining_targets`` lists the targets that it knows to be draining, with their start times in
    Unix milliseconds. ``unfit_endpoints`` lists the nodes of its failure domain that it knows to be
    silent or draining. ``strength`` is the processor share of its machine in hundredths of a
    core. ``interferences`` lists pairs of queues of which the first one's runs take longer beside
    the second one's, as this owner has found. ``unfinished_jobs`` lists the jobs of lost nodes of
    which runs on this owner's targets have not ended.
    """

    domain: identifiers.DomainName
    endpoint: identifiers.Endpoint
    owned_tokens: dict[identifiers.TargetId, identifiers.FencingToken] = {}
    draining_targets: tuple[tuple[identifiers.TargetId, int], ...] = ()
    is_draining: bool = False
    is_slow: bool = False
    version: int = 0
    strength: int = 0
    unfit_endpoints: tuple[identifiers.Endpoint, ...] = ()
    evacuations_version: int = 0
    interferences: tuple[tuple[identifiers.QueueName, identifiers.QueueName], ...] = ()
    unfinished_jobs: tuple[identifiers.JobId, ...] = ()


class Heartbeat(Message, tag="hb", frozen=True, kw_only=True):
    """The state of a node, for one recipient.

    ``state`` is omitted once the recipient has confirmed ``state_number``, which it does in the
    field ``confirmed_state_number`` of its own heartbeats. ``free_capacities`` is the free capacity
    of each usable target, or None if it has not changed. ``grants_in_use`` lists the grants in use
    by ``recipient`` as :func:`chiveridge_pool.grants.short_id` returns them. The list covers all
    starts up to sequence number ``last_start_sequence``. ``recipient`` is unset while the sender
    does not know which node listens at the endpoint. ``jobs`` lists the sender's jobs that have
    been in progress for so long that their callers may have retried them at another node, and
    ``leaders_by_job`` those of other nodes that it knows of.

    ``is_watching`` tells that the sender expects heartbeats from the recipient, and
    ``hears_recipient`` that it has received a message of it recently. ``needs_lists`` asks for the
    lists of targets and nodes. ``remote_rooms`` lists the owners of other failure domains, or is
    None if they have not changed. ``heard_owners`` lists the owners of the recipient's failure
    domain that the sender hears, if that is another domain than its own.
    """

    state_number: int
    state: NodeState | None = None
    recipient: identifiers.NodeId | None = None
    confirmed_state_number: int = 0
    free_capacities: tuple[resources.Resources, ...] | None = None
    grants_in_use: tuple[int | identifiers.GrantId, ...] = ()
    last_start_sequence: int = 0
    jobs: tuple[identifiers.JobId, ...] = ()
    leaders_by_job: tuple[tuple[identifiers.JobId, identifiers.NodeId], ...] = ()
    is_watching: bool = False
    hears_recipient: bool = False
    needs_lists: bool = False
    remote_rooms: tuple[Room, ...] | None = None
    heard_owners: tuple[identifiers.Endpoint, ...] = ()


class Goodbye(Message, tag="gb", frozen=True, kw_only=True):
    """Announces that the node at an endpoint exits."""

    endpoint: identifiers.Endpoint


class CapacityRequest(Message, tag="ask", frozen=True, kw_only=True):
    """Request capacity for ``count`` tasks of a job's step from an owner.

    Replaces an earlier request for the same step. A task takes ``remote_factor`` times as long on
    a target without the rack label ``rack``. ``wants_answer`` asks for a :class:`CapacityGranted`
    at once, also if the free capacity does not suffice. ``former_leader`` is a node that had the
    job before and has confirmed that it does not have it any more. ``is_isolated`` asks for targets
    on which nothing else runs, as the tasks may crash them. ``avoided`` are targets on which none
    of the tasks may run.
    """

    job: identifiers.JobId
    step: int = 0
    rank: tuple[float, float]
    queue: identifiers.QueueName
    service: identifiers.ServiceName
    size: resources.Resources
    count: value_ranges.Count
    estimate_ms: value_ranges.Milliseconds = 0.0
    label: str = ""
    rack: str = ""
    remote_factor: value_ranges.Factor = 1.0
    per_target: value_ranges.Count = 0
    former_leader: identifiers.NodeId | None = None
    wants_answer: bool = False
    is_isolated: bool = False
    avoided: tuple[identifiers.TargetId, ...] = ()


class CapacityWithdrawal(Message, tag="wd", frozen=True, kw_only=True):
    """Withdraw the capacity request for a job's step, or for its isolated tasks."""

    job: identifiers.JobId
    step: int = 0
    is_isolated: bool = False


class CapacityGranted(Message, tag="gr", frozen=True, kw_only=True):
    """Grants of capacity for tasks of a job's step, reserved for a short time.

    ``is_short`` tells that the owner has less free capacity than requested; the rest is queued.
    """

    job: identifiers.JobId
    step: int = 0
    grants: tuple[tuple[identifiers.GrantId, identifiers.TargetId, identifiers.FencingToken], ...]
    is_short: bool = False
    is_isolated: bool = False


class GrantRelease(Message, tag="rl", frozen=True, kw_only=True):
    """Return unused grants."""

    grants: tuple[identifiers.GrantId, ...]


class StartRuns(Message, tag="st", frozen=True, kw_only=True):
    """Run tasks on granted capacity; ``sequence`` numbers the starts sent to one owner.

    ``retry_slack_ms``: how long a task may wait for proof that its run has ended.
    """

    job: identifiers.JobId
    sequence: int
    spec: str
    runs: tuple[tuple[identifiers.GrantId, identifiers.TaskName, identifiers.RunNumber], ...]
    retry_slack_ms: value_ranges.Milliseconds = 0.0


class StopRuns(Message, tag="sp", frozen=True, kw_only=True):
    """Stop the runs of grants; :class:`RunsEnded` reports their ends."""

    grants: tuple[identifiers.GrantId, ...]


class StartsUnanswered(Message, tag="un", frozen=True, kw_only=True):
    """Notify a job's node of runs whose start got no reply and may still be executed.

    The node needs this if the sender is lost. ``executable_for_ms``: for how long.
    """

    grants: tuple[identifiers.GrantId, ...]
    executable_for_ms: value_ranges.Milliseconds


class RunsEnded(Message, tag="en", frozen=True, kw_only=True):
    """Reports ended grants, each with the value of its :class:`chiveridge_pool.runs.RunEnd`.

    ``proofs`` has the :class:`chiveridge_pool.end_proofs.EndProof` of those that did not end done.
    """

    ends: tuple[tuple[identifiers.GrantId, str], ...]
    proofs: dict[identifiers.GrantId, str] = {}


class HandedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that changes its owner with its target.

    ``executable_for_ms``: how long an unanswered attempt of its start may still be executed.
    ``retry_slack_ms``: how long its task may wait for proof that it has ended.
    """

    grant: identifiers.GrantId
    node: identifiers.NodeId
    job: identifiers.JobId
    queue: identifiers.QueueName
    task: identifiers.TaskName
    run: identifiers.RunNumber
    size: resources.Resources
    estimate_ms: value_ranges.Milliseconds
    step: int = 0
    is_isolated: bool = False
    executable_for_ms: value_ranges.Milliseconds = 0.0
    retry_slack_ms: value_ranges.Milliseconds = 0.0


class Handover(Message, tag="ho", frozen=True, kw_only=True):
    """Hand over a target and its runs to another owner.

    ``speed_excess`` and ``speed_runs`` are what :class:`chiveridge_pool.target_speeds.TargetSpeeds`
    has learned of it.
    """

    target: targets.Target
    token: identifiers.FencingToken
    acknowledged: value_ranges.Count
    started_at_ms: value_ranges.Count
    runs: tuple[HandedRun, ...]
    speed_excess: float = 0.0
    speed_runs: int = 0


class OwnerChanged(Message, tag="mv", frozen=True, kw_only=True):
    """Notify a job's node that grants now belong to another owner."""

    grants: tuple[identifiers.GrantId, ...]
    owner: identifiers.NodeId


class Configuration(Message, tag="cf", frozen=True, kw_only=True):
    """The newest configuration known to the sender, for a peer with an older version."""

    version: int
    text: bytes


class Targets(Message, tag="tg", frozen=True, kw_only=True):
    """Targets known to the sender, for a peer that has not read the platform's list.

    With ``are_new``, the platform's list has named them for the first time, and the recipient is
    their owner.
    """

    targets: tuple[targets.Target, ...]
    are_new: bool = False


class Nodes(Message, tag="nd", frozen=True, kw_only=True):
    """Nodes known to the sender, for a peer that has not read the platform's list."""

    nodes: tuple[node_lists.ListedNode, ...]


class JobElsewhere(Message, tag="el", frozen=True, kw_only=True):
    """Reject a capacity request, as another node has the job in progress."""

    job: identifiers.JobId
    leader: identifiers.NodeId


class FollowJob(Message, tag="fo", frozen=True, kw_only=True):
    """Subscribe to the result of a job that the recipient runs; answered by :class:`JobOutcome`.

    ``remaining_wait_ms`` is the remaining time for which the sender's caller waits.
    """

    job: identifiers.JobId
    remaining_wait_ms: value_ranges.SignedMilliseconds


class UnfollowJob(Message, tag="uf", frozen=True, kw_only=True):
    """Cancel the subscription, since no caller waits for the job at the sender."""

    job: identifiers.JobId


class JobOutcome(Message, tag="oc", frozen=True, kw_only=True):
    """The result of a job, for the nodes that subscribed to it.

    ``verdict`` is a value of :class:`chiveridge_pool.actions.Verdict`. It is empty if the job ended
    without a result and none of its tasks is running, so that it may be run again.
    """

    job: identifiers.JobId
    verdict: str = ""
    reason: str = ""


class CancelJob(Message, tag="cn", frozen=True, kw_only=True):
    """Cancel a job that the recipient runs."""

    job: identifiers.JobId


class CrashesReported(Message, tag="cr", frozen=True, kw_only=True):
    """Runs that were on targets as these crashed or fell silent."""

    crashes: tuple[crash_histories.Crash, ...]


class Evacuations(Message, tag="ev", frozen=True, kw_only=True):
    """The evacuated failure domains, sent to nodes that know an earlier version."""

    version: int
    domains: tuple[identifiers.DomainName, ...]


AnyMessage = (
    Heartbeat
    | Goodbye
    | CapacityRequest
    | CapacityWithdrawal
    | CapacityGranted
    | GrantRelease
    | StartRuns
    | StopRuns
    | StartsUnanswered
    | RunsEnded
    | Handover
    | OwnerChanged
    | Configuration
    | Targets
    | Nodes
    | JobElsewhere
    | FollowJob
    | UnfollowJob
    | JobOutcome
    | CancelJob
    | CrashesReported
    | Evacuations
)

_encoder = msgspec.msgpack.Encoder()
_read = readers.Reader(msgspec.msgpack.Decoder(AnyMessage).decode)


def encode(message: AnyMessage) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Decode a message.

    :raises MessageError: if ``data`` is not a valid message.
    """
    try:
        return _read(data)
    except readers.ReadError as error:
        raise MessageError(str(error)) from error

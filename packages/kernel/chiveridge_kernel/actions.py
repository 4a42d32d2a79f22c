"""Actions that the kernel asks the node process to perform."""

import datetime

import msgspec

from chiveridge_kernel import configurations, identifiers, messages, peers, snapshots, vms

WITHDRAWN = "withdrawn"


class StartTask(msgspec.Struct, frozen=True, kw_only=True):
    """Start a task on a target; it must not be sent at or after ``start_before``."""

    lease_id: identifiers.LeaseId
    target: vms.Vm
    team: identifiers.TeamName
    body: bytes
    start_before: datetime.datetime


class AskOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Query the outcome of a start from its target over a new connection, after ``delay``.

    With ``wait``, the target may delay its reply until the task ends (long polling).
    """

    lease_id: identifiers.LeaseId
    target: vms.Vm
    delay: datetime.timedelta = datetime.timedelta()
    wait: bool = False


class ProbeTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Probe a target over a new connection; answered by :class:`events.TargetProbed`."""

    target: vms.Vm


class WithdrawStart(msgspec.Struct, frozen=True, kw_only=True):
    """Report a start as refused, with reason :data:`WITHDRAWN`, if nothing of it was sent yet."""

    lease_id: identifiers.LeaseId


class StopTask(msgspec.Struct, frozen=True, kw_only=True):
    """Stop a task whose result is not needed; answered by :class:`events.StopConfirmed`.

    If the target has not seen the start yet, the stop is repeated until ``start_before``; after
    that the start cannot begin.
    """

    lease_id: identifiers.LeaseId
    target: vms.Vm
    start_before: datetime.datetime


class NoteStopped(msgspec.Struct, frozen=True, kw_only=True):
    """Notify waiting requests that no start of an ended job can begin any more."""

    submission_id: identifiers.SubmissionId


class AnswerJob(msgspec.Struct, frozen=True, kw_only=True):
    """Return a job's final answer to the requests that wait for it."""

    team: identifiers.TeamName
    answer: messages.JobAnswer


class SendToPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Send a message to another node; it may be lost."""

    peer: vms.Vm
    message: peers.PeerMessage


class ReplyToPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Reply over the connection by which a message arrived; the reply may be lost."""

    route: bytes
    message: peers.PeerMessage


class SendSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a peer with a snapshot, as one :class:`peers.ConfigurationChunk` for each chunk."""

    route: bytes
    snapshot: snapshots.Snapshot


class AppendSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Append the chunks of a snapshot to the log; appends may be lost or repeated."""

    snapshot: snapshots.Snapshot


class DisconnectPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Close the connection to a removed or silent node; the next message opens a new one."""

    peer: vms.Vm


class NoteChange(msgspec.Struct, frozen=True, kw_only=True):
    """Write the verdict on a configuration record to the audit trail."""

    result: configurations.ChangeResult


class NoteRestored(msgspec.Struct, frozen=True, kw_only=True):
    """Write a log line: the configuration was restored from a snapshot of a peer or the stream."""

    offset: identifiers.Offset
    is_from_peer: bool


class ContinueLoading(msgspec.Struct, frozen=True):
    """Send :class:`events.LoadingContinued` to the kernel after other pending work."""


class Exit(msgspec.Struct, frozen=True):
    """The drain is complete; the process may exit."""


Action = (
    StartTask
    | AskOutcome
    | ProbeTarget
    | WithdrawStart
    | StopTask
    | NoteStopped
    | AnswerJob
    | SendToPeer
    | DisconnectPeer
    | ReplyToPeer
    | SendSnapshot
    | AppendSnapshot
    | NoteChange
    | NoteRestored
    | ContinueLoading
    | Exit
)

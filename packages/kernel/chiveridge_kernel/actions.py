"""Actions that the kernel asks its surroundings to perform."""

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
    """Ask a target over a new connection what became of a start, after ``delay``.

    ``wait`` lets the target hold its reply for a while until the task ends.
    """

    lease_id: identifiers.LeaseId
    target: vms.Vm
    delay: datetime.timedelta = datetime.timedelta()
    wait: bool = False


class ProbeTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Find out over a new connection whether a target replies; :class:`events.TargetProbed`."""

    target: vms.Vm


class WithdrawStart(msgspec.Struct, frozen=True, kw_only=True):
    """Report a start as refused, for :data:`WITHDRAWN`, if nothing of it was sent yet."""

    lease_id: identifiers.LeaseId


class StopTask(msgspec.Struct, frozen=True, kw_only=True):
    """Stop a task whose result is no longer wanted; answered by :class:`events.StopConfirmed`.

    A target that has not seen the start yet is told again until ``start_before``, after which
    the start cannot begin.
    """

    lease_id: identifiers.LeaseId
    target: vms.Vm
    start_before: datetime.datetime


class NoteStopped(msgspec.Struct, frozen=True, kw_only=True):
    """Tell whoever waits for it that no start of an ended job can begin any more."""

    submission_id: identifiers.SubmissionId


class AnswerJob(msgspec.Struct, frozen=True, kw_only=True):
    """Give a job's final answer to whoever waits for it."""

    team: identifiers.TeamName
    answer: messages.JobAnswer


class SendToPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Send a message to another node; it may be lost."""

    peer: vms.Vm
    message: peers.PeerMessage


class ReplyToPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Send a message back by the way that another came; it may be lost."""

    route: bytes
    message: peers.PeerMessage


class SendSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Send a snapshot back to a peer, one :class:`peers.ConfigurationChunk` a chunk."""

    route: bytes
    snapshot: snapshots.Snapshot


class AppendSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Append the chunks of a snapshot to the log; appends may be lost or repeated."""

    snapshot: snapshots.Snapshot


class DisconnectPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Close the connection to a node, which is gone or silent; a later message opens another."""

    peer: vms.Vm


class NoteChange(msgspec.Struct, frozen=True, kw_only=True):
    """Write the verdict on a configuration record to the audit trail."""

    result: configurations.ChangeResult


class NoteRestored(msgspec.Struct, frozen=True, kw_only=True):
    """Write to the log that the configuration was taken from a snapshot, of a peer or the log."""

    offset: identifiers.Offset
    is_from_peer: bool


class ContinueLoading(msgspec.Struct, frozen=True):
    """Tell :class:`events.LoadingContinued` soon, when other work had its turn."""


class Exit(msgspec.Struct, frozen=True):
    """The drain is done; the process may exit."""


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

"""Events that the kernel handles."""

import datetime
import enum

import msgspec

from chiveridge_kernel import identifiers, messages, peers, vms


class LeaseOutcome(enum.Enum):
    """The outcome of a start as far as it is known.

    ``LOST`` means that the connection failed after the request may have been sent;
    ``REFUSED`` means that nothing was sent. ``QUEUED`` means that the start still waits for a
    connection, or was sent so recently that the target may not have seen it yet.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    RUNNING = "running"
    NOT_STARTED = "not_started"
    UNSEEN = "unseen"
    LOST = "lost"
    REFUSED = "refused"
    QUEUED = "queued"


class SubmissionReceived(msgspec.Struct, frozen=True, kw_only=True):
    """A validated submission for this node; ``digest`` identifies its content.

    The deadline counts from ``arrived_at``, or from now when that is unset. It lies in
    the past when the submission may have waited unread, for example while the process was paused.
    """

    team: identifiers.TeamName
    submission: messages.Submission
    digest: bytes
    arrived_at: datetime.datetime | None = None


class CancelReceived(msgspec.Struct, frozen=True, kw_only=True):
    """The caller cancels a job."""

    team: identifiers.TeamName
    submission_id: identifiers.SubmissionId


class LeaseReported(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a start, reported by the target or derived from its connection.

    ``run_ms`` is the run time of the task, ``busy`` the number of slots in use at the target, or
    None if it was not reported. ``asked`` is true for the reply to an outcome query
    (:class:`actions.AskOutcome`) and false for the reply to the start itself.
    """

    lease_id: identifiers.LeaseId
    outcome: LeaseOutcome
    run_ms: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"null")
    reason: str = ""
    busy: int | None = None
    asked: bool = False


class StartDelayed(msgspec.Struct, frozen=True, kw_only=True):
    """A start waits for a connection; nothing of it is sent before :class:`StartSent`."""

    lease_id: identifiers.LeaseId


class StartSent(msgspec.Struct, frozen=True, kw_only=True):
    """A delayed start has got a connection and is about to be sent."""

    lease_id: identifiers.LeaseId


class TargetProbed(msgspec.Struct, frozen=True, kw_only=True):
    """A target replied to :class:`actions.ProbeTarget`, or failed to do so in time."""

    target: vms.Vm
    is_reachable: bool


class StopConfirmed(msgspec.Struct, frozen=True, kw_only=True):
    """A start that was stopped cannot begin any more.

    Either its target has seen it and has stopped or ended it, or nothing of it was sent.
    """

    lease_id: identifiers.LeaseId


class RecordsRead(msgspec.Struct, frozen=True, kw_only=True):
    """A successful read of the configuration stream, possibly without records.

    Records are pairs of offset and value, JSON text as bytes or decoded. ``first`` is the
    oldest retained offset, ``next_offset`` that of the next append; both are 0 if unknown.
    """

    records: list[tuple[identifiers.Offset, object]]
    first: identifiers.Offset = identifiers.Offset(0)
    next_offset: identifiers.Offset = identifiers.Offset(0)


class RecordsExpired(msgspec.Struct, frozen=True, kw_only=True):
    """The records to read next are not retained any more; the log begins at ``first``."""

    first: identifiers.Offset
    next_offset: identifiers.Offset


class VmsListed(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list of VMs was read; ``asked_at`` is when the read began."""

    listing: vms.VmList
    asked_at: datetime.datetime | None = None


class VmsConfirmed(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list of VMs was read and has not changed."""

    asked_at: datetime.datetime | None = None


class ProcessPaused(msgspec.Struct, frozen=True):
    """The process was paused for a while, so its state may be out of date."""


class PeerMessageReceived(msgspec.Struct, frozen=True, kw_only=True):
    """A message from another node; it may be late, repeated or out of order.

    ``route`` identifies the connection by which it arrived, for :class:`actions.ReplyToPeer`.
    """

    message: peers.PeerMessage
    route: bytes = b""


class PeerUnreachable(msgspec.Struct, frozen=True, kw_only=True):
    """No message can be sent to a node at its address at present."""

    peer: vms.Vm


class LoadingContinued(msgspec.Struct, frozen=True):
    """The next step of loading a configuration is due."""


class Ticked(msgspec.Struct, frozen=True):
    """Time has passed; whatever is due by now is handled."""


class DrainRequested(msgspec.Struct, frozen=True):
    """The process was asked to stop; with ``forced``, jobs in progress fail."""

    forced: bool = False


Event = (
    SubmissionReceived
    | CancelReceived
    | LeaseReported
    | StartDelayed
    | StartSent
    | TargetProbed
    | StopConfirmed
    | RecordsRead
    | RecordsExpired
    | VmsListed
    | VmsConfirmed
    | ProcessPaused
    | PeerMessageReceived
    | PeerUnreachable
    | LoadingContinued
    | Ticked
    | DrainRequested
)

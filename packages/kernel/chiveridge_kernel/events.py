"""Events that the kernel handles."""

import datetime
import enum

import msgspec

from chiveridge_kernel import identifiers, messages, peers, vms


class LeaseOutcome(enum.Enum):
    """What is known of a start.

    ``LOST`` means that the connection failed after the request may have been sent;
    ``REFUSED`` means that nothing was sent. ``QUEUED`` means that the start still waits for a
    connection, or was sent so shortly ago that the target need not know of it.
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
    """A checked submission for this node; ``digest`` identifies its content.

    The deadline counts from ``arrived_at``, or from now when it is unset. It is set earlier
    when the submission may have waited unseen, for example while the process was paused.
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
    """A target, or the connection to it, told the outcome of a start.

    ``run_ms`` is the time the task ran, ``busy`` the slots in use at the target, or None
    when the target did not say. ``asked`` tells the reply to a question from that to the start.
    """

    lease_id: identifiers.LeaseId
    outcome: LeaseOutcome
    run_ms: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"null")
    reason: str = ""
    busy: int | None = None
    asked: bool = False


class StartDelayed(msgspec.Struct, frozen=True, kw_only=True):
    """A start waits for a connection; nothing of it is sent before :class:`StartSent` is told."""

    lease_id: identifiers.LeaseId


class StartSent(msgspec.Struct, frozen=True, kw_only=True):
    """A start that was delayed has a connection and is about to be sent."""

    lease_id: identifiers.LeaseId


class TargetProbed(msgspec.Struct, frozen=True, kw_only=True):
    """A target replied to :class:`actions.ProbeTarget`, or did not in time."""

    target: vms.Vm
    is_reachable: bool


class StopConfirmed(msgspec.Struct, frozen=True, kw_only=True):
    """A start that was told to stop cannot begin any more.

    Its target has seen it and stopped or ended it, or nothing of it was sent.
    """

    lease_id: identifiers.LeaseId


class RecordsRead(msgspec.Struct, frozen=True, kw_only=True):
    """A successful read of the configuration stream, also when there was no record.

    Records are pairs of offset and value, JSON text as bytes or decoded. ``first`` is the
    oldest offset kept, ``next_offset`` that of the next append; 0 where it is not known.
    """

    records: list[tuple[identifiers.Offset, object]]
    first: identifiers.Offset = identifiers.Offset(0)
    next_offset: identifiers.Offset = identifiers.Offset(0)


class RecordsExpired(msgspec.Struct, frozen=True, kw_only=True):
    """The records to read next are no longer kept; the log begins at ``first``."""

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
    """The process did not run for a while, and what it knows may be out of date."""


class PeerMessageReceived(msgspec.Struct, frozen=True, kw_only=True):
    """A message from another node; it may be late, repeated or out of order.

    ``route`` is the way back over the connection that it came by, for
    :class:`actions.ReplyToPeer`.
    """

    message: peers.PeerMessage
    route: bytes = b""


class PeerUnreachable(msgspec.Struct, frozen=True, kw_only=True):
    """Nothing can be sent to a node at its address now."""

    peer: vms.Vm


class LoadingContinued(msgspec.Struct, frozen=True):
    """The next step of loading a configuration has its turn."""


class Ticked(msgspec.Struct, frozen=True):
    """Time has passed; due deadlines are handled."""


class DrainRequested(msgspec.Struct, frozen=True):
    """The process was asked to stop; ``forced`` ends the jobs in progress as failed."""

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

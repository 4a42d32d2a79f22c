"""Events that the pool's kernel handles."""

import datetime
import enum

import msgspec

from chiveridge_pool import crash_histories, identifiers, jobs, messages, node_lists, targets


class Failure(enum.Enum):
    """Why a call to a target failed.

    After ``TIMEOUT``, ``BROKEN`` (the connection broke before the reply) and ``UNREADABLE`` it may
    have been executed, and may still be; after the others it was not and will not be. ``NOT_SENT``:
    the node was late, and the call was not sent any more.
    """

    TIMEOUT = "timeout"
    BROKEN = "broken"
    UNREADABLE = "unreadable"
    UNREACHABLE = "unreachable"
    FENCED = "fenced"
    WRONG_INSTANCE = "wrong_instance"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    NOT_SENT = "not_sent"


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the kernel's input events."""


class JobSubmitted(Event, frozen=True, kw_only=True):
    """A caller submitted a job and waits for its answer.

    ``former_leader`` is a node that had the job before and does not have it any more.
    ``configuration_version`` is that of the configuration by which the job was accepted.
    """

    caller: identifiers.CallerId
    job: jobs.JobRequest
    configuration_version: int = 0
    former_leader: identifiers.NodeId | None = None


class CallerLeft(Event, frozen=True, kw_only=True):
    """The caller has disconnected."""

    caller: identifiers.CallerId


class JobCancelled(Event, frozen=True, kw_only=True):
    """A caller asked to cancel a job."""

    job: identifiers.JobId


class TargetsListed(Event, frozen=True, kw_only=True):
    """The complete list of targets was read from the platform.

    ``unusable`` are the listed ids whose entries are not valid.
    """

    targets: tuple[targets.Target, ...]
    unusable: frozenset[identifiers.TargetId] = frozenset()


class ConfigurationRead(Event, frozen=True, kw_only=True):
    """A configuration has come into force at this node; ``text`` is its form sent to peers."""

    version: int
    text: bytes


class NodesListed(Event, frozen=True, kw_only=True):
    """Nodes that may be running; ``is_complete`` if these are all registered nodes."""

    nodes: tuple[node_lists.ListedNode, ...]
    is_complete: bool = False


class EvacuationsRead(Event, frozen=True, kw_only=True):
    """The evacuated failure domains were read from the platform; ``version`` only increases."""

    version: int
    domains: tuple[identifiers.DomainName, ...]


class CrashesRead(Event, frozen=True, kw_only=True):
    """Crashes were read from the store."""

    crashes: tuple[crash_histories.Crash, ...]


class MessageReceived(Event, frozen=True, kw_only=True):
    """A message from a peer has arrived."""

    message: messages.AnyMessage


class Running(msgspec.Struct, frozen=True):
    """A run in progress, as listed by a target."""

    task: identifiers.TaskName
    run: identifiers.RunNumber
    percent: int = 0


class EndedRow(msgspec.Struct, frozen=True):
    """A run that has ended, as listed by a target.

    ``number`` counts the ends since the target started.
    """

    number: int
    task: identifiers.TaskName
    run: identifiers.RunNumber
    how: str


class HoldReplied(Event, frozen=True, kw_only=True):
    """A :class:`chiveridge_pool.actions.Hold` was answered, or failed with ``failure``.

    ``started_at_ms`` is when the target started, in Unix milliseconds, or 0 if it is unknown.
    ``clock_ms`` is the reading of the target's own clock.
    """

    target: identifiers.TargetId
    token: identifiers.FencingToken
    number: int
    sent_at: datetime.datetime
    failure: Failure | None = None
    clock_ms: int = 0
    started_at_ms: int = 0
    running: tuple[Running, ...] = ()
    ended: tuple[EndedRow, ...] = ()


class StartReplied(Event, frozen=True, kw_only=True):
    """A :class:`chiveridge_pool.actions.StartRun` was answered, or failed with ``failure``."""

    target: identifiers.TargetId
    grant: identifiers.GrantId
    token: identifiers.FencingToken
    attempt: identifiers.AttemptNumber
    failure: Failure | None = None
    clock_ms: int = 0


class StopReplied(Event, frozen=True, kw_only=True):
    """A :class:`chiveridge_pool.actions.StopRun` was answered, or failed with ``failure``."""

    target: identifiers.TargetId
    grant: identifiers.GrantId
    token: identifiers.FencingToken
    failure: Failure | None = None
    clock_ms: int = 0


class Ticked(Event, frozen=True, kw_only=True):
    """Advances all timers; ``due_at`` is the time for which it was scheduled.

    Without one, it is due one :data:`chiveridge_pool.timings.TICK_INTERVAL` after the last.
    """

    due_at: datetime.datetime | None = None


class DrainRequested(Event, frozen=True, kw_only=True):
    """The process was asked to drain and exit."""

"""Events that the pool's kernel handles."""

import datetime
import enum

import msgspec

from chiveridge_pool import identifiers, jobs, messages, targets


class Failure(enum.Enum):
    """Why a call to a target brought no regular reply."""

    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    FENCED = "fenced"
    WRONG_INSTANCE = "wrong_instance"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Something that happened."""


class JobSubmitted(Event, frozen=True, kw_only=True):
    """A caller handed in a job and waits for its answer."""

    caller: identifiers.CallerId
    job: jobs.JobRequest


class CallerLeft(Event, frozen=True, kw_only=True):
    """The caller's connection is gone."""

    caller: identifiers.CallerId


class JobCancelled(Event, frozen=True, kw_only=True):
    """A caller asked to cancel a job."""

    job: identifiers.JobId


class TargetsListed(Event, frozen=True, kw_only=True):
    """The platform's list of targets, whole."""

    targets: tuple[targets.Target, ...]


class ConfigurationRead(Event, frozen=True, kw_only=True):
    """A configuration is in force at this node; ``text`` is what peers are sent."""

    version: int
    text: bytes


class EndpointsListed(Event, frozen=True, kw_only=True):
    """Endpoints of nodes that may be running; ``is_complete`` when no other node is registered."""

    endpoints: tuple[identifiers.Endpoint, ...]
    is_complete: bool = False


class MessageReceived(Event, frozen=True, kw_only=True):
    """A message from a peer."""

    message: messages.AnyMessage


class Running(msgspec.Struct, frozen=True):
    """One row of what runs on a target."""

    task: identifiers.TaskName
    run: identifiers.RunNumber
    percent: int = 0


class EndedRow(msgspec.Struct, frozen=True):
    """One row of what has ended on a target; ``number`` counts the ends of its life."""

    number: int
    task: identifiers.TaskName
    run: identifiers.RunNumber
    how: str


class HoldReplied(Event, frozen=True, kw_only=True):
    """A target replied to :class:`chiveridge_pool.actions.Hold`, or did not."""

    target: identifiers.TargetId
    token: identifiers.FencingToken
    sent_at: datetime.datetime
    failure: Failure | None = None
    clock_ms: int = 0
    born: int = 0
    running: tuple[Running, ...] = ()
    ended: tuple[EndedRow, ...] = ()


class StartReplied(Event, frozen=True, kw_only=True):
    """A target replied to a start, or did not."""

    target: identifiers.TargetId
    grant: identifiers.GrantId
    token: identifiers.FencingToken
    failure: Failure | None = None
    clock_ms: int = 0


class StopReplied(Event, frozen=True, kw_only=True):
    """A target replied to a stop, or did not."""

    target: identifiers.TargetId
    grant: identifiers.GrantId
    token: identifiers.FencingToken
    failure: Failure | None = None


class Ticked(Event, frozen=True, kw_only=True):
    """Time has passed."""


class DrainRequested(Event, frozen=True, kw_only=True):
    """The process was asked to stop."""

"""Actions that the pool's kernel asks its surroundings to perform."""

import datetime
import enum

import msgspec

from chiveridge_pool import identifiers, messages, notes, targets


class Verdict(enum.Enum):
    """The answer to a caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    GIVEN_UP = "given_up"


class Action(msgspec.Struct, frozen=True, kw_only=True):
    """Something to do."""


class AnswerCaller(Action, frozen=True, kw_only=True):
    """Answer a caller. ``REFUSED`` means that nothing of the job ran, nor ever will."""

    caller: identifiers.CallerId
    job: identifiers.JobId
    verdict: Verdict
    reason: str
    retry_after: datetime.timedelta | None = None


class SendMessage(Action, frozen=True, kw_only=True):
    """Send a message to the node at an endpoint; it may be lost."""

    endpoint: identifiers.Endpoint
    message: messages.AnyMessage


class Reconnect(Action, frozen=True, kw_only=True):
    """Open the connection to an endpoint anew: another process listens there now."""

    endpoint: identifiers.Endpoint


class Hold(Action, frozen=True, kw_only=True):
    """Renew a target's lease, acknowledge its ends and ask for news.

    Without ``until_ms`` nothing is renewed. All orders carry the owner's fencing token.
    """

    target: targets.Target
    token: identifiers.FencingToken
    until_ms: int | None
    acknowledged: int
    wait: datetime.timedelta
    timeout: datetime.timedelta


class StartRun(Action, frozen=True, kw_only=True):
    """Start a run; the target refuses it after ``until_ms`` of its own clock."""

    target: targets.Target
    token: identifiers.FencingToken
    grant: identifiers.GrantId
    task: identifiers.TaskName
    run: identifiers.RunNumber
    spec: str
    until_ms: int
    timeout: datetime.timedelta


class StopRun(Action, frozen=True, kw_only=True):
    """Stop a run, or keep it from ever starting."""

    target: targets.Target
    token: identifiers.FencingToken
    grant: identifiers.GrantId
    task: identifiers.TaskName
    run: identifiers.RunNumber
    timeout: datetime.timedelta


class ApplyConfiguration(Action, frozen=True, kw_only=True):
    """Put a configuration in force that a peer has sent, if it can be read.

    Answered by :class:`chiveridge_pool.events.ConfigurationRead`.
    """

    version: int
    text: bytes


class Note(Action, frozen=True, kw_only=True):
    """Write a decision to the log; ``fields`` are its inputs and its outcome."""

    event: notes.NoteEvent
    fields: dict[str, object]


class Exit(Action, frozen=True, kw_only=True):
    """The drain is done."""

"""Actions that the pool's kernel returns for the node's I/O layer to perform."""

import datetime
import enum

import msgspec

from chiveridge_pool import crash_histories, identifiers, messages, notes, targets


class Verdict(enum.Enum):
    """The result of a job as answered to its callers."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    GIVEN_UP = "given_up"


class Action(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the kernel's output actions."""


class AnswerCaller(Action, frozen=True, kw_only=True):
    """Answer a caller. ``REFUSED`` guarantees that no task of the job has run or will run."""

    caller: identifiers.CallerId
    job: identifiers.JobId
    verdict: Verdict
    reason: str
    retry_after: datetime.timedelta | None = None


class SendMessage(Action, frozen=True, kw_only=True):
    """Send a message to the node at an endpoint; delivery is not guaranteed."""

    endpoint: identifiers.Endpoint
    message: messages.AnyMessage


class Reconnect(Action, frozen=True, kw_only=True):
    """Reopen the connection to an endpoint, as a different process listens there now."""

    endpoint: identifiers.Endpoint


class Hold(Action, frozen=True, kw_only=True):
    """Renew a target's lease, acknowledge ended runs and poll for running and ended ones.

    If ``until_ms`` is None, the lease is not renewed. Like every call to a target, it carries the
    owner's fencing token. ``number`` increases with each hold of this node.
    """

    target: targets.Target
    token: identifiers.FencingToken
    number: int
    until_ms: int | None
    acknowledged: int
    wait: datetime.timedelta
    timeout: datetime.timedelta


class StartRun(Action, frozen=True, kw_only=True):
    """Start a run; the target rejects it after ``until_ms`` by the target's own clock.

    ``attempt`` numbers the attempts of one run's start, and is not sent to the target. After
    ``send_by`` the start is not sent, as what it was decided by may have changed.
    """

    target: targets.Target
    token: identifiers.FencingToken
    grant: identifiers.GrantId
    task: identifiers.TaskName
    run: identifiers.RunNumber
    spec: str
    until_ms: int
    attempt: identifiers.AttemptNumber
    send_by: datetime.datetime
    timeout: datetime.timedelta


class StopRun(Action, frozen=True, kw_only=True):
    """Stop a run, or prevent it from starting later."""

    target: targets.Target
    token: identifiers.FencingToken
    grant: identifiers.GrantId
    task: identifiers.TaskName
    run: identifiers.RunNumber
    timeout: datetime.timedelta


class ApplyConfiguration(Action, frozen=True, kw_only=True):
    """Put a configuration received from a peer into force, if it is valid.

    Answered by :class:`chiveridge_pool.events.ConfigurationRead`.
    """

    sender: identifiers.NodeId
    version: int
    text: bytes


class ReadTargets(Action, frozen=True, kw_only=True):
    """Read the platform's list of targets now, not at the next poll."""


class PublishCrashes(Action, frozen=True, kw_only=True):
    """Write crashes to the store, for the nodes that this one does not hear and later ones."""

    crashes: tuple[crash_histories.Crash, ...]


class Note(Action, frozen=True, kw_only=True):
    """Log a decision; ``fields`` hold its inputs and its outcome."""

    event: notes.NoteEvent
    fields: dict[str, object]


class Exit(Action, frozen=True, kw_only=True):
    """Exit the process, as the drain is complete."""

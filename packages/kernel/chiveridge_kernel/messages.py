"""Messages between callers and nodes, with their limits.

Durations are in milliseconds, memory in megabytes; decoding with
:func:`decode_submission` checks every field.
"""

from typing import Annotated

import msgspec

from chiveridge_kernel import errors, identifiers, results

MAX_TASKS_PER_JOB = 740
MAX_SUBMISSION_BYTES = 8 * 1024 * 1024
MAX_IDS_PER_REQUEST = 1000
MAX_DEADLINE_MS = 300_000
MAX_RUN_TIME_MS = 300_000

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class TaskSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One task of a submission: its body and its declared needs."""

    body: msgspec.Raw = msgspec.Raw(b"null")
    memory_mb: _Count = 0
    cores: _Count = 0
    accelerators: _Count = 0
    run_time_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_RUN_TIME_MS)] = 0


class Submission(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A job as the caller submits it.

    ``selector`` narrows the approved targets by their labels; empty means all of them.
    ``deadline_ms`` counts from the arrival of the submission at its issuer.
    """

    submission_id: _Name
    tasks: Annotated[list[TaskSpec], msgspec.Meta(min_length=1)]
    selector: Annotated[str, msgspec.Meta(max_length=2000)] = ""
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)] = 30_000
    idempotent: bool = False


class TaskAnswer(msgspec.Struct, frozen=True):
    """Outcome of one task; ``result`` is set when it succeeded or failed by itself."""

    index: int
    outcome: results.TaskOutcome
    target: str = ""
    run_ms: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"null")
    reason: str = ""


class JobAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The final answer to a submission with all tasks in order, or the state of a running job.

    ``may_resubmit`` tells whether the caller may submit a failed job again under a new id: no
    task of it ran, or the caller marked it as idempotent.
    """

    submission_id: identifiers.SubmissionId
    state: results.JobState
    code: results.ResultCode
    name: str = ""
    message: str = ""
    may_resubmit: bool = False
    retry_after_ms: int | None = None
    queued_ms: float = 0.0
    elapsed_ms: float = 0.0
    tasks: list[TaskAnswer] = []


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a request that was not accepted; ``ran`` is the outcome of its tasks."""

    code: results.ResultCode
    name: str
    message: str
    ran: results.TaskOutcome = results.TaskOutcome.NOT_RUN
    retry_after_ms: int | None = None


class IdsRequest(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Request for submission ids."""

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_IDS_PER_REQUEST)] = 1


class IdsAnswer(msgspec.Struct, frozen=True):
    """Submission ids and their expiry in milliseconds since the Unix epoch."""

    code: results.ResultCode
    submission_ids: list[identifiers.SubmissionId]
    expires_at_ms: int


class _Named(msgspec.Struct):
    submission_id: identifiers.SubmissionId


_named_decoder = msgspec.json.Decoder(_Named)
_submission_decoder = msgspec.json.Decoder(Submission)
_ids_decoder = msgspec.json.Decoder(IdsRequest)
encoder = msgspec.json.Encoder()


def decode_submission(body: bytes) -> Submission:
    """Decode and check a submission.

    :raises errors.RefusedError: naming the field, when the body is not a valid submission.
    """
    if len(body) > MAX_SUBMISSION_BYTES:
        message = f"body of {len(body)} bytes is over the limit of {MAX_SUBMISSION_BYTES}"
        raise errors.RefusedError(results.ResultCode.TOO_LARGE, message)
    submission = _decode(_submission_decoder, body)
    if len(submission.tasks) > MAX_TASKS_PER_JOB:
        message = f"tasks: {len(submission.tasks)} tasks are over the limit of {MAX_TASKS_PER_JOB}"
        raise errors.RefusedError(results.ResultCode.TOO_MANY_TASKS, message)
    return submission


def decode_submission_id(body: bytes) -> identifiers.SubmissionId | None:
    """Return the id in a body, valid or not, or None when no node could decode one."""
    try:
        return _named_decoder.decode(body).submission_id
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def decode_ids_request(body: bytes) -> IdsRequest:
    """Decode and check a request for submission ids; an empty body asks for one."""
    return _decode(_ids_decoder, body or b"{}")


def refusal_of(error: errors.RefusedError) -> Refusal:
    """Return the message that reports a refusal to the caller."""
    return Refusal(
        code=error.code,
        name=error.code.name,
        message=error.message,
        ran=error.ran,
        retry_after_ms=error.retry_after_ms,
    )


def _decode(decoder: msgspec.json.Decoder, body: bytes):
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as error:
        raise errors.RefusedError(results.ResultCode.INVALID_FIELD, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.RefusedError(results.ResultCode.MALFORMED, str(error)) from error

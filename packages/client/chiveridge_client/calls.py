"""State of one call for a job, and the effect of each reply on it."""

import datetime

import msgspec

from chiveridge_client import errors
from chiveridge_kernel import identifiers, messages, results

MAX_REFUSALS_PER_ID = 4

TEMPORARY_REFUSAL_CODES = frozenset(
    {
        results.ResultCode.OVERLOADED,
        results.ResultCode.QUOTA_EXCEEDED,
        results.ResultCode.DRAINING,
        results.ResultCode.NOT_READY,
        results.ResultCode.ISSUER_UNREACHABLE,
    }
)
"""Codes of temporary refusals: the same job may be accepted later.

A refusal that :data:`PROVEN_NOT_RUN_CODES` covers is final for its id; the job then needs a new id.
"""

UNUSABLE_ID_CODES = frozenset(
    {
        results.ResultCode.DRAINING,
        results.ResultCode.ISSUER_UNREACHABLE,
        results.ResultCode.ISSUER_GONE,
        results.ResultCode.SUBMISSION_ID_EXPIRED,
    }
)
"""Codes that make the submission id unusable; a job that never started may use a new id."""


NO_START_CODES = frozenset(
    {
        results.ResultCode.ISSUER_GONE,
        results.ResultCode.SUBMISSION_ID_EXPIRED,
        results.ResultCode.ANSWER_NOT_KEPT,
        results.ResultCode.UNKNOWN_SUBMISSION,
        results.ResultCode.SUBMISSION_ID_REUSED,
    }
)
"""Codes of final refusals: this request started no task, though an earlier one may have."""


PROVEN_NOT_RUN_CODES = frozenset(
    {
        results.ResultCode.OVERLOADED,
        results.ResultCode.QUOTA_EXCEEDED,
        results.ResultCode.DRAINING,
        results.ResultCode.NOT_READY,
        results.ResultCode.ISSUER_GONE,
    }
)
"""Codes that, with the outcome ``not_run``, prove that the id started no task and never will.

They are final: every later request under the id gets the same refusal.
"""


class Call(msgspec.Struct, kw_only=True):
    """One call for the answer of a job, with the state of its attempts.

    ``body`` is ``None`` when the job was submitted by another call, ``issuer_url`` is empty when
    the node that issued the id is unknown. Times are on the monotonic clock: ``wait_until`` ends
    the wait for a running job, ``until`` is the time limit of all attempts.
    """

    submission_id: identifiers.SubmissionId
    body: bytes | None = None
    task_count: int | None = None
    urls: list[str]
    issuer_url: str = ""
    wait_until: datetime.timedelta
    until: datetime.timedelta
    is_accepted: bool = False
    may_have_started: bool = False
    attempt: int = 0
    refusals: int = 0

    @property
    def url(self) -> str:
        """Base URL of the node that this attempt uses."""
        return self.urls[self.attempt % len(self.urls)]

    @property
    def must_submit(self) -> bool:
        """Whether the next request has to carry the job."""
        return self.body is not None and not self.is_accepted


def has_ended(answer: messages.JobAnswer) -> bool:
    """Return whether the job has ended."""
    return answer.state is not results.JobState.RUNNING


def check_answer(answer: messages.JobAnswer, call: Call) -> None:
    """Check that the answer is for this submission and lists every task in order.

    The answer of a failed job may list no tasks when its node no longer knows them.

    :raises errors.ReplyLostError: when the check fails.
    """
    if answer.submission_id != call.submission_id:
        raise errors.ReplyLostError(f"the answer is for submission {answer.submission_id}")
    if not has_ended(answer):
        return
    if answer.state is results.JobState.FAILED and not answer.tasks:
        return
    count = len(answer.tasks) if call.task_count is None else call.task_count
    indices = [task.index for task in answer.tasks]
    if not indices or indices != list(range(count)):
        raise errors.ReplyLostError(
            f"the answer lists {len(indices)} tasks; expected {count}, in order of their index"
        )


def record_lost_reply(call: Call, error: errors.ReplyLostError) -> None:
    """Record that an attempt got no reply."""
    if not isinstance(error, errors.NotSentError):
        call.may_have_started = True


def record_refusal(call: Call, error: errors.RefusedError) -> None:
    """Record a refusal and prepare the call for another attempt under its id.

    :raises errors.RefusedError: when the refusal is final.
    :raises errors.OutcomeUnknownError: when it is final and tasks may have started.
    """
    call.refusals += 1
    if error.code is results.ResultCode.UNKNOWN_SUBMISSION and call.body and call.is_accepted:
        call.is_accepted = False
        return
    if error.ran is results.TaskOutcome.UNKNOWN and error.code not in NO_START_CODES:
        call.may_have_started = True
        if (
            error.code is results.ResultCode.ISSUER_UNREACHABLE
            or call.refusals <= MAX_REFUSALS_PER_ID
        ):
            return
        raise final_error(call, error)
    if not _may_retry_under_same_id(call, error):
        raise final_error(call, error)


def final_error(call: Call, error: errors.ClientError) -> errors.ClientError:
    """Return the error that ends a call whose last attempt failed with ``error``.

    A refusal that proves that nothing ran is returned regardless of earlier attempts.
    """
    if isinstance(error, errors.ReplyLostError) and not call.may_have_started:
        return errors.UnreachableError(str(error))
    if not isinstance(error, errors.RefusedError):
        return errors.OutcomeUnknownError(call.submission_id, str(error))
    if _proves_not_run(error):
        return error
    is_inconclusive = error.code in TEMPORARY_REFUSAL_CODES | UNUSABLE_ID_CODES
    is_outcome_unknown = (
        error.ran is results.TaskOutcome.UNKNOWN and error.code not in NO_START_CODES
    )
    if is_outcome_unknown or (call.may_have_started and is_inconclusive):
        return errors.OutcomeUnknownError(call.submission_id, str(error))
    return error


def may_retry_under_new_id(error: errors.RefusedError) -> bool:
    """Return whether a job with a final refusal under one id may be accepted under a new id."""
    return error.code in UNUSABLE_ID_CODES or (
        error.code in TEMPORARY_REFUSAL_CODES and _proves_not_run(error)
    )


def _may_retry_under_same_id(call: Call, error: errors.RefusedError) -> bool:
    if _proves_not_run(error) or (error.code in UNUSABLE_ID_CODES and not call.may_have_started):
        return False
    return error.code in TEMPORARY_REFUSAL_CODES and call.refusals <= MAX_REFUSALS_PER_ID


def _proves_not_run(error: errors.RefusedError) -> bool:
    return error.code in PROVEN_NOT_RUN_CODES and error.ran is results.TaskOutcome.NOT_RUN

"""Exit codes of the command; ``docs/command.md`` holds the table for users."""

import enum
import functools

from chiveridge_client import errors
from chiveridge_kernel import messages, records, results


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    USAGE = 2
    REFUSED = 3
    JOB_FAILED = 4
    OUTCOME_UNKNOWN = 5
    CONFLICT = 6
    UNREACHABLE = 7
    NOT_IN_FORCE = 8


exit_codes_by_verdict = {
    records.Verdict.ACCEPTED: ExitCode.DONE,
    records.Verdict.DUPLICATE: ExitCode.DONE,
    records.Verdict.CONFLICT: ExitCode.CONFLICT,
    records.Verdict.INVALID: ExitCode.REFUSED,
}


def code_of_answer(answer: messages.JobAnswer) -> ExitCode:
    """Return the exit code for a job's answer; a running job counts as done."""
    if answer.state is not results.JobState.FAILED:
        return ExitCode.DONE
    has_unknown_task = any(task.outcome is results.TaskOutcome.UNKNOWN for task in answer.tasks)
    if has_unknown_task or answer.code is results.ResultCode.OUTCOME_UNKNOWN:
        return ExitCode.OUTCOME_UNKNOWN
    return ExitCode.JOB_FAILED


@functools.singledispatch
def code_of_error(error: Exception) -> ExitCode:
    """Return the exit code for an error.

    :raises TypeError: when the error has no exit code.
    """
    raise TypeError(f"no exit code for {type(error).__name__}") from error


@code_of_error.register
def _(error: errors.InvalidInputError) -> ExitCode:
    return ExitCode.USAGE


@code_of_error.register(errors.LogError)
@code_of_error.register(errors.RefusedError)
def _(error) -> ExitCode:
    return ExitCode.REFUSED


@code_of_error.register(errors.OutcomeUnknownError)
@code_of_error.register(errors.PublicationUnknownError)
def _(error) -> ExitCode:
    return ExitCode.OUTCOME_UNKNOWN


@code_of_error.register(errors.LogReplyLostError)
@code_of_error.register(errors.UnreachableError)
def _(error) -> ExitCode:
    return ExitCode.UNREACHABLE

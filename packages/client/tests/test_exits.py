import pytest

from chiveridge_client import errors, exits
from chiveridge_kernel import messages, results


def test_an_unknown_task_makes_the_outcome_unknown():
    task = messages.TaskAnswer(0, results.TaskOutcome.UNKNOWN)
    answer = messages.JobAnswer(
        submission_id="i",
        state=results.JobState.FAILED,
        code=results.ResultCode.TASK_FAILED,
        tasks=[task],
    )
    assert exits.code_of_answer(answer) is exits.ExitCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (errors.InvalidInputError([]), 2),
        (errors.RefusedError(results.ResultCode.OVERLOADED, ""), 3),
        (errors.OutcomeUnknownError("i", ""), 5),
        (errors.PublicationUnknownError("c", ""), 5),
        (errors.UnreachableError(), 7),
        (errors.LogReplyLostError(), 7),
        (errors.LogError(), 3),
    ],
)
def test_each_error_has_its_exit_code(error, code):
    assert exits.code_of_error(error) == code

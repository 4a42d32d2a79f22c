import msgspec
import pytest

from chiveridge_kernel import errors, messages, results


def encoded(**changes) -> bytes:
    fields = {"submission_id": "id", "tasks": [{"body": {"run_ms": 5}}]}
    return msgspec.json.encode(fields | changes)


def test_decodes_a_submission():
    submission = messages.decode_submission(encoded(selector="kind=dryer"))
    assert bytes(submission.tasks[0].body) == b'{"run_ms":5}'
    assert submission.selector == "kind=dryer"


@pytest.mark.parametrize(
    ("body", "code", "field"),
    [
        (b"{", results.ResultCode.MALFORMED, ""),
        (b"[" * 100_000, results.ResultCode.INVALID_FIELD, "object"),
        (b'{"tasks":[{"body":' + b"[" * 100_000, results.ResultCode.MALFORMED, ""),
        (b'{"submission_id": "\xff", "tasks": [{}]}', results.ResultCode.MALFORMED, ""),
        (encoded(colour="red"), results.ResultCode.INVALID_FIELD, "colour"),
        (encoded(tasks=[]), results.ResultCode.INVALID_FIELD, "tasks"),
        (encoded(tasks=[{"memory_mb": -1}]), results.ResultCode.INVALID_FIELD, "memory_mb"),
        (encoded(deadline_ms="soon"), results.ResultCode.INVALID_FIELD, "deadline_ms"),
        (encoded(tasks=[{}] * 741), results.ResultCode.TOO_MANY_TASKS, "tasks"),
        (b" " * (messages.MAX_SUBMISSION_BYTES + 1), results.ResultCode.TOO_LARGE, "body"),
    ],
)
def test_refuses_bad_input_and_names_the_field(body, code, field):
    with pytest.raises(errors.RefusedError) as caught:
        messages.decode_submission(body)
    assert caught.value.code is code
    assert field in caught.value.message


def test_takes_the_largest_job():
    assert len(messages.decode_submission(encoded(tasks=[{}] * 740)).tasks) == 740

import msgspec
import pytest

from chiveridge_kernel import errors, messages, results


def encode_submission(**changes) -> bytes:
    fields = {"submission_id": "id", "tasks": [{"body": {"run_ms": 5}}]}
    return msgspec.json.encode(fields | changes)


def test_decodes_a_submission():
    submission = messages.decode_submission(encode_submission(selector="kind=dryer"))
    assert bytes(submission.tasks[0].body) == b'{"run_ms":5}'
    assert submission.selector == "kind=dryer"


@pytest.mark.parametrize(
    ("body", "code", "field"),
    [
        (b"{", results.ResultCode.MALFORMED, ""),
        (b"[" * 100_000, results.ResultCode.INVALID_FIELD, "object"),
        (b'{"tasks":[{"body":' + b"[" * 100_000, results.ResultCode.MALFORMED, ""),
        (b'{"submission_id": "\xff", "tasks": [{}]}', results.ResultCode.MALFORMED, ""),
        (encode_submission(colour="red"), results.ResultCode.INVALID_FIELD, "colour"),
        (encode_submission(tasks=[]), results.ResultCode.INVALID_FIELD, "tasks"),
        (
            encode_submission(tasks=[{"memory_mb": -1}]),
            results.ResultCode.INVALID_FIELD,
            "memory_mb",
        ),
        (encode_submission(deadline_ms="soon"), results.ResultCode.INVALID_FIELD, "deadline_ms"),
        (encode_submission(tasks=[{}] * 741), results.ResultCode.TOO_MANY_TASKS, "tasks"),
        (b" " * (messages.MAX_SUBMISSION_BYTES + 1), results.ResultCode.TOO_LARGE, "body"),
    ],
)
def test_refuses_bad_input_and_names_the_field(body, code, field):
    with pytest.raises(errors.RefusedError) as caught:
        messages.decode_submission(body)
    assert caught.value.code is code
    assert field in caught.value.message


def test_decodes_the_largest_job():
    assert len(messages.decode_submission(encode_submission(tasks=[{}] * 740)).tasks) == 740

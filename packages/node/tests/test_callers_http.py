import json
import socket
import urllib.parse

import hypothesis
import pytest
from hypothesis import strategies

from chiveridge_kernel import messages, results
from chiveridge_node import callers_http

Code = results.ResultCode
fuzz = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
PATHS = ("/v1/jobs", "/v1/submission-ids")
json_values = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=8,
)
not_text = json_values.filter(lambda value: not isinstance(value, str))
not_integer = json_values.filter(lambda value: type(value) is not int)
negative = strategies.integers(max_value=-1)
WRONG_VALUES_BY_FIELD = {
    "submission_id": not_text,
    "tasks": json_values.filter(lambda value: not isinstance(value, list)),
    "selector": not_text,
    "deadline_ms": not_integer | strategies.integers(max_value=0),
    "idempotent": json_values.filter(lambda value: not isinstance(value, bool)),
}
WRONG_VALUES_BY_TASK_FIELD = {
    "memory_mb": not_integer | negative,
    "cores": not_integer | negative,
    "accelerators": not_integer | negative,
    "run_time_ms": not_integer | negative | strategies.integers(messages.MAX_RUN_TIME_MS + 1),
}


@pytest.fixture(autouse=True)
def _untouched(edge):
    yield
    edge.check_no_side_effects()


def check_refused(reply, *codes):
    """Check that a reply is a refusal with one of the codes, and return its message."""
    assert reply.code in codes or not codes
    assert reply.content["name"] == reply.code.name
    assert reply.content["message"]
    assert 400 <= reply.status < 600
    assert reply.status != 500
    return reply.content["message"]


@fuzz
@hypothesis.given(body=strategies.binary(max_size=200))
def test_arbitrary_bytes(edge, body):
    message = check_refused(edge.request("POST", "/v1/jobs", body), *BAD_INPUT_CODES)
    assert message


BAD_INPUT_CODES = (Code.MALFORMED, Code.INVALID_FIELD)


@fuzz
@hypothesis.given(value=json_values)
def test_arbitrary_json(edge, value):
    check_refused(edge.request("POST", "/v1/jobs", json.dumps(value).encode()), *BAD_INPUT_CODES)


@fuzz
@hypothesis.given(value=json_values.filter(lambda value: value != {}))
def test_arbitrary_json_as_a_request_for_ids(edge, value):
    body = json.dumps(value).encode()
    check_refused(edge.request("POST", "/v1/submission-ids", body), *BAD_INPUT_CODES)


@fuzz
@hypothesis.given(data=strategies.data())
def test_a_field_of_a_wrong_type_or_range_is_named(edge, data):
    field = data.draw(strategies.sampled_from(sorted(WRONG_VALUES_BY_FIELD)))
    value = data.draw(WRONG_VALUES_BY_FIELD[field])
    assert field in check_refused(edge.submit(**{field: value}), Code.INVALID_FIELD)


@fuzz
@hypothesis.given(data=strategies.data())
def test_a_field_of_a_task_of_a_wrong_type_or_range_is_named(edge, data):
    field = data.draw(strategies.sampled_from(sorted(WRONG_VALUES_BY_TASK_FIELD)))
    value = data.draw(WRONG_VALUES_BY_TASK_FIELD[field])
    reply = edge.submit(tasks=[{"body": 1}, {field: value}])
    assert f"tasks[1].{field}" in check_refused(reply, Code.INVALID_FIELD)


@fuzz
@hypothesis.given(field=strategies.text().map(lambda text: f"x{text}"))
def test_an_unknown_field_is_named(edge, field):
    assert "unknown field" in check_refused(edge.submit(**{field: 1}), Code.INVALID_FIELD)


@pytest.mark.parametrize("field", ["submission_id", "tasks"])
def test_a_missing_field_is_named(edge, field):
    job = {"submission_id": edge.new_id(), "tasks": [{}]}
    del job[field]
    reply = edge.request("POST", "/v1/jobs", json.dumps(job).encode())
    assert field in check_refused(reply, Code.INVALID_FIELD)


def test_a_task_count_out_of_range(edge):
    assert "tasks" in check_refused(edge.submit(tasks=[]), Code.INVALID_FIELD)
    too_many = [{}] * (messages.MAX_TASKS_PER_JOB + 1)
    assert "tasks" in check_refused(edge.submit(tasks=too_many), Code.TOO_MANY_TASKS)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("chunked", [False, True])
def test_an_oversized_body(edge, path, chunked):
    body = b" " * (messages.MAX_SUBMISSION_BYTES + 1)
    content = (body[start : start + 65536] for start in range(0, len(body), 65536))
    reply = edge.request("POST", path, content if chunked else body)
    assert "body" in check_refused(reply, Code.TOO_LARGE)
    assert reply.status == 413


@pytest.mark.parametrize("count", [0, -1, messages.MAX_IDS_PER_REQUEST + 1, "1", 1.5])
def test_an_id_count_out_of_range(edge, count):
    body = json.dumps({"count": count}).encode()
    reply = edge.request("POST", "/v1/submission-ids", body)
    assert "count" in check_refused(reply, Code.INVALID_FIELD)


@fuzz
@hypothesis.given(text=strategies.text(max_size=20).filter(lambda text: not text.isdecimal()))
def test_a_bad_wait_is_named(edge, text):
    hypothesis.assume(text)
    path = f"/v1/jobs?wait_ms={urllib.parse.quote(text, safe='')}"
    assert "wait_ms" in check_refused(edge.submit(path=path), Code.INVALID_FIELD)


@pytest.mark.parametrize("text", ["-1", "300001", "9" * 5000, "\u00b2", "\u0663"])
def test_a_wait_out_of_range_is_named(edge, text):
    path = f"/v1/jobs?wait_ms={urllib.parse.quote(text)}"
    assert "wait_ms" in check_refused(edge.submit(path=path), Code.INVALID_FIELD)


@fuzz
@hypothesis.given(key=strategies.text(strategies.characters(codec="latin-1"), max_size=40))
def test_an_arbitrary_key(edge, key):
    hypothesis.assume(key.isprintable())
    for path in PATHS:
        reply = edge.request("POST", path, b"{}", credential=key)
        assert "Authorization" in check_refused(reply, Code.BAD_CREDENTIALS)
        assert reply.status == 401


@pytest.mark.parametrize("header", ["", "Bearer", "Basic desk.secret-of-desk", "Bearer desk."])
def test_a_malformed_credential(edge, header):
    reply = edge.request("POST", "/v1/jobs", b"{}", headers={"Authorization": header})
    assert "Authorization" in check_refused(reply, Code.BAD_CREDENTIALS)


INVALID_FIELDS_BY_CODE = {
    Code.BAD_CREDENTIALS: {"credential": "desk.wrong"},
    Code.INVALID_FIELD: {"path": "/v1/jobs?wait_ms=x"},
}


@pytest.mark.promise("honest_refusal")
@pytest.mark.parametrize("code", INVALID_FIELDS_BY_CODE)
def test_an_early_refusal_uses_up_an_unused_id_and_says_not_run(edge, code):
    submission_id = edge.new_id()
    refused = edge.submit(submission_id=submission_id, **INVALID_FIELDS_BY_CODE[code])
    check_refused(refused, code)
    assert refused.content["ran"] == "not_run"
    repeated = edge.submit(submission_id=submission_id)
    check_refused(repeated, code)
    assert repeated.content["ran"] == "not_run"
    assert edge.targets.started == 0


@pytest.mark.promise("honest_refusal")
@pytest.mark.parametrize("code", INVALID_FIELDS_BY_CODE)
def test_an_early_refusal_says_unknown_for_used_or_unverifiable_ids(edge, code):
    fields = INVALID_FIELDS_BY_CODE[code]
    used_id = edge.new_id()
    assert edge.submit(submission_id=used_id).code is Code.COMPLETE
    edge.targets.started = 0
    id_of_other_team = edge.new_id("registry.secret-of-registry")
    issued_elsewhere = edge.new_id().replace("ikeja-e1", "ikeja-e2")
    earlier_incarnation = "ikeja-e1~0~99999999999999~1~0123"
    for submission_id in (used_id, id_of_other_team, issued_elsewhere, earlier_incarnation, "x"):
        refused = edge.submit(submission_id=submission_id, **fields)
        check_refused(refused, code)
        assert refused.content["ran"] == "unknown"
    assert (
        edge.submit("registry.secret-of-registry", submission_id=id_of_other_team).code
        is Code.COMPLETE
    )
    edge.targets.started = 0


@pytest.mark.promise("honest_refusal")
@pytest.mark.parametrize("body", [b"", b"{", b"{}", b'{"submission_id": 1}', b"[]"])
def test_a_bad_key_on_a_body_without_an_id_says_not_run(edge, body):
    refused = edge.request("POST", "/v1/jobs", body, credential="desk.wrong")
    check_refused(refused, Code.BAD_CREDENTIALS)
    assert refused.content["ran"] == "not_run"


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_a_bad_key_or_wait_on_a_query_says_unknown_and_keeps_the_id_usable(edge, method):
    submission_id = edge.new_id()
    path = f"/v1/jobs/{submission_id}"
    for refused in (
        edge.request(method, path, credential="desk.wrong"),
        edge.request(method, f"{path}?wait_ms=x"),
    ):
        check_refused(refused, Code.BAD_CREDENTIALS, Code.INVALID_FIELD)
        assert refused.content["ran"] == "unknown"
    assert edge.submit(submission_id=submission_id).code is Code.COMPLETE
    edge.targets.started = 0


@fuzz
@hypothesis.given(data=strategies.data())
def test_a_forged_id(edge, data):
    submission_id = edge.new_id()
    position = data.draw(strategies.integers(0, 200)) % len(submission_id)
    character = data.draw(strategies.characters())
    hypothesis.assume(character != submission_id[position])
    forged = submission_id[:position] + character + submission_id[position + 1 :]
    reply = edge.submit(submission_id=forged)
    assert check_refused(reply)
    assert reply.code is not Code.INTERNAL_ERROR


def alternative_spellings(submission_id):
    """Return variants of an id: another node name, and other spellings of the same values."""
    node, incarnation, expires_at_ms, serial, mac = submission_id.split("~")
    wide = "".join(chr(ord(digit) + 0xFEE0) for digit in serial)
    return [
        (f"x{node}", incarnation, expires_at_ms, serial, mac),
        (node, incarnation, f"0{expires_at_ms}", serial, mac),
        (node, incarnation, expires_at_ms, f"0{serial}", mac),
        (node, incarnation, expires_at_ms, wide, mac),
        (node, incarnation, expires_at_ms, serial, mac.upper()),
    ]


@pytest.mark.promise("at_most_once")
def test_another_spelling_of_a_used_id_starts_nothing(edge):
    submission_id = edge.new_id()
    assert edge.submit(submission_id=submission_id).code is Code.COMPLETE
    edge.targets.started = 0
    for parts in alternative_spellings(submission_id):
        respelled = "~".join(parts)
        if respelled != submission_id:
            check_refused(edge.submit(submission_id=respelled), Code.UNKNOWN_SUBMISSION)
    assert edge.targets.started == 0


@pytest.mark.parametrize("method", ["GET", "DELETE"])
@pytest.mark.parametrize("text", ["x", "a~b~c", "~~~~", "%00", "a~b~1~1~z", "e%CC%81"])
def test_a_malformed_id_in_a_path(edge, method, text):
    reply = edge.request(method, f"/v1/jobs/{text}")
    assert "ran" in reply.content
    assert check_refused(reply)


def test_an_id_of_another_team(edge):
    id_of_other_team = edge.new_id("registry.secret-of-registry")
    message = check_refused(edge.submit(submission_id=id_of_other_team), Code.UNKNOWN_SUBMISSION)
    assert "submission_id" in message
    reply = edge.request("GET", f"/v1/jobs/{id_of_other_team}")
    assert "submission_id" in check_refused(reply, Code.UNKNOWN_SUBMISSION)


def test_an_expired_id(edge):
    reply = edge.submit(submission_id=edge.expired_id())
    assert "submission_id" in check_refused(reply, Code.SUBMISSION_ID_EXPIRED)


def test_a_selector_that_cannot_be_parsed(edge):
    assert "selector" in check_refused(edge.submit(selector="=="), Code.INVALID_SELECTOR)


@fuzz
@hypothesis.given(path=strategies.text(max_size=30))
def test_an_arbitrary_path(edge, path):
    quoted = urllib.parse.quote(f"/v2/{path}", errors="ignore")
    check_refused(edge.request("GET", quoted), Code.NO_SUCH_PAGE)


@pytest.mark.parametrize("method", ["PUT", "PATCH", "TRACE", "DELETE", "GET"])
@pytest.mark.parametrize("path", PATHS)
def test_an_unsupported_method(edge, method, path):
    reply = edge.request(method, path, b"{}")
    check_refused(reply, Code.MALFORMED)


@pytest.mark.parametrize("sent", [b"", b'{"submission_id": "x"', b"{"])
def test_a_truncated_body(edge, sent):
    head = (
        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n"
        "Authorization: Bearer desk.secret-of-desk\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", edge.port)) as connection:
        connection.sendall(head.encode() + sent)
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(4096):
            pass


@fuzz
@hypothesis.given(data=strategies.binary(max_size=100))
def test_bytes_that_are_not_http(edge, data):
    with socket.create_connection(("127.0.0.1", edge.port), timeout=10) as connection:
        connection.sendall(data + b"\r\n\r\n")
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(4096):
            pass


@pytest.mark.promise("graceful_shutdown")
def test_an_idle_connection_accepted_while_the_port_closes_is_closed(closing_edge, monkeypatch):
    # Shorter than the harness waits for the close, so that a forced exit is seen as such.
    monkeypatch.setattr(callers_http, "STALL_TIMEOUT_SECONDS", 5)
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as caller,
    ):
        accepted, _ = listener.accept()
        assert closing_edge.close_while_accepting(accepted)
        assert caller.recv(1) == b""

import json

import pytest

from chiveridge_client import traces

ID = "a" * 16


def log_line(at: float, node: str, name: str, **fields) -> str:
    return json.dumps({"at": at, "node": node, "event": 1, "name": name, **fields})


TAKEN = log_line(10.0, "n1", "JOB_TAKEN", job=ID, tasks=2)
PLACED = log_line(10.01, "n1", "JOB_PLACED", job=ID, owner="o2", targets=["t1"], waited_ms=10)


def explain(*texts: str) -> traces.Trace:
    return traces.trace_request(ID, traces.parse_lines(texts))


def answered_line(verdict: str, at: float = 11.0, **fields) -> str:
    return log_line(at, "n1", "JOB_ANSWERED", job=ID, verdict=verdict, **fields)


@pytest.mark.parametrize(
    ("texts", "deciding", "words"),
    [
        ([log_line(10.3, "n1", "JOB_REFUSED", job=ID, reason="no room")], "JOB_REFUSED", "no room"),
        ([PLACED, answered_line("complete", is_late=False)], "JOB_ANSWERED", "in time"),
        ([PLACED, answered_line("complete", is_late=True)], "JOB_PLACED", "waited"),
        (
            [
                log_line(10.4, "n2", "RUN_ENDED", job=ID, task=f"{ID}.0.0.1", how="failed"),
                answered_line("failed", reason="a task has used up its attempts"),
            ],
            "RUN_ENDED",
            "as often",
        ),
        (
            [log_line(10.4, "n1", "RUN_LOST", job=ID, how="lapsed"), answered_line("given_up")],
            "RUN_LOST",
            "lapsed",
        ),
        ([answered_line("given_up")], "JOB_ANSWERED", "longer than the caller waits"),
        ([log_line(10.4, "n1", "CALLER_LEFT", job=ID)], "CALLER_LEFT", "left"),
        (
            [PLACED, log_line(10.9, "n2", "MEMBER_LOST", member="n1", silent_ms=650)],
            "MEMBER_LOST",
            "no answer",
        ),
    ],
)
def test_the_deciding_line_and_the_cause(texts, deciding, words):
    request_trace = explain(TAKEN, *texts)
    assert request_trace.deciding.name == deciding
    assert words in request_trace.cause


def test_lines_of_all_nodes_are_merged_in_order_without_unrelated_ones():
    other = log_line(10.2, "n1", "JOB_TAKEN", job="b" * 16)
    stopped = log_line(10.5, "n2", "STRANGER_STOPPED", task=f"{ID}.0.0.0", target="t1")
    silent = log_line(10.1, "n2", "TARGET_SILENT", target="t1", failure="timeout")
    far = log_line(10.1, "n2", "TARGET_SILENT", target="t9", failure="timeout")
    request_trace = explain(stopped, other, PLACED, silent, far, TAKEN, "no json", "{broken")
    assert [entry.name for entry in request_trace.lines] == [
        "JOB_TAKEN",
        "JOB_PLACED",
        "STRANGER_STOPPED",
    ]
    assert [entry.fields["target"] for entry in request_trace.context] == ["t1"]


def test_log_collector_prefix_is_ignored():
    assert explain(f"  30.99 edge-1 {TAKEN}").lines[0].node == "n1"


def test_clock_differences_are_reported():
    early = log_line(9.0, "n2", "RUN_ENDED", job=ID, task=f"{ID}.0.0.1", how="stopped")
    request_trace = explain(TAKEN, early, answered_line("given_up"))
    assert request_trace.clock_leads_ms == {"n2": 1000.0}
    assert "n2 is at least 1000.0 ms behind" in traces.render(request_trace)


def test_unknown_request_has_no_trace():
    assert traces.trace_request("c" * 16, traces.parse_lines([TAKEN])) is None

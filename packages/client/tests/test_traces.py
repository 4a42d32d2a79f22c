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


TASK = f"{ID}.0.0.0"


def run_line(at: float, node: str, name: str, run: int = 1, **fields) -> str:
    return log_line(at, node, name, job=ID, task=TASK, run=run, target="t1", **fields)


def test_a_run_that_was_allowed_without_proof_is_told_with_the_unanswered_attempts():
    attempts = [[1, 0.0, "timeout", 60.0], [2, 60.0, "timeout", 60.0]]
    request_trace = explain(
        TAKEN,
        PLACED,
        run_line(10.4, "n2", "RUN_ATTEMPTS", attempts=attempts, unlisted=3, unanswered=5),
        run_line(10.4, "n2", "RUN_ENDED", how="lapsed", proof="retry_due"),
        run_line(
            10.5, "n1", "RUN_LOST", how="lapsed", proof="retry_due", is_proven=False, next_run=2
        ),
        answered_line("complete", is_late=False),
    )
    (overlap,) = request_trace.overlaps
    assert overlap.startswith(f"run 2 was allowed without proof that run 1 of {TASK} on t1 had")
    assert overlap.endswith("(retry_due): 5 of its 5 attempts had no answer")
    text = traces.render(request_trace)
    assert "runs that may overlap:" in text
    assert '[[1, 0.0, "timeout", 60.0], [2, 60.0, "timeout", 60.0]]' in text


def test_an_end_by_the_refusal_of_one_attempt_is_told_of_nodes_without_proofs():
    ended = run_line(10.4, "n2", "RUN_ENDED", how="refused", attempts=2, unanswered=1)
    (overlap,) = explain(TAKEN, PLACED, ended).overlaps
    assert "ended as refused while 1 of its attempts had no answer" in overlap


def test_a_run_that_its_target_lists_after_its_end_is_told():
    request_trace = explain(
        TAKEN,
        PLACED,
        run_line(10.4, "n2", "RUN_ENDED", how="refused", proof="all_rejected", unanswered=0),
        run_line(10.4, "n1", "RUN_LOST", how="refused", proof="all_rejected", next_run=2),
        log_line(10.475, "n2", "STRANGER_STOPPED", task=TASK, run=1, target="t1"),
    )
    assert request_trace.overlaps == (
        f"run 1 of {TASK} on t1 still ran 75.0 ms after it counted as ended",
    )


def test_a_run_that_ended_at_its_owner_after_its_job_had_given_it_up_is_told():
    request_trace = explain(
        TAKEN,
        PLACED,
        run_line(11.4, "n1", "RUN_LOST", how="lost", proof="owner_silent", next_run=2),
        run_line(11.6, "n2", "RUN_ENDED", how="failed", proof="listed"),
    )
    assert len(request_trace.overlaps) == 1


def test_ordinary_retries_are_no_overlaps():
    request_trace = explain(
        TAKEN,
        PLACED,
        run_line(10.4, "n2", "RUN_ENDED", how="failed", proof="listed", unanswered=0),
        run_line(10.41, "n1", "RUN_LOST", how="failed", proof="listed", next_run=2),
        run_line(10.8, "n2", "RUN_ENDED", run=2, how="refused", proof="all_rejected"),
        run_line(10.7, "n1", "RUN_LOST", run=2, how="refused", proof="all_rejected", next_run=3),
        answered_line("complete", is_late=True),
    )
    assert request_trace.overlaps == ()
    assert "overlap" not in traces.render(request_trace)

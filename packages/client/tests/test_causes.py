import json

from chiveridge_client import causes, traces


def log_line(at: float, name: str, job: str, **fields) -> str:
    return json.dumps({"at": at, "node": "n1", "event": 1, "name": name, "job": job, **fields})


def answered_line(at: float, job: str, verdict: str, **fields) -> str:
    return log_line(at, "JOB_ANSWERED", job, verdict=verdict, **fields)


LOG_LINES = [
    log_line(1.0, "JOB_TAKEN", "good"),
    answered_line(1.1, "good", "complete", is_late=False),
    log_line(2.0, "JOB_TAKEN", "full-1"),
    log_line(2.2, "JOB_REFUSED", "full-1", reason="no room in time"),
    answered_line(2.2, "full-1", "refused", reason="no room in time"),
    log_line(3.0, "JOB_TAKEN", "full-2"),
    log_line(3.2, "JOB_REFUSED", "full-2", reason="no room in time"),
    log_line(4.0, "REQUEST_REJECTED", "bad", status=400, reason="the body is not a job"),
    log_line(5.0, "JOB_TAKEN", "lost"),
    log_line(6.0, "JOB_PLACED", "queued", waited_ms=300.0),
    answered_line(6.1, "queued", "complete", is_late=True, took_ms=400.0),
    log_line(7.0, "JOB_PLACED", "slow", waited_ms=3.0),
    answered_line(7.5, "slow", "complete", is_late=True, took_ms=400.0),
    log_line(
        8.0, "REQUEST_REJECTED", "new", status=404, reason="no such queue", version_age_ms=900.0
    ),
    log_line(
        9.0, "REQUEST_REJECTED", "old", status=404, reason="no such queue", version_age_ms=4e3
    ),
    log_line(
        9.1, "REQUEST_REJECTED", "none", status=404, reason="no such queue", version_age_ms=None
    ),
    "not a line of the log",
]


def test_counts_requests_by_cause_and_omits_those_answered_in_time():
    requests_by_cause = {
        count.cause: (count.requests, count.examples)
        for count in causes.count_causes(traces.parse_lines(LOG_LINES))
    }
    assert requests_by_cause == {
        "refused: no room in time": (2, ("full-1", "full-2")),
        "rejected with 400: the body is not a job": (1, ("bad",)),
        "rejected with 404: no such queue": (2, ("new", "none")),
        "rejected with 404: no such queue (by a configuration unconfirmed for over 2 s)": (
            1,
            ("old",),
        ),
        "no answer: the node of the job ended, or fell silent, before it": (1, ("lost",)),
        "late: it waited for room longer than its tasks took": (1, ("queued",)),
        "late: its tasks took longer than it waited for room": (1, ("slow",)),
    }


def test_the_most_frequent_cause_comes_first_with_its_examples():
    text = causes.render(causes.count_causes(traces.parse_lines(LOG_LINES)))
    first = text.splitlines()[1]
    assert first.split()[0] == "2"
    assert "full-1 full-2" in first


def test_logs_without_requests_have_no_causes():
    assert causes.count_causes([]) == []

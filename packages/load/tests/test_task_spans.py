import pytest

from chiveridge_load import reconciliations, task_spans, workloads

JOB = workloads.JobPlan(index=0, at_s=0.0, team="desk", run_ms=[1000.0, 500.0, 100.0])
STARTS = reconciliations.Starts(
    2,
    {
        "0-0": [reconciliations.Start("t1", 5_000)],
        "0-1": [reconciliations.Start("t2", 5_800)],
    },
    ["t1", "t2", "t3"],
)


@pytest.fixture
def spans():
    return task_spans.spans([JOB], STARTS, origin_ms=4_000)


def test_spans_count_from_the_start_of_the_run(spans):
    assert [(span.target, span.started_s, span.ended_s) for span in spans] == [
        ("t1", 1.0, 2.0),
        ("t2", 1.8, 2.3),
    ]


def test_busy_counts_starts_in_progress(spans):
    assert [task_spans.busy_at(spans, at_s) for at_s in (0.9, 1.0, 1.9, 2.0, 2.3)] == [
        0,
        1,
        2,
        1,
        0,
    ]


def test_work_is_clipped_to_the_window(spans):
    assert task_spans.work_s(spans, 1.5, 2.0) == pytest.approx(0.7)
    assert task_spans.work_s(spans, 0.0, 9.0) == pytest.approx(1.5)


def test_starts_are_counted_by_target_including_unused_targets(spans):
    counts = task_spans.starts_by_target(spans, STARTS.targets, lambda span: span.started_s > 1.5)
    assert counts == {"t1": 0, "t2": 1, "t3": 0}

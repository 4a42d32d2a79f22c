"""Time spans of tasks, from the start times that targets recorded and the planned run times."""

from collections.abc import Callable, Iterable

import msgspec

from chiveridge_load import reconciliations, workloads


class Span(msgspec.Struct, frozen=True):
    """Time span of one start of a task, in seconds from the start of the run."""

    job_index: int
    key: str
    target: str
    started_s: float
    ended_s: float


def spans(
    jobs: Iterable[workloads.JobPlan], starts: reconciliations.Starts, origin_ms: float
) -> list[Span]:
    """Return a span for every start of the jobs' tasks.

    ``origin_ms`` is the start of the run since the Unix epoch.
    """
    task_spans = []
    for job in jobs:
        for index, run_ms in enumerate(job.run_ms):
            key = job.key(index)
            for start in starts.by_key.get(key, []):
                started_s = (start.at_ms - origin_ms) / 1000
                ended_s = started_s + run_ms / 1000
                task_spans.append(Span(job.index, key, start.target, started_s, ended_s))
    return task_spans


def busy_at(task_spans: Iterable[Span], at_s: float) -> int:
    """Return the number of starts that are running at a time."""
    return sum(span.started_s <= at_s < span.ended_s for span in task_spans)


def work_s(task_spans: Iterable[Span], from_s: float, to_s: float) -> float:
    """Return the total run time, in seconds, between two times."""
    overlaps = (min(span.ended_s, to_s) - max(span.started_s, from_s) for span in task_spans)
    return sum(max(overlap, 0.0) for overlap in overlaps)


def starts_by_target(
    task_spans: Iterable[Span], targets: Iterable[str], predicate: Callable[[Span], bool]
) -> dict[str, int]:
    """Count the starts that ``predicate`` accepts, by target, including targets with none."""
    counts = dict.fromkeys(targets, 0)
    for span in task_spans:
        if predicate(span):
            counts[span.target] += 1
    return counts

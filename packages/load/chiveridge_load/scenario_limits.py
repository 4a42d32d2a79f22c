"""Limits on the measurements of each scenario, derived from the users' requirements."""

import collections
from collections.abc import Callable

from chiveridge_kernel import results
from chiveridge_load import generators, measurements, reports, task_spans, traces

LimitFunction = Callable[[measurements.Measurement], list[reports.Limit]]

MAX_P50_OVER_BOUND = 1.05
MAX_P99_OVER_BOUND = 1.10
MAX_WASTED_SHARE = 0.001
MIN_BURST_GOODPUT = 0.95
MAX_REFUSAL_MS = 50.0
MAX_BURST_P99_GROWTH = 1.5
MAX_FAILED_TASKS_PER_DOMAIN = 3
PROBE_INTERVAL_S = 5.0
"""Least time between two starts on a failing target, in a failure domain, to count as probes."""

MIN_HEALTHY_TARGET_SHARE = 0.5
"""Fewest starts on a target in use at 80% load, as a share of the mean over all targets."""

MAX_P99_BESIDE_STRAGGLERS = 1.5
WRONG_SIZES_RATIO_FACTOR = 1.2
SLOT_REUSE_S = 1.0
MIN_REUSED_SHARE = 0.95


def correctness(measurement: measurements.Measurement) -> list[reports.Limit]:
    """Return the limit that applies to every scenario: no wrong answers."""
    return [reports.Limit("wrong_answers", len(measurement.verdict.faults), 0)]


def steady(measurement: measurements.Measurement) -> list[reports.Limit]:
    """Limit the ratios relative to those of the central queue, and the wasted share."""
    return [
        *_ratio_limits(measurement, 1.0),
        reports.Limit("wasted_share", measurement.verdict.wasted_share, MAX_WASTED_SHARE),
        *correctness(measurement),
    ]


def burst(measurement: measurements.Measurement) -> list[reports.Limit]:
    """Limit the goodput during the burst, the refusal times and the other teams' ratios."""
    window_s = traces.BURST_END_S - traces.BURST_START_S
    completed_spans = _completed_spans(measurement)
    work_s = task_spans.work_s(completed_spans, traces.BURST_START_S, traces.BURST_END_S)
    earlier_ratios = measurement.ratios(_other_teams_between(0, traces.BURST_START_S))
    burst_ratios = measurement.ratios(
        _other_teams_between(traces.BURST_START_S, traces.BURST_END_S)
    )
    return [
        reports.Limit(
            "burst_goodput",
            work_s / (window_s * measurement.slots),
            MIN_BURST_GOODPUT,
            at_least=True,
        ),
        reports.Limit("slowest_refusal_ms", _slowest_refusal_ms(measurement), MAX_REFUSAL_MS),
        reports.Limit(
            "other_teams_p99", burst_ratios.p99, earlier_ratios.p99 * MAX_BURST_P99_GROWTH
        ),
        *correctness(measurement),
    ]


def failing_target(target_index: int, at_s: float) -> LimitFunction:
    """Return the limit function of a run in which a target fails every start from ``at_s`` on."""

    def limits(measurement: measurements.Measurement) -> list[reports.Limit]:
        failed_by_domain = _failed_jobs_by_domain(measurement, target_index)
        probes = max(measurement.seconds - at_s, 0) // PROBE_INTERVAL_S
        return [
            reports.Limit(
                "failed_tasks_per_domain",
                max(failed_by_domain.values(), default=0),
                MAX_FAILED_TASKS_PER_DOMAIN + probes,
            ),
            *correctness(measurement),
        ]

    return limits


def failing_team(measurement: measurements.Measurement) -> list[reports.Limit]:
    """Check that all jobs not meant to fail complete and that every target stays in use."""
    jobs = {job.index: job for job in measurement.jobs}
    healthy = [record for record in measurement.records if not jobs[record.index].fail]
    completed = sum(record.code is results.ResultCode.COMPLETE for record in healthy)
    counts = task_spans.starts_by_target(
        measurement.spans(),
        measurement.starts.targets,
        lambda span: not jobs[span.job_index].fail and span.started_s >= measurement.seconds / 2,
    )
    mean = sum(counts.values()) / len(counts)
    return [
        reports.Limit("healthy_completed", completed / len(healthy), 1.0, at_least=True),
        reports.Limit(
            "least_used_target",
            min(counts.values()) / mean,
            MIN_HEALTHY_TARGET_SHARE,
            at_least=True,
        ),
        *correctness(measurement),
    ]


def stragglers(target_indices: tuple[int, ...]) -> LimitFunction:
    """Return the limit function of a run with slow targets."""

    def limits(measurement: measurements.Measurement) -> list[reports.Limit]:
        slow_targets = {measurement.starts.targets[index] for index in target_indices}
        other_ratios = measurement.ratios(
            lambda record: not slow_targets.intersection(record.targets)
        )
        return [
            reports.Limit("p99_ratio_of_the_rest", other_ratios.p99, MAX_P99_BESIDE_STRAGGLERS),
            *correctness(measurement),
        ]

    return limits


def wrong_sizes(measurement: measurements.Measurement) -> list[reports.Limit]:
    """Check that jobs too large for any target are refused, and limit the ratios of the others."""
    impossible = {
        job.index for job in measurement.jobs if job.memory_mb == traces.IMPOSSIBLE_MEMORY_MB
    }
    refused = {
        record.index
        for record in measurement.records
        if record.code is results.ResultCode.NEVER_RUNNABLE
    }
    return [
        reports.Limit("impossible_not_refused", len(impossible - refused), 0),
        reports.Limit("possible_refused", len(refused - impossible), 0),
        *_ratio_limits(measurement, WRONG_SIZES_RATIO_FACTOR),
        *correctness(measurement),
    ]


def cancel_wave(measurement: measurements.Measurement) -> list[reports.Limit]:
    """Check that no task starts after its job was cancelled and that freed slots are reused."""
    cancelled_at_ms = {
        record.index: record.cancelled_at_ms
        for record in measurement.records
        if record.cancelled_at_ms is not None
    }
    late_starts = 0
    remaining_spans = []
    for span in measurement.spans():
        cancelled_ms = cancelled_at_ms.get(span.job_index)
        if cancelled_ms is None:
            remaining_spans.append(span)
        else:
            late_starts += int(span.started_s * 1000 + measurement.origin_ms > cancelled_ms)
    busy_slots = task_spans.busy_at(remaining_spans, traces.CANCEL_AT_S + SLOT_REUSE_S)
    return [
        reports.Limit("starts_after_cancel", late_starts, 0),
        reports.Limit(
            "slots_reused", busy_slots / measurement.slots, MIN_REUSED_SHARE, at_least=True
        ),
        reports.Limit("jobs_cancelled", len(cancelled_at_ms), 1, at_least=True),
        *correctness(measurement),
    ]


def restarts(measurement: measurements.Measurement) -> list[reports.Limit]:
    """Check that only the killed node loses jobs, and that it was killed during the trace.

    The killed node is the first node of the fleet.
    """
    killed_url = measurement.killed_url
    lost_jobs = [
        record
        for record in measurement.records
        if record.code is not results.ResultCode.COMPLETE and record.url != killed_url
    ]
    return [
        reports.Limit("lost_jobs", len(lost_jobs), 0),
        reports.Limit("killed_at_s", measurement.disturbed_until_s, measurement.seconds),
        *correctness(measurement),
    ]


def _ratio_limits(measurement: measurements.Measurement, factor: float) -> list[reports.Limit]:
    ratios = measurement.ratios()
    bound = measurement.bound()
    return [
        reports.Limit("p50_ratio", ratios.p50, bound.p50 * MAX_P50_OVER_BOUND * factor),
        reports.Limit("p99_ratio", ratios.p99, bound.p99 * MAX_P99_OVER_BOUND * factor),
    ]


def _completed_spans(measurement: measurements.Measurement) -> list[task_spans.Span]:
    completed = {
        record.index for record in measurement.records if record.code is results.ResultCode.COMPLETE
    }
    return [span for span in measurement.spans() if span.job_index in completed]


def _other_teams_between(from_s: float, to_s: float) -> Callable[[generators.JobRecord], bool]:
    return lambda record: record.team != traces.BURST_TEAM and from_s <= record.sent_s < to_s


def _slowest_refusal_ms(measurement: measurements.Measurement) -> float:
    """Return the longest time from a node's decision to refuse a job to the caller's response.

    The time in the node is subtracted because a job may be queued before it is refused.
    """
    refused = [
        record.response_ms - record.node_ms
        for record in measurement.records
        if measurements.is_refused(record)
    ]
    return max(refused, default=0.0)


def _failed_jobs_by_domain(
    measurement: measurements.Measurement, target_index: int
) -> dict[str, int]:
    """Count the failed jobs that ran on a target, by the failure domain of their node."""
    target_name = measurement.starts.targets[target_index]
    counts: collections.Counter[str] = collections.Counter()
    for record in measurement.records:
        if record.code is results.ResultCode.TASK_FAILED and target_name in record.targets:
            counts[measurement.domain_of(record.url)] += 1
    return dict(counts)

"""Measurement of one run: response ratios and their bound, refusals, waste and faults."""

import collections
from collections.abc import Callable, Iterable

import msgspec
from hdrh import histogram

from chiveridge_kernel import results
from chiveridge_load import bounds, footprints, generators, reconciliations, task_spans, workloads

WARMUP_S = 2.0
"""Jobs sent earlier are checked but excluded from the ratios: connections are still opened then."""

QUANTILES = (10, 25, 50, 75, 90, 95, 99, 99.9)
"""Percentiles of the ratios that a report lists."""

_HISTOGRAM_UNITS_PER_RATIO = 10_000
_MAX_RATIO = 100_000
_SIGNIFICANT_DIGITS = 4


class Percentiles(msgspec.Struct, frozen=True):
    """Distribution of ratios, all zero without any; ``quantiles`` are at :data:`QUANTILES`."""

    count: int
    mean: float
    p50: float
    p99: float
    quantiles: list[float]


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """Everything measured in a run; ``seconds`` is the length of its trace.

    ``origin_ms`` is the start of the run since the Unix epoch, ``node_names_by_url`` includes the
    URLs of nodes that were since stopped, and ``disturbed_until_s`` is when the disturbance of the
    fleet ended.
    """

    jobs: list[workloads.JobPlan]
    records: list[generators.JobRecord]
    verdict: reconciliations.ReconciliationResult
    starts: reconciliations.Starts = reconciliations.Starts(0, {})
    origin_ms: float = 0.0
    node_names_by_url: dict[str, str] = {}
    load_on_nodes: footprints.Footprint = footprints.Footprint()
    disturbed_until_s: float = 0.0
    slots: int
    seconds: float
    warmup_s: float = WARMUP_S

    @property
    def killed_url(self) -> str:
        """URL of the killed node: the last URL of the first node."""
        names = list(self.node_names_by_url.values())
        return [url for url, name in self.node_names_by_url.items() if name == names[0]][-1]

    def domain_of(self, url: str) -> str:
        """Return the failure domain of the node that serves a URL."""
        return self.node_names_by_url[url].rpartition("-e")[0]

    def completed_after_warmup(self) -> list[generators.JobRecord]:
        """Return the completed jobs that were sent after the warm-up."""
        return [
            record
            for record in self.records
            if record.code is results.ResultCode.COMPLETE and record.sent_s >= self.warmup_s
        ]

    def ratios(
        self, predicate: Callable[[generators.JobRecord], bool] = lambda record: True
    ) -> Percentiles:
        """Return the ratios of the completed jobs that ``predicate`` accepts."""
        selected = [record for record in self.completed_after_warmup() if predicate(record)]
        return percentiles(bounds.ratio(record.response_ms, record.run_ms) for record in selected)

    def bound(self) -> Percentiles:
        """Return the ratios of a central queue with the same arrivals and run times."""
        arrivals = self.arrivals()
        ratios = bounds.central_queue_ratios(arrivals, self.slots)
        return percentiles(
            ratio
            for arrival, ratio in zip(arrivals, ratios, strict=True)
            if arrival.at_s >= self.warmup_s
        )

    def arrivals(self) -> list[bounds.Arrival]:
        """Return the jobs that were not refused, in order of time.

        Run times are the measured ones of completed jobs and the planned ones of others.
        """
        planned_run_ms = {job.index: job.run_ms for job in self.jobs}
        arrivals = [
            bounds.Arrival(
                record.sent_s,
                (
                    record.run_ms
                    if record.code is results.ResultCode.COMPLETE
                    else planned_run_ms[record.index]
                ),
            )
            for record in self.records
            if not is_refused(record)
        ]
        return sorted(arrivals, key=lambda arrival: arrival.at_s)

    def spans(self) -> list[task_spans.Span]:
        """Return the time span of every start of a task."""
        return task_spans.spans(self.jobs, self.starts, self.origin_ms)

    def goodput_share(self) -> float:
        """Return the completed run time over the offered run time or, if less, the capacity."""
        planned_ms = {job.index: sum(job.run_ms) for job in self.jobs}
        completed = {
            record.index
            for record in self.records
            if record.code is results.ResultCode.COMPLETE and not record.fault
        }
        completed_ms = sum(planned_ms[index] for index in completed)
        attainable_ms = min(sum(planned_ms.values()), self.slots * self.seconds * 1000)
        return completed_ms / attainable_ms if attainable_ms else 0.0

    def refused_share(self) -> float:
        """Return the share of the jobs that were refused."""
        refused = sum(is_refused(record) for record in self.records)
        return refused / len(self.jobs) if self.jobs else 0.0

    def jobs_by_code(self) -> dict[str, int]:
        """Return the number of jobs by result code."""
        return dict(collections.Counter(record.code.name for record in self.records))

    def lateness_ms(self) -> float:
        """Return the 99th percentile of the generator's delay in sending a job."""
        lateness = sorted((record.sent_s - record.due_s) * 1000 for record in self.records)
        return lateness[int(len(lateness) * 0.99)] if lateness else 0.0


def is_refused(record: generators.JobRecord) -> bool:
    """Return whether a node refused a job, at once or after queueing; a cancelled one is not."""
    if record.code is results.ResultCode.CANCELLED:
        return False
    outcomes = set(record.outcomes) or {record.ran}
    return outcomes == {results.TaskOutcome.NOT_RUN}


def percentiles(ratios: Iterable[float]) -> Percentiles:
    """Return the distribution of ratios; the percentiles are capped at ``_MAX_RATIO``."""
    ratio_histogram = histogram.HdrHistogram(
        1, _MAX_RATIO * _HISTOGRAM_UNITS_PER_RATIO, _SIGNIFICANT_DIGITS
    )
    total = 0.0
    for ratio in ratios:
        ratio_histogram.record_value(int(min(ratio, _MAX_RATIO) * _HISTOGRAM_UNITS_PER_RATIO))
        total += ratio
    count = ratio_histogram.get_total_count()
    if not count:
        return Percentiles(0, 0.0, 0.0, 0.0, [0.0] * len(QUANTILES))
    values = [
        ratio_histogram.get_value_at_percentile(percent) / _HISTOGRAM_UNITS_PER_RATIO
        for percent in QUANTILES
    ]
    by_percent = dict(zip(QUANTILES, values, strict=True))
    return Percentiles(count, total / count, by_percent[50], by_percent[99], values)

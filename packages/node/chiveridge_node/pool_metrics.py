"""Prometheus metrics of a pool node."""

import datetime
import math
import types
from collections.abc import Callable, Mapping

import prometheus_client

from chiveridge_node import decision_logs
from chiveridge_pool import actions, end_proofs, kernels, notes

_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
_MAX_QUEUE_LABELS = 200
"""Maximum number of distinct queue labels; further queues share the label ``other``."""

_OTHER_QUEUES_LABEL = "other"
_PROOFS_OF_JOBS_NODE = {proof.value for proof in end_proofs.LOGGED_BY_JOBS_NODE}


class PoolMetrics:
    """Derives counters and histograms from the kernel's notes, and gauges from its state.

    ``config_age`` returns the time since the platform last confirmed the configuration, or None.
    ``skipped_by_source`` counts the records that could not be used.
    """

    def __init__(
        self,
        kernel: kernels.Kernel,
        log: decision_logs.DecisionLog,
        config_age: Callable[[], datetime.timedelta | None] = lambda: None,
        skipped_by_source: Mapping[str, int] = types.MappingProxyType({}),
    ):
        self.registry = prometheus_client.CollectorRegistry()
        self._kernel = kernel
        self._log = log
        self._config_age = config_age
        self._skipped_by_source = skipped_by_source
        self._labelled_queues: set[str] = set()
        self._answers = prometheus_client.Counter(
            "chiveridge_answers",
            "Answers to jobs, by verdict and reason.",
            ["queue", "verdict", "reason"],
            registry=self.registry,
        )
        self._answer_seconds = prometheus_client.Histogram(
            "chiveridge_answer_seconds",
            "Time from a job's arrival to its answer.",
            ["queue"],
            buckets=_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self._place_seconds = prometheus_client.Histogram(
            "chiveridge_place_seconds",
            "Time from a job's arrival to a start of its tasks.",
            [],
            buckets=_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self._rejected_requests = prometheus_client.Counter(
            "chiveridge_rejected_requests",
            "Requests that were no job for the pool, by status.",
            ["status"],
            registry=self.registry,
        )
        self._bad_runs = prometheus_client.Counter(
            "chiveridge_bad_runs",
            "Runs that did not end done, by how.",
            ["how"],
            registry=self.registry,
        )
        self._start_attempts = prometheus_client.Counter(
            "chiveridge_start_attempts",
            "Attempts to start runs on targets that this node holds, by the target's answer.",
            ["result"],
            registry=self.registry,
        )
        self._counted_attempts: dict[str, int] = {}
        self._run_ends = prometheus_client.Counter(
            "chiveridge_run_ends",
            "Runs that did not end done, by the proof of their end.",
            ["proof"],
            registry=self.registry,
        )
        self._events = prometheus_client.Counter(
            "chiveridge_events", "Log events, by name.", ["name"], registry=self.registry
        )
        self._skipped_records = prometheus_client.Gauge(
            "chiveridge_skipped_records",
            "Records of other processes that could not be used, each time that they were read.",
            ["source"],
            registry=self.registry,
        )
        self._preferred_choices = prometheus_client.Gauge(
            "chiveridge_preferred_choices",
            "Tasks that went to another target than the fullest with room, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._gauges = {
            name: prometheus_client.Gauge(f"chiveridge_{name}", text, registry=self.registry)
            for name, text in _GAUGES.items()
        }

    def record_decision(self, action: actions.Note) -> None:
        """Update the counters and histograms from a note."""
        fields = action.fields
        self._events.labels(action.event.name).inc()
        if action.event is notes.NoteEvent.JOB_ANSWERED:
            queue = self._queue_label(fields["queue"])
            self._answers.labels(queue, fields["verdict"], fields["reason"]).inc()
            self._answer_seconds.labels(queue).observe(fields["took_ms"] / 1000)
        elif action.event is notes.NoteEvent.JOB_REFUSED and fields.get("at_once"):
            self._answers.labels(
                self._queue_label(fields["queue"]), "refused", fields["reason"]
            ).inc()
        elif action.event is notes.NoteEvent.REQUEST_REJECTED:
            self._rejected_requests.labels(fields["status"]).inc()
        elif action.event is notes.NoteEvent.JOB_PLACED:
            self._place_seconds.observe(fields["waited_ms"] / 1000)
        elif action.event is notes.NoteEvent.RUN_ENDED:
            self._bad_runs.labels(fields["how"]).inc()
            self._run_ends.labels(fields["proof"]).inc()
        elif action.event is notes.NoteEvent.RUN_LOST and fields["proof"] in _PROOFS_OF_JOBS_NODE:
            self._run_ends.labels(fields["proof"]).inc()

    def refresh(self, now: datetime.datetime) -> None:
        """Set the gauges from the current state of the kernel."""
        kernel = self._kernel
        config_age = self._config_age()
        preferences = kernel.target_owner.orders.preferences
        values = {
            "jobs": len(kernel.coordinator.jobs_by_id),
            "targets_listed": len(kernel.target_owner.target_list.by_id),
            "targets_held": len(kernel.target_owner.owned_tokens()),
            "free_cpu": sum(owned.free().cpu for owned in kernel.target_owner.usable_targets(now))
            / 1000,
            "asks_waiting": len(kernel.target_owner.allocator.capacity_queue),
            "members_live": len(kernel.members.live(now)),
            "configuration_version": kernel.configuration_version,
            "configuration_age_seconds": (
                math.nan if config_age is None else config_age.total_seconds()
            ),
            "fast_targets": sum(
                preferences.speeds.is_fast(target) for target in kernel.target_owner.owned_by_target
            ),
            "interfering_pairs": len(preferences.interferences.followed()),
            "evacuated_domains": len(kernel.evacuations.since_by_domain),
            "evacuated_runs": sum(
                kernel.target_owner.count_runs_in(domain)
                for domain in kernel.evacuations.since_by_domain
            ),
            "lag_allowance_seconds": kernel.loop_lag.timeout_allowance().total_seconds(),
            "log_lines_dropped_good": self._log.dropped_good,
            "log_lines_dropped_bad": self._log.dropped_bad,
        }
        for name, value in values.items():
            self._gauges[name].set(value)
        for result, count in kernel.target_owner.attempts_by_answer.items():
            self._start_attempts.labels(result).inc(count - self._counted_attempts.get(result, 0))
            self._counted_attempts[result] = count
        for source, count in self._skipped_by_source.items():
            self._skipped_records.labels(source).set(count)
        for reason, count in preferences.choices_by_reason.items():
            self._preferred_choices.labels(reason.value).set(count)

    def render(self, now: datetime.datetime) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.refresh(now)
        return prometheus_client.generate_latest(self.registry)

    def _queue_label(self, queue: str) -> str:
        if queue in self._labelled_queues or len(self._labelled_queues) < _MAX_QUEUE_LABELS:
            self._labelled_queues.add(queue)
            return queue
        return _OTHER_QUEUES_LABEL


_GAUGES = {
    "jobs": "Jobs in progress at this node.",
    "targets_listed": "Targets in the platform's list.",
    "targets_held": "Targets that this node holds.",
    "free_cpu": "Cores free on the targets that this node holds and may use.",
    "asks_waiting": "Jobs that wait for room on this node's targets.",
    "members_live": "Other nodes heard lately.",
    "configuration_version": "Version of the configuration in force.",
    "configuration_age_seconds": "Time since the platform confirmed it; NaN if it never did.",
    "fast_targets": "Targets that this node holds and has found faster than is typical.",
    "interfering_pairs": "Pairs of queues kept apart, as one's tasks slow down the other's.",
    "evacuated_domains": "Failure domains whose targets get no new runs, as an operator asked.",
    "evacuated_runs": "Runs left in them on the targets that this node holds.",
    "lag_allowance_seconds": "What is added to timeouts as this process runs late.",
    "log_lines_dropped_good": "Log lines of good requests over the budget.",
    "log_lines_dropped_bad": "Other log lines over the budget.",
}

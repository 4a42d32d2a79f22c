"""Metrics of a pool's node, by Prometheus' conventions."""

import datetime

import prometheus_client

from chiveridge_node import decision_logs
from chiveridge_pool import actions, kernels, notes

_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
_MAX_QUEUES = 200
"""Queues with a label of their own; more share the label ``other``."""

_OTHER = "other"


class PoolMetrics:
    """Counters and histograms from the kernel's notes, gauges from its state."""

    def __init__(self, kernel: kernels.Kernel, log: decision_logs.DecisionLog):
        self.registry = prometheus_client.CollectorRegistry()
        self._kernel = kernel
        self._log = log
        self._queues: set[str] = set()
        self._answers = prometheus_client.Counter(
            "chiveridge_answers",
            "Answers to jobs, by verdict and reason.",
            ["queue", "verdict", "reason"],
            registry=self.registry,
        )
        self._took = prometheus_client.Histogram(
            "chiveridge_answer_seconds",
            "Time from a job's arrival to its answer.",
            ["queue"],
            buckets=_SECONDS,
            registry=self.registry,
        )
        self._waited = prometheus_client.Histogram(
            "chiveridge_place_seconds",
            "Time from a job's arrival to a start of its tasks.",
            [],
            buckets=_SECONDS,
            registry=self.registry,
        )
        self._rejections = prometheus_client.Counter(
            "chiveridge_rejected_requests",
            "Requests that were no job for the pool, by status.",
            ["status"],
            registry=self.registry,
        )
        self._runs = prometheus_client.Counter(
            "chiveridge_bad_runs",
            "Runs that did not end done, by how.",
            ["how"],
            registry=self.registry,
        )
        self._events = prometheus_client.Counter(
            "chiveridge_events", "Log events, by name.", ["name"], registry=self.registry
        )
        self._gauges = {
            name: prometheus_client.Gauge(f"chiveridge_{name}", text, registry=self.registry)
            for name, text in _GAUGES.items()
        }

    def note(self, action: actions.Note) -> None:
        """Count a note."""
        fields = action.fields
        self._events.labels(action.event.name).inc()
        if action.event is notes.NoteEvent.JOB_ANSWERED:
            queue = self._label(fields["queue"])
            self._answers.labels(queue, fields["verdict"], fields["reason"]).inc()
            self._took.labels(queue).observe(fields["took_ms"] / 1000)
        elif action.event is notes.NoteEvent.JOB_REFUSED and fields.get("at_once"):
            self._answers.labels(self._label(fields["queue"]), "refused", fields["reason"]).inc()
        elif action.event is notes.NoteEvent.REQUEST_REJECTED:
            self._rejections.labels(fields["status"]).inc()
        elif action.event is notes.NoteEvent.JOB_PLACED:
            self._waited.observe(fields["waited_ms"] / 1000)
        elif action.event is notes.NoteEvent.RUN_ENDED:
            self._runs.labels(fields["how"]).inc()

    def refresh(self, now: datetime.datetime) -> None:
        """Bring the gauges up to date."""
        kernel = self._kernel
        values = {
            "jobs": len(kernel.coordinator.jobs_by_id),
            "targets_listed": len(kernel.target_owner.target_list.by_id),
            "targets_held": len(kernel.target_owner.owned_tokens()),
            "free_cpu": sum(owned.free().cpu for owned in kernel.target_owner.usable_targets(now))
            / 1000,
            "asks_waiting": len(kernel.target_owner.allocator.capacity_queue),
            "members_live": len(kernel.members.live(now)),
            "configuration_version": kernel.configuration_version,
            "lag_allowance_seconds": kernel.loop_lag.timeout_allowance().total_seconds(),
            "log_lines_dropped_good": self._log.dropped_good,
            "log_lines_dropped_bad": self._log.dropped_bad,
        }
        for name, value in values.items():
            self._gauges[name].set(value)

    def text(self, now: datetime.datetime) -> bytes:
        """Return all metrics in the text format."""
        self.refresh(now)
        return prometheus_client.generate_latest(self.registry)

    def _label(self, queue: str) -> str:
        if queue in self._queues or len(self._queues) < _MAX_QUEUES:
            self._queues.add(queue)
            return queue
        return _OTHER


_GAUGES = {
    "jobs": "Jobs in progress at this node.",
    "targets_listed": "Targets in the platform's list.",
    "targets_held": "Targets that this node holds.",
    "free_cpu": "Cores free on the targets that this node holds and may use.",
    "asks_waiting": "Jobs that wait for room on this node's targets.",
    "members_live": "Other nodes heard lately.",
    "configuration_version": "Version of the configuration in force.",
    "lag_allowance_seconds": "What is added to timeouts as this process runs late.",
    "log_lines_dropped_good": "Log lines of good requests over the budget.",
    "log_lines_dropped_bad": "Other log lines over the budget.",
}

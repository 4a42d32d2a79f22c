"""Metrics of one node, kept in a separate registry and served on ``/metrics``.

The labels of each counter are resolved once, so that counting takes the same short time per task
regardless of the number of targets, teams and result codes.
"""

import asyncio
import functools

import prometheus_client

from chiveridge_kernel import actions, events, kernels, results
from chiveridge_node import kernel_runners

LAG_INTERVAL_SECONDS = 0.25
LAG_BUCKETS_SECONDS = (0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)

prometheus_client.disable_created_metrics()

_WASTED_START_OUTCOMES = (events.LeaseOutcome.NOT_STARTED, events.LeaseOutcome.LOST)


class PeerMetrics:
    """Counters of the messages between nodes."""

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        counter = functools.partial(prometheus_client.Counter, registry=registry)
        self.messages_dropped = counter(
            "chiveridge_peer_messages_dropped",
            "Messages from peers that were dropped, by reason.",
            ["reason"],
        )
        self.connections_closed = counter(
            "chiveridge_peer_links_closed", "Connections to peers that this node closed."
        )
        size = counter(
            "chiveridge_peer_bytes", "Bytes of messages to and from peers.", ["direction"]
        )
        count = counter("chiveridge_peer_messages", "Messages to and from peers.", ["direction"])
        self.messages_sent = count.labels("sent")
        self.messages_received = count.labels("received")
        self.bytes_sent = size.labels("sent")
        self.bytes_received = size.labels("received")


class PlatformMetrics:
    """Counters of the reads from the platform."""

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        size = prometheus_client.Counter(
            "chiveridge_platform_bytes",
            "Bytes of replies of the platform, headers included, by what was read.",
            ["source"],
            registry=registry,
        )
        faults = prometheus_client.Counter(
            "chiveridge_platform_read_faults",
            "Reads of the platform that ended in a fault of the program, by what was read.",
            ["source"],
            registry=registry,
        )
        self.log_bytes = size.labels("log")
        self.vms_bytes = size.labels("vms")
        self.log_read_errors = faults.labels("log")
        self.vms_read_errors = faults.labels("vms")


class Metrics:
    """Counts the events and actions of a node's kernel."""

    def __init__(self, runner: kernel_runners.KernelRunner):
        self.registry = prometheus_client.CollectorRegistry()
        self.peers = PeerMetrics(self.registry)
        self.platform = PlatformMetrics(self.registry)
        self._runner = runner
        self._timer: asyncio.TimerHandle | None = None
        self._lag_timer_due = 0.0
        self._define_counters()
        self._define_gauges(runner.kernel)
        runner.add_observer(events.LeaseReported, self._count_lease_report)
        runner.add_observer(events.TargetProbed, self._count_probe)
        runner.add_observer(actions.StartTask, self._count_start)
        runner.add_observer(actions.AnswerJob, self._count_answer)

    def start(self) -> None:
        """Start measuring how late the event loop runs its timers."""
        self._lag_timer_due = asyncio.get_running_loop().time()
        self._measure_lag()

    def stop(self) -> None:
        """Stop measuring the lag."""
        if self._timer is not None:
            self._timer.cancel()

    def count_refusal(self, code: results.ResultCode) -> None:
        """Count a refusal that was sent to a caller."""
        self._refusals_by_code[code].inc()

    def render(self) -> bytes:
        """Return the metrics of the node and of its process in the Prometheus text format."""
        process_metrics = prometheus_client.generate_latest(prometheus_client.REGISTRY)
        return process_metrics + prometheus_client.generate_latest(self.registry)

    def _define_counters(self) -> None:
        counter = functools.partial(prometheus_client.Counter, registry=self.registry)
        jobs = counter("chiveridge_jobs", "Jobs that ended, by result code.", ["code"])
        refusals = counter("chiveridge_refusals", "Refused requests, by result code.", ["code"])
        outcomes = counter(
            "chiveridge_start_outcomes", "Reports on starts, by outcome.", ["outcome"]
        )
        wasted = counter(
            "chiveridge_wasted_messages",
            "Starts sent whose work was refused, lost or no longer wanted.",
            ["reason"],
        )
        probes = counter("chiveridge_target_probes", "Probes of targets, by result.", ["result"])
        self._probes_by_result = {
            True: probes.labels("reachable"),
            False: probes.labels("unreachable"),
        }
        self._starts = counter("chiveridge_starts", "Starts sent to targets.")
        self._jobs_by_code = {code: jobs.labels(code.name) for code in results.ResultCode}
        self._refusals_by_code = {code: refusals.labels(code.name) for code in results.ResultCode}
        self._reports_by_outcome = {
            outcome: outcomes.labels(outcome.value) for outcome in events.LeaseOutcome
        }
        self._wasted_by_outcome = {
            outcome: wasted.labels(outcome.value) for outcome in _WASTED_START_OUTCOMES
        }
        self._wasted_discarded = wasted.labels("discarded")

    def _define_gauges(self, kernel: kernels.Kernel) -> None:
        gauge = functools.partial(prometheus_client.Gauge, registry=self.registry)
        dispatcher = kernel.dispatcher
        jobs = gauge("chiveridge_jobs_in_progress", "Jobs that have not ended.")
        jobs.set_function(lambda: len(dispatcher.jobs_by_id))
        starts = gauge("chiveridge_starts_in_progress", "Starts that have not ended.")
        starts.set_function(lambda: sum(dispatcher.start_counts_by_target.values()))
        offset = gauge("chiveridge_config_offset", "Next offset of the configuration to read.")
        offset.set_function(lambda: kernel.configuration.offset)
        ready = gauge("chiveridge_ready", "1 when the node takes new jobs, else 0.")
        ready.set_function(lambda: int(kernel.is_ready()))
        self._lag = prometheus_client.Histogram(
            "chiveridge_loop_lag_seconds",
            "How late the event loop runs a timer.",
            buckets=LAG_BUCKETS_SECONDS,
            registry=self.registry,
        )

    def _count_lease_report(self, event: events.LeaseReported) -> None:
        self._reports_by_outcome[event.outcome].inc()
        if not self._runner.kernel.dispatcher.is_outcome_awaited(event.lease_id):
            self._wasted_discarded.inc()
            return
        wasted = self._wasted_by_outcome.get(event.outcome)
        if wasted is not None:
            wasted.inc()

    def _count_probe(self, event: events.TargetProbed) -> None:
        self._probes_by_result[event.is_reachable].inc()

    def _count_start(self, action: actions.StartTask) -> None:
        self._starts.inc()

    def _count_answer(self, action: actions.AnswerJob) -> None:
        self._jobs_by_code[action.answer.code].inc()

    def _measure_lag(self) -> None:
        loop = asyncio.get_running_loop()
        self._lag.observe(max(loop.time() - self._lag_timer_due, 0.0))
        self._lag_timer_due = loop.time() + LAG_INTERVAL_SECONDS
        self._timer = loop.call_at(self._lag_timer_due, self._measure_lag)

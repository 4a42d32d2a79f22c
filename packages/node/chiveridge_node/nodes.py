"""The node process: sets up the kernel, its runner and adapters, and runs until it has drained."""

import asyncio
import datetime
import json
import random
import secrets
import signal
import sys
import time

import msgspec

from chiveridge_kernel import (
    actions,
    catch_ups,
    events,
    heartbeats,
    identifiers,
    kernel_parts,
    kernels,
    outcome_queries,
    peers,
    records,
    snapshot_schedules,
)
from chiveridge_node import (
    clocks,
    kernel_runners,
    log_events,
    metrics,
    plugins,
    request_handlers,
    settings,
    signals,
    statuses,
)

_INCARNATION_BYTES = 4
_SECRET_BYTES = 32
_POLL_OUTAGE_MARGIN = datetime.timedelta(seconds=5)
_MEGABYTE = 1024 * 1024
_LOG_EVENTS_BY_VERDICT = {records.Verdict.ACCEPTED: log_events.LogEvent.CHANGE_ACCEPTED}


class Node:
    """One node process."""

    def __init__(self, node_settings: settings.Settings):
        self.settings = node_settings
        self.rng = random.Random(secrets.randbits(64))
        self.kernel = kernels.Kernel(_kernel_settings(node_settings), self.rng)
        self.runner = kernel_runners.KernelRunner(self.kernel, clocks.SystemClock())
        self.metrics = metrics.Metrics(self.runner)
        self.request_handler = request_handlers.RequestHandler(self.runner)
        self._exit_requested = asyncio.Event()
        self._adapters_by_kind = {
            kind: plugins.create(kind, getattr(node_settings.plugins, kind.value), self)
            for kind in plugins.AdapterKind
        }

    async def run(self) -> None:
        """Serve until a stop was requested and the drain is complete."""
        self._register_performers()
        await self._open()
        await self._exit_requested.wait()
        await self._close()

    def drain(self) -> None:
        """Refuse new jobs and exit once all jobs in progress have ended.

        A second call fails the jobs that are still in progress.
        """
        if self.kernel.is_draining:
            log_events.log_event(
                log_events.LogEvent.STOP_FORCED, jobs=len(self.kernel.dispatcher.jobs_by_id)
            )
            self.runner.handle(events.DrainRequested(forced=True))
            return
        log_events.log_event(
            log_events.LogEvent.DRAIN_STARTED, jobs=len(self.kernel.dispatcher.jobs_by_id)
        )
        signals.node_draining.send(self)
        self.runner.handle(events.DrainRequested())

    def status(self) -> statuses.NodeStatus:
        """Return the node's view of the system."""
        return statuses.make_status(self.kernel, self.runner.clock.now())

    def _register_performers(self) -> None:
        self.runner.set_performer(actions.AnswerJob, self.request_handler.wake_answer_waiters)
        self.runner.set_performer(actions.NoteStopped, self.request_handler.wake_stop_waiters)
        self.runner.set_performer(actions.NoteChange, _log_change)
        self.runner.set_performer(actions.NoteRestored, _log_restored_configuration)
        self.runner.set_performer(actions.ContinueLoading, self._continue_loading)
        self.runner.set_performer(actions.Exit, lambda action: self._exit_requested.set())

    def _continue_loading(self, _action: actions.ContinueLoading) -> None:
        """Schedule the next loading step after the other callbacks that are due."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self.runner.handle_and_log_errors, events.LoadingContinued())

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.drain)
        self.runner.start()
        self.metrics.start()
        for adapter in self._adapters_by_kind.values():
            await adapter.open()
        self.kernel.heartbeats.endpoint = self._endpoint()
        self._announce_listening()
        signals.node_listening.send(self)

    async def _close(self) -> None:
        await self._adapters_by_kind[plugins.AdapterKind.CALLERS].close()
        for kind in (
            plugins.AdapterKind.PEERS,
            plugins.AdapterKind.LOG,
            plugins.AdapterKind.VMS,
            plugins.AdapterKind.TARGETS,
        ):
            await self._adapters_by_kind[kind].close()
        self.metrics.stop()
        self.runner.stop()
        signals.node_stopped.send(self)
        log_events.log_event(log_events.LogEvent.NODE_STOPPED)

    def _endpoint(self) -> peers.Endpoint:
        return peers.Endpoint(
            domain=identifiers.DomainName(self.settings.node.domain),
            address=self.settings.node.address,
            port=self._adapters_by_kind[plugins.AdapterKind.CALLERS].port,
            peer_port=self._adapters_by_kind[plugins.AdapterKind.PEERS].port,
        )

    def _announce_listening(self) -> None:
        endpoint = self._endpoint()
        fields = {
            "name": self.settings.node.name,
            "address": endpoint.address,
            "port": endpoint.port,
            "peer_port": endpoint.peer_port,
            "incarnation": self.kernel.settings.incarnation,
        }
        print(json.dumps({"event": "listening", **fields}), file=sys.stdout, flush=True)
        log_events.log_event(log_events.LogEvent.NODE_LISTENING, **fields)


def _kernel_settings(node_settings: settings.Settings) -> kernel_parts.KernelSettings:
    return kernel_parts.KernelSettings(
        node=identifiers.NodeName(node_settings.node.name),
        domain=identifiers.DomainName(node_settings.node.domain),
        incarnation=identifiers.Incarnation(_new_incarnation()),
        secret=secrets.token_bytes(_SECRET_BYTES),
        policy=node_settings.placement.policy,
        snapshots=_snapshot_settings(node_settings.snapshots),
        catch_up=_catch_up_settings(node_settings),
        heartbeat=heartbeats.HeartbeatSettings(
            interval=datetime.timedelta(milliseconds=node_settings.membership.heartbeat_ms),
            bytes_per_second=node_settings.membership.bytes_per_second,
            suspect_intervals=node_settings.membership.suspect_heartbeats,
            dead_intervals=node_settings.membership.dead_heartbeats,
        ),
        linger=datetime.timedelta(milliseconds=node_settings.node.drain_linger_ms),
        probe_limits=outcome_queries.QueryDelayLimits(
            min_delay=datetime.timedelta(milliseconds=node_settings.targets.probe_min_ms),
            max_delay=datetime.timedelta(milliseconds=node_settings.targets.probe_max_ms),
        ),
        answer_budget_bytes=node_settings.answers.keep_mb * _MEGABYTE,
    )


def _snapshot_settings(
    section: settings.SnapshotsSection,
) -> snapshot_schedules.SnapshotSettings:
    return snapshot_schedules.SnapshotSettings(
        max_records=section.records,
        max_age=datetime.timedelta(milliseconds=section.max_age_ms),
        min_interval=datetime.timedelta(milliseconds=section.min_interval_ms),
        delay_per_node=datetime.timedelta(milliseconds=section.delay_ms_per_node),
    )


def _catch_up_settings(node_settings: settings.Settings) -> catch_ups.CatchUpSettings:
    # An idle read lasts for the whole poll wait; only a longer silence is an outage.
    idle_read = datetime.timedelta(milliseconds=node_settings.platform.poll_wait_ms)
    seeds = settings.parse_seeds(node_settings.node.seeds)
    return catch_ups.CatchUpSettings(
        log_silence_limit=idle_read + _POLL_OUTAGE_MARGIN,
        seeds=tuple(catch_ups.make_seed_vm(address, port) for address, port in seeds),
    )


def _new_incarnation() -> str:
    """Return a new incarnation, which sorts after all earlier ones of the same VM."""
    return f"{time.time_ns() // 1_000_000:012x}{secrets.token_hex(_INCARNATION_BYTES)}"


def _log_change(action: actions.NoteChange) -> None:
    result = action.result
    signals.change_noted.send(result=result)
    event = _LOG_EVENTS_BY_VERDICT.get(result.verdict, log_events.LogEvent.CHANGE_REJECTED)
    log_events.log_event(event, **msgspec.to_builtins(result))


def _log_restored_configuration(action: actions.NoteRestored) -> None:
    event = log_events.LogEvent.CONFIGURATION_FROM_SNAPSHOT
    if action.is_from_peer:
        event = log_events.LogEvent.CONFIGURATION_FROM_PEER
    log_events.log_event(event, offset=action.offset)

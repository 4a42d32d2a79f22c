"""The node: kernel, shell and adapters put together, from start to drained exit."""

import asyncio
import datetime
import json
import random
import secrets
import signal
import sys

import msgspec

from chiveridge_kernel import (
    actions,
    catch_ups,
    events,
    identifiers,
    kernels,
    records,
    snapshot_schedules,
)
from chiveridge_node import clocks, logevents, plugins, requests, settings, shells, signals

_INCARNATION_BYTES = 8
_SECRET_BYTES = 32
_OUTAGE_MARGIN = datetime.timedelta(seconds=5)
_LOG_EVENTS_BY_VERDICT = {records.Verdict.ACCEPTED: logevents.LogEvent.CHANGE_ACCEPTED}


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A node's view of the system, for operators.

    Staleness is the time since the platform's log or list of VMs was last read, None when it
    never was; ``config_is_complete`` is false while records have expired before they were
    read and no snapshot of them was found.
    """

    name: str
    domain: str
    incarnation: str
    ready: bool
    draining: bool
    config_offset: int
    config_staleness_s: float | None
    config_is_complete: bool
    vms_staleness_s: float | None
    targets: list[str]
    nodes: list[str]
    jobs_in_progress: int
    starts_in_progress: int


class Node:
    """One node process."""

    def __init__(self, node_settings: settings.Settings):
        self.settings = node_settings
        self.rng = random.Random(secrets.randbits(64))
        self.kernel = kernels.Kernel(_kernel_settings(node_settings), self.rng)
        self.shell = shells.Shell(self.kernel, clocks.SystemClock())
        self.requests = requests.Requests(self.shell)
        self._stopped = asyncio.Event()
        self._adapters_by_kind = {
            kind: plugins.create(kind, getattr(node_settings.plugins, kind.value), self)
            for kind in plugins.Kind
        }

    async def run(self) -> None:
        """Serve until a stop was requested and the drain is done."""
        self._perform_actions()
        await self._open()
        await self._stopped.wait()
        await self._close()

    def drain(self) -> None:
        """Refuse new work and exit once everything in progress has ended."""
        if self.kernel.draining:
            return
        logevents.write(
            logevents.LogEvent.DRAIN_STARTED, jobs=len(self.kernel.dispatcher.jobs_by_id)
        )
        signals.node_draining.send(self)
        self.shell.handle(events.DrainRequested())

    def status(self) -> NodeStatus:
        """Return the node's view of the system."""
        dispatcher = self.kernel.dispatcher
        catch_up = self.kernel.catch_up
        now = self.shell.clock.now()
        return NodeStatus(
            name=self.settings.node.name,
            domain=self.settings.node.domain,
            incarnation=self.kernel.settings.incarnation,
            ready=self.kernel.is_ready(),
            draining=self.kernel.draining,
            config_offset=self.kernel.configuration.offset,
            config_staleness_s=catch_ups.staleness_s(catch_up.log_read_at, now),
            config_is_complete=not self.kernel.follower.is_scanning,
            vms_staleness_s=catch_ups.staleness_s(catch_up.vms_read_at, now),
            targets=sorted(self.kernel.target_table.vms_by_name),
            nodes=sorted(self.kernel.members.vms_by_name),
            jobs_in_progress=len(dispatcher.jobs_by_id),
            starts_in_progress=sum(dispatcher.in_flight_by_target.values()),
        )

    def _perform_actions(self) -> None:
        self.shell.perform_with(actions.AnswerJob, self.requests.answered)
        self.shell.perform_with(actions.NoteChange, _note_change)
        self.shell.perform_with(actions.Exit, lambda action: self._stopped.set())

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.drain)
        self.shell.start()
        for adapter in self._adapters_by_kind.values():
            await adapter.open()
        self._announce()
        signals.node_listening.send(self)

    async def _close(self) -> None:
        await self._adapters_by_kind[plugins.Kind.CALLERS].close()
        for kind in (plugins.Kind.PEERS, plugins.Kind.LOG, plugins.Kind.VMS, plugins.Kind.TARGETS):
            await self._adapters_by_kind[kind].close()
        self.shell.stop()
        signals.node_stopped.send(self)
        logevents.write(logevents.LogEvent.NODE_STOPPED)

    def _announce(self) -> None:
        fields = {
            "name": self.settings.node.name,
            "address": self.settings.node.address,
            "port": self._adapters_by_kind[plugins.Kind.CALLERS].port,
            "peer_port": self._adapters_by_kind[plugins.Kind.PEERS].port,
            "incarnation": self.kernel.settings.incarnation,
        }
        print(json.dumps({"event": "listening", **fields}), file=sys.stdout, flush=True)
        logevents.write(logevents.LogEvent.NODE_LISTENING, **fields)


def _kernel_settings(node_settings: settings.Settings) -> kernels.KernelSettings:
    return kernels.KernelSettings(
        node=identifiers.NodeName(node_settings.node.name),
        domain=identifiers.DomainName(node_settings.node.domain),
        incarnation=identifiers.Incarnation(secrets.token_hex(_INCARNATION_BYTES)),
        secret=secrets.token_bytes(_SECRET_BYTES),
        policy=node_settings.placement.policy,
        snapshots=_snapshot_settings(node_settings.snapshots),
        catch_up=_catch_up_settings(node_settings),
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
    # An idle read lasts as long as it may wait; only a longer silence is an outage.
    idle_read = datetime.timedelta(milliseconds=node_settings.platform.poll_wait_ms)
    seeds = settings.parse_seeds(node_settings.node.seeds)
    return catch_ups.CatchUpSettings(
        silence=idle_read + _OUTAGE_MARGIN,
        seeds=tuple(catch_ups.seed_of(address, port) for address, port in seeds),
    )


def _note_change(action: actions.NoteChange) -> None:
    result = action.result
    signals.change_noted.send(result=result)
    event = _LOG_EVENTS_BY_VERDICT.get(result.verdict, logevents.LogEvent.CHANGE_REJECTED)
    logevents.write(event, **msgspec.to_builtins(result))

"""The node: kernel, shell and adapters put together, from start to drained exit."""

import asyncio
import json
import random
import secrets
import signal
import sys

import msgspec

from chiveridge_kernel import actions, events, identifiers, kernels, records
from chiveridge_node import (
    clocks,
    logevents,
    measures,
    plugins,
    requests,
    settings,
    shells,
    signals,
)

_INCARNATION_BYTES = 8
_SECRET_BYTES = 32
_LOG_EVENTS_BY_VERDICT = {records.Verdict.ACCEPTED: logevents.LogEvent.CHANGE_ACCEPTED}


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A node's view of the system, for operators."""

    name: str
    domain: str
    incarnation: str
    ready: bool
    draining: bool
    config_offset: int
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
        self.measures = measures.Measures(self.shell)
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
        return NodeStatus(
            name=self.settings.node.name,
            domain=self.settings.node.domain,
            incarnation=self.kernel.settings.incarnation,
            ready=self.kernel.is_ready(),
            draining=self.kernel.draining,
            config_offset=self.kernel.configuration.offset,
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
        self.measures.start()
        for adapter in self._adapters_by_kind.values():
            await adapter.open()
        self._announce()
        signals.node_listening.send(self)

    async def _close(self) -> None:
        await self._adapters_by_kind[plugins.Kind.CALLERS].close()
        for kind in (plugins.Kind.PEERS, plugins.Kind.LOG, plugins.Kind.VMS, plugins.Kind.TARGETS):
            await self._adapters_by_kind[kind].close()
        self.measures.stop()
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
    )


def _note_change(action: actions.NoteChange) -> None:
    result = action.result
    signals.change_noted.send(result=result)
    event = _LOG_EVENTS_BY_VERDICT.get(result.verdict, logevents.LogEvent.CHANGE_REJECTED)
    logevents.write(event, **msgspec.to_builtins(result))

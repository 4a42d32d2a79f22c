"""Performs the steps of a fault schedule on a fleet."""

import asyncio
import collections
import time
from collections.abc import Awaitable, Callable, Iterator

import msgspec

from chiveridge_load import fault_schedules
from chiveridge_standins import fleets, vms

DROPPED_REPLIES = 3
DRAIN_TIMEOUT_S = 40
_Fault = fault_schedules.Fault


class FaultPeriod(msgspec.Struct, frozen=True):
    """The period in which a fault was active, in milliseconds since the Unix epoch."""

    fault: fault_schedules.Fault
    name: str
    from_ms: int
    until_ms: int


class Drain(msgspec.Struct, frozen=True):
    """A drain of a node: its exit code and the last lines of its stderr."""

    name: str
    exit_code: int
    log_tail: str


class Injector:
    """Injects faults until stopped, and then ends the active ones."""

    def __init__(self, fleet: fleets.Fleet):
        self.fleet = fleet
        self.periods: list[FaultPeriod] = []
        self.counts_by_fault: collections.Counter[_Fault] = collections.Counter()
        self.drains: list[Drain] = []
        self._stop_requested = asyncio.Event()
        self._step_tasks: set[asyncio.Task[None]] = set()
        self._faulted_names: set[str] = set()

    async def run(self, steps: Iterator[fault_schedules.Step]) -> None:
        """Perform steps at their times until :meth:`stop`; errors of a step propagate."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for step in steps:
            await self._pause(started_at + step.at_ms / 1000 - loop.time())
            if self._stop_requested.is_set():
                break
            # A drain may take longer than scheduled; skip other faults of its node meanwhile.
            if step.name not in self._faulted_names:
                self._faulted_names.add(step.name)
                self._step_tasks.add(loop.create_task(self._perform(step)))
        await asyncio.gather(*self._step_tasks)

    def stop(self) -> None:
        """Begin no more faults and end the active ones."""
        self._stop_requested.set()

    async def _perform(self, step: fault_schedules.Step) -> None:
        begin, end = _INJECTIONS_BY_FAULT[step.fault]
        from_ms = _now_ms()
        await begin(self, step.name)
        self.counts_by_fault[step.fault] += 1
        await self._pause(step.duration_ms / 1000)
        until_ms = _now_ms()
        await end(self, step.name)
        self.periods.append(FaultPeriod(step.fault, step.name, from_ms, until_ms))
        self._faulted_names.discard(step.name)

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(max(seconds, 0)):
                await self._stop_requested.wait()
        except TimeoutError:
            return

    async def _kill(self, name: str) -> None:
        await self.fleet.kill(name)

    async def _start_node(self, name: str) -> None:
        await self.fleet.start_node(name)

    async def _start_target(self, name: str) -> None:
        await self.fleet.restart_target(name)

    async def _freeze(self, name: str) -> None:
        self.fleet.pause(name)

    async def _thaw(self, name: str) -> None:
        self.fleet.resume(name)

    async def _terminate(self, name: str) -> None:
        terminating = asyncio.create_task(self.fleet.terminate(name))
        done, _ = await asyncio.wait({terminating}, timeout=DRAIN_TIMEOUT_S)
        if not done:
            await self.fleet.kill(name)
        drain = Drain(name, await terminating, self.fleet.stderr_tail(name))
        self.drains.append(drain)

    async def _cut(self, name: str) -> None:
        self.fleet.proxies_by_name[name].disconnect()

    async def _heal(self, name: str) -> None:
        await self.fleet.proxies_by_name[name].reconnect()

    async def _stall(self, name: str) -> None:
        self.fleet.proxies_by_name[name].hold_traffic()

    async def _unstall(self, name: str) -> None:
        self.fleet.proxies_by_name[name].release_traffic()

    async def _silence(self, name: str) -> None:
        self.fleet.proxies_by_name[name].blackhole()

    async def _drop_start_replies(self, name: str) -> None:
        self.fleet.proxies_by_name[name].drop_next_replies(DROPPED_REPLIES)

    async def _keep_start_replies(self, name: str) -> None:
        self.fleet.proxies_by_name[name].drop_next_replies(0)

    async def _announce_leaving(self, name: str) -> None:
        await self.fleet.targets_by_name[name].set_faults(leaving=True)

    async def _withdraw_leaving(self, name: str) -> None:
        await self.fleet.targets_by_name[name].set_faults(leaving=False)

    async def _list_as_leaving(self, name: str) -> None:
        vm = self.fleet.targets_by_name[name].vm
        await self.fleet.put_vm(msgspec.structs.replace(vm, state=vms.VmState.LEAVING))

    async def _list_as_live(self, name: str) -> None:
        await self.fleet.put_vm(self.fleet.targets_by_name[name].vm)

    async def _log_down(self, name: str) -> None:
        await self.fleet.set_log_faults(down=True)

    async def _log_up(self, name: str) -> None:
        await self.fleet.set_log_faults(down=False)

    async def _drop_append_replies(self, name: str) -> None:
        await self.fleet.set_log_faults(drop_append_replies=DROPPED_REPLIES)

    async def _keep_append_replies(self, name: str) -> None:
        await self.fleet.set_log_faults(drop_append_replies=0)

    async def _do_nothing(self, name: str) -> None:
        return


_Action = Callable[[Injector, str], Awaitable[None]]

_INJECTIONS_BY_FAULT: dict[_Fault, tuple[_Action, _Action]] = {
    _Fault.KILL_NODE: (Injector._kill, Injector._start_node),
    _Fault.FREEZE_NODE: (Injector._freeze, Injector._thaw),
    _Fault.TERMINATE_NODE: (Injector._terminate, Injector._start_node),
    _Fault.CUT_PEER: (Injector._cut, Injector._heal),
    _Fault.SILENCE_PEER: (Injector._silence, Injector._do_nothing),
    _Fault.KILL_TARGET: (Injector._kill, Injector._start_target),
    _Fault.FREEZE_TARGET: (Injector._freeze, Injector._thaw),
    _Fault.CUT_TARGET: (Injector._cut, Injector._heal),
    _Fault.STALL_TARGET: (Injector._stall, Injector._unstall),
    _Fault.SILENCE_TARGET: (Injector._silence, Injector._do_nothing),
    _Fault.DROP_START_REPLIES: (Injector._drop_start_replies, Injector._keep_start_replies),
    _Fault.SAY_LEAVING: (Injector._announce_leaving, Injector._withdraw_leaving),
    _Fault.LIST_LEAVING: (Injector._list_as_leaving, Injector._list_as_live),
    _Fault.CUT_PLATFORM: (Injector._cut, Injector._heal),
    _Fault.STALL_PLATFORM: (Injector._stall, Injector._unstall),
    _Fault.LOG_DOWN: (Injector._log_down, Injector._log_up),
    _Fault.DROP_APPEND_REPLIES: (Injector._drop_append_replies, Injector._keep_append_replies),
}


def _now_ms() -> int:
    return time.time_ns() // 1_000_000

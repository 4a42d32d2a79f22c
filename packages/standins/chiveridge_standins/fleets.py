"""Starts the platform, targets and nodes as real processes for demos, tests and benchmarks."""

import asyncio
import pathlib
import signal
import tempfile
from collections.abc import Coroutine
from typing import Self

import aiohttp
import msgspec

from chiveridge_standins import (
    fault_proxies,
    fleet_members,
    fleet_plans,
    logs,
    node_configs,
    processes,
    servers,
    start_journals,
    targets,
    vms,
)

PLATFORM = "platform"
TARGETS_PER_RACK = 8
STOP_GRACE_S = 10
POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 10


class FleetError(Exception):
    """The fleet did not become ready, or a given name is unknown."""


class Fleet:
    """Runs the processes of a plan; an asynchronous context manager.

    ``exit_codes_by_name`` is complete after the context has exited.
    """

    def __init__(self, plan: fleet_plans.FleetPlan):
        self.plan = plan
        self.nodes_by_name: dict[str, fleet_members.RunningNode] = {}
        self.targets_by_name: dict[str, fleet_members.RunningTarget] = {}
        self.proxies_by_name: dict[str, fault_proxies.FaultProxy] = {}
        self.exit_codes_by_name: dict[str, int | None] = {}
        self.platform_url = ""
        self._platform_url_for_nodes = ""
        self._processes_by_name: dict[str, processes.Process] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="chiveridge-")
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            await self._start_all()
        except BaseException:
            await processes.run_to_completion(self._stop_all())
            raise
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await processes.run_to_completion(self._stop_all())

    def node_urls(self) -> list[str]:
        """Return the base URLs at which the nodes serve callers."""
        return [node.url for node in self.nodes_by_name.values()]

    async def append_config_record(self, record: dict) -> int:
        """Append a record to the configuration stream and return its offset."""
        url = f"{self.platform_url}/v1/streams/{node_configs.CONFIG_STREAM}/records"
        content = await fleet_members.send_request(self._session, "POST", url, record)
        return msgspec.json.decode(content, type=logs.AppendReply).offset

    async def set_log_faults(self, **changes: object) -> None:
        """Change fields of :class:`chiveridge_standins.logs.LogFaults`."""
        await fleet_members.send_request(
            self._session, "POST", f"{self.platform_url}/log/control", changes
        )

    async def set_vm_list_faults(self, **changes: object) -> None:
        """Change fields of :class:`chiveridge_standins.vms.VmFaults`."""
        await fleet_members.send_request(
            self._session, "POST", f"{self.platform_url}/vms/control", changes
        )

    async def put_vm(self, vm: vms.Vm) -> None:
        """Add or replace a VM in the platform's list."""
        await fleet_members.send_request(
            self._session, "PUT", f"{self.platform_url}/v1/vms/{vm.name}", vm
        )

    async def delete_vm(self, name: str) -> None:
        """Remove a VM from the platform's list."""
        await fleet_members.send_request(
            self._session, "DELETE", f"{self.platform_url}/v1/vms/{name}"
        )

    async def kill(self, name: str) -> None:
        """End the process of a node, a target or the platform with SIGKILL.

        All targets that share the process end with it. The VMs stay in the platform's list.
        """
        process = self._process(name)
        process.signal(signal.SIGKILL)
        await process.wait()

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self._process(name).signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process with SIGCONT."""
        self._process(name).signal(signal.SIGCONT)

    async def terminate(self, name: str) -> int:
        """Send SIGTERM, wait without a timeout for the exit and return the exit code."""
        process = self._process(name)
        process.signal(signal.SIGTERM)
        return await process.wait()

    async def start_node(self, name: str) -> fleet_members.RunningNode:
        """Start or restart a node on new ports and put its VM into the platform's list."""
        domain = self._domain_of_node(name)
        await self._stop_process(name)
        process = self._new_process(name)
        config = self._write_config(name, domain)
        module, arguments = node_configs.node_command(name, config, self.plan.profiles)
        announcement = await process.start(module, arguments, fleet_members.NodeListening)
        node = fleet_members.RunningNode(name, domain, announcement)
        self.nodes_by_name[name] = node
        await self.put_vm(await self._node_vm(node))
        return node

    async def restart_target(self, name: str) -> None:
        """Restart the process of a target on new ports and update the platform's list of VMs."""
        target = self.targets_by_name[name]
        candidates = self.targets_by_name.items()
        names = [
            candidate_name
            for candidate_name, candidate in candidates
            if candidate.process_name == target.process_name
        ]
        await self._stop_process(target.process_name)
        await self._start_target_process(target.vm.domain, names)

    def journaled_starts(self) -> list[start_journals.Start]:
        """Return the journaled starts of all targets, including those of ended processes."""
        return start_journals.read_starts(pathlib.Path(self._directory.name))

    async def wait_ready(self, timeout_s: float = 30) -> None:
        """Wait until every running node is ready.

        :raises FleetError: when a node exits or is not ready in time; the message has the end of
            its standard error.
        """
        running_nodes = [
            node
            for name, node in self.nodes_by_name.items()
            if self._processes_by_name[name].exit_code is None
        ]
        await asyncio.gather(*(self._wait_node_ready(node, timeout_s) for node in running_nodes))

    def pid(self, name: str) -> int:
        """Return the process id of a node, a target or the platform."""
        return self._process(name).pid

    def stderr_tail(self, name: str) -> str:
        """Return the last part of a process's standard error."""
        return self._process(name).stderr_tail()

    async def _start_all(self) -> None:
        await self._start_platform()
        await _await_all([self._start_targets(domain) for domain in self.plan.domains])
        names = [name for domain in self.plan.domains for name in self._node_names(domain)]
        await _await_all([self.start_node(name) for name in names])

    async def _start_platform(self) -> None:
        process = self._new_process(PLATFORM)
        module = "chiveridge_standins.platforms"
        announcement = await process.start(module, [], servers.Listening)
        self.platform_url = fleet_members.loopback_url(announcement.port)
        self._platform_url_for_nodes = fleet_members.loopback_url(
            await self._advertised_port(PLATFORM, announcement.port)
        )

    async def _start_targets(self, domain: str) -> None:
        names = [
            f"{domain}-t{number + 1}" for number in range(self.plan.domains[domain].target_count)
        ]
        group_size = self.plan.targets_per_process
        groups = [names[start : start + group_size] for start in range(0, len(names), group_size)]
        await _await_all([self._start_target_process(domain, group) for group in groups])

    async def _start_target_process(self, domain: str, names: list[str]) -> None:
        process_name = f"{names[0]}-process"
        process = self._new_process(process_name)
        arguments = [f"--names={','.join(names)}", f"--slots={self.plan.slots}"]
        if self.plan.journaled:
            arguments.append(f"--journal_directory={self._directory.name}")
        module = "chiveridge_standins.targets"
        announcement = await process.start(module, arguments, targets.TargetsListening)
        for name in names:
            vm = await self._target_vm(domain, name, announcement.targets[name])
            control_url = fleet_members.loopback_url(announcement.controls[name])
            self.targets_by_name[name] = fleet_members.RunningTarget(
                self._session, vm, process_name, control_url
            )
            await self.put_vm(vm)

    async def _target_vm(self, domain: str, name: str, port: int) -> vms.Vm:
        number = int(name.rpartition("-t")[2])
        return vms.Vm(
            name=name,
            role=vms.VmRole.TARGET,
            domain=domain,
            address=servers.LOOPBACK,
            port=await self._advertised_port(name, port),
            rack=f"{domain}-r{(number - 1) // TARGETS_PER_RACK + 1}",
            slots=self.plan.slots,
            memory_mb=self.plan.memory_mb,
            cores=self.plan.cores,
        )

    async def _node_vm(self, node: fleet_members.RunningNode) -> vms.Vm:
        return vms.Vm(
            name=node.name,
            role=vms.VmRole.ENTRY,
            domain=node.domain,
            address=node.listening.address,
            port=node.listening.port,
            peer_port=await self._advertised_port(node.name, node.listening.peer_port),
        )

    async def _advertised_port(self, name: str, port: int) -> int:
        """Return the port for clients; start a proxy for it if the plan has one for ``name``."""
        if name not in self.plan.proxied_names:
            return port
        previous = self.proxies_by_name.pop(name, None)
        if previous is not None:
            await previous.close()
        proxy = fault_proxies.FaultProxy(servers.LOOPBACK, port)
        self.proxies_by_name[name] = proxy
        await proxy.start()
        return proxy.port

    async def _wait_node_ready(self, node: fleet_members.RunningNode, timeout_s: float) -> None:
        process = self._processes_by_name[node.name]
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._is_ready(node):
                    if process.exit_code is not None:
                        raise FleetError(
                            f"{node.name} exited before it was ready: {process.stderr_tail()}"
                        )
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError as error:
            message = f"{node.name} is not ready after {timeout_s} s: {process.stderr_tail()}"
            raise FleetError(message) from error

    async def _is_ready(self, node: fleet_members.RunningNode) -> bool:
        try:
            async with self._session.get(f"{node.url}/readyz") as reply:
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _node_names(self, domain: str) -> list[str]:
        return [f"{domain}-e{number + 1}" for number in range(self.plan.domains[domain].node_count)]

    def _domain_of_node(self, name: str) -> str:
        for domain in self.plan.domains:
            if name in self._node_names(domain):
                return domain
        raise FleetError(f"the plan has no node {name}")

    def _write_config(self, name: str, domain: str) -> pathlib.Path:
        config = node_configs.node_config(
            name, domain, self._platform_url_for_nodes, self.plan.settings
        )
        path = pathlib.Path(self._directory.name, f"{name}.ini")
        with path.open("w") as file:
            config.write(file)
        return path

    def _new_process(self, name: str) -> processes.Process:
        path = pathlib.Path(self._directory.name, f"{name}.stderr")
        process = processes.Process(name, path)
        self._processes_by_name[name] = process
        return process

    def _process(self, name: str) -> processes.Process:
        target = self.targets_by_name.get(name)
        process_name = name if target is None else target.process_name
        if process_name not in self._processes_by_name:
            raise FleetError(f"the fleet has no process {name}")
        return self._processes_by_name[process_name]

    async def _stop_process(self, name: str) -> None:
        process = self._processes_by_name.get(name)
        if process is not None:
            self.exit_codes_by_name[name] = await process.stop(STOP_GRACE_S)

    async def _stop_all(self) -> None:
        other_names = [name for name in self._processes_by_name if name not in self.nodes_by_name]
        await asyncio.gather(*(self._stop_process(name) for name in self.nodes_by_name))
        await asyncio.gather(*(self._stop_process(name) for name in other_names))
        for proxy in self.proxies_by_name.values():
            await proxy.close()
        await self._session.close()
        self._directory.cleanup()


async def _await_all(coroutines: list[Coroutine]) -> None:
    """Wait until all coroutines have finished, then raise the first failure, if any."""
    for result in await asyncio.gather(*coroutines, return_exceptions=True):
        if isinstance(result, BaseException):
            raise result

"""Saturates one node through real sockets and measures the cost of a task to it."""

import asyncio
import datetime
import time

import msgspec

from chiveridge_client import clients
from chiveridge_kernel import messages
from chiveridge_load import deployments, process_usages
from chiveridge_standins import fleet_plans, fleets, task_counts

DOMAIN = "ikeja"
NODE = f"{DOMAIN}-e1"
TEAM = deployments.TeamPlan(name="dispatch-desk", secret="cost-secret-of-no-value")

TARGETS = 24
TARGETS_PER_PROCESS = 4
SLOTS = 64
TASKS_IN_PROGRESS = 256
"""Number of tasks that the callers together keep in progress at the node to saturate it."""

MIN_CALLERS = 2
IDS_PER_REQUEST = 200
WARMUP = datetime.timedelta(seconds=1)

MEMORY_TASKS = 10_000
MEMORY_SLOTS = 500
MEMORY_RUN_MS = 30_000
MEMORY_DEADLINE = datetime.timedelta(seconds=90)
MEMORY_TIMEOUT_S = 30
POLL_S = 0.1


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of a task to a saturated node; ``starts_per_core`` is per second of its CPU time."""

    job_size: int
    tasks: int
    starts_per_second: float
    starts_per_core: float
    us_per_task: float
    memory_mb: float


class Memory(msgspec.Struct, frozen=True, kw_only=True):
    """Resident memory of a node, idle and with tasks in progress."""

    tasks: int
    idle_mb: float
    memory_mb: float
    bytes_per_task: float


def plan(policy: str, profiles: str = "") -> fleet_plans.FleetPlan:
    """Return a fleet of one node whose targets are never the bottleneck."""
    return fleet_plans.FleetPlan(
        domains={DOMAIN: fleet_plans.DomainPlan(node_count=1, target_count=TARGETS)},
        slots=SLOTS,
        targets_per_process=TARGETS_PER_PROCESS,
        settings={
            "placement": {"policy": policy},
            "targets": _connection_settings(SLOTS),
        },
        profiles=profiles,
    )


def _connection_settings(count: int) -> dict[str, str]:
    """Return the settings with which a node keeps a number of connections per target."""
    return {
        "connections_per_target": str(count),
        "kept_connections_per_target": str(count),
    }


async def saturate(fleet: fleets.Fleet, job_size: int, duration: datetime.timedelta) -> Cost:
    """Submit jobs of zero-length tasks back to back and measure the node after a warm-up."""
    caller_count = max(TASKS_IN_PROGRESS // job_size, MIN_CALLERS)
    state = _CallerState()
    urls = fleet.node_urls()
    pid = fleet.pid(NODE)
    async with clients.Client(urls, TEAM.credential, id_batch_size=IDS_PER_REQUEST) as client:
        caller_tasks = [
            asyncio.create_task(_submit_until_stopped(client, job_size, state))
            for _ in range(caller_count)
        ]
        await asyncio.sleep(WARMUP.total_seconds())
        tasks, cpu_s, started_at = state.tasks, process_usages.cpu_s(pid), time.monotonic()
        await asyncio.sleep(duration.total_seconds())
        tasks, cpu_s = state.tasks - tasks, process_usages.cpu_s(pid) - cpu_s
        elapsed_s = time.monotonic() - started_at
        memory_mb = process_usages.memory_mb(pid)
        state.stopped = True
        await asyncio.gather(*caller_tasks)
    return Cost(
        job_size=job_size,
        tasks=tasks,
        starts_per_second=tasks / elapsed_s,
        starts_per_core=tasks / cpu_s,
        us_per_task=cpu_s / tasks * 1e6,
        memory_mb=memory_mb,
    )


async def measure_memory(policy: str) -> Memory:
    """Measure the memory of a node with :data:`MEMORY_TASKS` tasks running on targets."""
    changes = {"slots": MEMORY_SLOTS, "targets_per_process": 1}
    fleet_plan = msgspec.structs.replace(plan(policy), **changes)
    fleet_plan.settings["targets"] = _connection_settings(MEMORY_SLOTS)
    async with deployments.ready_fleet(fleet_plan, [TEAM]) as fleet:
        for target in fleet.targets_by_name.values():
            await target.set_faults(max_connections=MEMORY_SLOTS)
        idle_mb = process_usages.memory_mb(fleet.pid(NODE))
        return await _start_and_measure(fleet, idle_mb)


async def _start_and_measure(fleet: fleets.Fleet, idle_mb: float) -> Memory:
    """Start the jobs in turn and measure the node while all their tasks run.

    A node cannot start all the tasks at once.
    """
    started_tasks = 0
    jobs = []
    async with clients.Client(fleet.node_urls(), TEAM.credential) as client:
        for size in _job_sizes(MEMORY_TASKS):
            tasks = _make_tasks(size, MEMORY_RUN_MS)
            jobs.append(asyncio.create_task(client.submit(tasks, deadline=MEMORY_DEADLINE)))
            started_tasks += size
            await _wait_for_starts(fleet, started_tasks)
        memory_mb = process_usages.memory_mb(fleet.pid(NODE))
        running_tasks = await _running_tasks(fleet)
        await asyncio.gather(*jobs)
    extra_bytes = (memory_mb - idle_mb) * 1024 * 1024
    return Memory(
        tasks=running_tasks,
        idle_mb=idle_mb,
        memory_mb=memory_mb,
        bytes_per_task=extra_bytes / running_tasks,
    )


async def _wait_for_starts(fleet: fleets.Fleet, count: int) -> None:
    """Wait until the targets have started a number of tasks."""
    async with asyncio.timeout(MEMORY_TIMEOUT_S):
        while sum(target_counts.total_starts for target_counts in await _counts(fleet)) < count:
            await asyncio.sleep(POLL_S)


async def _running_tasks(fleet: fleets.Fleet) -> int:
    return sum(
        target_counts.total_starts
        - sum(target_counts.ends.values())
        - sum(target_counts.stops.values())
        for target_counts in await _counts(fleet)
    )


async def _counts(fleet: fleets.Fleet) -> list[task_counts.Counts]:
    return await asyncio.gather(*(target.counts() for target in fleet.targets_by_name.values()))


def _job_sizes(tasks: int) -> list[int]:
    """Split a number of tasks into jobs of the maximum size and one of the remainder."""
    full_jobs, remaining_tasks = divmod(tasks, messages.MAX_TASKS_PER_JOB)
    return [messages.MAX_TASKS_PER_JOB] * full_jobs + ([remaining_tasks] if remaining_tasks else [])


class _CallerState:
    def __init__(self) -> None:
        self.tasks = 0
        self.stopped = False


async def _submit_until_stopped(client: clients.Client, job_size: int, state: _CallerState) -> None:
    tasks = _make_tasks(job_size, run_ms=0)
    while not state.stopped:
        answer = await client.submit(tasks)
        state.tasks += len(answer.tasks)


def _make_tasks(count: int, run_ms: int) -> list[messages.TaskSpec]:
    body = msgspec.Raw(msgspec.json.encode({"run_ms": run_ms}))
    return [messages.TaskSpec(body=body)] * count

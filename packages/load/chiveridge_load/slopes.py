"""Times the decisions for one task at growing numbers of nodes, targets, teams, rules and jobs."""

import time

import msgspec

from chiveridge_load import meshes

TASKS = 2000
REPEATS = 3
WARMUP_TASKS_PER_CACHE = 5
SIZES_BY_AXIS: dict[str, tuple[int, ...]] = {
    "nodes": (3, 9, 27),
    "targets": (24, 240, 2400),
    "teams": (2, 20, 160),
    "rules": (1, 30, 300),
    "jobs": (10, 100, 1000, 5000),
}


class Times(msgspec.Struct, frozen=True):
    """CPU time of all kernels for one task, and of one kernel for one tick."""

    us_per_task: float
    us_per_tick: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Times at each size of one axis; ``growth`` is the last time per task over the first.

    A growth of 1 means that the time per task does not depend on the size.
    """

    axis: str
    policy: str
    sizes: list[int]
    us_per_task: list[float]
    us_per_tick: list[float]
    growth: float


def measure(axis: str, policy: str, seed: int, tasks: int = TASKS) -> Slope:
    """Measure the times along one axis; the others keep their sizes in :class:`meshes.MeshPlan`."""
    sizes = SIZES_BY_AXIS[axis]
    plan = meshes.MeshPlan(policy=policy)
    plans = [msgspec.structs.replace(plan, **{axis: size}) for size in sizes]
    all_times = [_best_times(sized_plan, seed, tasks) for sized_plan in plans]
    return Slope(
        axis=axis,
        policy=policy,
        sizes=list(sizes),
        us_per_task=[times.us_per_task for times in all_times],
        us_per_tick=[times.us_per_tick for times in all_times],
        growth=all_times[-1].us_per_task / all_times[0].us_per_task,
    )


def _best_times(plan: meshes.MeshPlan, seed: int, tasks: int) -> Times:
    """Return the times of the fastest repeat, the one that other processes disturbed least."""
    measured_times = [_measure_times(plan, seed, tasks) for _ in range(REPEATS)]
    return min(measured_times, key=lambda times: times.us_per_task)


def _measure_times(plan: meshes.MeshPlan, seed: int, tasks: int) -> Times:
    mesh = meshes.Mesh(plan, seed)
    for _ in range(plan.jobs):
        mesh.submit()
    # Warm-up: every node answers every team several times, which fills its caches.
    _replace_jobs(mesh, WARMUP_TASKS_PER_CACHE * plan.nodes * plan.teams)
    task_s = 0.0
    tick_s = 0.0
    rounds = max(tasks // meshes.TASKS_PER_TICK, 1)
    for _ in range(rounds):
        started = time.process_time()
        _replace_jobs(mesh, meshes.TASKS_PER_TICK)
        tasks_done = time.process_time()
        mesh.tick()
        task_s += tasks_done - started
        tick_s += time.process_time() - tasks_done
    return Times(
        us_per_task=task_s * 1e6 / (rounds * meshes.TASKS_PER_TICK),
        us_per_tick=tick_s * 1e6 / (rounds * plan.nodes),
    )


def _replace_jobs(mesh: meshes.Mesh, tasks: int) -> None:
    """Finish and submit jobs in turn, so that the number in progress stays the same."""
    for _ in range(tasks):
        mesh.finish_oldest()
        mesh.submit()

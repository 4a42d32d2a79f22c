"""Times the decisions for one task over growing numbers of nodes, targets, teams and so on."""

import time

import msgspec

from chiveridge_load import meshes

TASKS = 2000
MAX_REPEATS = 3
WARMUP_TASKS_PER_CACHE = 5
SIZES_BY_AXIS: dict[str, tuple[int, ...]] = {
    "nodes": (3, 9, 27),
    "targets": (24, 240, 2400),
    "teams": (2, 20, 160),
    "rules": (1, 30, 300),
    "jobs": (10, 100, 1000, 5000),
}


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Processor time of all kernels for one task, by size of one axis, in microseconds.

    ``growth`` is the last over the first; 1 means that the axis costs nothing.
    """

    axis: str
    policy: str
    sizes: list[int]
    us_per_task: list[float]
    growth: float


def measure(axis: str, policy: str, seed: int, tasks: int = TASKS) -> Slope:
    """Time one axis; all others keep the sizes of :class:`meshes.MeshPlan`."""
    sizes = SIZES_BY_AXIS[axis]
    plan = meshes.MeshPlan(policy=policy)
    plans = [msgspec.structs.replace(plan, **{axis: size}) for size in sizes]
    timed = [min(_us_per_task(each, seed, tasks) for _ in range(MAX_REPEATS)) for each in plans]
    return Slope(
        axis=axis,
        policy=policy,
        sizes=list(sizes),
        us_per_task=timed,
        growth=timed[-1] / timed[0],
    )


def _us_per_task(plan: meshes.MeshPlan, seed: int, tasks: int) -> float:
    mesh = meshes.Mesh(plan, seed)
    for _ in range(plan.jobs):
        mesh.submit()
    # Every node answers every team some times first, so that its caches are filled.
    _turn_over(mesh, WARMUP_TASKS_PER_CACHE * plan.nodes * plan.teams)
    began = time.process_time()
    _turn_over(mesh, tasks)
    return (time.process_time() - began) * 1e6 / tasks


def _turn_over(mesh: meshes.Mesh, tasks: int) -> None:
    """End and submit jobs, so that the number in progress stays."""
    for number in range(tasks):
        mesh.finish_oldest()
        mesh.submit()
        if number % meshes.TASKS_PER_TICK == 0:
            mesh.tick()

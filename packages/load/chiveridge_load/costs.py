"""Command that measures the cost of a task to a node: CPU time, memory and how it scales.

Usage: ``python -m chiveridge_load.costs --out=build/costs.json``
"""

import datetime
import os
import pathlib
import pstats
import tempfile

import absl.app
import msgspec
from absl import flags, logging

from chiveridge_kernel import policies
from chiveridge_load import deployments, idle_measurements, interruptions, saturations, slopes

JOB_SIZES = (1, 8, 64, 740)
PROFILE_JOB_SIZE = 8
PROFILE_LINES = 40


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """All measurements; ``command`` and ``cores`` record how they were made."""

    command: str
    cores: int
    seconds: float
    policy: str
    saturations: list[saturations.Cost]
    memory: saturations.Memory | None
    idle: idle_measurements.Idle | None
    slopes: list[slopes.Slope]


def main(_argv: list[str]) -> None:
    """Run the command."""
    options = flags.FLAGS
    out = pathlib.Path(options.out)
    out.parent.mkdir(parents=True, exist_ok=True)
    report = interruptions.run(_measure(options))
    content = msgspec.json.format(msgspec.json.encode(report), indent=1)
    out.write_bytes(content + b"\n")
    print(_format_report(report))
    if options.profile:
        print(interruptions.run(_profile_node(options, out.with_suffix(".profile.txt"))))


async def _measure(options: flags.FlagValues) -> Report:
    policy = options.policy or policies.DEFAULT
    return Report(
        command=f"python -m chiveridge_load.costs --policy={policy} --seconds={options.seconds:g}",
        cores=os.cpu_count() or 0,
        seconds=options.seconds,
        policy=policy,
        saturations=await _measure_saturations(policy, options),
        memory=await saturations.measure_memory(policy) if options.memory else None,
        idle=await idle_measurements.measure(policy, _duration(options)) if options.idle else None,
        slopes=_measure_slopes(policy, options),
    )


async def _measure_saturations(policy: str, options: flags.FlagValues) -> list[saturations.Cost]:
    plan = saturations.plan(policy)
    async with deployments.ready_fleet(plan, [saturations.TEAM]) as fleet:
        measured = []
        for size in JOB_SIZES:
            logging.info("saturating one node with jobs of %d tasks", size)
            measured.append(await saturations.saturate(fleet, size, _duration(options)))
        return measured


def _measure_slopes(policy: str, options: flags.FlagValues) -> list[slopes.Slope]:
    if not options.slopes:
        return []
    logging.info("timing the decisions of policy %s", policy)
    return [slopes.measure(axis, policy, options.seed) for axis in slopes.SIZES_BY_AXIS]


async def _profile_node(options: flags.FlagValues, out: pathlib.Path) -> str:
    """Profile a saturated node and write its functions to ``out``, sorted by own time.

    Return a message that names the file.
    """
    policy = options.policy or policies.DEFAULT
    with tempfile.TemporaryDirectory(prefix="chiveridge-profile-") as directory:
        plan = saturations.plan(policy, profiles=directory)
        async with deployments.ready_fleet(plan, [saturations.TEAM]) as fleet:
            await saturations.saturate(fleet, PROFILE_JOB_SIZE, _duration(options))
        path = pathlib.Path(directory, f"{saturations.NODE}.prof")
        with out.open("w") as stream:
            stats = pstats.Stats(str(path), stream=stream).strip_dirs()
            stats.sort_stats("tottime").print_stats(PROFILE_LINES)
    return f"profile written to {out}"


def _duration(options: flags.FlagValues) -> datetime.timedelta:
    return datetime.timedelta(seconds=options.seconds)


def _format_report(report: Report) -> str:
    lines = [f"{'job size':>8} {'starts/s':>9} {'per core':>9} {'us/task':>8} {'node MB':>8}"]
    lines += [
        f"{cost.job_size:>8} {cost.starts_per_second:>9.0f} {cost.starts_per_core:>9.0f} "
        f"{cost.us_per_task:>8.0f} {cost.memory_mb:>8.0f}"
        for cost in report.saturations
    ]
    if report.memory is not None:
        memory = report.memory
        lines.append(
            f"{memory.tasks} tasks in progress: {memory.memory_mb:.0f} MB, idle "
            f"{memory.idle_mb:.0f} MB, {memory.bytes_per_task:.0f} bytes a task"
        )
    if report.idle is not None:
        lines.append(idle_measurements.describe(report.idle))
    lines += [
        f"us over {slope.axis:<8} {_format_times(slope)}  growth {slope.growth:.2f}"
        for slope in report.slopes
    ]
    return "\n".join(lines)


def _format_times(slope: slopes.Slope) -> str:
    """Return the times per task and per tick for each size."""
    return "  ".join(
        f"{size}: {task:.0f} a task, {tick:.0f} a tick"
        for size, task, tick in zip(slope.sizes, slope.us_per_task, slope.us_per_tick, strict=True)
    )


def _define_flags() -> None:
    flags.DEFINE_string("policy", "", "Placement policy; the default policy when empty.")
    flags.DEFINE_float("seconds", 5, "Length of each saturation run in seconds.", lower_bound=1)
    flags.DEFINE_integer("seed", 1, "Seed of the timed decisions.")
    flags.DEFINE_bool("memory", True, "Measure the memory of 10,000 tasks in progress.")
    flags.DEFINE_bool("idle", True, "Measure a fleet without jobs.")
    flags.DEFINE_bool("slopes", True, "Time the decisions at growing numbers of objects.")
    flags.DEFINE_bool("profile", False, "Profile a saturated node as well.")
    flags.DEFINE_string("out", "build/costs.json", "Report to write, as JSON.")


if __name__ == "__main__":
    _define_flags()
    absl.app.run(main)

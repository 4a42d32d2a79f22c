"""Runs seeded jobs on real processes under faults and checks replies against recorded starts."""

import asyncio
import collections
import math
import random
import sys

import aiohttp
import msgspec
from absl import app, flags

from chiveridge_load import (
    deployments,
    fault_callers,
    fault_checks,
    fault_injectors,
    fault_jobs,
    fault_operators,
    fault_schedules,
    interruptions,
)
from chiveridge_standins import fleet_plans, fleets, start_journals

DOMAINS = ("ikeja", "surulere", "lekki")
DOMAIN_PLAN = fleet_plans.DomainPlan(node_count=2, target_count=4)
TEAM = deployments.TeamPlan(name="dispatch-desk", secret="secret-of-no-value")
OPERATORS = ("operator-a", "operator-b")
VMS_INTERVAL_MS = 200

_ComponentKind = fault_schedules.ComponentKind


class RunPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Size, seed and faults of a run.

    ``mean_gap_ms`` is the mean time between two faults. After ``limit_s`` seconds no more jobs
    are submitted. ``deadline_ms`` is the deadline of each job. ``contest`` selects the objects
    that the operators change concurrently.
    """

    jobs: int
    seed: int
    callers: int = 24
    limit_s: float = math.inf
    mean_gap_ms: float = 250
    deadline_ms: int = fault_jobs.DEADLINE_MS
    contest: fault_operators.Contest = fault_operators.Contest.UNUSED_TEAM
    faults: frozenset[fault_schedules.Fault] = frozenset(fault_schedules.Fault)


class RunResult(msgspec.Struct, kw_only=True):
    """The records of a run and the rules that it violated."""

    plan: RunPlan
    records: list[fault_jobs.JobRecord]
    starts: list[start_journals.Start]
    counts_by_fault: dict[fault_schedules.Fault, int]
    drains: list[fault_injectors.Drain]
    configuration: fault_operators.ConfigurationOutcome
    violations: list[fault_checks.Violation]


async def run(plan: RunPlan) -> RunResult:
    """Run the jobs under faults and check the results."""
    async with deployments.ready_fleet(_fleet_plan(), [TEAM]) as fleet:
        injector = fault_injectors.Injector(fleet)
        records, configuration = await _run_jobs(plan, fleet, injector)
        starts = fleet.journaled_starts()
    violations = fault_checks.check(records, starts, injector.periods, injector.drains)
    return RunResult(
        plan=plan,
        records=records,
        starts=starts,
        counts_by_fault=dict(injector.counts_by_fault),
        drains=injector.drains,
        configuration=configuration,
        violations=violations + fault_checks.check_configuration(configuration),
    )


async def _run_jobs(
    plan: RunPlan, fleet: fleets.Fleet, injector: fault_injectors.Injector
) -> tuple[list[fault_jobs.JobRecord], fault_operators.ConfigurationOutcome]:
    steps = fault_schedules.steps(
        random.Random(plan.seed), _names_by_component_kind(fleet), plan.mean_gap_ms, plan.faults
    )
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as background:
        operators = fault_operators.Operators(
            fleet, session, random.Random(plan.seed + 3), plan.contest, TEAM.name
        )
        operator_tasks = [background.create_task(operators.run(name)) for name in OPERATORS]
        injector_task = background.create_task(injector.run(steps))
        caller = fault_callers.Caller(
            session, fleet.node_urls, TEAM.credential, random.Random(plan.seed + 1)
        )
        records = await _run_callers(plan, caller)
        operators.stop()
        injector.stop()
        await asyncio.gather(injector_task, *operator_tasks)
        await fleet.wait_ready()
        await _poll_all_until_settled(plan, caller, records)
        return records, await operators.outcome()


async def _poll_all_until_settled(
    plan: RunPlan, caller: fault_callers.Caller, records: list[fault_jobs.JobRecord]
) -> None:
    """Poll every job until its reply is final, with one job per caller at a time."""
    records_with_id = iter([record for record in records if record.submission_id])

    async def settle_next() -> None:
        for record in records_with_id:
            await caller.poll_until_settled(record)

    await asyncio.gather(*(settle_next() for _ in range(plan.callers)))


async def _run_callers(plan: RunPlan, caller: fault_callers.Caller) -> list[fault_jobs.JobRecord]:
    jobs = iter(
        fault_jobs.generate_plans(random.Random(plan.seed + 2), plan.jobs, plan.deadline_ms)
    )
    records: list[fault_jobs.JobRecord] = []
    submit_until = asyncio.get_running_loop().time() + plan.limit_s
    await asyncio.gather(
        *(_submit_jobs(caller, jobs, records, submit_until) for _ in range(plan.callers))
    )
    return records


async def _submit_jobs(
    caller: fault_callers.Caller, jobs, records: list[fault_jobs.JobRecord], submit_until: float
) -> None:
    for job in jobs:
        if asyncio.get_running_loop().time() >= submit_until:
            return
        records.append(await caller.run(job))


def _fleet_plan() -> fleet_plans.FleetPlan:
    nodes = [f"{domain}-e{n + 1}" for domain in DOMAINS for n in range(DOMAIN_PLAN.node_count)]
    targets = [f"{domain}-t{n + 1}" for domain in DOMAINS for n in range(DOMAIN_PLAN.target_count)]
    return fleet_plans.FleetPlan(
        domains=dict.fromkeys(DOMAINS, DOMAIN_PLAN),
        targets_per_process=1,
        proxied_names=frozenset([*nodes, *targets, fleets.PLATFORM]),
        journaled=True,
        settings={"platform": {"vms_interval_ms": str(VMS_INTERVAL_MS)}},
    )


def _names_by_component_kind(fleet: fleets.Fleet) -> dict[fault_schedules.ComponentKind, list[str]]:
    return {
        _ComponentKind.NODE: sorted(fleet.nodes_by_name),
        _ComponentKind.TARGET: sorted(fleet.targets_by_name),
        _ComponentKind.PLATFORM: [fleets.PLATFORM],
    }


def report(result: RunResult) -> str:
    """Return a report of a run as text."""
    answers = [answer for record in result.records for answer in record.final_answers()[:1]]
    tasks = [task for answer in answers for task in answer.tasks]
    refusals = [
        attempt.refusal.name
        for record in result.records
        for attempt in record.attempts
        if attempt.refusal is not None
    ]
    changes = result.configuration.told
    unanswered = sum(not record.final_answers() for record in result.records)
    lines = [
        f"seed {result.plan.seed}, jobs {len(result.records)}, starts {len(result.starts)}",
        _counts_line(
            "faults", [f.value for f, n in result.counts_by_fault.items() for _ in range(n)]
        ),
        _counts_line("behaviours", [record.plan.behaviour.value for record in result.records]),
        _counts_line("answers", [answer.name for answer in answers]),
        f"jobs without an answer: {unanswered}",
        _counts_line("refusals", refusals),
        _counts_line("tasks", [task.outcome.value for task in tasks]),
        _counts_line(
            "exit codes of drained nodes", [str(drain.exit_code) for drain in result.drains]
        ),
        _counts_line(
            "changes", [change.verdict.value if change.verdict else "unknown" for change in changes]
        ),
        f"violations: {len(result.violations)}",
    ]
    lines += [f"  {v.rule.value}: {v.submission_id} {v.detail}" for v in result.violations]
    return "\n".join(lines)


def _counts_line(title: str, names: list[str]) -> str:
    counted = sorted(collections.Counter(names).items())
    return f"{title}: " + (", ".join(f"{name} {count}" for name, count in counted) or "none")


def main(_argv: list[str]) -> int:
    """Run the command line."""
    seed = flags.FLAGS.seed if flags.FLAGS.seed is not None else random.randrange(1_000_000)
    print(f"seed {seed}", flush=True)
    result = interruptions.run(run(RunPlan(jobs=flags.FLAGS.jobs, seed=seed)))
    print(report(result))
    return 1 if result.violations else 0


if __name__ == "__main__":
    flags.DEFINE_integer("jobs", 2000, "Number of jobs.", lower_bound=1)
    flags.DEFINE_integer("seed", None, "Seed of jobs and faults; random if not given.")
    sys.exit(app.run(main))

"""Demo: a small fleet of real processes runs one job of 24 tasks."""

import datetime
import sys

import msgspec

from chiveridge_client import clients
from chiveridge_kernel import messages, results
from chiveridge_load import deployments, interruptions
from chiveridge_standins import fleet_plans, fleets

DOMAINS = ("ikeja", "surulere", "lekki")
TARGETS_PER_DOMAIN = 2
TASK_COUNT = 24
MIN_RUN_MS = 50
RUN_STEP_MS = 10
CLIENT_ROUND_TRIP_MS = 2.0
TEAM = deployments.TeamPlan(name="dispatch-desk", secret="demo-secret-of-no-value")


def main() -> int:
    """Run the demo; return 0 if the job completes and every process exits with code 0."""
    return interruptions.run(_run())


async def _run() -> int:
    domain = fleet_plans.DomainPlan(node_count=1, target_count=TARGETS_PER_DOMAIN)
    fleet = fleets.Fleet(fleet_plans.FleetPlan(domains={name: domain for name in DOMAINS}))
    async with fleet:
        await _publish(fleet)
        await fleet.wait_ready()
        answer = await _submit(fleet)
        _print_answer(answer)
    _print_exit_codes(fleet.exit_codes_by_name)
    exited_cleanly = all(code == 0 for code in fleet.exit_codes_by_name.values())
    return 0 if exited_cleanly and answer.state is results.JobState.COMPLETE else 1


async def _publish(fleet: fleets.Fleet) -> None:
    names = list(fleet.targets_by_name)
    change = deployments.first_change([TEAM], names)
    await fleet.append_config_record(msgspec.to_builtins(change))
    print(f"published team {TEAM.name}, {len(names)} targets, 1 rule")


async def _submit(fleet: fleets.Fleet) -> messages.JobAnswer:
    tasks = [messages.TaskSpec(body=_body(index)) for index in range(TASK_COUNT)]
    async with clients.Client(fleet.node_urls(), TEAM.credential) as client:
        return await client.submit(tasks, deadline=datetime.timedelta(seconds=20))


def _body(index: int) -> msgspec.Raw:
    content = {"run_ms": MIN_RUN_MS + RUN_STEP_MS * index, "key": f"fault-call-{index}"}
    return msgspec.Raw(msgspec.json.encode(content))


def _print_answer(answer: messages.JobAnswer) -> None:
    print(f"job {answer.submission_id}: {answer.state.value} {answer.name} {answer.message}")
    print(f"{'task':>4}  {'target':<14} {'outcome':<10} {'run ms':>8}")
    for task in answer.tasks:
        print(f"{task.index:>4}  {task.target:<14} {task.outcome.value:<10} {task.run_ms:>8.1f}")
    ideal_ms = max(task.run_ms for task in answer.tasks) + CLIENT_ROUND_TRIP_MS
    ratio = answer.elapsed_ms / ideal_ms
    print(f"response {answer.elapsed_ms:.1f} ms, ideal {ideal_ms:.1f} ms, ratio {ratio:.3f}")


def _print_exit_codes(exit_codes_by_name: dict[str, int | None]) -> None:
    codes = ", ".join(f"{name} {code}" for name, code in sorted(exit_codes_by_name.items()))
    print(f"stopped by SIGTERM, exit codes: {codes}")


if __name__ == "__main__":
    sys.exit(main())

"""Command that measures placement policies under load on fleets of real processes.

Usage: ``python -m chiveridge_load.benches --scenario=steady --policy=power_of_two``
"""

import asyncio
import pathlib

import absl.app
from absl import flags, logging

from chiveridge_load import deployments, reports, runs, scenarios, traces, workloads

DEFAULT_OUT = "build/bench.json"


def main(_argv: list[str]) -> None:
    """Run the command."""
    options = flags.FLAGS
    if options.list:
        print("\n".join(scenarios.SCENARIOS_BY_NAME))
        return
    rows = [row for scenario in options.scenario for row in _scenario_rows(scenario, options)]
    reports.write(pathlib.Path(options.out), rows)
    print(reports.table(rows))


def _scenario_rows(scenario_name: str, options: flags.FlagValues) -> list[reports.Row]:
    """Measure every policy on the same trace, one after the other."""
    scenario = scenarios.SCENARIOS_BY_NAME[scenario_name]
    plan = deployments.fleet_plan(options.deployment, options.policy[0])
    asked = traces.Options(
        load=options.load,
        job_mean=options.job_mean,
        seconds=options.seconds,
        slots=deployments.slots(plan),
        seed=options.seed,
    )
    choice = scenario.options(asked)
    jobs = _jobs(scenario, choice, options.trace)
    if options.record:
        workloads.write_trace(pathlib.Path(options.record), jobs)
    return [
        _measure(scenario, policy, jobs, choice, options.deployment) for policy in options.policy
    ]


def _jobs(
    scenario: scenarios.Scenario, choice: traces.Options, trace: str
) -> list[workloads.JobPlan]:
    if trace:
        return workloads.read_trace(pathlib.Path(trace))
    return scenario.jobs(choice)


def _measure(
    scenario: scenarios.Scenario,
    policy: str,
    jobs: list[workloads.JobPlan],
    choice: traces.Options,
    deployment: str,
) -> reports.Row:
    logging.info("%s, %s, %s: %d jobs", scenario.name, deployment, policy, len(jobs))
    run = runs.Run(
        plan=deployments.fleet_plan(deployment, policy),
        jobs=jobs,
        seed=choice.seed,
        seconds=choice.seconds,
        disturb=scenario.disturb,
    )
    measured = asyncio.run(runs.measure(run))
    row = reports.row(
        measured,
        scenario.limits(measured),
        scenario=scenario.name,
        deployment=deployment,
        policy=policy,
        load=choice.load,
        job_mean=choice.job_mean,
        seed=choice.seed,
    )
    logging.info("p50 %.3f, p99 %.3f", row.p50_ratio, row.p99_ratio)
    return row


def _define_flags() -> None:
    names = list(scenarios.SCENARIOS_BY_NAME)
    flags.DEFINE_multi_enum("scenario", ["steady"], names, "Scenario to run; may be repeated.")
    flags.DEFINE_list("policy", ["power_of_two"], "Placement policies, separated by commas.")
    deployment_names = list(deployments.DEPLOYMENTS_BY_NAME)
    flags.DEFINE_enum("deployment", "lagos", deployment_names, "Deployment to imitate.")
    flags.DEFINE_float("load", 0.8, "Share of the slots that the run times fill.", lower_bound=0)
    flags.DEFINE_float("job_mean", 8, "Mean number of tasks of a job.", lower_bound=1)
    flags.DEFINE_float("seconds", 20, "Length of the trace.", lower_bound=1)
    flags.DEFINE_integer("seed", 1, "Seed of the trace and of the choice of nodes.")
    flags.DEFINE_string("trace", "", "Replay the trace of this file.")
    flags.DEFINE_string("record", "", "Write the trace to this file.")
    flags.DEFINE_string("out", DEFAULT_OUT, "Report to write, as JSON.")
    flags.DEFINE_bool("list", False, "List the scenarios and end.")


if __name__ == "__main__":
    _define_flags()
    absl.app.run(main)

"""Benchmark of placement policies under load, on fleets of real processes.

Usage: ``python -m chiveridge_load.benches --scenario=steady --policy=power_of_two``
"""

import pathlib
import time

import absl.app
from absl import flags, logging

from chiveridge_kernel import policies
from chiveridge_load import (
    deployments,
    interruptions,
    plots,
    reports,
    runs,
    scenarios,
    suites,
    workloads,
)

DEFAULT_OUT = "build/bench.json"


EXIT_CASE_FAILED = 1


def main(_argv: list[str]) -> int:
    """Run the command; return 1 when a case could not be measured."""
    options = flags.FLAGS
    if options.list:
        print("\n".join(scenarios.SCENARIOS_BY_NAME))
        return 0
    cases = suites.full_suite(options.seed) if options.suite else _requested_cases(options)
    out = pathlib.Path(options.out)
    rows = _measure_cases(cases, options, out)
    plots.draw(rows, out.parent)
    print(reports.table(rows))
    return 0 if len(rows) == len(cases) else EXIT_CASE_FAILED


def _requested_cases(options: flags.FlagValues) -> list[suites.Case]:
    """Return a case for each combination of the requested scenarios, loads, means and policies."""
    return [
        suites.Case(
            scenario=scenario,
            deployment=options.deployment,
            policy=policy,
            load=float(load),
            job_mean=float(mean),
            seconds=options.seconds,
            seed=options.seed + number,
        )
        for number in range(options.rounds)
        for scenario in options.scenario
        for load in options.load
        for mean in options.job_mean
        for policy in options.policy or [policies.DEFAULT]
    ]


def _measure_cases(
    cases: list[suites.Case], options: flags.FlagValues, out: pathlib.Path
) -> list[reports.Row]:
    """Measure the cases in turn and rewrite the report after each.

    A case that raises an exception is logged and left out of the rows.
    """
    rows: list[reports.Row] = []
    started_at = time.monotonic()
    logging.info(
        "running %d cases, expected to take %.0f s", len(cases), suites.expected_duration_s(cases)
    )
    for number, case in enumerate(cases):
        logging.info("case %d of %d: %s", number + 1, len(cases), case.title())
        try:
            row = _measure_case(case, options)
        except Exception:
            logging.exception(
                "case %d of %d failed; it is left out of the report", number + 1, len(cases)
            )
            continue
        rows.append(row)
        reports.write(out, rows)
        elapsed_s = time.monotonic() - started_at
        logging.info(
            "p50 ratio %.3f, p99 ratio %.3f, %.0f s elapsed",
            row.p50_ratio,
            row.p99_ratio,
            elapsed_s,
        )
        for line in reports.missed_lines(row):
            logging.warning("%s", line)
    return rows


def _measure_case(case: suites.Case, options: flags.FlagValues) -> reports.Row:
    scenario = scenarios.SCENARIOS_BY_NAME[case.scenario]
    plan = deployments.fleet_plan(case.deployment, case.policy, proxied=options.delays)
    trace_options = case.options(deployments.total_slots(plan))
    jobs = scenario.jobs(trace_options)
    if options.trace:
        jobs = workloads.read_trace(pathlib.Path(options.trace))
    if options.record:
        workloads.write_trace(pathlib.Path(options.record), jobs)
    run = runs.Run(
        plan=plan,
        jobs=jobs,
        seed=trace_options.seed,
        seconds=trace_options.seconds,
        peer_delay=deployments.peer_delay(case.deployment, options.delays),
        disturb=scenario.disturb,
    )
    measurement = interruptions.run(runs.measure(run))
    return reports.make_row(
        measurement,
        scenario.limits(measurement),
        scenario=scenario.name,
        deployment=case.deployment,
        policy=case.policy,
        load=trace_options.load,
        job_mean=trace_options.job_mean,
        seed=trace_options.seed,
        delays=options.delays,
    )


def _define_flags() -> None:
    names = list(scenarios.SCENARIOS_BY_NAME)
    flags.DEFINE_multi_enum("scenario", ["steady"], names, "Scenario to run; may be repeated.")
    flags.DEFINE_list("policy", [], "Placement policies, separated by commas.")
    deployment_names = list(deployments.DEPLOYMENTS_BY_NAME)
    flags.DEFINE_enum("deployment", "lagos", deployment_names, "Deployment to reproduce.")
    flags.DEFINE_list("load", ["0.8"], "Offered loads, as shares of all slots.")
    flags.DEFINE_list("job_mean", ["8"], "Mean numbers of tasks per job.")
    flags.DEFINE_float("seconds", 20, "Length of the trace in seconds.", lower_bound=1)
    flags.DEFINE_integer("seed", 1, "Seed of the trace and of the choice of nodes.")
    flags.DEFINE_integer("rounds", 1, "Runs of every case, each with the next seed.", lower_bound=1)
    flags.DEFINE_bool("delays", False, "Delay messages between nodes as in the deployment.")
    flags.DEFINE_bool("suite", False, "Run the full set of cases.")
    flags.DEFINE_string("trace", "", "Replay the trace of this file.")
    flags.DEFINE_string("record", "", "Write the trace to this file.")
    flags.DEFINE_string("out", DEFAULT_OUT, "Report to write, as JSON, with its plots beside it.")
    flags.DEFINE_bool("list", False, "List the scenarios and exit.")
    flags.DEFINE_alias("job-mean", "job_mean")


if __name__ == "__main__":
    _define_flags()
    absl.app.run(main)

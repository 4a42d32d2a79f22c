"""Explores every order of a few disturbances in the life of one job in a small simulated pool.

Usage: ``python -m chiveridge_load.histories [--disturbances 2] [--max_histories 100000]
[--scenarios owner,peer,domains,tasks,long,distant]
[--kinds starts,stops,holds,targets,nodes,links,callers] [--typical_only]
[--resend_ms 1300] [--samples 0] [--seed 1]``

At each point of a history, a call to a target, or a moment at which nodes, targets and callers may
fail, one of several things happens. All histories with up to ``--disturbances`` of them are played,
those with fewer first, up to ``--max_histories`` a scenario; then ``--samples`` random ones. For
each class of violations the first history found is printed, which has the fewest disturbances
unless it was a sample, and the script of choices that
repeats it.
"""

import datetime
import sys
import time

import msgspec
from absl import app, flags

from chiveridge_load import history_choices, history_events, history_plays, history_searches


def define_flags() -> None:
    """Define the command line flags."""
    names = [scenario.name for scenario in history_plays.SCENARIOS]
    flags.DEFINE_integer("disturbances", 2, "Disturbances of a history.", lower_bound=0)
    flags.DEFINE_integer("max_histories", 100_000, "Histories of a scenario.", lower_bound=0)
    flags.DEFINE_list("scenarios", names, "Names of the scenarios.")
    flags.DEFINE_list("kinds", sorted(history_events.KINDS), "Kinds of disturbances.")
    flags.DEFINE_bool("typical_only", False, "Whether to explore one of similar disturbances.")
    flags.DEFINE_integer("resend_ms", 1300, "Delay before a job is sent again.", lower_bound=0)
    flags.DEFINE_integer("samples", 0, "Random histories of a scenario.", lower_bound=0)
    flags.DEFINE_integer("seed", 1, "Seed of the random histories.")


def main(argv: list[str]) -> int:
    """Explore the scenarios and print the classes of violations of each."""
    del argv
    options = flags.FLAGS
    names = {scenario.name for scenario in history_plays.SCENARIOS}
    unknown = set(options.kinds) - history_events.KINDS | set(options.scenarios) - names
    if unknown:
        raise app.UsageError(f"no such kinds or scenarios: {', '.join(sorted(unknown))}")
    resend_delay = datetime.timedelta(milliseconds=options.resend_ms)
    selection = history_choices.Selection(frozenset(options.kinds), options.typical_only)
    has_found = False
    for scenario in history_plays.SCENARIOS:
        if scenario.name not in options.scenarios:
            continue
        scenario = msgspec.structs.replace(scenario, resend_delay=resend_delay)
        search = history_searches.Search(selection, options.disturbances, options.max_histories)
        search.on_found = _print_found
        started_at = time.monotonic()
        search.explore(scenario)
        explored = search.played
        search.sample(scenario, options.samples, options.seed)
        _print_summary(search, scenario, explored, time.monotonic() - started_at)
        has_found = has_found or bool(search.found_by_violation)
    return 1 if has_found else 0


def _print_summary(
    search: history_searches.Search,
    scenario: history_plays.Scenario,
    explored: int,
    seconds: float,
) -> None:
    extent = "all" if search.is_complete else "the first"
    print(
        f"scenario {scenario.name}: {extent} {explored} histories, "
        f"{search.played - explored} samples, {seconds:.0f} s, "
        f"{len(search.found_by_violation)} classes of violations"
    )
    for violation, found in search.found_by_violation.items():
        print(f"  {found.count} x {violation.rule}: {violation.cause}")
    sys.stdout.flush()


def _print_found(found: history_searches.Found) -> None:
    print(f"{found.scenario.name}: {found.violation.rule}: {found.violation.cause}")
    print(f"  with up to {found.disturbances} disturbances:")
    for step in found.steps:
        print(f"    {step}")
    print(f"  script: {found.script}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    define_flags()
    app.run(main)

"""Command that writes the results page and its plots from the reports.

Usage: ``python -m chiveridge_load.pages --bench=build/bench.json --page=docs/results.md``
"""

import pathlib
import typing

import absl.app
import msgspec
from absl import flags

from chiveridge_kernel import policies
from chiveridge_load import control_suites, costs, idle_measurements, plots, reports

IMAGES_DIRECTORY = "plots"
_Report = typing.TypeVar("_Report", bound=msgspec.Struct)

_HEADER = """# Results

Written by `python -m chiveridge_load.pages` from the reports of `make bench` and
`python -m chiveridge_load.costs`. [load-tool.md](load-tool.md) explains the scenarios, the ratios
and the bound.
"""


def page(
    rows: list[reports.Row],
    images: list[str],
    *,
    control: control_suites.ControlReport | None = None,
    report: costs.Report | None = None,
) -> str:
    """Return the results page in Markdown; ``images`` are paths relative to it."""
    steady = [row for row in rows if row.scenario == "steady"]
    others = [row for row in rows if row.scenario != "steady"]
    parts = [
        _HEADER,
        _conditions(rows),
        _summary(rows),
        "## Steady load\n",
        _steady_table(steady),
        "\n".join(f"![{_image_title(image)}]({image})\n" for image in images),
        "## Other scenarios\n",
        _limits_table(others),
        "## Limits missed\n",
        _missed_list([row for row in rows if _uses_default_policy(row)]),
    ]
    if control is not None:
        parts += ["## Control\n", control_section(control)]
    if report is not None:
        parts += ["## Cost of a task\n", _costs_section(report)]
    return "\n".join(parts)


def _conditions(rows: list[reports.Row]) -> str:
    """Return the paragraph on how the rows were measured."""
    seeds = ", ".join(str(seed) for seed in sorted({row.seed for row in rows}))
    lengths = [row.seconds for row in rows]
    delayed = sum(row.delays for row in rows)
    return (
        f"Traces of {min(lengths):g} to {max(lengths):g} s with seed {seeds}. Messages between\n"
        f"nodes were delayed as in the deployment in {delayed} of {len(rows)} runs. The generator\n"
        f"was at most {max(row.lateness_ms for row in rows):.0f} ms late for 99 of 100 jobs.\n"
    )


def _summary(rows: list[reports.Row]) -> str:
    chosen = [row for row in rows if _uses_default_policy(row)]
    passed = sum(row.passed for row in chosen)
    wrong = sum(row.wrong_answers for row in rows)
    jobs = sum(row.jobs for row in rows)
    return (
        f"The chosen policy `{policies.DEFAULT}` kept every limit in {passed} of {len(chosen)} "
        "runs;\nthe other policies run for comparison. "
        f"{jobs} jobs, {wrong} wrong answers.\n"
    )


def _uses_default_policy(row: reports.Row) -> bool:
    return row.policy == policies.DEFAULT


def _steady_table(rows: list[reports.Row]) -> str:
    header = [
        "deployment",
        "load",
        "mean tasks",
        "policy",
        "jobs",
        "p50",
        "bound",
        "p99",
        "bound",
        "wasted",
        "goodput",
        "refused",
        "wrong",
        "limits",
    ]
    lines = [
        [
            row.deployment,
            f"{row.load:.0%}",
            f"{row.job_mean:g}",
            row.policy,
            str(row.jobs),
            f"{row.p50_ratio:.3f}",
            f"{row.p50_bound:.3f}",
            f"{row.p99_ratio:.3f}",
            f"{row.p99_bound:.3f}",
            f"{row.wasted_share:.3%}",
            f"{row.goodput_share:.3f}",
            f"{row.refused_share:.3f}",
            str(row.wrong_answers),
            _kept_or_missed(row.passed),
        ]
        for row in sorted(rows, key=_steady_order)
    ]
    return _table(header, lines)


def _steady_order(row: reports.Row) -> tuple[str, float, float, bool, str]:
    """Return the sort key: by case, the default policy before the policies it is compared with."""
    return row.deployment, row.load, row.job_mean, not _uses_default_policy(row), row.policy


def _limits_table(rows: list[reports.Row]) -> str:
    header = ["scenario", "policy", "measured", "value", "limit", "kept"]
    lines = [
        [
            row.scenario,
            row.policy,
            limit.name,
            f"{limit.measured:.3f}",
            f"{'at least' if limit.at_least else 'at most'} {limit.limit:.3f}",
            _kept_or_missed(limit.passed),
        ]
        for row in rows
        for limit in row.limits
    ]
    return _table(header, lines)


def _missed_list(rows: list[reports.Row]) -> str:
    missed = [(row, limit) for row in rows for limit in row.limits if not limit.passed]
    if not missed:
        return f"None under `{policies.DEFAULT}`.\n"
    lines = [
        f"- {row.scenario}, {row.deployment}, load {row.load:.0%}, mean {row.job_mean:g}: "
        f"{limit.name} {limit.measured:.3f}, limit {limit.limit:.3f}"
        for row, limit in missed
    ]
    return f"Under `{policies.DEFAULT}`:\n\n" + "\n".join(lines) + "\n"


def control_section(report: control_suites.ControlReport) -> str:
    """Return the control measurements in Markdown."""
    intro = (
        "Idle domains of several sizes, bytes with headers; the slowest of "
        f"{report.publication.changes} changes to be in force on {report.publication.nodes} "
        "nodes;\nthe cost of a choice by selectors at the most targets over that at the fewest: "
        + ", ".join(f"{each.task_us:.2f} us at {each.targets}" for each in report.reaches)
        + ".\n"
    )
    lines = [
        [result.name, f"{result.measured:.3f}", f"{result.limit:g}", _kept_or_missed(result.passed)]
        for result in report.limits
    ]
    return f"{intro}\n{_table(['measured', 'value', 'limit', 'kept'], lines)}"


def _costs_section(report: costs.Report) -> str:
    lines = [
        [
            str(cost.job_size),
            f"{cost.starts_per_second:.0f}",
            f"{cost.starts_per_core:.0f}",
            f"{cost.us_per_task:.0f}",
            f"{cost.memory_mb:.0f}",
        ]
        for cost in report.saturations
    ]
    header = ["tasks a job", "starts/s", "starts/s and core", "us a task", "node MB"]
    parts = [f"`{report.command}`, {report.cores} cores.\n", _table(header, lines)]
    if report.memory is not None:
        memory = report.memory
        parts.append(
            f"A node with {memory.tasks} tasks in progress holds {memory.memory_mb:.0f} MB, "
            f"{memory.idle_mb:.0f} MB without: {memory.bytes_per_task:.0f} bytes a task.\n"
        )
    if report.idle is not None:
        parts.append(f"{idle_measurements.describe(report.idle)}.\n")
    slopes = [
        [
            slope.axis,
            ", ".join(map(str, slope.sizes)),
            ", ".join(f"{us:.0f}" for us in slope.us_per_task),
            ", ".join(f"{us:.0f}" for us in slope.us_per_tick),
            f"{slope.growth:.2f}",
        ]
        for slope in report.slopes
    ]
    header = ["axis", "sizes", "us a task", "us a tick", "growth"]
    return "\n".join([*parts, _table(header, slopes)])


def _table(header: list[str], lines: list[list[str]]) -> str:
    separator = ["---"] * len(header)
    return "\n".join(f"| {' | '.join(cells)} |" for cells in [header, separator, *lines]) + "\n"


def _kept_or_missed(passed: bool) -> str:
    return "kept" if passed else "**missed**"


def _image_title(image: str) -> str:
    _, deployment, load, mean = pathlib.PurePath(image).stem.split("-")
    return f"{deployment}, {load}% load, jobs of mean {mean}"


def write(
    page_path: pathlib.Path,
    rows: list[reports.Row],
    control: control_suites.ControlReport | None,
    report: costs.Report | None,
) -> None:
    """Write the page, and replace its plots in a directory beside it."""
    images = page_path.parent / IMAGES_DIRECTORY
    images.mkdir(parents=True, exist_ok=True)
    for path in images.glob("steady-*.svg"):
        path.unlink()
    image_paths = [f"{IMAGES_DIRECTORY}/{path.name}" for path in plots.draw(rows, images)]
    page_path.write_text(page(rows, image_paths, control=control, report=report))


def main(_argv: list[str]) -> None:
    """Run the command."""
    options = flags.FLAGS
    rows = reports.read(pathlib.Path(options.bench))
    control = _read_report(pathlib.Path(options.control), control_suites.ControlReport)
    report = _read_report(pathlib.Path(options.costs), costs.Report)
    write(pathlib.Path(options.page), rows, control, report)


def _read_report(path: pathlib.Path, report_type: type[_Report]) -> _Report | None:
    if not path.exists():
        return None
    return msgspec.json.decode(path.read_bytes(), type=report_type)


if __name__ == "__main__":
    flags.DEFINE_string("bench", "build/bench.json", "Report of the benchmark.")
    flags.DEFINE_string(
        "control", control_suites.DEFAULT_OUT, "Report of the control suite, left out when missing."
    )
    flags.DEFINE_string("costs", "build/costs.json", "Report of the costs, left out when missing.")
    flags.DEFINE_string("page", "docs/results.md", "Page to write; plots go beside it.")
    absl.app.run(main)

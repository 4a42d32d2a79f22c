"""Plots of a benchmark, and of what the callers of a simulated pool earn by policy."""

import collections
import pathlib

import matplotlib

matplotlib.use("svg")
# A fixed salt keeps the identifiers in the files the same; without it they are random.
matplotlib.rcParams["svg.hashsalt"] = "chiveridge"
matplotlib.rcParams["svg.fonttype"] = "none"

from matplotlib import axes, pyplot, ticker  # noqa: E402

from chiveridge_load import measurements, pool_loads, reports  # noqa: E402

SIZE_INCHES = (7.0, 4.0)
RATIO_TICKS = (1, 1.1, 1.2, 1.5, 2, 3, 5, 10, 20, 50, 100)


def draw(rows: list[reports.Row], directory: pathlib.Path) -> list[pathlib.Path]:
    """Draw a plot for each deployment, load and job mean of steady rows; return the paths."""
    groups = collections.defaultdict(list)
    for row in rows:
        if row.scenario == "steady":
            groups[row.deployment, row.load, row.job_mean].append(row)
    return [_draw_group(group, directory) for group in groups.values()]


def _draw_group(rows: list[reports.Row], directory: pathlib.Path) -> pathlib.Path:
    first = rows[0]
    figure, axis = pyplot.subplots(figsize=SIZE_INCHES)
    for row in rows:
        _draw_curve(axis, row.quantiles, row.policy, "-")
    _draw_curve(axis, first.bound_quantiles, "central queue (bound)", "--")
    axis.set_yscale("log")
    axis.yaxis.set_major_locator(ticker.FixedLocator(RATIO_TICKS))
    axis.yaxis.set_major_formatter(ticker.FormatStrFormatter("%g"))
    axis.yaxis.set_minor_locator(ticker.NullLocator())
    axis.set_xlabel("percentile of jobs")
    axis.set_ylabel("response / ideal")
    axis.set_title(f"{first.deployment}, {first.load:.0%} load, jobs of mean {first.job_mean:g}")
    axis.grid(True, which="both", alpha=0.3)
    axis.legend()
    figure.tight_layout()
    name = f"steady-{first.deployment}-{first.load * 100:.0f}-{first.job_mean:g}.svg"
    path = directory / name
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
    return path


def _draw_curve(axis: axes.Axes, quantiles: list[float], label: str, style: str) -> None:
    positions = range(len(measurements.QUANTILES))
    axis.plot(positions, quantiles, style, marker="o", markersize=3, label=label)
    axis.set_xticks(positions, [f"{percent:g}" for percent in measurements.QUANTILES])


def draw_shares(
    results: dict[str, pool_loads.LoadResult], title: str, directory: pathlib.Path
) -> pathlib.Path:
    """Draw the share of the value that each policy earns, by kind of job; return the path."""
    figure, axis = pyplot.subplots(figsize=SIZE_INCHES)
    width = 0.8 / len(results)
    for number, (policy, result) in enumerate(results.items()):
        shares = {"all": result.earned_share, **result.earned_share_by_kind}
        positions = [place + number * width for place in range(len(shares))]
        axis.bar(positions, shares.values(), width, label=policy)
    axis.set_xticks([place + 0.4 - width / 2 for place in range(len(shares))], list(shares))
    axis.set_ylabel("share of the value earned")
    axis.set_title(title)
    axis.legend(loc="lower left")
    figure.tight_layout()
    path = directory / f"comparison-{title.replace(' ', '-')}.svg"
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
    return path

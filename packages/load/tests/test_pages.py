import msgspec

from chiveridge_load import (
    costs,
    idle_measurements,
    measurements,
    pages,
    reports,
    saturations,
    slopes,
)

QUANTILES = [1.0] * len(measurements.QUANTILES)


def _row(**changes):
    row = reports.Row(
        scenario="steady",
        deployment="lagos",
        policy="owners",
        load=0.8,
        job_mean=8,
        delays=False,
        p50_ratio=1.01,
        p99_ratio=1.9,
        mean_ratio=1.1,
        p50_bound=1.0,
        p99_bound=1.5,
        quantiles=QUANTILES,
        bound_quantiles=QUANTILES,
        wasted_share=0.0,
        goodput_share=1.0,
        refused_share=0.0,
        wrong_answers=0,
        jobs=1100,
        jobs_by_code={"COMPLETE": 1100},
        lateness_ms=2.0,
        node_cpu_share=0.1,
        node_memory_mb=60.0,
        node_peer_bytes=9000.0,
        seed=1,
        seconds=20,
        faults=[],
        limits=[
            reports.LimitResult(
                name="p99_ratio", measured=1.9, limit=1.65, at_least=False, passed=False
            )
        ],
        passed=False,
    )
    return msgspec.structs.replace(row, **changes)


def test_page_shows_tables_plots_and_what_was_missed():
    burst = _row(scenario="burst", limits=[], passed=True)
    text = pages.page([_row(), burst], ["plots/steady-lagos-80-8.svg"])
    assert "`owners` kept every limit in 1 of 2 runs" in text
    assert "2200 jobs, 0 wrong answers." in text
    assert "| lagos | 80% | 8 | owners | 1100 | 1.010 | 1.000 | 1.900 | 1.500 |" in text
    assert "![lagos, 80% load, jobs of mean 8](plots/steady-lagos-80-8.svg)" in text
    assert "- steady, lagos, load 80%, mean 8: p99_ratio 1.900, limit 1.650" in text
    assert "Cost of a task" not in text


def test_compared_policies_follow_the_chosen_one_and_count_no_missed_limits():
    rows = [_row(policy="random"), _row(limits=[], passed=True)]
    text = pages.page(rows, [])
    assert text.index("| 8 | owners |") < text.index("| 8 | random |")
    assert "`owners` kept every limit in 1 of 1 runs" in text
    assert "None under `owners`." in text


def test_the_same_report_gives_the_same_page_and_plots(tmp_path):
    written = []
    for name in ("first", "second"):
        rows = [_row(), _row(policy="random")]
        pages.write(tmp_path / name / "results.md", rows, control=None, report=None)
        files = sorted(path for path in (tmp_path / name).rglob("*") if path.is_file())
        written.append([(path.name, path.read_bytes()) for path in files])
    assert written[0] == written[1]
    assert [name for name, _ in written[0]] == ["steady-lagos-80-8.svg", "results.md"]


def test_page_shows_costs_when_a_report_is_given():
    report = costs.Report(
        command="the command",
        cores=4,
        seconds=5,
        policy="owners",
        saturations=[
            saturations.Cost(
                job_size=8,
                tasks=100,
                starts_per_second=2000,
                starts_per_core=2500,
                us_per_task=400,
                memory_mb=60,
            )
        ],
        memory=saturations.Memory(tasks=10_000, idle_mb=50, memory_mb=150, bytes_per_task=10_000),
        idle=idle_measurements.Idle(
            nodes=9, seconds=5, cpu_share=0.01, max_cpu_share=0.02, memory_mb=50, peer_bytes=900
        ),
        slopes=[
            slopes.Slope(
                axis="teams",
                policy="owners",
                sizes=[2, 160],
                us_per_task=[90, 99],
                us_per_tick=[10, 20],
                growth=1.1,
            )
        ],
    )
    text = pages.page([_row(limits=[], passed=True)], [], report=report)
    assert "| 8 | 2000 | 2500 | 400 | 60 |" in text
    assert "10000 tasks in progress holds 150 MB" in text
    assert "1.00% of a core on average and 2.00% at most" in text
    assert "| teams | 2, 160 | 90, 99 | 10, 20 | 1.10 |" in text
    assert "None under `owners`." in text

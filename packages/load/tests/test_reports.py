from xml.etree import ElementTree

import msgspec
import pytest

from chiveridge_kernel import results
from chiveridge_load import generators, measurements, plots, reconciliations, reports, workloads


def _measurement():
    jobs = [
        workloads.JobPlan(index=index, at_s=10.0 * index, team="desk", run_ms=[98.0])
        for index in range(3)
    ]
    records = [
        generators.JobRecord(
            index=job.index,
            team=job.team,
            due_s=job.at_s,
            sent_s=job.at_s,
            ended_s=job.at_s + 0.098 * (job.index + 1),
            code=results.ResultCode.COMPLETE,
            run_ms=job.run_ms,
        )
        for job in jobs
    ]
    records[0].code = results.ResultCode.OVERLOADED
    records[0].ran = results.TaskOutcome.NOT_RUN
    verdict = reconciliations.ReconciliationResult(useful=2, requests=4, faults=["planted"])
    return measurements.Measurement(
        jobs=jobs, records=records, verdict=verdict, slots=1, seconds=30, warmup_s=0
    )


def _row(limits=()):
    return reports.make_row(
        _measurement(),
        list(limits),
        scenario="steady",
        deployment="lagos",
        policy="random",
        load=0.8,
        job_mean=1,
        seed=1,
    )


def test_row_holds_what_was_measured():
    row = _row()
    assert row.p99_ratio == pytest.approx(296 / 100, rel=1e-3)
    assert (row.p50_bound, row.p99_bound) == pytest.approx((1.0, 1.0), rel=1e-3)
    assert row.refused_share == pytest.approx(1 / 3)
    assert row.goodput_share == pytest.approx(2 / 3)
    assert row.wasted_share == pytest.approx(0.5)
    assert row.wrong_answers == 1
    assert row.jobs_by_code == {"COMPLETE": 2, "OVERLOADED": 1}


def test_job_refused_after_it_waited_counts_as_refused():
    record = _measurement().records[1]
    assert not measurements.is_refused(record)
    not_run = [results.TaskOutcome.NOT_RUN] * 2
    waited = msgspec.structs.replace(
        record, code=results.ResultCode.DEADLINE_UNREACHABLE, outcomes=not_run
    )
    assert measurements.is_refused(waited)
    partly = msgspec.structs.replace(waited, outcomes=[*not_run, results.TaskOutcome.RAN])
    assert not measurements.is_refused(partly)
    cancelled = msgspec.structs.replace(waited, code=results.ResultCode.CANCELLED)
    assert not measurements.is_refused(cancelled)


def test_jobs_of_the_warm_up_are_left_out_of_the_ratios():
    measurement = _measurement()
    assert measurement.ratios().count == 2
    assert measurements.Measurement(
        jobs=measurement.jobs,
        records=measurement.records,
        verdict=measurement.verdict,
        slots=1,
        seconds=30,
        warmup_s=15,
    ).ratios().p50 == pytest.approx(296 / 100, rel=1e-3)


def test_missed_limit_fails_the_row_and_is_shown():
    kept = reports.Limit("p50_ratio", 1.0, 1.05)
    missed = reports.Limit("goodput_share", 0.9, 0.95, at_least=True)
    assert _row([kept]).passed
    row = _row([kept, missed])
    assert not row.passed
    shown = reports.table([row])
    assert "MISSED steady lagos random 0.80 1: goodput_share 0.9000 under 0.9500" in shown
    assert "p50_ratio 1.0000" not in shown
    assert "planted" in shown


def test_rows_are_read_as_they_were_written(tmp_path):
    path = tmp_path / "build" / "bench.json"
    rows = [_row([reports.Limit("p50_ratio", 1.0, 1.05)])]
    reports.write(path, rows)
    assert reports.read(path) == rows


def test_percentiles_of_nothing_are_zero():
    found = measurements.percentiles([])
    assert (found.count, found.p50, found.p99, set(found.quantiles)) == (0, 0.0, 0.0, {0.0})


def test_plots_are_drawn_for_steady_loads(tmp_path):
    other = msgspec.structs.replace(_row(), scenario="burst")
    paths = plots.draw([_row(), other], tmp_path)
    assert [path.name for path in paths] == ["steady-lagos-80-1.svg"]
    assert ElementTree.parse(paths[0]).getroot().tag == "{http://www.w3.org/2000/svg}svg"

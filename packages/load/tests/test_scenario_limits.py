"""The limits of each scenario pass on a correct run and fail on an injected fault."""

import msgspec

from chiveridge_kernel import results
from chiveridge_load import (
    generators,
    measurements,
    reconciliations,
    scenario_limits,
    traces,
    workloads,
)

ORIGIN_MS = 1_000_000
URL = "http://127.0.0.1:1"
OTHER_URL = "http://127.0.0.1:2"
RAN_S = 0.1


def _job(index, at_s=3.0, **changes):
    job = workloads.JobPlan(index=index, at_s=at_s, team="desk", run_ms=[RAN_S * 1000])
    return msgspec.structs.replace(job, **changes)


def _record(job, code=results.ResultCode.COMPLETE, ratio=1.0, **changes):
    record = generators.JobRecord(
        index=job.index,
        team=job.team,
        due_s=job.at_s,
        sent_s=job.at_s,
        ended_s=job.at_s + RAN_S * ratio,
        code=code,
        run_ms=list(job.run_ms),
        targets=["t1"],
        url=URL,
    )
    return msgspec.structs.replace(record, **changes)


def _measurement(jobs, records, starts_s=None, **changes):
    starts_s = {} if starts_s is None else starts_s
    by_key = {
        f"{index}-0": [reconciliations.Start(target, int(ORIGIN_MS + at_s * 1000))]
        for index, (target, at_s) in starts_s.items()
    }
    measurement = measurements.Measurement(
        jobs=jobs,
        records=records,
        verdict=reconciliations.ReconciliationResult(),
        starts=reconciliations.Starts(len(by_key), by_key, ["t1", "t2"]),
        origin_ms=ORIGIN_MS,
        node_names_by_url={URL: "ikeja-e1", OTHER_URL: "lekki-e1"},
        slots=1,
        seconds=4.0,
    )
    return msgspec.structs.replace(measurement, **changes)


def _missed(limits):
    return [limit.name for limit in limits if not limit.passed]


def _single_job_measurement(ratio=1.0, **changes):
    job = _job(0)
    return _measurement([job], [_record(job, ratio=ratio)], **changes)


def test_steady_limits_ratios_waste_and_wrong_answers():
    assert _missed(scenario_limits.steady(_single_job_measurement())) == []
    assert _missed(scenario_limits.steady(_single_job_measurement(ratio=1.2))) == [
        "p50_ratio",
        "p99_ratio",
    ]
    wasteful = reconciliations.ReconciliationResult(useful=998, requests=1000)
    assert _missed(scenario_limits.steady(_single_job_measurement(verdict=wasteful))) == [
        "wasted_share"
    ]
    wrong = reconciliations.ReconciliationResult(faults=["planted"])
    assert _missed(scenario_limits.steady(_single_job_measurement(verdict=wrong))) == [
        "wrong_answers"
    ]


def test_burst_limits_goodput_refusals_and_other_teams():
    base_jobs = [_job(index, at_s) for index, at_s in enumerate((5.0, 12.0))]
    burst_job = _job(2, traces.BURST_START_S, team=traces.BURST_TEAM, run_ms=[10_000.0])
    records = [_record(job) for job in [*base_jobs, burst_job]]
    starts = {2: ("t1", traces.BURST_START_S)}
    good = _measurement([*base_jobs, burst_job], records, starts)
    assert _missed(scenario_limits.burst(good)) == []
    idle = _measurement([*base_jobs, burst_job], records)
    assert _missed(scenario_limits.burst(idle)) == ["burst_goodput"]
    slow = [records[0], _record(base_jobs[1], ratio=2.0), records[2]]
    assert _missed(scenario_limits.burst(_measurement([*base_jobs, burst_job], slow, starts))) == [
        "other_teams_p99"
    ]
    refused = _record(
        _job(3, 12.0),
        results.ResultCode.OVERLOADED,
        ratio=0.6,
        ran=results.TaskOutcome.NOT_RUN,
    )
    late = _measurement([*base_jobs, burst_job, _job(3, 12.0)], [*records, refused], starts)
    assert _missed(scenario_limits.burst(late)) == ["slowest_refusal_ms"]


def test_failing_target_may_fail_three_tasks_per_domain():
    limits = scenario_limits.failing_target(0, at_s=4.0)
    jobs = [_job(index) for index in range(7)]
    records = [
        _record(job, results.ResultCode.TASK_FAILED, url=URL if job.index < 3 else OTHER_URL)
        for job in jobs
    ]
    assert _missed(limits(_measurement(jobs[:6], records[:6]))) == []
    assert _missed(limits(_measurement(jobs, records))) == ["failed_tasks_per_domain"]


def test_failing_target_may_fail_one_probe_every_five_seconds():
    limits = scenario_limits.failing_target(0, at_s=4.0)
    jobs = [_job(index) for index in range(6)]
    records = [_record(job, results.ResultCode.TASK_FAILED) for job in jobs]
    assert _missed(limits(_measurement(jobs[:5], records[:5], seconds=14.0))) == []
    assert _missed(limits(_measurement(jobs, records, seconds=14.0))) == ["failed_tasks_per_domain"]
    assert _missed(limits(_measurement(jobs[:4], records[:4], seconds=8.0))) == [
        "failed_tasks_per_domain"
    ]


def test_failing_team_leaves_every_target_in_use():
    jobs = [_job(index) for index in range(4)]
    jobs.append(_job(4, fail=True))
    records = [_record(job) for job in jobs[:4]]
    records.append(_record(jobs[4], results.ResultCode.TASK_FAILED))
    even = {0: ("t1", 3.0), 1: ("t2", 3.0), 2: ("t1", 3.0), 3: ("t2", 3.0)}
    assert _missed(scenario_limits.failing_team(_measurement(jobs, records, even))) == []
    uneven = dict.fromkeys(range(4), ("t1", 3.0)) | {4: ("t2", 3.0)}
    missed = _missed(scenario_limits.failing_team(_measurement(jobs, records, uneven)))
    assert missed == ["least_used_target"]
    records[0].code = results.ResultCode.TASK_FAILED
    missed = _missed(scenario_limits.failing_team(_measurement(jobs, records, even)))
    assert missed == ["healthy_completed"]


def test_stragglers_do_not_slow_other_jobs():
    limits = scenario_limits.stragglers((1,))
    jobs = [_job(0), _job(1)]
    slow = _record(jobs[0], ratio=5.0, targets=["t2"])
    assert _missed(limits(_measurement(jobs, [slow, _record(jobs[1])]))) == []
    waiting = _record(jobs[1], ratio=1.6)
    assert _missed(limits(_measurement(jobs, [slow, waiting]))) == ["p99_ratio_of_the_rest"]


def test_impossible_jobs_are_refused_and_no_others():
    impossible = _job(0, memory_mb=traces.IMPOSSIBLE_MEMORY_MB)
    refusal = {"code": results.ResultCode.NEVER_RUNNABLE, "ran": results.TaskOutcome.NOT_RUN}
    refused = _record(impossible, **refusal)
    kept = _record(_job(1))
    good = _measurement([impossible, _job(1)], [refused, kept])
    assert _missed(scenario_limits.wrong_sizes(good)) == []
    swapped = _measurement(
        [impossible, _job(1), _job(2)],
        [_record(impossible, targets=[]), _record(_job(1), **refusal), _record(_job(2))],
        slots=2,
    )
    missed = _missed(scenario_limits.wrong_sizes(swapped))
    assert missed == ["impossible_not_refused", "possible_refused"]


def test_cancelled_jobs_start_nothing_and_slots_are_used_again():
    cancelled = _job(0)
    kept = _job(1, run_ms=[5000.0])
    cancelled_at_ms = ORIGIN_MS + traces.CANCEL_AT_S * 1000
    records = [
        _record(cancelled, results.ResultCode.CANCELLED, cancelled_at_ms=cancelled_at_ms),
        _record(kept),
    ]
    good = _measurement([cancelled, kept], records, {1: ("t1", 5.5)})
    assert _missed(scenario_limits.cancel_wave(good)) == []
    late = _measurement([cancelled, kept], records, {0: ("t1", 6.01), 1: ("t1", 5.5)})
    assert _missed(scenario_limits.cancel_wave(late)) == ["starts_after_cancel"]
    idle = _measurement([cancelled, kept], records, {1: ("t1", 7.5)})
    assert _missed(scenario_limits.cancel_wave(idle)) == ["slots_reused"]


def test_restarts_lose_only_jobs_of_the_killed_node():
    jobs = [_job(0), _job(1)]
    lost = results.ResultCode.OUTCOME_UNKNOWN
    killed = [_record(jobs[0], lost, url=URL), _record(jobs[1], url=OTHER_URL)]
    assert _missed(scenario_limits.restarts(_measurement(jobs, killed))) == []
    others = [_record(jobs[0], url=URL), _record(jobs[1], lost, url=OTHER_URL)]
    assert _missed(scenario_limits.restarts(_measurement(jobs, others))) == ["lost_jobs"]


def test_node_killed_after_the_trace_misses_its_limit():
    measurement = _measurement([_job(0)], [_record(_job(0))])
    late = msgspec.structs.replace(measurement, disturbed_until_s=measurement.seconds + 1)
    assert _missed(scenario_limits.restarts(late)) == ["killed_at_s"]

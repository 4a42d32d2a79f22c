"""The load tool against a small fleet of real processes."""

import msgspec

from chiveridge_load import disturbances, runs, workloads
from chiveridge_standins import fleet_plans

SECONDS = 1.5
PLAN = fleet_plans.FleetPlan(
    domains={"ikeja": fleet_plans.DomainPlan(node_count=2, target_count=2)},
    targets_per_process=2,
    settings={"placement": {"policy": "round_robin"}},
)


def _make_jobs():
    workload = workloads.Workload(load=0.5, slots=16, seconds=SECONDS, job_mean=2)
    jobs = workloads.generate(workload, seed=1)
    return [
        msgspec.structs.replace(job, run_ms=[min(run_ms, 300.0) for run_ms in job.run_ms])
        for job in jobs
    ]


async def test_a_run_measures_the_failures_of_a_failing_target():
    run = runs.Run(
        plan=PLAN,
        jobs=_make_jobs(),
        seed=1,
        seconds=SECONDS,
        disturb=disturbances.failing_target(0, at_s=0.5),
    )
    measured = await runs.measure(run)
    assert len(measured.records) == len(run.jobs)
    assert measured.verdict.faults == []
    assert set(measured.jobs_by_code()) == {"COMPLETE", "TASK_FAILED"}
    assert 0 < measured.verdict.wasted_share < 1
    assert 0 < measured.goodput_share() < 1
    failed = [record for record in measured.records if record.code.name == "TASK_FAILED"]
    assert {record.sent_s >= 0.2 for record in failed} == {True}

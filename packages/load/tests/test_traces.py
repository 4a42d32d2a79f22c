import pytest

from chiveridge_load import scenarios, traces, workloads

OPTIONS = traces.Options(load=0.8, job_mean=8, seconds=100, slots=192, seed=1)


def _load_between(jobs, from_s, to_s):
    work_ms = sum(sum(job.run_ms) for job in jobs if from_s <= job.at_s < to_s)
    return work_ms / 1000 / (to_s - from_s) / OPTIONS.slots


@pytest.mark.parametrize("name", list(scenarios.SCENARIOS_BY_NAME))
def test_trace_depends_only_on_the_seed_and_is_in_order(name):
    scenario = scenarios.SCENARIOS_BY_NAME[name]
    options = scenario.options(OPTIONS)
    jobs = scenario.jobs(options)
    assert jobs == scenario.jobs(options)
    assert [job.index for job in jobs] == list(range(len(jobs)))
    assert [job.at_s for job in jobs] == sorted(job.at_s for job in jobs)


def test_burst_makes_its_load_for_ten_seconds():
    options = scenarios.SCENARIOS_BY_NAME["burst"].options(OPTIONS)
    jobs = traces.burst(options)
    assert _load_between(jobs, 0, 10) == pytest.approx(0.5, rel=0.15)
    assert _load_between(jobs, 10, 20) == pytest.approx(3.0, rel=0.1)
    assert {job.team for job in jobs if job.at_s < 10} == set(traces.BASE_TEAMS)


def test_failing_team_is_an_eighth_of_the_load():
    jobs = traces.failing_team(OPTIONS)
    failing = [job for job in jobs if job.fail]
    assert {job.team for job in failing} == {traces.FAILING_TEAM}
    assert _load_between(jobs, 0, 100) == pytest.approx(0.8, rel=0.05)
    assert _load_between(failing, 0, 100) == pytest.approx(0.1, rel=0.15)


def test_a_tenth_of_the_jobs_fits_no_target_and_the_rest_makes_the_load():
    jobs = traces.wrong_sizes(OPTIONS)
    possible = [job for job in jobs if job.memory_mb <= 10 * traces.TYPICAL_MEMORY_MB]
    impossible = [job for job in jobs if job.memory_mb == traces.IMPOSSIBLE_MEMORY_MB]
    assert len(possible) + len(impossible) == len(jobs)
    assert len(impossible) / len(jobs) == pytest.approx(0.1, rel=0.1)
    assert _load_between(possible, 0, 100) == pytest.approx(0.8, rel=0.05)
    errors = [
        declared / run_ms
        for job in jobs
        for declared, run_ms in zip(job.declared_ms, job.run_ms, strict=True)
    ]
    assert 0.09 < min(errors) < 0.12
    assert 8 < max(errors) < 11


def test_cancel_wave_cancels_half_of_the_jobs_at_the_same_time():
    options = scenarios.SCENARIOS_BY_NAME["cancel_wave"].options(OPTIONS)
    jobs = traces.cancel_wave(options)
    before = [job for job in jobs if job.at_s < traces.CANCEL_AT_S]
    cancelled = [job for job in jobs if job.cancel_after_s is not None]
    assert len(cancelled) / len(before) == pytest.approx(0.5, abs=0.1)
    moments = {round(job.at_s + job.cancel_after_s, 6) for job in cancelled}
    assert moments == {traces.CANCEL_AT_S}


def test_scenario_overrides_the_options_it_sets():
    assert scenarios.SCENARIOS_BY_NAME["steady"].options(OPTIONS) == OPTIONS
    fixed = scenarios.SCENARIOS_BY_NAME["stragglers"].options(OPTIONS)
    assert (fixed.load, fixed.job_mean, fixed.seconds, fixed.seed) == (0.6, 1, 15, 1)


def test_mean_size_is_a_parameter_of_the_workload():
    workload = workloads.Workload(load=0.5, slots=100, seconds=1, job_mean=1)
    assert workloads.jobs_per_second(workload) == pytest.approx(0.5 * 100 / 0.349, rel=0.01)

"""Jobs with several steps: order, objectives, refusals, limits per target and failures."""

import datetime

import pools
import pytest

from chiveridge_pool import actions, jobs


def _run_spans_by_step(model, job_id):
    """Return the start and end times of the runs of each step of a job."""
    spans_by_step = {}
    for target in model.targets_by_id.values():
        for task, start, end in target.spans(model.simulation.now):
            if task.startswith(job_id):
                spans_by_step.setdefault(int(task.split(".")[2]), []).append((start, end))
    return spans_by_step


def _diamond():
    return (
        pools.step(2),
        pools.step(3, depends_on=(0,)),
        pools.step(2, depends_on=(0,)),
        pools.step(1, depends_on=(1, 2)),
    )


def test_a_step_starts_once_all_of_its_dependencies_are_done():
    model = pools.pool()
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, steps=_diamond()))
    model.run(seconds=2)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    spans = _run_spans_by_step(model, "a" * 16)
    assert {step: len(runs) for step, runs in spans.items()} == {0: 2, 1: 3, 2: 2, 3: 1}
    for step, request in enumerate(_diamond()):
        first_start = min(start for start, _ in spans[step])
        for earlier in request.depends_on:
            assert max(end for _, end in spans[earlier]) <= first_start


def test_independent_steps_run_in_parallel():
    model = pools.pool()
    steps = (pools.step(2, 400.0), pools.step(2, 400.0))
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, work_ms=400.0, steps=steps))
    model.run(seconds=0.6)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


def test_the_objective_follows_the_longest_chain_of_steps():
    steps = (
        pools.step(1, 100.0),
        pools.step(1, 300.0, depends_on=(0,)),
        pools.step(1, 50.0, depends_on=(0,)),
        pools.step(1, 100.0, depends_on=(2,)),
    )
    request = pools.job("a" * 16, steps=steps)
    milliseconds = datetime.timedelta(milliseconds=1)
    assert request.remaining_times_by_step == tuple(
        ms * milliseconds for ms in (400, 300, 150, 100)
    )
    job = jobs.Job(request, 1, datetime.datetime(2026, 1, 1))
    assert job.objective() == (60 + 1.6 * 400) * milliseconds


def test_a_job_is_refused_at_once_if_one_of_its_steps_fits_no_target():
    model = pools.pool()
    steps = (pools.step(1), pools.step(1, cpu=100_000, depends_on=(0,)))
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, steps=steps))
    assert model.answers_by_caller[caller].verdict is actions.Verdict.REFUSED
    model.run(seconds=1)
    assert not any(target.starts for target in model.targets_by_id.values())


def test_a_job_is_given_up_at_once_if_a_later_step_cannot_meet_the_deadline():
    model = pools.pool()
    caller_timeout = datetime.timedelta(seconds=1)
    steps = (pools.step(1, 500.0), pools.step(1, 4000.0, depends_on=(0,)))
    request = pools.job("a" * 16, work_ms=500.0, steps=steps, caller_timeout=caller_timeout)
    caller = model.submit(pools.node(model, 1), request)
    model.run(seconds=0.6)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.GIVEN_UP
    assert set(_run_spans_by_step(model, "a" * 16)) == {0}


def test_a_target_runs_at_most_per_target_tasks_of_a_step():
    model = pools.pool(targets_per_domain=2)
    steps = (pools.step(6, per_target=1, cpu=5000), pools.step(6, per_target=1, cpu=5000))
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, steps=steps))
    model.run(seconds=0.15)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert {target.starts for target in model.targets_by_id.values()} == {2}


@pytest.mark.promise("complete_or_failed", failures=["kill"])
def test_a_job_of_steps_survives_the_loss_of_an_owner_between_them():
    model = pools.pool()
    caller_timeout = datetime.timedelta(seconds=8)
    steps = (pools.step(6, 400.0), pools.step(6, 400.0, depends_on=(0,)))
    request = pools.job("a" * 16, work_ms=400.0, steps=steps, caller_timeout=caller_timeout)
    caller = model.submit(pools.node(model, 2), request)
    model.run(seconds=0.35)
    pools.node(model, 1).kill()
    model.run(seconds=6)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert model.overlaps() == []
    spans = _run_spans_by_step(model, "a" * 16)
    assert max(end for _, end in spans[0]) <= min(start for start, _ in spans[1])


def test_a_failed_task_of_a_later_step_runs_again():
    model = pools.pool()
    failing = next(iter(model.targets_by_id.values()))
    failing.fails = 1.0
    steps = (pools.step(4), pools.step(30, depends_on=(0,)))
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, steps=steps))
    model.run(seconds=2)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE

"""Recovery after all nodes are killed at the same time."""

import datetime

import pools
import pytest

from chiveridge_pool import actions


def _restart_all_nodes(model):
    for node in model.nodes_by_name.values():
        node.kill()
    model.run(seconds=1.5)
    for node in model.nodes_by_name.values():
        node.boot()


@pytest.mark.promise("complete_or_failed", failures=["kill", "two_at_once"])
def test_jobs_submitted_during_startup_are_served_in_time():
    model = pools.pool()
    _restart_all_nodes(model)
    callers = []
    for number, node in enumerate(model.nodes_by_name.values()):
        model.run(seconds=0.03)
        callers.append(model.submit(node, pools.job(f"{number:016x}", 2, 400.0)))
    model.run(seconds=0.9)
    verdicts = [model.answers_by_caller[caller].verdict for caller in callers]
    assert verdicts == [actions.Verdict.COMPLETE] * len(callers)


@pytest.mark.promise("honest_refusal", failures=["kill", "two_at_once"])
def test_a_job_submitted_too_early_for_its_objective_is_refused_and_never_runs():
    model = pools.pool()
    for node in model.nodes_by_name.values():
        node.kill()
    model.run(seconds=1.5)
    first = pools.node(model, 1)
    first.boot_without_store()
    caller = model.submit(first, pools.job("a" * 16, 2, 20.0))
    model.run(seconds=0.3)
    answer = model.answers_by_caller[caller]
    assert answer.verdict is actions.Verdict.REFUSED
    assert answer.retry_after > datetime.timedelta()
    model.run(seconds=3)
    assert not any(target.starts for target in model.targets_by_id.values())


def test_a_waiting_job_requests_capacity_from_an_owner_that_starts_later():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="ab")
    first, second = pools.node(model, 1), pools.node(model, 2)
    second.kill()
    model.run(seconds=3)
    caller_timeout = datetime.timedelta(seconds=8)
    model.submit(first, pools.job("b" * 16, 2, 3000.0, caller_timeout=caller_timeout))
    model.run(seconds=0.05)
    model.submit(first, pools.job("a" * 16, 2, 1500.0, caller_timeout=caller_timeout))
    second.boot()
    model.run(seconds=0.5)
    started = [target.starts for target in model.targets_by_id.values()]
    assert started == [2, 2]

"""The path of a job through the pool without faults, except for a failing target."""

import pools

from chiveridge_pool import actions


def test_a_job_is_answered_complete():
    model = pools.pool()
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, count=5))
    model.run(seconds=1)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert sum(target.starts for target in model.targets_by_id.values()) == 5


def test_every_target_has_one_owner_in_its_own_domain():
    model = pools.pool()
    owners = {}
    for node in model.nodes_by_name.values():
        for target in node.kernel.target_owner.owned_tokens():
            assert target not in owners
            owners[target] = node
    assert owners.keys() == model.targets_by_id.keys()
    for target, node in owners.items():
        assert model.targets_by_id[target].target.domain == node.domain


def test_a_job_larger_than_a_domain_uses_all_domains():
    model = pools.pool()
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, count=24))
    model.run(seconds=0.15)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


def test_a_job_that_fits_no_target_is_refused_at_once():
    model = pools.pool()
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, cpu=100_000))
    assert model.answers_by_caller[caller].verdict is actions.Verdict.REFUSED


def test_a_failed_task_runs_again_elsewhere():
    model = pools.pool()
    failing = next(iter(model.targets_by_id.values()))
    failing.fails = 1.0
    callers = [
        model.submit(pools.node(model, 1), pools.job(f"{number:016x}")) for number in range(12)
    ]
    model.run(seconds=2)
    verdicts = {model.answers_by_caller[caller].verdict for caller in callers}
    assert verdicts == {actions.Verdict.COMPLETE}
    assert failing.starts > 0

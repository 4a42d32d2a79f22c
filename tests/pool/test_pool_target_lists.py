"""Handling of targets whose entries are missing from the platform's list."""

import datetime

import msgspec
import pools
import pytest

from chiveridge_pool import actions, events, resources


def _list_targets(model) -> None:
    for node in model.nodes_by_name.values():
        node.handle(events.TargetsListed(targets=model.listed()))


def _owned_tokens(model) -> dict[str, int]:
    tokens: dict[str, int] = {}
    for node in model.nodes_by_name.values():
        tokens |= node.kernel.target_owner.owned_tokens()
    return tokens


def _unlist(model, *targets) -> None:
    for target in targets:
        target.is_unlisted = True
    _list_targets(model)


def _serve_at_every_node(model) -> set[actions.Verdict]:
    """Submit a job at each node and return the verdicts of all."""
    callers = [
        model.submit(node, pools.job(f"{number:016x}", 4, 50.0))
        for number, node in enumerate(model.nodes_by_name.values())
    ]
    model.run(seconds=2)
    return {model.answers_by_caller[caller].verdict for caller in callers}


@pytest.mark.promise("complete_or_failed", failures=["platform_outage"])
def test_targets_whose_entries_lapsed_in_an_outage_stay_in_use_until_they_are_listed_again():
    model = pools.pool()
    tokens = _owned_tokens(model)
    _unlist(model, *model.targets_by_id.values())
    for number in range(5):
        caller = model.submit(pools.node(model, 1), pools.job(f"{number:016x}", 4, 50.0))
        model.run(seconds=1)
        assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    for target in model.targets_by_id.values():
        target.is_unlisted = False
    _list_targets(model)
    model.run(seconds=5)
    assert _owned_tokens(model) == tokens


def test_a_target_that_is_missing_again_when_the_list_is_read_seconds_later_is_dropped():
    model = pools.pool()
    gone = next(iter(model.targets_by_id.values()))
    _unlist(model, gone)
    model.run(seconds=1)
    _list_targets(model)
    model.run(seconds=4)
    assert gone.target.id in _owned_tokens(model)
    _list_targets(model)
    model.run(seconds=0.5)
    assert gone.target.id not in _owned_tokens(model)
    starts = gone.starts
    assert _serve_at_every_node(model) == {actions.Verdict.COMPLETE}
    assert gone.starts == starts


def test_a_target_that_does_not_answer_and_is_missing_gets_no_runs():
    model = pools.pool()
    dark = next(iter(model.targets_by_id.values()))
    dark.is_dark = True
    model.run(seconds=3)
    _unlist(model, dark)
    starts = dark.starts
    assert _serve_at_every_node(model) == {actions.Verdict.COMPLETE}
    assert dark.starts == starts


def test_new_targets_that_one_owner_has_read_are_owned_at_once():
    model = pools.pool()
    new = {model.add_target("a").target.id for _ in range(4)}
    pools.node(model, 1).handle(events.TargetsListed(targets=model.listed()))
    model.run(seconds=0.5)
    owned = set()
    for node in model.nodes_by_name.values():
        owned |= node.kernel.target_owner.owned_tokens().keys()
    assert new <= owned


def test_nothing_starts_beyond_a_capacity_that_has_shrunk():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="ab")
    for target in model.targets_by_id.values():
        target.guards_capacity = False
        shrunk = resources.Resources(pools.TASK_CPU + 1, 1000, 0)
        target.target = msgspec.structs.replace(target.target, capacity=shrunk)
    _list_targets(model)
    caller_timeout = datetime.timedelta(seconds=5)
    model.submit(pools.node(model, 1), pools.job("a" * 16, 8, caller_timeout=caller_timeout))
    for _ in range(40):
        model.run(seconds=0.02)
        assert all(len(target._running) <= 1 for target in model.targets_by_id.values())
    assert sum(target.starts for target in model.targets_by_id.values()) >= 8

"""Runs with an unanswered attempt that change their owner."""

import datetime

import pools
import pytest

from chiveridge_pool import actions

MS = datetime.timedelta(milliseconds=1)


def _ignore(reply) -> None:
    """Discard a reply that is lost on its way."""


def _lose_first_start(model, on_lost):
    lost = []

    def delays(target, action):
        if lost or not isinstance(action, actions.StartRun):
            return False
        lost.append((target, action))
        on_lost(target, action)
        return True

    model.delays = delays
    return lost


def _submit(model, work_ms, node=1, timeout=9):
    request = pools.job("a" * 16, 1, work_ms, caller_timeout=datetime.timedelta(seconds=timeout))
    return model.submit(pools.node(model, node), request)


@pytest.mark.promise("at_most_once", failures=["lost_reply", "target_death"])
@pytest.mark.parametrize("is_handed_over", [False, True])
def test_a_run_that_was_handed_over_waits_for_its_attempt_while_there_is_time(is_handed_over):
    model = pools.pool(nodes_per_domain=2, targets_per_domain=2, domains="a")
    lost = _lose_first_start(model, lambda target, action: None)
    _submit(model, 16000.0, timeout=60)
    model.run(seconds=1.5)
    target, action = lost[0]
    if is_handed_over:
        owner = next(
            node
            for node in model.nodes_by_name.values()
            if target.target.id in node.kernel.target_owner.owned_tokens()
        )
        new = next(node for node in model.nodes_by_name.values() if node is not owner)
        pools.hand_over_all(owner, new)
    model.run(seconds=1)
    target.restart_time = datetime.timedelta(seconds=4)
    target.crashes_silently = True
    target.crash_under(target.incarnation)
    model.simulation.call_later(4005 * MS, lambda: target.carry_out(action, _ignore))
    model.run(seconds=30)
    assert model.overlaps() == []

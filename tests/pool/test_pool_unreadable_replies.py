"""An unreadable reply to a start, and the loss of the owner."""

import datetime

import pools
import pytest

from chiveridge_load import pool_targets
from chiveridge_pool import actions, events

MS = datetime.timedelta(milliseconds=1)


def _ignore(reply) -> None:
    """Discard a reply that is lost on its way."""


def _submit(model, work_ms, node=1, timeout=9):
    request = pools.job("a" * 16, 1, work_ms, caller_timeout=datetime.timedelta(seconds=timeout))
    return model.submit(pools.node(model, node), request)


@pytest.mark.promise("at_most_once", failures=["lost_reply", "target_death", "kill"])
@pytest.mark.parametrize("failure", [events.Failure.BROKEN, events.Failure.UNREADABLE])
def test_a_jobs_node_knows_of_an_attempt_with_an_unreadable_reply_when_the_owner_is_lost(failure):
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="ab")
    owner_node, other = pools.node(model, 1), pools.node(model, 2)
    (lost_id,) = owner_node.kernel.target_owner.owned_tokens()
    lost_target = model.targets_by_id[lost_id]
    model.submit(other, pools.job("b" * 16, 2, 400.0))
    model.run(seconds=0.05)
    struck = []
    execute = lost_target.carry_out

    def carry_out(action, reply):
        if struck or not isinstance(action, actions.StartRun):
            execute(action, reply)
            return
        struck.append(action)
        lost_target.restart_time = datetime.timedelta(seconds=2)
        lost_target.crashes_silently = True
        lost_target.crash_under(lost_target.incarnation)
        model.simulation.call_later(500 * MS, owner_node.kill)
        model.simulation.call_later(2010 * MS, lambda: execute(action, _ignore))
        reply(pool_targets.Reply(failure=failure))

    lost_target.carry_out = carry_out
    _submit(model, 2000.0, node=2)
    model.run(seconds=12)
    assert struck
    assert lost_target.starts >= 1
    assert model.overlaps() == []

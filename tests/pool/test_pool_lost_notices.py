"""Messages of unanswered starts that are lost."""

import datetime

import pools
import pytest

from chiveridge_pool import actions, messages

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


def _overlaps_with_lost_notices(lost_for):
    """Lose what an owner tells of unanswered starts for a time, and the owner after 2 s."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="ab")
    owner_node, other = pools.node(model, 1), pools.node(model, 2)
    model.submit(other, pools.job("b" * 16, 2, 400.0))
    model.run(seconds=0.05)
    lost_until = model.simulation.now + lost_for

    def drops(sender, receiver, message):
        is_notice = isinstance(message, messages.StartsUnanswered)
        return is_notice and model.simulation.now < lost_until

    model.drops = drops

    def crash_with_its_owner(target, action):
        target.restart_time = datetime.timedelta(seconds=4)
        target.crashes_silently = True
        model.simulation.call_later(2000 * MS, lambda: target.crash_under(target.incarnation))
        model.simulation.call_later(2010 * MS, owner_node.kill)
        model.simulation.call_later(6005 * MS, lambda: target.carry_out(action, _ignore))

    lost = _lose_first_start(model, crash_with_its_owner)
    _submit(model, 8000.0, node=2, timeout=60)
    model.run(seconds=25)
    assert lost
    return model.overlaps()


@pytest.mark.promise("at_most_once", failures=["lost_reply", "target_death", "kill"])
@pytest.mark.parametrize("lost_for_ms", [0, 400])
def test_a_lost_message_of_an_unanswered_start_is_sent_again(lost_for_ms):
    assert _overlaps_with_lost_notices(lost_for_ms * MS) == []


@pytest.mark.promise("at_most_once", failures=["lost_reply", "target_death", "kill", "cut"])
def test_a_job_is_told_of_an_unanswered_start_while_heartbeats_of_its_owner_arrive():
    """Guards against taking a heartbeat for the arrival of messages that were lost before it."""
    assert _overlaps_with_lost_notices(2500 * MS) == []

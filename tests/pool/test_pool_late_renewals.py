"""Requests of which the next incarnation executes a start and a renewal."""

import datetime

import pools
import pytest

from chiveridge_pool import actions

MS = datetime.timedelta(milliseconds=1)


def _ignore(reply) -> None:
    """Discard a reply that is lost on its way."""


def _submit(model, work_ms, node=1, timeout=9):
    request = pools.job("a" * 16, 1, work_ms, caller_timeout=datetime.timedelta(seconds=timeout))
    return model.submit(pools.node(model, node), request)


@pytest.mark.promise("at_most_once", failures=["lost_reply", "target_death", "cut"])
@pytest.mark.parametrize("is_renewed", [False, True])
def test_a_late_renewal_does_not_keep_a_late_start_running_beside_a_later_run(is_renewed):
    """A cut delays the first start and, later, a hold; the next incarnation executes both."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    late = []

    def delays(target, action):
        if not late and isinstance(action, actions.StartRun):
            late.append((target, action))
            model.simulation.call_later(6000 * MS, lambda: setattr(target, "is_dark", True))
            model.simulation.call_later(11_900 * MS, lambda: strike(target))
            return True
        is_delayed = len(late) == 1 and isinstance(action, actions.Hold) and target is late[0][0]
        if is_delayed and action.until_ms and model.simulation.now - began > 5800 * MS:
            late.append((target, action))
            return True
        return False

    began = model.simulation.now

    def strike(target):
        target.crash()
        execute(target, late[0][1])
        if is_renewed:
            model.simulation.call_later(500 * MS, lambda: execute(target, late[1][1]))

    def execute(target, action):
        target.is_dark = False
        target.carry_out(action, _ignore)
        target.is_dark = True

    model.delays = delays
    _submit(model, 16000.0, timeout=60)
    model.run(seconds=40)
    assert len(late) == 2
    assert model.overlaps() == []

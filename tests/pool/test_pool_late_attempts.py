"""An unanswered attempt that the next incarnation executes after its run has ended."""

import datetime

import pools
import pytest

from chiveridge_pool import actions, events

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


def _execute_after_restart(model, target, action):
    """Crash a target, and let its next incarnation execute an attempt before it is claimed."""
    target.crash_under(target.incarnation)
    target.is_down = False
    target.carry_out(action, _ignore)


@pytest.mark.promise("at_most_once", failures=["lost_reply", "target_death"])
def test_an_attempt_of_a_stopped_run_overlaps_no_later_run_after_a_restart():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")

    def reject_the_next(target, action):
        target.rejects_starts_with = events.Failure.UNHEALTHY

        def accept():
            target.rejects_starts_with = None

        model.simulation.call_later(400 * MS, accept)
        model.simulation.call_later(
            1500 * MS, lambda: _execute_after_restart(model, target, action)
        )

    lost = _lose_first_start(model, reject_the_next)
    _submit(model, 3000.0)
    model.run(seconds=8)
    assert lost
    assert model.overlaps() == []


@pytest.mark.promise("at_most_once", failures=["lost_reply", "target_death"])
def test_an_attempt_of_a_failed_run_overlaps_no_later_run_after_a_restart():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")

    def fail_the_next(target, action):
        target.fails = 1.0
        model.simulation.call_later(200 * MS, lambda: setattr(target, "fails", 0.0))
        model.simulation.call_later(
            1500 * MS, lambda: _execute_after_restart(model, target, action)
        )

    lost = _lose_first_start(model, fail_the_next)
    _submit(model, 3000.0)
    model.run(seconds=8)
    assert lost
    assert model.overlaps() == []

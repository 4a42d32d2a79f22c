"""Runs that outlive the node of their job: the job is sent again before they have ended."""

import datetime

import pools
import pytest

from chiveridge_pool import actions, events

MS = datetime.timedelta(milliseconds=1)
RESEND_DELAY_SECONDS = 1.3


def _run_on_target_of_another_node(model, request):
    """Run a job of the first node elsewhere than on its own targets; return the target."""
    node = pools.node(model, 1)
    for target in node.kernel.target_owner.owned_tokens():
        model.targets_by_id[target].rejects_starts_with = events.Failure.NO_ROOM
    model.submit(node, request)
    model.run(seconds=1)
    (running,) = [target for target in model.targets_by_id.values() if target._running]
    return running


def _fall_silent(model, running):
    model.simulation.call_later(600 * MS, lambda: setattr(running, "is_dark", True))


def _lose_stops(model, running):
    model.delays = lambda target, action: target is running and isinstance(action, actions.StopRun)


@pytest.mark.promise("at_most_once", failures=["kill", "lost_reply"])
@pytest.mark.parametrize("disturb", [_fall_silent, _lose_stops])
@pytest.mark.parametrize(("nodes_per_domain", "domains"), [(3, "a"), (2, "ab")])
@pytest.mark.parametrize("resent_to", [2, 3])
def test_a_job_that_is_sent_again_does_not_start_beside_a_run_that_could_not_be_stopped(
    disturb, nodes_per_domain, domains, resent_to
):
    """The job's node is killed, and the stop by the run's owner does not reach the target."""
    model = pools.pool(nodes_per_domain=nodes_per_domain, targets_per_domain=3, domains=domains)
    request = pools.job("a" * 16, 1, 3500.0, caller_timeout=datetime.timedelta(seconds=9))
    running = _run_on_target_of_another_node(model, request)
    pools.node(model, 1).kill()
    disturb(model, running)
    model.run(seconds=RESEND_DELAY_SECONDS)
    caller = model.submit(pools.node(model, resent_to), request)
    model.run(seconds=9)
    assert model.overlaps() == []
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE

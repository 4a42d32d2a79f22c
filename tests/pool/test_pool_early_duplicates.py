"""Jobs that reach a second node before the first has advertised that it has them in progress."""

import datetime

import pools
import pytest

from chiveridge_pool import actions

JOB = "a" * 16
CALLER_TIMEOUT = datetime.timedelta(seconds=6)
STOPS_LOST_FOR = datetime.timedelta(milliseconds=250)


def _submit_early_at_two_nodes(first_node, second_node, *, breaks=False):
    """Submit a job with a task for each target at a node, and 0.1 s later at another."""
    model = pools.pool(domains="a")
    count = len(model.targets_by_id)
    request = pools.job(JOB, count, 900.0, per_target=1, cpu=9_000, caller_timeout=CALLER_TIMEOUT)
    callers = [model.submit(pools.node(model, first_node), request)]
    model.run(seconds=0.1)
    if breaks:
        _lose_stops(model)
        model.leave(callers[0])
    callers.append(model.submit(pools.node(model, second_node), request))
    model.run(seconds=4)
    return model, callers


def _lose_stops(model):
    lost_until = model.simulation.now + STOPS_LOST_FOR

    def delays(target, command):
        return isinstance(command, actions.StopRun) and model.simulation.now < lost_until

    model.delays = delays


@pytest.mark.parametrize("nodes", [(1, 2), (2, 1)])
@pytest.mark.promise("at_most_once", failures=["silent_connection"])
def test_an_owner_grants_a_job_to_no_second_node_while_a_run_of_the_first_goes_on(nodes):
    model, callers = _submit_early_at_two_nodes(*nodes)
    verdicts = {model.answers_by_caller[caller].verdict for caller in callers}
    assert verdicts == {actions.Verdict.COMPLETE}
    assert model.overlaps() == []
    assert {target.starts for target in model.targets_by_id.values()} == {1}


@pytest.mark.parametrize("nodes", [(1, 2), (2, 1)])
@pytest.mark.promise("at_most_once", failures=["cut", "lost_reply"])
def test_an_owner_grants_a_job_to_no_second_node_while_a_run_of_the_first_is_stopped(nodes):
    model, (_, second) = _submit_early_at_two_nodes(*nodes, breaks=True)
    assert model.answers_by_caller[second].verdict is actions.Verdict.COMPLETE
    assert model.overlaps() == []

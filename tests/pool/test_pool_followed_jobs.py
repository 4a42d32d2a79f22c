"""Jobs submitted to a second node while the first still has them in progress."""

import datetime

import pools
import pytest

from chiveridge_pool import actions, events, messages

JOB = "a" * 16
CALLER_TIMEOUT = datetime.timedelta(seconds=6)
RESUBMIT_AFTER_SECONDS = 1.3
"""Time after which callers resubmit a job; by then its node has advertised it to its peers."""


def _submit_at_two_nodes(model, work_ms=2000.0, **fields):
    """Submit a job at two nodes, like a caller whose connection to the first went silent."""
    request = pools.job(JOB, 3, work_ms, caller_timeout=CALLER_TIMEOUT, **fields)
    first = model.submit(pools.node(model, 1), request)
    model.run(seconds=RESUBMIT_AFTER_SECONDS)
    second = model.submit(pools.node(model, 2), request)
    return first, second


def _start_count(model):
    return sum(target.starts for target in model.targets_by_id.values())


@pytest.mark.promise("at_most_once", failures=["silent_connection"])
def test_a_job_that_reaches_a_second_node_runs_once_and_answers_both():
    model = pools.pool()
    callers = _submit_at_two_nodes(model)
    model.run(seconds=2)
    verdicts = {model.answers_by_caller[caller].verdict for caller in callers}
    assert verdicts == {actions.Verdict.COMPLETE}
    assert _start_count(model) == 3


@pytest.mark.promise("at_most_once", failures=["silent_connection"])
@pytest.mark.parametrize(("owner_number", "unused"), [(1, ["t003"]), (2, ["t001", "t002"])])
def test_an_owner_grants_another_node_no_capacity_for_a_job_that_it_has_started_itself(
    owner_number, unused
):
    model = pools.pool(domains="a", targets_per_domain=3)
    for target in unused:
        model.targets_by_id[target].is_unlisted = True
    owner, peer = pools.node(model, owner_number), pools.node(model, 3 - owner_number)
    for _ in range(2):
        for node in (owner, peer):
            node.handle(events.TargetsListed(targets=model.listed()))
        model.run(seconds=5)
    assert not peer.kernel.target_owner.owned_tokens()
    request = pools.job(JOB, 1, 2000.0, caller_timeout=CALLER_TIMEOUT)
    callers = [model.submit(peer, request)]
    model.run(seconds=0.001)
    model.cut(owner.name, peer.name)
    model.run(seconds=RESUBMIT_AFTER_SECONDS)
    callers.append(model.submit(owner, request))
    model.run(seconds=0.2)
    model.heal()
    model.run(seconds=6)
    assert model.overlaps() == []
    verdicts = {model.answers_by_caller[caller].verdict for caller in callers}
    assert verdicts == {actions.Verdict.COMPLETE}
    assert _start_count(model) == 2


@pytest.mark.promise("at_most_once", failures=["silent_connection"])
def test_a_job_goes_on_when_its_first_caller_leaves_and_a_second_waits():
    model = pools.pool()
    first, second = _submit_at_two_nodes(model)
    model.run(seconds=0.1)
    model.leave(first)
    model.run(seconds=2)
    assert model.answers_by_caller[second].verdict is actions.Verdict.COMPLETE
    assert _start_count(model) == 3


@pytest.mark.promise("at_most_once", failures=["silent_connection"])
def test_a_job_stops_once_nobody_waits_at_any_node():
    model = pools.pool()
    first, second = _submit_at_two_nodes(model, 4000.0)
    model.run(seconds=0.1)
    model.leave(first)
    model.run(seconds=0.3)
    assert any(target.spans(model.simulation.now) for target in model.targets_by_id.values())
    model.leave(second)
    model.run(seconds=0.3)
    assert not any(target._running for target in model.targets_by_id.values())
    assert not pools.node(model, 1).kernel.coordinator.jobs_by_id


@pytest.mark.promise("at_most_once", failures=["silent_connection"])
def test_a_job_that_is_being_stopped_elsewhere_runs_anew_after_its_end():
    model = pools.pool()
    request = pools.job(JOB, 3, 2000.0, caller_timeout=CALLER_TIMEOUT)
    first = model.submit(pools.node(model, 1), request)
    model.run(seconds=RESUBMIT_AFTER_SECONDS)
    model.leave(first)
    second = model.submit(pools.node(model, 2), request)
    model.run(seconds=4)
    assert model.answers_by_caller[second].verdict is actions.Verdict.COMPLETE
    assert model.overlaps() == []


@pytest.mark.promise("at_most_once", failures=["silent_connection", "kill"])
def test_a_job_runs_anew_when_the_node_that_had_it_dies():
    model = pools.pool()
    _, second = _submit_at_two_nodes(model, 1000.0)
    pools.node(model, 1).kill()
    model.run(seconds=4.5)
    assert model.answers_by_caller[second].verdict is actions.Verdict.COMPLETE
    assert model.overlaps() == []


@pytest.mark.promise("at_most_once", failures=["silent_connection", "lost_reply"])
def test_a_lost_question_is_asked_again():
    model = pools.pool()
    dropped = []

    def drops(sender, receiver, message):
        is_first = isinstance(message, messages.FollowJob) and not dropped
        if is_first:
            dropped.append(message)
        return is_first

    model.drops = drops
    callers = _submit_at_two_nodes(model)
    model.run(seconds=2)
    assert dropped
    verdicts = {model.answers_by_caller[caller].verdict for caller in callers}
    assert verdicts == {actions.Verdict.COMPLETE}
    assert _start_count(model) == 3


@pytest.mark.promise("honest_refusal", failures=["silent_connection"])
def test_a_follower_is_answered_by_its_own_deadline():
    model = pools.pool()
    request = pools.job(JOB, 3, 5000.0, caller_timeout=CALLER_TIMEOUT)
    model.submit(pools.node(model, 1), request)
    model.run(seconds=RESUBMIT_AFTER_SECONDS)
    model.cut(pools.node(model, 1).name, pools.node(model, 2).name)
    short = pools.job(JOB, 3, 5000.0, caller_timeout=datetime.timedelta(seconds=0.5))
    second = model.submit(pools.node(model, 2), short)
    model.run(seconds=0.5)
    assert model.answers_by_caller[second].verdict is actions.Verdict.GIVEN_UP


@pytest.mark.promise("graceful_shutdown", failures=["silent_connection"])
def test_a_node_that_drains_waits_for_the_answers_that_it_follows():
    model = pools.pool()
    callers = _submit_at_two_nodes(model, 4500.0)
    follower = pools.node(model, 2)
    model.run(seconds=0.1)
    follower.drain()
    model.run(seconds=6)
    assert follower in model.exited
    verdicts = {model.answers_by_caller[caller].verdict for caller in callers}
    assert verdicts == {actions.Verdict.COMPLETE}


def test_a_starting_node_follows_a_job_of_a_peer_that_it_hears_late():
    model = pools.pool()
    request = pools.job(JOB, 3, 2000.0, caller_timeout=CALLER_TIMEOUT)
    leader, starting = pools.node(model, 1), pools.node(model, 4)
    callers = [model.submit(leader, request)]
    model.run(seconds=1.2)
    starting.kill()
    heard_from = model.simulation.now + datetime.timedelta(milliseconds=200)

    def drops(sender, receiver, message):
        return sender is leader and receiver is starting and model.simulation.now < heard_from

    model.drops = drops
    starting.boot()
    while not starting.kernel.is_ready(model.simulation.now):
        model.run(seconds=0.001)
    callers.append(model.submit(starting, request))
    model.run(seconds=5)
    verdicts = {model.answers_by_caller[caller].verdict for caller in callers}
    assert verdicts == {actions.Verdict.COMPLETE}
    assert model.overlaps() == []


def test_another_node_can_cancel_a_job():
    model = pools.pool()
    request = pools.job(JOB, 3, 4000.0, caller_timeout=CALLER_TIMEOUT)
    caller = model.submit(pools.node(model, 1), request)
    model.run(seconds=RESUBMIT_AFTER_SECONDS)
    other = pools.node(model, 2).kernel.coordinator
    assert other.job_state(JOB, model.simulation.now) is not None
    pools.node(model, 2).handle(events.JobCancelled(job=JOB))
    model.run(seconds=0.3)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.CANCELLED
    assert not any(target._running for target in model.targets_by_id.values())

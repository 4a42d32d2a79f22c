"""Pools in which only some nodes own targets: who owns them, what is sent, and what faults do."""

import collections
import datetime

import pools
import pytest

from chiveridge_load import pool_messages, pool_models
from chiveridge_pool import (
    actions,
    events,
    identifiers,
    messages,
    node_lists,
    notes,
    owner_sets,
    timings,
)

JOB = "a" * 16
CALLER_TIMEOUT = datetime.timedelta(seconds=8)
RESEND_SECONDS = 1.3
MAX_GROWTH_AT_REST = 1.2
MAX_BYTES_PER_SECOND_AT_REST = 3000
MAX_BYTES_AT_START = 100_000
NODES_PER_DOMAIN = 6


def _pool(strong_per_domain=3, domains="abc"):
    """Return a pool with three owners and three other nodes in each domain."""
    model = pool_models.PoolModel()
    for domain in domains:
        for number in range(NODES_PER_DOMAIN):
            model.add_node(domain, strength=200 if number < strong_per_domain else 50)
        for _ in range(4):
            model.add_target(domain)
    model.boot_all()
    return model


def _owners(model):
    return [node for node in model.nodes_by_name.values() if _owned(node)]


def _others(model, domain="a"):
    nodes = [node for node in model.nodes_by_name.values() if node.domain == domain]
    return [node for node in nodes if node.is_running and not node.kernel.members.is_owner()]


def _owned(node):
    return node.kernel.target_owner.owned_tokens() if node.is_running else {}


def _all_owned(model):
    return sorted(target for node in model.nodes_by_name.values() for target in _owned(node))


def _verdict(model, caller):
    answer = model.answers_by_caller.get(caller)
    return None if answer is None else answer.verdict


def _drop_for(model, sender, receiver, seconds):
    """Return a filter that drops the messages from one node to another for some seconds."""
    until = model.simulation.now + datetime.timedelta(seconds=seconds)
    return lambda source, target, message: (
        source is sender and target is receiver and model.simulation.now < until
    )


def _start_count(model):
    return sum(target.starts for target in model.targets_by_id.values())


def test_the_strongest_nodes_of_a_domain_own_its_targets():
    model = _pool()
    assert _all_owned(model) == sorted(model.targets_by_id)
    for node in _owners(model):
        assert node.strength == 200
        domains = {model.targets_by_id[target].target.domain for target in _owned(node)}
        assert domains == {node.domain}


def test_what_a_node_sends_at_rest_does_not_grow_with_the_pool():
    small, large = (pool_messages.measure(share, 0.2, 1) for share in (0.16, 1))
    assert large["rest"].nodes > 6 * small["rest"].nodes
    assert large["rest"].rate() <= MAX_GROWTH_AT_REST * small["rest"].rate()
    assert large["rest"].bytes_rate() <= MAX_BYTES_PER_SECOND_AT_REST
    assert large["boot"].max_bytes_of_a_node <= MAX_BYTES_AT_START


def test_a_job_at_a_node_without_targets_runs():
    model = _pool()
    caller = model.submit(_others(model)[0], pools.job(JOB, 8))
    model.run(seconds=0.5)
    assert _verdict(model, caller) is actions.Verdict.COMPLETE


def test_a_job_that_its_domain_has_no_room_for_runs_in_others():
    model = _pool()
    node = _others(model)[0]
    caller = model.submit(node, pools.job(JOB, 20, 200.0))
    model.run(seconds=0.6)
    assert _verdict(model, caller) is actions.Verdict.COMPLETE


@pytest.mark.promise("complete_or_failed", failures=["kill"])
def test_another_node_takes_the_place_of_a_killed_owner():
    model = _pool()
    victim = next(node for node in _owners(model) if node.domain == "a")
    callers = [
        model.submit(node, pools.job(f"{n:016x}", 3, 800.0))
        for n, node in enumerate(_others(model))
    ]
    model.run(seconds=0.2)
    victim.kill()
    model.run(seconds=5)
    assert {_verdict(model, caller) for caller in callers} == {actions.Verdict.COMPLETE}
    assert _all_owned(model) == sorted(model.targets_by_id)
    assert model.overlaps() == []


@pytest.mark.promise("complete_or_failed", failures=["kill", "two_at_once"])
@pytest.mark.parametrize("killed", ["owners of a domain", "half of all", "a domain"])
def test_targets_are_owned_again_after_many_nodes_were_killed_at_once(killed):
    model = _pool()
    victims = {
        "owners of a domain": [node for node in _owners(model) if node.domain == "a"],
        "half of all": list(model.nodes_by_name.values())[::2],
        "a domain": [node for node in model.nodes_by_name.values() if node.domain == "a"],
    }[killed]
    for node in victims:
        node.kill()
    model.run(seconds=6)
    assert _all_owned(model) == sorted(model.targets_by_id)


@pytest.mark.promise("at_most_once", failures=["silent_connection"])
@pytest.mark.parametrize("domains", ["aa", "ab"])
def test_a_job_that_reaches_a_second_node_without_targets_runs_once(domains):
    model = _pool()
    first, second = _others(model, domains[0])[0], _others(model, domains[1])[-1]
    request = pools.job(JOB, 3, 2500.0, caller_timeout=CALLER_TIMEOUT)
    callers = [model.submit(first, request)]
    model.run(seconds=RESEND_SECONDS)
    callers.append(model.submit(second, request))
    model.run(seconds=3)
    assert {_verdict(model, caller) for caller in callers} == {actions.Verdict.COMPLETE}
    assert _start_count(model) == 3


@pytest.mark.promise("at_most_once", failures=["silent_connection"])
def test_a_leader_that_was_heard_long_ago_is_not_taken_for_lost():
    model = _pool()
    first, second = _others(model, "a")[0], _others(model, "b")[0]
    # Makes the two nodes hear each other once, and then no more.
    second.kernel.members.record_heard(first.kernel.settings.node, model.simulation.now)
    request = pools.job(JOB, 3, 2500.0, caller_timeout=CALLER_TIMEOUT)
    model.run(seconds=4)
    callers = [model.submit(first, request)]
    model.run(seconds=RESEND_SECONDS)
    model.drops = _drop_for(model, first, second, seconds=0.2)
    callers.append(model.submit(second, request))
    model.run(seconds=4)
    assert {_verdict(model, caller) for caller in callers} == {actions.Verdict.COMPLETE}
    assert _start_count(model) == 3


@pytest.mark.promise("at_most_once", failures=["silent_connection"])
def test_two_leaders_that_are_told_of_each_other_do_not_both_stop():
    model = _pool()
    first, second = _others(model, "a")[0], _others(model, "b")[0]
    request = pools.job(JOB, 3, 2500.0, caller_timeout=CALLER_TIMEOUT)
    callers = [model.submit(first, request), model.submit(second, request)]
    model.run(seconds=0.5)
    for node, leader in ((first, second), (second, first)):
        told = messages.JobElsewhere(
            sender=identifiers.NodeId("c-1"), job=JOB, leader=leader.kernel.settings.node
        )
        node.handle(events.MessageReceived(message=told))
    model.run(seconds=4)
    assert {_verdict(model, caller) for caller in callers} == {actions.Verdict.COMPLETE}
    assert _start_count(model) == 6


@pytest.mark.promise("at_most_once", failures=["freeze", "silent_connection"])
def test_a_node_that_was_paused_starts_no_request_that_waited_meanwhile():
    model = _pool()
    paused, other = _others(model)[:2]
    request = pools.job(JOB, 3, 2000.0, caller_timeout=CALLER_TIMEOUT)
    paused.freeze()
    # Heartbeats of its owners are read before the request.
    model.run(seconds=0.5)
    waiting = model.submit(paused, request)
    model.run(seconds=RESEND_SECONDS)
    resent = model.submit(other, request)
    model.run(seconds=0.2)
    paused.wake()
    model.run(seconds=4)
    assert _verdict(model, waiting) is actions.Verdict.REFUSED
    assert _verdict(model, resent) is actions.Verdict.COMPLETE
    assert model.overlaps() == []


@pytest.mark.promise("at_most_once", failures=["replaced_vm"])
def test_a_node_that_has_left_is_not_used_again_by_an_old_list():
    model = _pool()
    leaving = next(node for node in _owners(model) if node.domain == "a")
    viewer = next(node for node in _owners(model) if node.domain == "a" and node is not leaving)
    listed = leaving.listing()
    leaving.drain()
    model.run(seconds=4)
    assert leaving in model.exited
    viewer.handle(events.NodesListed(nodes=(listed,)))
    assert listed.endpoint not in viewer.kernel.members.owner_set("a")


@pytest.mark.promise("at_most_once", failures=["cut"])
def test_owners_and_nodes_find_each_other_again_after_a_cut_of_a_domain():
    model = _pool()
    model.cut("a", "b")
    model.cut("a", "c")
    model.run(seconds=8)
    callers = [
        model.submit(_others(model, domain)[0], pools.job(f"{n:016x}", 4))
        for n, domain in enumerate("abc")
    ]
    model.run(seconds=1)
    model.heal()
    model.run(seconds=4)
    assert {_verdict(model, caller) for caller in callers} == {actions.Verdict.COMPLETE}
    assert _all_owned(model) == sorted(model.targets_by_id)
    now = model.simulation.now
    owners = _owners(model)
    for node in owners:
        heard = {member.endpoint for member in node.kernel.members.live(now)}
        assert {other.endpoint for other in owners if other is not node} <= heard


def test_a_node_cut_off_from_its_own_domain_takes_no_targets():
    model = _pool()
    isolated = _others(model)[0]
    for node in model.nodes_by_name.values():
        if node is not isolated and node.domain == "a":
            model.cut(isolated.name, node.name)
    model.run(seconds=8)
    assert _owned(isolated) == {}
    assert _all_owned(model) == sorted(model.targets_by_id)


@pytest.mark.promise("at_most_once", failures=["two_at_once"])
def test_a_new_owner_keeps_the_runs_of_a_remote_node_that_it_last_heard_long_ago():
    model = _pool()
    submitter = _others(model, "b")[0]
    owner, successor = [node for node in _owners(model) if node.domain == "a"][:2]
    successor.kernel.members.record_heard(submitter.kernel.settings.node, model.simulation.now)
    model.run(seconds=4)
    caller = model.submit(submitter, pools.job(JOB, 24, 1500.0, caller_timeout=CALLER_TIMEOUT))
    model.run(seconds=0.3)
    model.drops = _drop_for(model, submitter, successor, seconds=0.25)
    owner.drain()
    model.run(seconds=4)
    assert _verdict(model, caller) is actions.Verdict.COMPLETE
    assert _start_count(model) == 24


@pytest.mark.parametrize(
    "message",
    [
        messages.Nodes(
            sender="ghost", nodes=(node_lists.ListedNode("10.9.9.9:7000", "g", "a", 999),)
        ),
        messages.Nodes(sender="ghost", nodes=(node_lists.ListedNode("10.0.0.1:7000", "g", "z"),)),
        messages.JobElsewhere(sender="ghost", job=JOB, leader="ghost"),
        messages.Heartbeat(sender="ghost", state_number=99, needs_lists=True),
        messages.Heartbeat(
            sender="ghost",
            state_number=1,
            state=messages.NodeState(
                domain="a", endpoint="10.9.9.8:7000", unfit_endpoints=("10.9.9.7:1", "nowhere")
            ),
            remote_rooms=(("ghost-2", "10.9.9.6:7000", 10**12),),
            leaders_by_job=((JOB, "ghost-3"),),
        ),
    ],
)
def test_words_of_nodes_that_never_were_keep_no_job_from_running(message):
    model = _pool()
    for node in model.nodes_by_name.values():
        node.handle(events.MessageReceived(message=message))
    callers = [
        model.submit(_others(model, domain)[0], pools.job(f"{n:016x}", 4))
        for n, domain in enumerate("abc")
    ]
    model.run(seconds=3)
    assert {_verdict(model, caller) for caller in callers} == {actions.Verdict.COMPLETE}
    model.run(seconds=3)
    assert _all_owned(model) == sorted(model.targets_by_id)


def test_a_target_without_runs_is_asked_rarely_and_its_lease_is_not_renewed():
    model = _pool()
    model.run(seconds=2)
    holds = []
    owner = _owners(model)[0]
    perform = model.perform

    def record(node, action):
        if node is owner and isinstance(action, actions.Hold):
            holds.append(action)
        perform(node, action)

    model.perform = record
    model.run(seconds=10)
    per_target = 10 / timings.IDLE_HOLD_WAIT.total_seconds() + 1
    assert 0 < len(holds) <= per_target * len(_owned(owner))
    assert {hold.until_ms for hold in holds} == {None}


@pytest.mark.promise("complete_or_failed", failures=["target_death"])
def test_a_start_without_reply_shows_that_an_idle_target_is_dead():
    model = _pool()
    model.run(seconds=3)
    for target in list(model.targets_by_id.values())[:2]:
        target.is_dark = True
    model.run(seconds=0.3)
    callers = [
        model.submit(node, pools.job(f"{n:016x}", 4, 200.0))
        for n, node in enumerate(_others(model))
    ]
    model.run(seconds=3)
    assert {_verdict(model, caller) for caller in callers} == {actions.Verdict.COMPLETE}
    assert model.overlaps() == []


@pytest.mark.parametrize("fast_per_domain", [0, 2])
def test_a_domain_whose_nodes_are_all_slow_keeps_its_owners(fast_per_domain):
    model = _pool()
    before = {node.name: set(_owned(node)) for node in _owners(model)}
    fast = [node for domain in "abc" for node in _others(model, domain)[:fast_per_domain]]
    slow = [node for node in model.nodes_by_name.values() if node not in fast]
    for node in slow:
        node.slowness = 4.0
    model.run(seconds=4)
    assert all(node.kernel.loop_lag.is_slow for node in slow)
    assert {node.name: set(_owned(node)) for node in _owners(model)} == before


@pytest.mark.promise("honest_refusal", failures=["silent_connection"])
def test_a_node_whose_loop_lags_far_behind_refuses_new_jobs_but_none_in_progress():
    model = _pool()
    leader, lagging = _others(model)[:2]

    def reason(job):
        return lagging.kernel.overload_reason(identifiers.JobId(job), model.simulation.now)

    model.submit(leader, pools.job(JOB, 2, 5000.0, caller_timeout=CALLER_TIMEOUT))
    own = pools.job("c" * 16, 2, 5000.0, caller_timeout=CALLER_TIMEOUT)
    model.submit(lagging, own)
    assert reason("b" * 16) is None
    lagging.slowness = 12.0
    model.run(seconds=1.5)
    assert reason("b" * 16) is not None
    assert reason(JOB) is None
    assert reason(own.id) is None
    lagging.slowness = 1.0
    model.run(seconds=1)
    assert reason("b" * 16) is None


@pytest.mark.promise("at_most_once", failures=["target_death"])
def test_targets_that_go_down_and_up_run_nothing_twice():
    model = _pool()
    flapping = list(model.targets_by_id.values())[::4]
    callers = []
    for number in range(24):
        node = _others(model, "abc"[number % 3])[0]
        callers.append(model.submit(node, pools.job(f"{number:016x}", 3, 150.0)))
        model.run(seconds=0.35)
        for target in flapping:
            target.crash()
    model.run(seconds=3)
    assert model.overlaps() == []
    assert None not in {_verdict(model, caller) for caller in callers}
    complete = sum(_verdict(model, caller) is actions.Verdict.COMPLETE for caller in callers)
    assert complete >= 0.9 * len(callers)


def test_owners_that_count_targets_differently_do_not_hand_them_back_and_forth():
    targets = 3 * owner_sets.TARGETS_PER_OWNER
    model = pools.pool(nodes_per_domain=4, targets_per_domain=targets, domains="a")
    model.add_target("a")
    before = len(model.notes)
    for number in (1, 2):
        node = pools.node(model, number)
        node.handle(events.TargetsListed(targets=model.listed()))
    seconds = 3
    model.run(seconds=seconds)
    taken_over = collections.Counter(
        note.fields["target"]
        for note in model.notes[before:]
        if note.event is notes.NoteEvent.OWNER_CHANGED and note.fields["how"] == "taken over"
    )
    assert taken_over
    assert max(taken_over.values()) <= 2 * seconds

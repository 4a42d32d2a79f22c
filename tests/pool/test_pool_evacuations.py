"""Failure domains that an operator evacuates: no new runs there, and callers served elsewhere."""

import datetime

import pools
import pytest

from chiveridge_pool import actions, events, notes, refusals

IN_FORCE_WITHIN_S = 5.0
"""The users' limit from the request to the last start on an evacuated target."""


def _evacuate(model, domains, version, nodes=None):
    for node in nodes or model.nodes_by_name.values():
        node.handle(events.EvacuationsRead(version=version, domains=domains))


def _started_in(model, domain):
    return sum(t.starts for t in model.targets_by_id.values() if t.target.domain == domain)


def _submit_rounds(model, rounds, count=2, work_ms=200.0, prefix="a"):
    """Submit a job at each node every 0.2 s; return the callers."""
    callers = []
    for number in range(rounds):
        for position, node in enumerate(model.nodes_by_name.values()):
            name = f"{prefix}{number:07x}{position:08x}"
            callers.append(model.submit(node, pools.job(name, count, work_ms)))
        model.run(seconds=0.2)
    return callers


def _verdicts(model, callers):
    return {model.answers_by_caller[caller].verdict for caller in callers}


def test_nothing_starts_in_an_evacuated_domain_and_callers_there_are_served_elsewhere():
    model = pools.pool()
    _submit_rounds(model, 2, prefix="b")
    _evacuate(model, ("b",), 7)
    before = _started_in(model, "b")
    callers = _submit_rounds(model, 10)
    model.run(seconds=2)
    assert _started_in(model, "b") == before
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}


def test_runs_at_work_in_an_evacuated_domain_end_there():
    model = pools.pool(domains="a")
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, 2, 900.0))
    model.run(seconds=0.3)
    _evacuate(model, ("a",), 7)
    model.run(seconds=2)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert _started_in(model, "a") == 2


def test_grants_that_were_not_used_before_an_evacuation_start_nothing():
    model = pools.pool(nodes_per_domain=1, domains="ab")
    seen = []

    def evacuate_before_the_start(node, message):
        if type(message).__name__ == "CapacityGranted" and not seen:
            seen.append(message)
            _evacuate(model, ("a",), 7)

    model.on_send = evacuate_before_the_start
    callers = [model.submit(pools.node(model, 2), pools.job("a" * 16, 12, 300.0))]
    model.run(seconds=3)
    assert seen
    assert _started_in(model, "a") == 0
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}


def test_a_start_without_reply_is_not_sent_again_after_an_evacuation():
    model = pools.pool(nodes_per_domain=1, domains="a")
    sent = []

    def lose_starts(target, action):
        if isinstance(action, actions.StartRun):
            sent.append(action)
            return True
        return False

    model.delays = lose_starts
    model.submit(pools.node(model, 1), pools.job("a" * 16))
    model.run(seconds=0.03)
    _evacuate(model, ("a",), 7)
    model.run(seconds=2)
    assert len(sent) == 1


def test_a_job_that_only_evacuated_targets_can_run_is_refused_at_once():
    model = pools.pool(domains="ab")
    for target in model.targets_by_id.values():
        target.guards_capacity = True
    filling = pools.job("f" * 16, 16, 2500.0)
    model.submit(pools.node(model, 1), filling)
    model.run(seconds=0.1)
    waiting = model.submit(pools.node(model, 1), pools.job("a" * 16, 1, 900.0))
    model.run(seconds=0.05)
    _evacuate(model, ("a", "b"), 7)
    model.run(seconds=0.05)
    assert model.answers_by_caller[waiting].verdict is actions.Verdict.REFUSED
    late = model.submit(pools.node(model, 1), pools.job("c" * 16))
    model.run(seconds=0.01)
    assert model.answers_by_caller[late].verdict is actions.Verdict.REFUSED
    assert model.answers_by_caller[late].retry_after
    assert model.answers_by_caller[late].reason == refusals.EVACUATED


def test_an_evacuated_domain_is_used_again_when_it_is_taken_back():
    model = pools.pool()
    _evacuate(model, ("a", "b"), 7)
    _submit_rounds(model, 2, prefix="b")
    _evacuate(model, ("b",), 8)
    _evacuate(model, (), 9)
    before = _started_in(model, "b")
    callers = _submit_rounds(model, 3, count=3)
    model.run(seconds=3)
    assert _started_in(model, "b") > before
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}


def test_an_earlier_version_changes_nothing():
    model = pools.pool(domains="a")
    _evacuate(model, ("a",), 7)
    _evacuate(model, (), 6)
    assert all("a" in node.kernel.evacuations for node in model.nodes_by_name.values())


@pytest.mark.promise("configuration_in_force", failures=["platform_outage"])
def test_nodes_that_do_not_reach_the_platform_learn_of_an_evacuation_from_others():
    model = pools.pool()
    _evacuate(model, ("c",), 7, nodes=[pools.node(model, 1)])
    model.run(seconds=IN_FORCE_WITHIN_S)
    assert all("c" in node.kernel.evacuations for node in model.nodes_by_name.values())
    before = _started_in(model, "c")
    _submit_rounds(model, 5)
    assert _started_in(model, "c") == before


@pytest.mark.promise("configuration_in_force", failures=["kill"])
def test_a_node_that_starts_learns_of_an_evacuation_from_others():
    model = pools.pool()
    _evacuate(model, ("a",), 7)
    restarted = pools.node(model, 1)
    restarted.kill()
    model.run(seconds=3)
    before = _started_in(model, "a")
    restarted.boot()
    model.run(seconds=IN_FORCE_WITHIN_S)
    assert "a" in restarted.kernel.evacuations
    _submit_rounds(model, 3)
    assert _started_in(model, "a") == before


@pytest.mark.promise("configuration_in_force", failures=["cut"])
def test_a_domain_that_was_cut_off_learns_of_an_evacuation_after_the_cut():
    model = pools.pool()
    model.cut("a", "c")
    model.cut("b", "c")
    model.run(seconds=3)
    _evacuate(model, ("c",), 7, nodes=[pools.node(model, 1), pools.node(model, 3)])
    model.heal()
    model.run(seconds=IN_FORCE_WITHIN_S)
    assert all("c" in node.kernel.evacuations for node in model.nodes_by_name.values())


def test_an_evacuation_is_logged_with_its_domain_version_and_source():
    model = pools.pool(domains="ab")
    _evacuate(model, ("b",), 7, nodes=[pools.node(model, 1)])
    model.run(seconds=1)
    logged = [n for n in model.notes if n.event is notes.NoteEvent.EVACUATION_CHANGED]
    assert {note.fields["source"] for note in logged} >= {"store", "a-e1-1"}
    assert all(note.fields["domain"] == "b" and note.fields["version"] == 7 for note in logged)
    since = pools.node(model, 1).kernel.evacuations.since_by_domain["b"]
    assert since < model.simulation.now < since + datetime.timedelta(seconds=2)


def test_in_a_burst_what_is_left_serves_as_much_as_it_can_and_the_rest_is_refused():
    """Answers a load of three times the targets in use, while a third of them is evacuated."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=3)
    _evacuate(model, ("b",), 7)
    before = _started_in(model, "b")
    callers = _submit_rounds(model, 10, count=8, work_ms=600.0)
    model.run(seconds=5)
    assert _started_in(model, "b") == before
    assert _verdicts(model, callers) <= {
        actions.Verdict.COMPLETE,
        actions.Verdict.REFUSED,
        actions.Verdict.GIVEN_UP,
    }
    done = [
        caller
        for caller in callers
        if model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    ]
    work_s = len(done) * 8 * 0.6
    slots = 2 * 6
    assert work_s > 0.6 * slots * 2.0
    assert model.overlaps() == []


@pytest.mark.promise("configuration_in_force", failures=["kill"])
def test_an_evacuation_holds_while_all_nodes_are_replaced_one_after_the_other():
    model = pools.pool(nodes_per_domain=2)
    _evacuate(model, ("b",), 7)
    before = _started_in(model, "b")
    callers = []
    for number, node in enumerate(list(model.nodes_by_name.values())):
        node.drain()
        callers += _submit_rounds(model, 3, count=1, work_ms=50.0, prefix="cdefab"[number])
        model.run(seconds=3)
        node.kill()
        node.boot()
        model.run(seconds=2)
    assert all("b" in node.kernel.evacuations for node in model.nodes_by_name.values())
    assert _started_in(model, "b") == before


def test_two_domains_that_are_evacuated_one_after_the_other_and_at_once_get_no_new_runs():
    model = pools.pool()
    _evacuate(model, ("a",), 7)
    model.run(seconds=0.5)
    _evacuate(model, ("a", "b"), 8)
    before = _started_in(model, "a") + _started_in(model, "b")
    callers = _submit_rounds(model, 5, count=1)
    model.run(seconds=2)
    assert _started_in(model, "a") + _started_in(model, "b") == before
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}
    _evacuate(model, (), 9)
    _submit_rounds(model, 2, prefix="f")
    model.run(seconds=2)
    assert _started_in(model, "a") > 0
    assert _started_in(model, "b") > 0

"""Handling of failed nodes, targets, network connections and callers."""

import datetime

import pools
import pytest

from chiveridge_pool import actions, events, messages, notes, owned_targets

SECONDS_TO_RETRY = 1.3


def _submit_everywhere(model, count=24, work_ms=400.0):
    """Submit one job at each node; return the callers."""
    nodes = list(model.nodes_by_name.values())
    return [
        model.submit(node, pools.job(f"{number:016x}", count // len(nodes), work_ms))
        for number, node in enumerate(nodes)
    ]


def _verdicts(model, callers):
    return {
        model.answers_by_caller[caller].verdict
        for caller in callers
        if caller not in model.broken_callers
    }


def _count_running(model):
    return sum(
        len(target._running) for target in model.targets_by_id.values() if not target.is_dark
    )


@pytest.mark.promise("at_most_once", failures=["kill"])
@pytest.mark.parametrize("number", range(1, 7))
def test_runs_of_a_killed_node_end_before_its_callers_retry(number):
    model = pools.pool()
    callers = _submit_everywhere(model, count=18, work_ms=2500.0)
    model.run(seconds=0.2)
    victim = pools.node(model, number)
    victim.kill()
    model.run(seconds=SECONDS_TO_RETRY)
    job_id = f"{number - 1:016x}"
    tasks = {task for target in model.targets_by_id.values() for task, _ in target._running}
    assert not any(task.startswith(job_id) for task in tasks)
    again = model.submit(pools.node(model, number % 6 + 1), pools.job(job_id, 3, 100.0))
    model.run(seconds=4)
    assert model.answers_by_caller[again].verdict is actions.Verdict.COMPLETE
    assert model.overlaps() == []
    assert len(callers) == 6


@pytest.mark.promise("complete_or_failed", failures=["kill"])
def test_jobs_survive_the_loss_of_an_owner():
    model = pools.pool()
    callers = _submit_everywhere(model, work_ms=400.0)
    model.run(seconds=0.2)
    pools.node(model, 1).kill()
    model.run(seconds=4)
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}
    assert model.overlaps() == []


@pytest.mark.promise("at_most_once", failures=["freeze", "paused_lease_holder"])
@pytest.mark.parametrize("frozen_seconds", [0.3, 0.7, 0.9, 1.2, 2.0, 4.0])
def test_a_frozen_node_starts_nothing_that_runs_elsewhere(frozen_seconds):
    model = pools.pool()
    _submit_everywhere(model, work_ms=700.0)
    model.run(seconds=0.2)
    victim = pools.node(model, 1)
    victim.freeze()
    model.run(seconds=frozen_seconds)
    victim.wake()
    model.run(seconds=6)
    assert model.overlaps() == []
    assert _count_running(model) == 0


@pytest.mark.promise("complete_or_failed", failures=["cut"])
def test_a_domain_that_is_cut_off_serves_with_its_own_targets():
    model = pools.pool()
    model.cut("a", "b")
    model.cut("a", "c")
    model.run(seconds=2)
    callers = [model.submit(pools.node(model, 1), pools.job("a" * 16, 4))]
    callers.append(model.submit(pools.node(model, 3), pools.job("b" * 16, 4)))
    model.run(seconds=2)
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}


@pytest.mark.promise("at_most_once", failures=["cut"])
def test_jobs_over_a_cut_are_finished_and_never_run_twice_at_once():
    model = pools.pool()
    callers = _submit_everywhere(model, work_ms=600.0)
    model.run(seconds=0.2)
    model.cut("a", "b")
    model.cut("a", "c")
    model.run(seconds=5)
    model.heal()
    model.run(seconds=3)
    assert model.overlaps() == []
    assert _count_running(model) == 0
    verdicts = _verdicts(model, callers)
    assert verdicts <= {actions.Verdict.COMPLETE, actions.Verdict.GIVEN_UP}


@pytest.mark.promise("at_most_once", failures=["cut"])
def test_a_node_cut_off_from_its_peers_takes_no_targets_from_them():
    model = pools.pool()
    before = [
        pools.node(model, number).kernel.target_owner.owned_tokens().keys()
        for number in range(1, 7)
    ]
    for number in range(2, 7):
        model.cut(pools.node(model, 1).name, pools.node(model, number).name)
    model.run(seconds=5)
    assert sum(len(owned) for owned in before) == 12
    for number in range(2, 7):
        owned = pools.node(model, number).kernel.target_owner.owned_tokens().keys()
        assert before[number - 1] <= owned
    assert pools.node(model, 1).kernel.target_owner.owned_tokens() == {}


@pytest.mark.promise("at_most_once", failures=["replaced_vm", "two_at_once"])
def test_a_run_handed_to_a_new_node_is_not_run_elsewhere_at_the_same_time():
    """A restarted node may take over runs of a node that has not received its heartbeats yet."""
    model = pools.pool(targets_per_domain=5)
    pools.node(model, 1).kill()
    model.run(seconds=3)
    caller_timeout = datetime.timedelta(seconds=10)
    submitter = pools.node(model, 3)
    long_jobs = [pools.job(f"{n:016x}", 8, 2500.0, caller_timeout=caller_timeout) for n in range(3)]
    # Occupies the nearest capacity, which is free again when the first node has restarted.
    model.submit(submitter, pools.job("f" * 16, 6, 300.0))
    callers = [model.submit(submitter, request) for request in long_jobs]
    model.run(seconds=1.6)
    restarted = pools.node(model, 1)

    def drops(sender, receiver, message):
        is_unheard = sender is restarted and receiver is submitter
        return is_unheard or (receiver is restarted and isinstance(message, messages.Handover))

    model.drops = drops
    restarted.boot()
    model.run(seconds=8)
    assert model.overlaps() == []
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}


@pytest.mark.promise("graceful_shutdown")
def test_a_node_that_drains_hands_its_targets_over_and_loses_no_run():
    model = pools.pool()
    callers = _submit_everywhere(model, work_ms=1500.0)
    model.run(seconds=0.2)
    pools.node(model, 1).drain()
    model.run(seconds=5)
    assert pools.node(model, 1) in model.exited
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}
    assert sum(target.starts for target in model.targets_by_id.values()) == 24


def test_a_draining_node_is_not_handed_its_targets_back():
    model = pools.pool()
    owned = len(pools.node(model, 1).kernel.target_owner.owned_tokens())
    pools.node(model, 1).drain()
    model.run(seconds=1)
    handed = [
        note
        for note in model.notes
        if note.event is notes.NoteEvent.OWNER_CHANGED and note.fields.get("how") == "handed over"
    ]
    assert len(handed) == owned


def test_a_caller_that_leaves_has_its_job_stopped():
    model = pools.pool()
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, 8, 2000.0))
    model.run(seconds=0.2)
    model.leave(caller)
    model.run(seconds=0.3)
    assert _count_running(model) == 0


@pytest.mark.promise("at_most_once", failures=["lost_reply"])
@pytest.mark.parametrize("seed", range(5))
def test_requests_that_are_executed_late_run_nothing_twice(seed):
    model = pools.pool()
    model.rng.seed(seed)
    model.late_orders = 0.1
    for number in range(60):
        node = pools.node(model, number % 6 + 1)
        model.submit(node, pools.job(f"{number:016x}", 3, 150.0))
        model.run(seconds=0.1)
    model.run(seconds=14)
    assert model.overlaps() == []
    assert _count_running(model) == 0
    assert len(model.answers_by_caller) == 60


@pytest.mark.promise("complete_or_failed", failures=["target_death"])
def test_jobs_complete_after_a_target_with_their_runs_crashes():
    model = pools.pool()
    callers = _submit_everywhere(model, work_ms=400.0)
    model.run(seconds=0.2)
    next(iter(model.targets_by_id.values())).crash()
    model.run(seconds=3)
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}


@pytest.mark.promise("at_most_once", failures=["target_death"])
def test_a_start_executed_by_the_next_incarnation_of_a_target_runs_nowhere_else():
    """An owner that has not noticed a crash sends requests to the target's next incarnation."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="ab")
    model.run(seconds=1)
    for target in model.targets_by_id.values():
        target.crash()
    caller_timeout = datetime.timedelta(seconds=6)
    request = pools.job("a" * 16, 4, 1500.0, caller_timeout=caller_timeout)
    caller = model.submit(pools.node(model, 1), request)
    model.run(seconds=6)
    assert model.overlaps() == []
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


@pytest.mark.promise("at_most_once", failures=["target_death"])
def test_a_target_that_was_silent_for_a_lease_fences_off_earlier_requests():
    model = pools.pool()
    _submit_everywhere(model, work_ms=700.0)
    model.run(seconds=0.2)
    target = next(target for target in model.targets_by_id.values() if target._running)
    before = target._fence
    target.is_dark = True
    model.run(seconds=2)
    target.is_dark = False
    model.run(seconds=2)
    assert target._fence > before


def test_an_accepted_claim_resets_the_count_of_rejections():
    model = pools.pool()
    node = pools.node(model, 1)
    target_owner = node.kernel.target_owner
    target_id = next(iter(target_owner.owned_tokens()))
    for _ in range(5):
        target_owner._tokens.record_rejection(target_id, 1, model.simulation.now)
    model.targets_by_id[target_id].crash()
    model.run(seconds=5)
    assert target_id in target_owner.owned_tokens()
    assert target_id not in target_owner._tokens._rejections_by_target


@pytest.mark.promise("at_most_once", failures=["target_death", "two_at_once"])
@pytest.mark.parametrize("raised", [0, 10**16])
def test_a_request_to_a_former_incarnation_of_a_target_starts_nothing_in_the_next(raised):
    """A request without a reply may be executed seconds later by a restarted target."""
    model = pools.pool()
    for node in model.nodes_by_name.values():
        for owned in list(node.kernel.target_owner.owned_by_target.values()):
            # A token issued after a rejection exceeds the one derived from the clock.
            node.kernel.target_owner._tokens.record_rejection(
                owned.target.id, raised, model.simulation.now
            )
            model.targets_by_id[owned.target.id].crash()
    model.run(seconds=2)
    callers = _submit_everywhere(model, work_ms=700.0)
    model.run(seconds=0.2)
    target = next(target for target in model.targets_by_id.values() if target._running)
    owned = next(
        node.kernel.target_owner.owned_by_target[target.target.id]
        for node in model.nodes_by_name.values()
        if target.target.id in node.kernel.target_owner.owned_tokens()
    )
    grant = owned.sent_grants()[0]
    late_start = actions.StartRun(
        target=owned.target,
        token=owned.token,
        grant=grant.id,
        task=grant.task,
        run=grant.run,
        spec=grant.spec,
        until_ms=grant.until_ms,
        attempt=1,
        send_by=model.simulation.now,
        timeout=datetime.timedelta(milliseconds=60),
    )
    target.crash()
    model.run(seconds=0.3)
    replies = []
    target.carry_out(late_start, replies.append)
    assert [reply.failure for reply in replies] == [events.Failure.FENCED]
    model.run(seconds=3)
    assert model.overlaps() == []
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}


@pytest.mark.promise("at_most_once", failures=["target_death"])
def test_an_unresponsive_target_is_avoided_and_its_runs_move_after_their_lease():
    model = pools.pool()
    callers = _submit_everywhere(model, work_ms=400.0)
    model.run(seconds=0.2)
    next(iter(model.targets_by_id.values())).is_dark = True
    model.run(seconds=4)
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}
    assert model.overlaps() == []


@pytest.mark.promise("leaving_target")
def test_a_draining_target_gets_no_new_runs():
    model = pools.pool()
    draining_target = next(iter(model.targets_by_id.values()))
    draining_target.drain()
    for node in model.nodes_by_name.values():
        node.handle(events.TargetsListed(targets=model.listed()))
    callers = _submit_everywhere(model, work_ms=200.0)
    model.run(seconds=3)
    assert draining_target.starts == 0
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}


@pytest.mark.promise("complete_or_failed", failures=["kill", "two_at_once"])
def test_all_nodes_serve_again_soon_after_all_were_killed():
    model = pools.pool()
    _submit_everywhere(model, work_ms=400.0)
    model.run(seconds=0.2)
    for node in model.nodes_by_name.values():
        node.kill()
    model.run(seconds=1.5)
    for node in model.nodes_by_name.values():
        node.boot()
    model.run(seconds=0.4)
    callers = [
        model.submit(node, pools.job(f"f{number:015x}", 2))
        for number, node in enumerate(model.nodes_by_name.values())
    ]
    model.run(seconds=0.5)
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}
    assert model.overlaps() == []


@pytest.mark.promise("configuration_in_force", failures=["platform_outage"])
def test_a_node_without_the_store_gets_configuration_and_targets_from_its_peers():
    model = pools.pool()
    for node in model.nodes_by_name.values():
        node.handle(events.ConfigurationRead(version=7, text=b"routes"))
    restarted_node = pools.node(model, 1)
    restarted_node.kill()
    model.run(seconds=1)
    restarted_node.boot_without_store()
    model.run(seconds=0.5)
    assert [(action.version, action.text) for action in model.applied] == [(7, b"routes")]
    caller = model.submit(restarted_node, pools.job("a" * 16, 4))
    model.run(seconds=1)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


@pytest.mark.promise("configuration_in_force")
def test_a_configuration_is_never_replaced_by_an_older_one():
    model = pools.pool()
    node = pools.node(model, 1)
    node.handle(events.ConfigurationRead(version=7, text=b"new"))
    node.handle(events.ConfigurationRead(version=5, text=b"old"))
    assert (node.kernel.configuration_version, node.kernel.configuration) == (7, b"new")


@pytest.mark.promise("leaving_target", failures=["platform_outage"])
def test_a_node_without_the_store_learns_from_its_peers_that_a_target_is_draining():
    model = pools.pool()
    draining_target = next(iter(model.targets_by_id.values()))
    owner = next(
        node
        for node in model.nodes_by_name.values()
        if draining_target.target.id in node.kernel.target_owner.owned_tokens()
    )
    draining_target.drain()
    for node in model.nodes_by_name.values():
        if node is not owner:
            node.handle(events.TargetsListed(targets=model.listed()))
    model.run(seconds=0.2)
    _submit_everywhere(model, work_ms=200.0)
    model.run(seconds=3)
    assert draining_target.starts == 0


def test_a_slow_node_hands_its_targets_over_and_loses_no_run():
    model = pools.pool()
    callers = _submit_everywhere(model, work_ms=1500.0)
    model.run(seconds=0.1)
    slow = pools.node(model, 1)
    slow.slowness = 4.0
    model.run(seconds=1.2)
    assert slow.kernel.target_owner.owned_tokens() == {}
    model.run(seconds=3)
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}
    assert sum(target.starts for target in model.targets_by_id.values()) == 24
    slow.slowness = 1.0
    model.run(seconds=4)
    assert slow.kernel.target_owner.owned_tokens()


def test_a_hanging_target_delays_no_job_for_long():
    model = pools.pool()
    hanging = next(iter(model.targets_by_id.values()))
    hanging.hangs = True
    callers = _submit_everywhere(model, work_ms=200.0)
    model.run(seconds=2)
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}
    assert max(model.answered_at[caller] - model.submitted_at[caller] for caller in callers) < (
        datetime.timedelta(seconds=1)
    )


def test_a_slow_target_is_avoided_and_used_again_when_it_recovers():
    model = pools.pool()
    slow = next(iter(model.targets_by_id.values()))
    slow.speed = 0.15
    for number in range(40):
        node = pools.node(model, number % 6 + 1)
        model.submit(node, pools.job(f"{number:016x}", 3, 100.0))
        model.run(seconds=0.1)
    assert slow.starts <= 12
    slow.speed = 1.0
    model.run(seconds=1)
    before = slow.starts
    for number in range(40, 100):
        node = pools.node(model, number % 6 + 1)
        model.submit(node, pools.job(f"{number:016x}", 6, 100.0))
        model.run(seconds=0.1)
    assert slow.starts > before + 20


def test_jobs_that_take_far_longer_than_declared_are_not_moved():
    model = pools.pool()
    estimate = datetime.timedelta(milliseconds=20)
    callers = []
    for number in range(30):
        request = pools.job(f"{number:016x}", 4, 400.0, estimate=estimate)
        callers.append(model.submit(pools.node(model, number % 6 + 1), request))
        model.run(seconds=0.1)
    model.run(seconds=3)
    assert _verdicts(model, callers) == {actions.Verdict.COMPLETE}
    assert sum(target.starts for target in model.targets_by_id.values()) <= 1.1 * 120


@pytest.mark.promise("honest_refusal", failures=["cut"])
def test_an_isolated_node_refuses_jobs_at_once():
    model = pools.pool()
    isolated = pools.node(model, 1)
    for name in [*model.nodes_by_name, *model.targets_by_id]:
        if name != isolated.name:
            model.cut(isolated.name, name)
    model.run(seconds=5)
    caller = model.submit(isolated, pools.job("a" * 16))
    answer = model.answers_by_caller[caller]
    assert answer.verdict is actions.Verdict.REFUSED
    assert answer.retry_after is not None


def test_a_job_that_can_no_longer_finish_in_time_is_given_up_before_its_deadline():
    model = pools.pool(nodes_per_domain=2, targets_per_domain=1, domains="a")
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, 8, 1000.0))
    model.run(seconds=2.8)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.GIVEN_UP
    took = model.answered_at[caller] - model.submitted_at[caller]
    assert took < datetime.timedelta(seconds=2.6)
    assert _count_running(model) == 0


def test_a_run_that_stalls_near_its_end_is_moved():
    model = pools.pool()
    warm = _submit_everywhere(model, count=60, work_ms=50.0)
    model.run(seconds=2)
    target = next(iter(model.targets_by_id.values()))
    caller = model.submit(pools.node(model, 1), pools.job("b" * 16, 24, 200.0))
    model.run(seconds=0.19)
    target.stand_still()
    model.run(seconds=1.5)
    assert _verdicts(model, [*warm, caller]) == {actions.Verdict.COMPLETE}
    took = model.answered_at[caller] - model.submitted_at[caller]
    assert took < datetime.timedelta(seconds=1)


def test_a_new_owner_that_has_not_heard_a_jobs_node_yet_keeps_its_runs():
    model = pools.pool()
    pools.node(model, 1).kill()
    model.run(seconds=3)
    submitter = pools.node(model, 3)
    caller = model.submit(submitter, pools.job("a" * 16, 24, 1500.0))
    model.run(seconds=0.3)
    restarted = pools.node(model, 1)
    delivered_from = model.simulation.now + datetime.timedelta(milliseconds=300)
    model.drops = lambda sender, receiver, message: (
        sender is submitter and receiver is restarted and model.simulation.now < delivered_from
    )
    restarted.boot()
    model.run(seconds=3)
    assert restarted.kernel.target_owner.owned_tokens()
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert sum(target.starts for target in model.targets_by_id.values()) == 24


@pytest.mark.promise("at_most_once", failures=["cut", "lost_reply"])
def test_a_run_whose_owner_change_message_was_lost_is_not_run_elsewhere():
    """A partition may drop the owner-change message and the first heartbeats of the new owner."""
    model = pools.pool()
    old_owner, new_owner, submitter = (pools.node(model, number) for number in (1, 2, 3))
    caller = model.submit(submitter, pools.job("a" * 16, 24, 700.0))
    model.run(seconds=0.2)
    delivered_from = model.simulation.now + datetime.timedelta(seconds=0.3)

    def drops(sender, receiver, message):
        is_unheard = sender is new_owner and model.simulation.now < delivered_from
        return receiver is submitter and (is_unheard or isinstance(message, messages.OwnerChanged))

    model.drops = drops
    old_owner.drain()
    model.run(seconds=3)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert model.overlaps() == []
    assert sum(target.starts for target in model.targets_by_id.values()) == 24


def test_a_heartbeat_without_recipient_ends_no_runs():
    """A restarted node sends its state in heartbeats before it knows who the recipient is."""
    model = pools.pool()
    submitter = pools.node(model, 3)
    model.submit(submitter, pools.job("a" * 16, 24, 700.0))
    model.run(seconds=0.2)
    coordinator = submitter.kernel.coordinator
    runs = dict(coordinator.jobs_by_id["a" * 16].runs_by_grant)
    token = 2 * max(run.token for run in runs.values())
    state = messages.NodeState(
        domain="a",
        endpoint="10.0.0.99:7000",
        owned_tokens={run.target: token for run in runs.values()},
    )
    heartbeat = messages.Heartbeat(sender="other-1", state_number=1, state=state)
    submitter.handle(events.MessageReceived(message=heartbeat))
    assert coordinator.jobs_by_id["a" * 16].runs_by_grant.keys() == runs.keys()
    model.run(seconds=2)
    assert model.overlaps() == []


def test_a_target_is_handed_to_a_node_that_still_holds_it_under_an_old_token():
    """After a partition a node may not know yet that a target has accepted a newer token."""
    model = pools.pool()
    submitter = pools.node(model, 3)
    caller = model.submit(submitter, pools.job("a" * 16, 24, 700.0))
    model.run(seconds=0.2)
    old_owner, new_owner = pools.node(model, 1), pools.node(model, 2)
    target_id, owned = next(iter(old_owner.kernel.target_owner.owned_by_target.items()))
    runs = len(owned.sent_grants())
    old = owned_targets.OwnedTarget(owned.target, owned.token - 5, model.simulation.now)
    old.state = owned_targets.OwnershipState.OWNED
    new_owner.kernel.target_owner.owned_by_target[target_id] = old
    member = old_owner.kernel.members.by_endpoint[new_owner.endpoint]
    old_owner.kernel.target_owner._hand_over(owned, member, model.simulation.now)
    old_owner.handle(events.Ticked())
    known = submitter.kernel.members.by_endpoint[new_owner.endpoint]
    state = messages.NodeState(
        domain="a", endpoint=new_owner.endpoint, owned_tokens={target_id: old.token}
    )
    heartbeat = messages.Heartbeat(
        sender=new_owner.kernel.settings.node,
        recipient=submitter.kernel.settings.node,
        state_number=known.state_number + 1,
        state=state,
    )
    model.run(seconds=0.001)
    submitter.handle(events.MessageReceived(message=heartbeat))
    model.run(seconds=2)
    assert runs > 0
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert model.overlaps() == []
    assert sum(target.starts for target in model.targets_by_id.values()) == 24


@pytest.mark.promise("at_most_once", failures=["cut"])
@pytest.mark.parametrize("seconds", [0.3, 0.8, 2.0])
def test_runs_on_a_target_behind_a_cut_that_resets_connections_run_nowhere_else(seconds):
    model = pools.pool()
    callers = _submit_everywhere(model, count=12, work_ms=1800.0)
    model.run(seconds=0.8)
    cut_off = [target for target in model.targets_by_id.values() if target._running][:4]
    for target in cut_off:
        target.cut_off()
    model.run(seconds=seconds)
    for target in cut_off:
        target.refuses_connections = False
    model.run(seconds=5)
    assert model.overlaps() == []
    assert _verdicts(model, callers) <= {actions.Verdict.COMPLETE, actions.Verdict.GIVEN_UP}
    assert _count_running(model) == 0


@pytest.mark.promise("at_most_once", failures=["cut"])
@pytest.mark.parametrize("seconds", [0.2, 0.5, 0.9])
def test_runs_that_end_behind_a_cut_that_resets_connections_count_as_done(seconds):
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    (target,) = model.targets_by_id.values()
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, work_ms=200.0))
    model.run(seconds=0.1)
    target.cut_off()
    model.run(seconds=seconds)
    target.refuses_connections = False
    model.run(seconds=5)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert target.starts == 1


@pytest.mark.promise("at_most_once", failures=["target_death", "two_at_once"])
@pytest.mark.parametrize("is_silent", [False, True])
def test_a_start_that_the_next_incarnation_executes_late_does_not_overlap_another_run(is_silent):
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    lost, other = model.targets_by_id.values()
    lost.restart_time = datetime.timedelta(seconds=2)
    lost.crashes_silently = is_silent
    late = []

    def delay_starts(target, action):
        if target is lost and isinstance(action, actions.StartRun) and not late:
            late.append(action)
            # Just after the restart, before the owner has claimed the target anew.
            delay = datetime.timedelta(milliseconds=2010)
            model.simulation.call_later(delay, lambda: lost.carry_out(action, lambda reply: None))
            model.simulation.call_later(
                datetime.timedelta(milliseconds=1), lambda: lost.crash_under(lost.incarnation)
            )
            return True
        return False

    model.delays = delay_starts
    request = pools.job("a" * 16, 2, 3000.0, caller_timeout=datetime.timedelta(seconds=9))
    caller = model.submit(pools.node(model, 1), request)
    model.run(seconds=15)
    assert late
    assert lost.starts + other.starts >= 2
    assert model.overlaps() == []
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE

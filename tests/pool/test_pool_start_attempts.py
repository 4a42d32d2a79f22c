"""Starts that are sent more than once: the reply to one attempt says nothing of the others."""

import datetime

import pools
import pytest

from chiveridge_pool import actions, attempts, events, notes, timings

MS = datetime.timedelta(milliseconds=1)
NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

REJECTIONS = [
    events.Failure.NO_ROOM,
    events.Failure.UNHEALTHY,
    events.Failure.INVALID,
    events.Failure.TOO_LATE,
]


def _ignore(reply) -> None:
    """Discard a reply that is lost on its way."""


def _lose_first_start(model, on_lost):
    """Call ``on_lost`` with the target and action of the first start, which gets no reply."""
    lost = []

    def delays(target, action):
        if lost or not isinstance(action, actions.StartRun):
            return False
        lost.append((target, action))
        on_lost(target, action)
        return True

    model.delays = delays
    return lost


def _submit(model, count=1, work_ms=900.0, node=1):
    request = pools.job("a" * 16, count, work_ms, caller_timeout=datetime.timedelta(seconds=9))
    return model.submit(pools.node(model, node), request)


def _count_starts(model):
    return sum(target.starts for target in model.targets_by_id.values())


# The verdict on a run


def test_a_first_attempt_that_is_rejected_ends_the_run():
    sent = attempts.StartAttempts()
    first = sent.send(NOW)
    assert sent.record(first, events.Failure.NO_ROOM) is attempts.Verdict.NOT_RUN
    assert not sent.may_be_executed(NOW)


@pytest.mark.parametrize("failure", [*REJECTIONS, events.Failure.UNREACHABLE])
def test_a_rejected_attempt_says_nothing_of_an_unanswered_one(failure):
    sent = attempts.StartAttempts()
    first = sent.send(NOW)
    assert sent.record(first, events.Failure.TIMEOUT) is attempts.Verdict.RETRY
    second = sent.send(NOW + 60 * MS)
    assert sent.record(second, failure) is attempts.Verdict.STOP
    assert sent.unanswered_count() == 1
    assert sent.executable_until(NOW + 60 * MS) == NOW + timings.LATE_ORDER_TIME
    assert not sent.may_be_executed(NOW + timings.LATE_ORDER_TIME)


def test_an_old_run_number_after_an_unanswered_attempt_may_be_its_own():
    sent = attempts.StartAttempts()
    sent.record(sent.send(NOW), events.Failure.TIMEOUT)
    verdict = sent.record(sent.send(NOW), events.Failure.OLD_RUN)
    assert verdict is attempts.Verdict.AWAIT_END


def test_an_unreadable_reply_proves_nothing():
    sent = attempts.StartAttempts()
    verdict = sent.record(sent.send(NOW), events.Failure.UNREADABLE)
    assert verdict is attempts.Verdict.STOP
    assert sent.may_be_executed(NOW)


def test_every_failure_has_a_verdict_with_and_without_other_attempts():
    for failure in (None, *events.Failure):
        for others in (0, 1):
            sent = attempts.StartAttempts()
            for _ in range(others):
                sent.record(sent.send(NOW), events.Failure.TIMEOUT)
            assert isinstance(sent.record(sent.send(NOW), failure), attempts.Verdict)


# A target that is alive


@pytest.mark.promise("at_most_once", failures=["lost_reply"])
@pytest.mark.parametrize("failure", REJECTIONS)
def test_a_task_whose_second_attempt_is_rejected_does_not_start_elsewhere_beside_the_first(failure):
    """The first attempt is executed after the second was rejected."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")

    def reject_until_executed(target, action):
        target.rejects_starts_with = failure

        def execute():
            target.rejects_starts_with = None
            target.carry_out(action, _ignore)

        model.simulation.call_later(90 * MS, execute)

    lost = _lose_first_start(model, reject_until_executed)
    caller = _submit(model)
    model.run(seconds=5)
    assert lost
    assert model.overlaps() == []
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


@pytest.mark.promise("at_most_once", failures=["cut", "lost_reply"])
def test_a_start_that_is_repeated_into_a_cut_does_not_run_elsewhere_beside_the_first_attempt():
    """The first attempt was executed and its reply lost; the second is refused by the cut."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")

    # While a target is in use, its owner has an open hold there, which the cut leaves unanswered.
    model.submit(pools.node(model, 1), pools.job("b" * 16, work_ms=1500.0))
    model.run(seconds=0.3)

    def execute_and_refuse(target, action):
        model.simulation.call_later(0.5 * MS, lambda: target.carry_out(action, _ignore))
        model.simulation.call_later(1 * MS, lambda: set_refusing(target, True))
        model.simulation.call_later(800 * MS, lambda: set_refusing(target, False))

    def set_refusing(target, refuses):
        target.refuses_connections = refuses

    lost = _lose_first_start(model, execute_and_refuse)
    caller = _submit(model)
    model.run(seconds=5)
    assert lost
    assert model.overlaps() == []
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


@pytest.mark.parametrize("failure", REJECTIONS)
def test_a_task_whose_first_attempt_is_rejected_starts_elsewhere_at_once(failure):
    """Guards against a wait for proof where nothing is unanswered."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    rejecting = []

    def on_command(target, action):
        if isinstance(action, actions.StartRun) and not rejecting:
            rejecting.append(target)
            target.rejects_starts_with = failure
            model.simulation.call_later(2 * MS, lambda: accept(target))
        return False

    def accept(target):
        target.rejects_starts_with = None

    model.delays = on_command
    caller = _submit(model, work_ms=100.0)
    model.run(seconds=0.2)
    assert rejecting
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert model.answered_at[caller] - model.submitted_at[caller] < 150 * MS


def test_tasks_of_a_target_that_refuses_their_first_attempt_start_elsewhere_at_once():
    """A start that crosses the loss of its target is answered after the target was given up."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    for target in model.targets_by_id.values():
        target.restart_time = datetime.timedelta(seconds=3)
    next(iter(model.targets_by_id.values())).crash_under(1)
    caller = _submit(model, count=3, work_ms=100.0)
    model.run(seconds=0.6)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


# The next incarnation of a target


@pytest.mark.promise("at_most_once", failures=["lost_reply", "target_death"])
@pytest.mark.parametrize("is_silent", [False, True])
def test_an_attempt_that_the_next_incarnation_executes_overlaps_no_other_run(is_silent):
    """The second attempt was answered and its run was known to be running at the crash."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")

    def execute_after_restart(target, action):
        target.restart_time = datetime.timedelta(seconds=2)
        target.crashes_silently = is_silent
        # Just after the restart, before the owner has claimed the target anew.
        model.simulation.call_later(2510 * MS, lambda: target.carry_out(action, _ignore))
        model.simulation.call_later(500 * MS, lambda: target.crash_under(target.incarnation))

    lost = _lose_first_start(model, execute_after_restart)
    caller = _submit(model, work_ms=2500.0)
    model.run(seconds=12)
    assert lost
    assert _count_starts(model) >= 3
    assert model.overlaps() == []
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


@pytest.mark.promise("at_most_once", failures=["lost_reply", "target_death"])
@pytest.mark.parametrize("executed_at_ms", [11_920, 11_980])
def test_an_attempt_that_was_executed_at_the_last_moment_overlaps_no_other_run(executed_at_ms):
    """Its target restarted, and the owner learns of it when no attempt can be executed any more."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")

    def execute_after_crash(target, action):
        model.simulation.call_later(11_900 * MS, target.crash)
        model.simulation.call_later(executed_at_ms * MS, lambda: target.carry_out(action, _ignore))

    lost = _lose_first_start(model, execute_after_crash)
    request = pools.job("a" * 16, 1, 16_000.0, caller_timeout=datetime.timedelta(seconds=60))
    caller = model.submit(pools.node(model, 1), request)
    model.run(seconds=40)
    assert lost
    assert model.overlaps() == []
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


@pytest.mark.promise("at_most_once", failures=["lost_reply", "target_death", "kill"])
def test_a_jobs_node_knows_of_an_unanswered_attempt_when_the_owner_is_lost():
    """The new owner's claim comes after the next incarnation has executed the attempt."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="ab")
    owner_node, other = pools.node(model, 1), pools.node(model, 2)
    (lost_id,) = owner_node.kernel.target_owner.owned_tokens()
    lost_target = model.targets_by_id[lost_id]
    (near,) = other.kernel.target_owner.owned_tokens()
    # Occupied until the start on the lost target was sent.
    model.submit(other, pools.job("b" * 16, 2, 400.0))
    model.run(seconds=0.05)

    def crash_with_its_owner(target, action):
        target.restart_time = datetime.timedelta(seconds=2)
        target.crashes_silently = True
        model.simulation.call_later(100 * MS, lambda: target.crash_under(target.incarnation))
        model.simulation.call_later(200 * MS, owner_node.kill)
        model.simulation.call_later(2110 * MS, lambda: target.carry_out(action, _ignore))

    lost = _lose_first_start(model, crash_with_its_owner)

    _submit(model, work_ms=2000.0, node=2)
    model.run(seconds=12)
    assert [target for target, _ in lost] == [lost_target]
    assert lost_target.starts >= 1
    assert model.overlaps() == []


# Hand-overs


def _hand_over_to_the_other_node(model, target):
    """Hand all targets of the node that owns a target to the only other node."""
    owner = next(
        node
        for node in model.nodes_by_name.values()
        if target.target.id in node.kernel.target_owner.owned_tokens()
    )
    new_owner = next(node for node in model.nodes_by_name.values() if node is not owner)
    pools.hand_over_all(owner, new_owner)


def test_a_run_that_was_handed_over_and_never_started_does_not_hold_its_job_up():
    """The new owner's token fences off the lost start, so that the task may run again."""
    model = pools.pool(nodes_per_domain=2, targets_per_domain=2, domains="a")
    lost = _lose_first_start(model, lambda target, action: None)
    caller = _submit(model, work_ms=200.0)
    model.run(seconds=0.03)
    _hand_over_to_the_other_node(model, lost[0][0])
    model.run(seconds=1.5)
    assert model.overlaps() == []
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


@pytest.mark.promise("complete_or_failed", failures=["lost_reply"])
def test_a_long_run_whose_start_was_repeated_is_handed_over_after_the_last_late_order():
    """Nothing of the first attempt is left to tell; a negative time would not be read."""
    model = pools.pool(nodes_per_domain=2, targets_per_domain=2, domains="a")
    lost = _lose_first_start(model, lambda target, action: None)
    request = pools.job("a" * 16, 1, 16_000.0, caller_timeout=datetime.timedelta(seconds=40))
    caller = model.submit(pools.node(model, 1), request)
    model.run(seconds=14)
    assert lost
    _hand_over_to_the_other_node(model, lost[0][0])
    model.run(seconds=4)
    assert _count_starts(model) == 1
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


# Logs


def test_the_log_of_a_stopped_run_tells_how_many_attempts_are_unanswered():
    """Without it, a run that was never started and one whose reply was lost look alike."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")

    def reject_the_next(target, action):
        target.rejects_starts_with = events.Failure.UNHEALTHY

    _lose_first_start(model, reject_the_next)
    _submit(model)
    model.run(seconds=1)
    stopped = [note for note in model.notes if note.event is notes.NoteEvent.RUN_STOPPED]
    assert [(note.fields["attempts"], note.fields["unanswered"]) for note in stopped] == [(2, 1)]

"""Faults of the program stay with one target, job or request, and are logged."""

import datetime

import pools
import pytest

from chiveridge_pool import actions, deadlines, events, messages, notes, resources

HUGE = 1e300


def _failed_parts(model):
    return {
        (note.fields["part"], note.fields["key"])
        for note in model.notes
        if note.event is notes.NoteEvent.PART_FAILED
    }


def test_a_fault_in_one_targets_timer_leaves_the_other_targets_in_use(monkeypatch):
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    model.tolerates_faults = True
    orders = pools.node(model, 1).kernel.target_owner.orders
    tick = orders.tick

    def failing_tick(owned, now):
        if owned.target.id == "t001":
            raise OverflowError("a date out of range")
        tick(owned, now)

    monkeypatch.setattr(orders, "tick", failing_tick)
    model.run(seconds=3)
    callers = [
        model.submit(pools.node(model, 1), pools.job(f"{number:016x}")) for number in range(4)
    ]
    model.run(seconds=1)
    verdicts = {model.answers_by_caller[caller].verdict for caller in callers}
    assert verdicts == {actions.Verdict.COMPLETE}
    assert _failed_parts(model) == {("target", "t001")}
    assert sum(note.event is notes.NoteEvent.PART_FAILED for note in model.notes) <= 2


def test_a_job_whose_timer_fails_is_answered_and_the_others_go_on(monkeypatch):
    """An absurd estimate used to end each tick, so that no heartbeats were sent any more."""
    model = pools.pool()
    model.tolerates_faults = True
    is_unreachable = deadlines.is_deadline_unreachable

    def failing(job, now):
        if job.request.id == "a" * 16:
            raise OverflowError("date value out of range")
        return is_unreachable(job, now)

    monkeypatch.setattr(deadlines, "is_deadline_unreachable", failing)
    node = pools.node(model, 1)
    faulty = model.submit(node, pools.job("a" * 16, 4, 300.0))
    sound = model.submit(node, pools.job("b" * 16, 4, 300.0))
    model.run(seconds=2)
    assert model.answers_by_caller[faulty].verdict is actions.Verdict.GIVEN_UP
    assert model.answers_by_caller[sound].verdict is actions.Verdict.COMPLETE
    assert model.answered_at[faulty] - model.submitted_at[faulty] < datetime.timedelta(seconds=1)
    assert all(not target._running for target in model.targets_by_id.values())
    other = pools.node(model, 2).kernel.members
    assert other.find_live(node.kernel.settings.node, model.simulation.now) is not None


def test_a_job_that_cannot_be_taken_is_refused_at_once(monkeypatch):
    model = pools.pool()
    model.tolerates_faults = True
    node = pools.node(model, 1)

    def accept(event, now):
        raise OverflowError("date value out of range")

    monkeypatch.setattr(node.kernel.coordinator, "_accept", accept)
    caller = model.submit(node, pools.job("a" * 16))
    assert model.answers_by_caller[caller].verdict is actions.Verdict.REFUSED


def test_a_request_that_cannot_be_served_does_not_hold_up_the_queue():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    model.tolerates_faults = True
    node = pools.node(model, 1)
    full = model.submit(node, pools.job("c" * 16, 2, 200.0))
    model.run(seconds=0.05)
    request = messages.CapacityRequest(
        sender=node.kernel.settings.node,
        job="a" * 16,
        rank=(-1.0, 0.0),
        queue="queue",
        service="service",
        size=resources.Resources(1000, 64, 0),
        count=1,
        estimate_ms=HUGE,
    )
    node.kernel.target_owner.allocator.capacity_queue.put_or_replace(request)
    behind = model.submit(node, pools.job("b" * 16))
    model.run(seconds=1)
    assert model.answers_by_caller[full].verdict is actions.Verdict.COMPLETE
    assert model.answers_by_caller[behind].verdict is actions.Verdict.COMPLETE
    assert _failed_parts(model) == {("request", "a" * 16)}


def test_a_target_whose_entry_is_not_valid_any_more_gets_no_new_runs():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    unusable = next(iter(model.targets_by_id.values()))
    listed = tuple(target for target in model.listed() if target.id != unusable.target.id)
    node = pools.node(model, 1)
    node.handle(events.TargetsListed(targets=listed, unusable=frozenset({unusable.target.id})))
    caller = model.submit(node, pools.job("a" * 16, 4, 50.0))
    model.run(seconds=1)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert unusable.starts == 0
    node.handle(events.TargetsListed(targets=model.listed()))
    model.submit(node, pools.job("b" * 16, 4, 50.0))
    model.run(seconds=1)
    assert unusable.starts > 0


@pytest.mark.parametrize("value", [-1.0, HUGE, float("inf"), float("nan")])
def test_a_message_with_a_value_out_of_range_is_not_read(value):
    message = messages.StartRuns(
        sender="n1", job="a" * 16, sequence=1, spec="", runs=(), retry_slack_ms=value
    )
    with pytest.raises(messages.MessageError):
        messages.decode(messages.encode(message))

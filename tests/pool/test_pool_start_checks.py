"""What is checked before each sending of a start, and what it costs callers."""

import datetime

import msgspec
import pools
import pytest

from chiveridge_load import pool_models, pool_targets
from chiveridge_pool import actions, events, identifiers, restart_signs, runs, start_checks

MS = datetime.timedelta(milliseconds=1)
TASK_CPU = 10_000


@pytest.mark.parametrize("order", [actions.Hold, actions.StartRun, actions.StopRun])
@pytest.mark.parametrize("failure", sorted(restart_signs.UNANSWERED_ORDERS, key=str))
def test_any_order_without_an_answer_keeps_starts_back_until_the_target_replies(order, failure):
    """Guards against signs of a restart that only some orders count for."""
    model, owned = _owned_target()
    owner = pools.node(model, 1)
    now = model.simulation.now
    assert owned.accepts_runs(now)
    event = _failed(order, owned, failure)
    model.targets_by_id[owned.target.id].is_dark = True
    owner.handle(event)
    assert not owned.accepts_runs(now)
    model.targets_by_id[owned.target.id].is_dark = False
    model.run(seconds=0.4)
    # After a refused connection it is claimed again.
    owned = owner.kernel.target_owner.owned_by_target[owned.target.id]
    assert owned.accepts_runs(model.simulation.now)


def test_a_reply_to_a_hold_that_was_sent_before_a_sign_does_not_take_it_away():
    """Guards against a reply of the previous incarnation that is still on its way."""
    model, owned = _owned_target()
    target = model.targets_by_id[owned.target.id]
    owner, now = pools.node(model, 1), model.simulation.now
    earlier = owner.kernel.target_owner.orders._pending_by_target[owned.target.id].number
    target.is_dark = True
    owner.handle(_failed(actions.StartRun, owned, events.Failure.BROKEN))
    for number, accepts in ((earlier, False), (earlier + 1, True)):
        reply = events.HoldReplied(
            target=owned.target.id,
            token=owned.token,
            number=number,
            sent_at=now,
            clock_ms=int(target.clock_ms()),
            started_at_ms=owned.started_at_ms,
        )
        owner.handle(reply)
        assert owned.accepts_runs(now) is accepts


def test_two_holds_ask_for_many_starts_that_are_lost_at_once():
    """Guards against a hold for each lost start, which costs a busy node more than the starts.

    The second one asks for the losses that were noticed while the first was on its way.
    """
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    holds, lost = [], []

    def lose_first_attempts(target, action):
        if isinstance(action, actions.Hold) and lost and not action.wait:
            holds.append(action)
        is_first = isinstance(action, actions.StartRun) and action.attempt == 1
        if is_first:
            lost.append(action)
        return is_first

    model.run(seconds=1)
    model.delays = lose_first_attempts
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, 6, 40.0, cpu=TASK_CPU))
    model.run(seconds=0.068)
    assert len(lost) == 6
    assert len(holds) == 2
    model.run(seconds=0.1)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE


@pytest.mark.parametrize("share", [0.1, 0.3])
def test_lost_starts_on_living_targets_cost_their_callers_a_round_trip(share):
    """Guards against a pause in place of a question: a start is sent again once a hold tells."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=4, domains="abc", seed=3)

    def reset(target, action):
        return isinstance(action, actions.StartRun) and model.rng.random() < share

    for target in model.targets_by_id.values():
        _break_calls(model, target, reset)
    callers = []
    for number in range(200):
        node = pools.node(model, number % 3 + 1)
        callers.append(model.submit(node, pools.job(f"{number:016x}", 2, 100.0, cpu=TASK_CPU)))
        model.run(seconds=0.025)
    model.run(seconds=1)
    verdicts = {model.answers_by_caller[caller].verdict for caller in callers}
    assert verdicts == {actions.Verdict.COMPLETE}
    elapsed = sorted(model.answered_at[caller] - model.submitted_at[caller] for caller in callers)
    # Each loss costs the way of the start and a hold: less than 4 ms between failure domains.
    assert elapsed[197] <= (100 + 4 * _LOSSES_BY_SHARE[share]) * MS


_LOSSES_BY_SHARE = {0.1: 3, 0.3: 6}
"""Losses in a row of one of two tasks that one job in a hundred meets, and the way of the job."""


def _break_calls(model, target, is_broken):
    """Reset the connections of calls before they are executed."""
    execute = target.carry_out

    def carry_out(action, reply):
        if is_broken(target, action):
            reply(pool_targets.Reply(failure=events.Failure.BROKEN))
        else:
            execute(action, reply)

    target.carry_out = carry_out


def _owned_target():
    """Return a pool of one node, and its only target as the node owns it, with a run."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    model.submit(pools.node(model, 1), pools.job("a" * 16, 1, 900.0, cpu=TASK_CPU))
    model.run(seconds=0.2)
    (owned,) = pools.node(model, 1).kernel.target_owner.owned_by_target.values()
    return model, owned


def _failed(order, owned, failure):
    """Return the event of a failed order to a target, the newest hold among them."""
    grant = owned.sent_grants()[0].id
    common = {"target": owned.target.id, "token": owned.token, "failure": failure}
    if order is actions.StartRun:
        return events.StartReplied(grant=grant, attempt=identifiers.AttemptNumber(9), **common)
    if order is actions.StopRun:
        return events.StopReplied(grant=grant, **common)
    return events.HoldReplied(number=10**6, sent_at=pool_models.EPOCH, **common)


# The checks


_CHECKS_BY_CHANGE = {
    "evacuated": ("evacuated", start_checks.Decision.STOP, start_checks.Decision.STOP),
    "drains": ("drains", start_checks.Decision.STOP, start_checks.Decision.STOP),
    "entry": ("entry", start_checks.Decision.STOP, start_checks.Decision.STOP),
    "silent": ("may have restarted", start_checks.Decision.WAIT, start_checks.Decision.WAIT),
    "quiet": ("has not replied lately", start_checks.Decision.WAIT, start_checks.Decision.WAIT),
    "strangers": ("does not know", start_checks.Decision.WAIT, start_checks.Decision.WAIT),
    "late": ("", start_checks.Decision.STOP, start_checks.Decision.STOP),
    "nothing": ("", start_checks.Decision.SEND, start_checks.Decision.SEND),
}
"""Part of the reason, decisions on a first and on a further attempt, by what has changed."""


def _change(model, owned, change):
    target_owner = pools.node(model, 1).kernel.target_owner
    match change:
        case "evacuated":
            kernel = pools.node(model, 1).kernel
            kernel.evacuations.apply(9, (owned.target.domain,), model.simulation.now)
        case "drains":
            owned.target = msgspec.structs.replace(owned.target, is_draining=True)
        case "entry":
            target_owner.target_list.unusable = frozenset({owned.target.id})
        case "silent":
            owned.restart_signs.record_sign()
        case "strangers":
            owned.unknown_runs = {("other", 1)}


@pytest.mark.parametrize("is_first", [True, False])
@pytest.mark.parametrize("change", _CHECKS_BY_CHANGE)
def test_each_sending_of_a_start_is_checked_for_what_has_changed_since_its_grant(change, is_first):
    """Guards against a condition of grants that is not asked when the start is sent."""
    model, owned = _owned_target()
    now = model.simulation.now
    (grant,) = owned.grants_by_id.values()
    grant.state = runs.GrantState.RESERVED if is_first else runs.GrantState.STARTING
    grant.first_sent_at, grant.expires_at = now, now + 300 * MS
    if change != "quiet":
        owned.restart_signs.record_reply(now)
    _change(model, owned, change)
    at = now + (700 * MS if change == "late" else 0 * MS)
    checks = start_checks.StartChecks(pools.node(model, 1).kernel.target_owner)
    decision, reason = checks.decide(owned, grant, at)
    part, of_first, of_further = _CHECKS_BY_CHANGE[change]
    assert decision is (of_first if is_first else of_further)
    assert part in reason


def test_a_run_that_was_started_goes_on_while_its_target_drains():
    """Guards against a stop of a run whose start was executed and only its reply lost."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    struck = []

    def execute_and_drain(target, action):
        if struck or not isinstance(action, actions.StartRun):
            return False
        struck.append(target)
        target.carry_out(action, lambda reply: None)
        target.drain()
        pools.node(model, 1).handle(events.TargetsListed(targets=model.listed()))
        return True

    model.delays = execute_and_drain
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, 1, 100.0))
    model.run(seconds=0.5)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert sum(target.starts for target in model.targets_by_id.values()) == 1


def test_a_start_on_a_target_that_has_replied_lately_is_sent_at_once():
    """Guards against a question before each start, which would cost a round trip a task."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    model.submit(pools.node(model, 1), pools.job("b" * 16, 1, 30.0, cpu=TASK_CPU))
    model.run(seconds=0.06)
    holds = []

    def count_holds(target, action):
        if isinstance(action, actions.Hold) and not action.wait:
            holds.append(action)
        return False

    model.delays = count_holds
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, 1, 30.0, cpu=TASK_CPU))
    model.run(seconds=0.06)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert holds == []


def test_a_reply_to_a_stop_with_another_clock_is_a_sign_of_a_restart():
    """Guards against a clock that starts anew and is looked at in replies to starts only."""
    model, owned = _owned_target()
    now = model.simulation.now
    grant = owned.sent_grants()[0].id
    reply = events.StopReplied(target=owned.target.id, grant=grant, token=owned.token, clock_ms=5)
    pools.node(model, 1).handle(reply)
    assert not owned.accepts_runs(now)


def test_a_first_start_that_waits_is_returned_when_the_hold_fails():
    """Guards against a task that waits for a silent target while another one has room."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    owner = pools.node(model, 1)
    model.run(seconds=1)
    struck = []

    def fall_silent(target, action):
        # The hold that asks the idle target before its first start.
        if isinstance(action, actions.Hold) and not action.wait and not struck:
            struck.append(target)
            target.is_dark = True
        return False

    model.delays = fall_silent
    caller = model.submit(owner, pools.job("a" * 16, 1, 100.0, cpu=TASK_CPU))
    model.run(seconds=0.2)
    assert struck[0].starts == 0
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE

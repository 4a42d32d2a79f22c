"""Tasks that crash each target that starts them, and what other callers lose to them."""

import datetime

import pools
import pytest

from chiveridge_load import pool_models
from chiveridge_pool import actions, crash_histories, events, notes

PATIENCE = datetime.timedelta(seconds=20)
RESTART_TIME = datetime.timedelta(seconds=4)
MAX_CRASHES = 2
"""Crashes after which the users allow a task to be given up."""

MAX_STARTS = 5
"""The users' limit: two more starts after three targets have crashed under a task."""


def _pool(**options):
    model = pools.pool(**options)
    for target in model.targets_by_id.values():
        target.restart_time = RESTART_TIME
    return model


def _poison_job(name, count=1, poison=(0,), **fields):
    request = pools.job(name, count, **{"caller_timeout": PATIENCE, **fields})
    indexes = " ".join(str(index) for index in poison)
    return pools.with_spec(request, f"{request.spec} poison {indexes}")


def _starts(model):
    """Return the number of starts of each poison task."""
    starts = {}
    for target in model.targets_by_id.values():
        for task, count in target.poison_starts.items():
            starts[task] = starts.get(task, 0) + count
    return starts


def _crashes(model):
    return sum(target.crashes for target in model.targets_by_id.values())


def _verdict(model, caller):
    answer = model.answers_by_caller.get(caller)
    return None if answer is None else answer.verdict


def test_the_log_names_the_runs_on_a_crashed_target():
    model = _pool(targets_per_domain=1)
    model.submit(pools.node(model, 1), pools.job("a" * 16, work_ms=900.0))
    model.run(seconds=0.3)
    model.submit(pools.node(model, 1), _poison_job("b" * 16))
    model.run(seconds=1)
    crash = next(note for note in model.notes if note.event is notes.NoteEvent.TARGET_LOST)
    ran_ms_by_task = {task: ran_ms for task, _, ran_ms, _ in crash.fields["runs"]}
    assert ran_ms_by_task.keys() == {f"{'a' * 16}.0.0.0", f"{'b' * 16}.0.0.0"}
    assert ran_ms_by_task[f"{'b' * 16}.0.0.0"] < 50 < ran_ms_by_task[f"{'a' * 16}.0.0.0"]


def test_a_task_under_which_two_targets_have_crashed_is_given_up():
    model = _pool()
    caller = model.submit(pools.node(model, 1), _poison_job("d" * 16))
    model.run(seconds=20)
    assert max(_starts(model).values()) <= MAX_CRASHES
    assert _verdict(model, caller) is actions.Verdict.FAILED


def test_a_task_that_crashes_its_targets_silently_is_not_started_without_end():
    model = _pool()
    for target in model.targets_by_id.values():
        target.crashes_silently = True
    model.submit(pools.node(model, 1), _poison_job("d" * 16))
    model.run(seconds=20)
    assert max(_starts(model).values()) < MAX_STARTS


def test_a_job_of_many_tasks_that_crash_their_targets_crashes_one_target_after_the_first_ones():
    model = _pool()
    caller = model.submit(pools.node(model, 1), _poison_job("d" * 16, 8, poison=range(8)))
    model.run(seconds=0.5)
    crashes = _crashes(model)
    model.run(seconds=19)
    assert _crashes(model) <= crashes + 1
    assert _verdict(model, caller) is actions.Verdict.FAILED


def test_a_job_sent_again_to_other_nodes_does_not_crash_targets_anew():
    model = _pool()
    callers = []
    for number in range(6):
        patience = datetime.timedelta(seconds=0.9)
        request = _poison_job("d" * 16, caller_timeout=patience)
        callers.append(model.submit(pools.node(model, number + 1), request))
        model.run(seconds=2.3)
    assert max(_starts(model).values()) <= MAX_CRASHES
    assert _verdict(model, callers[-1]) is actions.Verdict.FAILED


@pytest.mark.promise("complete_or_failed", failures=["kill"])
@pytest.mark.parametrize("number", range(1, 7))
def test_a_job_sent_again_after_its_node_was_killed_does_not_crash_targets_anew(number):
    model = _pool()
    caller = None
    for attempt in range(6):
        at = pools.node(model, (number + attempt - 1) % 6 + 1)
        caller = model.submit(at, _poison_job("d" * 16))
        model.run(seconds=0.3)
        at.kill()
        model.run(seconds=1.3)
        at.boot()
        model.run(seconds=0.5)
    caller = model.submit(pools.node(model, number), _poison_job("d" * 16))
    model.run(seconds=10)
    assert max(_starts(model).values()) <= MAX_CRASHES
    assert _verdict(model, caller) is actions.Verdict.FAILED


@pytest.mark.promise("complete_or_failed", failures=["two_at_once"])
def test_a_job_sent_again_after_all_nodes_were_killed_does_not_crash_targets_anew():
    model = _pool()
    for _ in range(6):
        model.submit(pools.node(model, 1), _poison_job("d" * 16))
        model.run(seconds=0.3)
        for node in model.nodes_by_name.values():
            node.kill()
        model.run(seconds=1)
        for node in model.nodes_by_name.values():
            node.boot()
        model.run(seconds=3)
    caller = model.submit(pools.node(model, 2), _poison_job("d" * 16))
    model.run(seconds=10)
    assert max(_starts(model).values()) <= MAX_CRASHES
    assert _verdict(model, caller) is actions.Verdict.FAILED


def test_tasks_beside_those_that_crash_targets_lose_one_run_and_are_done():
    model = _pool(targets_per_domain=8)
    callers = []
    for round_number in range(20):
        node = pools.node(model, round_number % 6 + 1)
        for number in range(4):
            name = f"{round_number:08x}{number:08x}"
            callers.append(model.submit(node, pools.job(name, 2, 300.0, caller_timeout=PATIENCE)))
        if round_number < 8:
            model.submit(node, _poison_job(f"{round_number:08x}{99:08x}", 4))
        model.run(seconds=0.3)
    model.run(seconds=20)
    assert {_verdict(model, caller) for caller in callers} == {actions.Verdict.COMPLETE}
    starts_by_task = {}
    for target in model.targets_by_id.values():
        for task, _, _ in target.spans(model.simulation.now):
            starts_by_task[task] = starts_by_task.get(task, 0) + 1
    others = [count for task, count in starts_by_task.items() if task not in _starts(model)]
    assert max(others) <= 2
    assert max(_starts(model).values()) <= MAX_CRASHES


def test_a_target_that_crashed_before_it_confirmed_a_start_did_not_crash_under_it():
    model = _pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    (target,) = model.targets_by_id.values()
    target.restart_time = datetime.timedelta(milliseconds=100)
    target.crashes_silently = True
    crashes = []

    def crash_as_tasks_are_placed(node, note):
        if note.event is notes.NoteEvent.JOB_PLACED and len(crashes) < MAX_CRASHES:
            crashes.append(note)
            delay = datetime.timedelta(microseconds=100)
            model.simulation.call_later(delay, lambda: target.crash_under(target.incarnation))

    model.on_note = crash_as_tasks_are_placed
    # Longer than a hold waits, so that the run in the next incarnation is found in progress.
    request = pools.job("a" * 16, work_ms=600.0, caller_timeout=PATIENCE)
    caller = model.submit(pools.node(model, 1), request)
    model.run(seconds=10)
    assert len(crashes) == MAX_CRASHES
    assert _verdict(model, caller) is actions.Verdict.COMPLETE


def test_explains_a_job_that_failed_since_its_task_crashes_targets():
    model = _pool()
    logs = pools.DecisionLogs(model)
    model.submit(pools.node(model, 1), _poison_job("d" * 16))
    model.run(seconds=10)
    trace = logs.trace("d" * 16)
    assert trace.cause == "failed: a task has crashed its targets"
    assert trace.deciding.name == "TARGET_LOST"
    assert trace.deciding.fields["runs"][0][0] == f"{'d' * 16}.0.0.0"


def _crash(job, target, ran_ms):
    return crash_histories.Crash(
        job=job,
        task=f"{job}.0.0.0",
        target=target,
        started_at_ms=1,
        evidence=crash_histories.Evidence.RESTARTED,
        was_running=True,
        recorded_at_ms=crash_histories.to_unix_ms(pool_models.EPOCH),
        ran_ms=ran_ms,
    )


@pytest.mark.parametrize(("ran_ms", "starts"), [(100.0, 1), (12.0, 0)])
def test_a_suspect_runs_beside_others_if_it_is_hardly_the_cause_and_no_target_is_empty(
    ran_ms, starts
):
    model = _pool(nodes_per_domain=1, targets_per_domain=1)
    crashes = [_crash("c" * 16, "t8", 12.0), _crash("c" * 16, "t9", 12.0)]
    crashes.append(_crash("a" * 16, "t9", ran_ms))
    for node in model.nodes_by_name.values():
        node.handle(events.CrashesRead(crashes=tuple(crashes)))
    filling = pools.job("b" * 16, 3, 9000.0, cpu=40_000, caller_timeout=PATIENCE)
    model.submit(pools.node(model, 1), filling)
    model.run(seconds=0.1)
    model.submit(pools.node(model, 1), pools.job("a" * 16, cpu=20_000, caller_timeout=PATIENCE))
    model.run(seconds=1)
    assert sum(target.starts for target in model.targets_by_id.values()) == 3 + starts


def test_a_run_that_was_lost_with_its_owner_is_no_likely_cause_of_a_crash():
    model = _pool(nodes_per_domain=1)
    submitter = pools.node(model, 2)
    request = pools.job("a" * 16, 20, 900.0, caller_timeout=PATIENCE)
    model.submit(submitter, request)
    model.run(seconds=0.3)
    pools.node(model, 1).kill()
    model.run(seconds=2)
    history = submitter.kernel.crash_reports.history
    lost = {crash.task for crash in history.all()}
    assert lost
    now = model.simulation.now
    assert not any(history.is_likely_cause(request.id, task, now) for task in lost)


def test_a_target_that_crashes_while_it_stops_a_run_did_not_crash_under_it():
    model = _pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    caller = model.submit(pools.node(model, 1), pools.job("a" * 16, 1, 900.0))
    model.run(seconds=0.3)
    model.leave(caller)
    for target in model.targets_by_id.values():
        target.crash_under(target.incarnation)
    model.run(seconds=1)
    history = pools.node(model, 1).kernel.crash_reports.history
    assert [crash.was_running for crash in history.all()] == [False]


def test_targets_that_were_cut_off_by_resets_twice_under_a_task_did_not_crash_under_it():
    model = _pool(nodes_per_domain=1, targets_per_domain=3, domains="a")
    request = pools.job("a" * 16, 1, 1500.0, caller_timeout=PATIENCE)
    caller = model.submit(pools.node(model, 1), request)
    targets = list(model.targets_by_id.values())
    for _ in range(MAX_CRASHES):
        running = []
        while not running:
            model.run(seconds=0.6)
            running = [t for t in targets if t._running and not t.refuses_connections]
        running[0].cut_off()
    model.run(seconds=2)
    for target in model.targets_by_id.values():
        target.refuses_connections = False
    model.run(seconds=10)
    assert _verdict(model, caller) is actions.Verdict.COMPLETE


@pytest.mark.promise("complete_or_failed", failures=["freeze", "target_death"])
def test_a_run_that_a_paused_owner_learns_of_late_was_not_running_as_its_target_crashed():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    (target,) = model.targets_by_id.values()
    target.restart_time = datetime.timedelta(seconds=10)
    node = pools.node(model, 1)
    model.submit(node, pools.job("a" * 16, work_ms=5000.0, caller_timeout=PATIENCE))
    # The start is on its way after the reply of the idle target to a hold.
    model.run(seconds=0.0005)
    node.freeze()
    model.run(seconds=0.5)
    assert target.starts == 1
    target.crash_under(target.incarnation)
    model.run(seconds=2.5)
    node.wake()
    model.run(seconds=1)
    lost = [note for note in model.notes if note.event is notes.NoteEvent.TARGET_LOST]
    assert [run[3] for note in lost for run in note.fields["runs"]] == [False]

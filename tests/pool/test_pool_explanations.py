"""The cause of an answer can be found from the logs of all nodes alone, for each kind of cause."""

import datetime

import pools

from chiveridge_client import causes
from chiveridge_pool import actions

JOB = "a" * 16


def _submit_with_logs(model, number=1, count=3, work_ms=400.0, **fields):
    """Submit the job at a node; return the logs and the caller."""
    logs = pools.DecisionLogs(model)
    caller = model.submit(pools.node(model, number), pools.job(JOB, count, work_ms, **fields))
    return logs, caller


def _trace_of_answer(logs, model, caller, verdict):
    assert model.answers_by_caller[caller].verdict is verdict
    return logs.trace(JOB)


def test_explains_an_answer_in_time():
    model = pools.pool()
    logs, caller = _submit_with_logs(model)
    model.run(seconds=1)
    trace = _trace_of_answer(logs, model, caller, actions.Verdict.COMPLETE)
    assert trace.cause == "answered in time"


def test_explains_a_refusal_under_overload():
    model = pools.pool(targets_per_domain=1)
    for number in range(6):
        model.submit(pools.node(model, 1), pools.job(f"{number:016x}", 4, 1500.0))
    logs, caller = _submit_with_logs(model, 2)
    model.run(seconds=1.5)
    trace = _trace_of_answer(logs, model, caller, actions.Verdict.REFUSED)
    assert trace.cause == "refused: no room in time"
    assert trace.deciding.fields["own_room"] == 0
    assert set(trace.deciding.fields["room_by_node"].values()) == {0}


def test_explains_a_refusal_because_no_target_fits():
    model = pools.pool()
    logs, caller = _submit_with_logs(model, cpu=500_000)
    trace = _trace_of_answer(logs, model, caller, actions.Verdict.REFUSED)
    assert trace.cause == "refused: no target is large enough"


def test_explains_a_refusal_by_a_draining_node():
    model = pools.pool()
    pools.node(model, 1).kernel.coordinator.accepts_jobs = False
    logs, caller = _submit_with_logs(model)
    trace = _trace_of_answer(logs, model, caller, actions.Verdict.REFUSED)
    assert trace.cause == "refused: the node is draining"


def test_explains_a_failure_on_all_targets():
    model = pools.pool()
    for target in model.targets_by_id.values():
        target.fails = 1.0
    logs, caller = _submit_with_logs(model, work_ms=50.0)
    model.run(seconds=2)
    trace = _trace_of_answer(logs, model, caller, actions.Verdict.FAILED)
    assert trace.cause == "failed: a task failed as often as its queue allows"
    assert trace.deciding.fields["target"] in model.targets_by_id


def test_explains_a_late_answer_after_a_target_stopped_responding():
    model = pools.pool()
    logs, caller = _submit_with_logs(model, count=12, caller_timeout=datetime.timedelta(seconds=8))
    model.run(seconds=0.1)
    silent = next(target for target in model.targets_by_id.values() if target._running)
    silent.is_dark = True
    model.run(seconds=5)
    trace = _trace_of_answer(logs, model, caller, actions.Verdict.COMPLETE)
    assert trace.cause == "late: a task had to run again (lapsed)"
    assert trace.deciding.fields["target"] == silent.target.id
    assert "TARGET_SILENT" in {line.name for line in trace.context}


def test_explains_a_late_answer_after_an_owner_died():
    model = pools.pool()
    logs, caller = _submit_with_logs(
        model, number=3, count=20, caller_timeout=datetime.timedelta(seconds=8)
    )
    model.run(seconds=0.1)
    pools.node(model, 1).kill()
    model.run(seconds=5)
    trace = _trace_of_answer(logs, model, caller, actions.Verdict.COMPLETE)
    assert trace.cause.startswith("late: a task had to run again")
    assert "MEMBER_LOST" in {line.name for line in trace.context}


def test_explains_a_late_answer_after_waiting_for_capacity():
    model = pools.pool(targets_per_domain=1)
    for number in range(3):
        model.submit(pools.node(model, 1), pools.job(f"{number:016x}", 4, 300.0))
    logs, caller = _submit_with_logs(model, 2, count=2, work_ms=100.0)
    model.run(seconds=3)
    trace = logs.trace(JOB)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert trace.cause == "late: it waited for room longer than its tasks took"


def test_explains_a_job_given_up_because_its_tasks_outlast_the_caller():
    model = pools.pool()
    caller_timeout = datetime.timedelta(seconds=1)
    short = datetime.timedelta(milliseconds=100)
    logs, caller = _submit_with_logs(
        model, work_ms=5000.0, caller_timeout=caller_timeout, estimate=short
    )
    model.run(seconds=2)
    trace = _trace_of_answer(logs, model, caller, actions.Verdict.GIVEN_UP)
    assert trace.cause.startswith("given up:")


def test_explains_a_job_lost_with_its_coordinating_node():
    model = pools.pool()
    logs, _ = _submit_with_logs(model, count=6, work_ms=2000.0)
    model.run(seconds=0.2)
    pools.node(model, 1).kill()
    model.run(seconds=2)
    trace = logs.trace(JOB)
    assert trace.cause.startswith("no answer: the node of the job ended")
    stopped = ("RUN_STOPPED", "STRANGER_STOPPED")
    assert {line.node for line in trace.lines if line.name in stopped} - {trace.lines[0].node}
    assert trace.deciding.name == "MEMBER_LOST"


def test_explains_a_disconnected_caller():
    model = pools.pool()
    logs, caller = _submit_with_logs(model, work_ms=2000.0)
    model.run(seconds=0.2)
    model.leave(caller)
    model.run(seconds=0.5)
    assert logs.trace(JOB).cause == "the caller left before the answer"


def test_explains_a_job_answered_through_another_node():
    model = pools.pool()
    logs, first = _submit_with_logs(
        model, work_ms=2000.0, caller_timeout=datetime.timedelta(seconds=6)
    )
    model.run(seconds=1.3)
    request = pools.job(JOB, 3, 2000.0, caller_timeout=datetime.timedelta(seconds=6))
    second = model.submit(pools.node(model, 2), request)
    model.run(seconds=2)
    assert model.answers_by_caller[second].verdict is actions.Verdict.COMPLETE
    trace = logs.trace(JOB)
    leader = pools.node(model, 1).kernel.settings.node
    followed = [line for line in trace.lines if line.name == "JOB_FOLLOWED"]
    assert [line.fields["leader"] for line in followed] == [leader]
    assert sum(line.name == "JOB_ANSWERED" for line in trace.lines) == 2
    assert model.answers_by_caller[first].verdict is actions.Verdict.COMPLETE


def test_explains_a_run_that_was_allowed_beside_an_unanswered_attempt():
    """The silent target executes the attempt after its task was retried for the deadline."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    lost = []

    def fall_silent(target, action):
        if lost or not isinstance(action, actions.StartRun):
            return False
        lost.append(target)
        target.is_dark = True
        model.simulation.call_later(datetime.timedelta(seconds=2.2), lambda: execute(action))
        return True

    def execute(action):
        (target,) = lost
        target.crash()
        target.is_dark = False
        target.carry_out(action, lambda reply: None)

    model.delays = fall_silent
    logs, _ = _submit_with_logs(
        model, count=1, work_ms=900.0, caller_timeout=datetime.timedelta(seconds=4)
    )
    model.run(seconds=6)
    unproven, stranger = logs.trace(JOB).overlaps
    assert unproven.startswith("run 2 was allowed without proof that run 1")
    assert "(retry_due): 1 of its 1 attempts had no answer" in unproven
    assert f"on {lost[0].target.id} still ran" in stranger


def test_cause_counts_add_up_to_the_answers():
    model = pools.pool(targets_per_domain=2)
    logs = pools.DecisionLogs(model)
    for number in range(60):
        node = pools.node(model, number % 6 + 1)
        model.submit(node, pools.job(f"{number:016x}", 4, 300.0))
        model.run(seconds=0.02)
    model.run(seconds=5)
    verdicts = [answer.verdict for answer in model.answers_by_caller.values()]
    counts = causes.count_causes(logs.lines())
    refused = sum(count.requests for count in counts if count.cause.startswith("refused"))
    assert refused == verdicts.count(actions.Verdict.REFUSED) > 0
    late = sum(count.requests for count in counts if count.cause.startswith("late"))
    assert refused + late < len(verdicts) == 60

"""The cause of each kind of bad answer, found from the logs of all nodes alone."""

import datetime

import pools

from chiveridge_client import causes
from chiveridge_pool import actions

JOB = "a" * 16


def _played(model, number=1, count=3, work_ms=400.0, **fields):
    """Hand the job in at a node; return the logs and the caller."""
    logs = pools.Logs(model)
    caller = model.submit(pools.node(model, number), pools.job(JOB, count, work_ms, **fields))
    return logs, caller


def _explained(logs, model, caller, verdict):
    assert model.answers_by_caller[caller].verdict is verdict
    return logs.trace(JOB)


def test_an_answer_in_time():
    model = pools.pool()
    logs, caller = _played(model)
    model.run(seconds=1)
    found = _explained(logs, model, caller, actions.Verdict.COMPLETE)
    assert found.cause == "answered in time"


def test_refused_under_overload():
    model = pools.pool(targets_per_zone=1)
    for number in range(6):
        model.submit(pools.node(model, 1), pools.job(f"{number:016x}", 4, 1500.0))
    logs, caller = _played(model, 2)
    model.run(seconds=1.5)
    found = _explained(logs, model, caller, actions.Verdict.REFUSED)
    assert found.cause == "refused: no room in time"
    assert found.deciding.fields["own_room"] == 0
    assert set(found.deciding.fields["room_by_node"].values()) == {0}


def test_refused_as_it_fits_no_target():
    model = pools.pool()
    logs, caller = _played(model, cpu=500_000)
    found = _explained(logs, model, caller, actions.Verdict.REFUSED)
    assert found.cause == "refused: no target is large enough"


def test_refused_by_a_node_that_drains():
    model = pools.pool()
    pools.node(model, 1).kernel.coordinator.accepts_jobs = False
    logs, caller = _played(model)
    found = _explained(logs, model, caller, actions.Verdict.REFUSED)
    assert found.cause == "refused: the node is draining"


def test_failed_by_its_targets():
    model = pools.pool()
    for target in model.targets_by_id.values():
        target.fails = 1.0
    logs, caller = _played(model, work_ms=50.0)
    model.run(seconds=2)
    found = _explained(logs, model, caller, actions.Verdict.FAILED)
    assert found.cause == "failed: a task failed as often as its queue allows"
    assert found.deciding.fields["target"] in model.targets_by_id


def test_late_as_a_target_fell_silent():
    model = pools.pool()
    logs, caller = _played(model, count=12, patience=datetime.timedelta(seconds=8))
    model.run(seconds=0.1)
    silent = next(target for target in model.targets_by_id.values() if target._running)
    silent.is_dark = True
    model.run(seconds=5)
    found = _explained(logs, model, caller, actions.Verdict.COMPLETE)
    assert found.cause == "late: a task had to run again (lapsed)"
    assert found.deciding.fields["target"] == silent.target.id
    assert "TARGET_SILENT" in {line.name for line in found.context}


def test_late_as_an_owner_died():
    model = pools.pool()
    logs, caller = _played(model, number=3, count=20, patience=datetime.timedelta(seconds=8))
    model.run(seconds=0.1)
    pools.node(model, 1).kill()
    model.run(seconds=5)
    found = _explained(logs, model, caller, actions.Verdict.COMPLETE)
    assert found.cause.startswith("late: a task had to run again")
    assert "MEMBER_LOST" in {line.name for line in found.context}


def test_late_as_it_waited_for_room():
    model = pools.pool(targets_per_zone=1)
    for number in range(3):
        model.submit(pools.node(model, 1), pools.job(f"{number:016x}", 4, 300.0))
    logs, caller = _played(model, 2, count=2, work_ms=100.0)
    model.run(seconds=3)
    found = logs.trace(JOB)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert found.cause == "late: it waited for room longer than its tasks took"


def test_given_up_as_its_tasks_take_longer_than_the_caller_waits():
    model = pools.pool()
    patience = datetime.timedelta(seconds=1)
    short = datetime.timedelta(milliseconds=100)
    logs, caller = _played(model, work_ms=5000.0, patience=patience, estimate=short)
    model.run(seconds=2)
    found = _explained(logs, model, caller, actions.Verdict.GIVEN_UP)
    assert found.cause.startswith("given up:")


def test_lost_with_its_node():
    model = pools.pool()
    logs, _ = _played(model, count=6, work_ms=2000.0)
    model.run(seconds=0.2)
    pools.node(model, 1).kill()
    model.run(seconds=2)
    found = logs.trace(JOB)
    assert found.cause.startswith("no answer: the node of the job ended")
    stopped = ("RUN_STOPPED", "STRANGER_STOPPED")
    assert {line.node for line in found.lines if line.name in stopped} - {found.lines[0].node}
    assert found.deciding.name == "MEMBER_LOST"


def test_a_caller_that_left():
    model = pools.pool()
    logs, caller = _played(model, work_ms=2000.0)
    model.run(seconds=0.2)
    model.leave(caller)
    model.run(seconds=0.5)
    assert logs.trace(JOB).cause == "the caller left before the answer"


def test_a_job_that_another_node_answered():
    model = pools.pool()
    logs, first = _played(model, work_ms=2000.0, patience=datetime.timedelta(seconds=6))
    model.run(seconds=1.3)
    request = pools.job(JOB, 3, 2000.0, patience=datetime.timedelta(seconds=6))
    second = model.submit(pools.node(model, 2), request)
    model.run(seconds=2)
    assert model.answers_by_caller[second].verdict is actions.Verdict.COMPLETE
    found = logs.trace(JOB)
    leader = pools.node(model, 1).kernel.settings.node
    followed = [line for line in found.lines if line.name == "JOB_FOLLOWED"]
    assert [line.fields["leader"] for line in followed] == [leader]
    assert sum(line.name == "JOB_ANSWERED" for line in found.lines) == 2
    assert model.answers_by_caller[first].verdict is actions.Verdict.COMPLETE


def test_all_causes_of_a_busy_hour_add_up_to_the_answers():
    model = pools.pool(targets_per_zone=2)
    logs = pools.Logs(model)
    for number in range(60):
        node = pools.node(model, number % 6 + 1)
        model.submit(node, pools.job(f"{number:016x}", 4, 300.0))
        model.run(seconds=0.02)
    model.run(seconds=5)
    verdicts = [answer.verdict for answer in model.answers_by_caller.values()]
    counts = causes.count(logs.lines())
    refused = sum(count.requests for count in counts if count.cause.startswith("refused"))
    assert refused == verdicts.count(actions.Verdict.REFUSED) > 0
    late = sum(count.requests for count in counts if count.cause.startswith("late"))
    assert refused + late < len(verdicts) == 60

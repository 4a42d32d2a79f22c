"""What is concluded from the crashes of targets under a task."""

import datetime

import pytest

from chiveridge_pool import crash_histories

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
AT_MS = crash_histories.to_unix_ms(NOW)
JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
Finding = crash_histories.Finding
Evidence = crash_histories.Evidence


OTHER_TASK = f"{JOB}.0.0.1"


def _crash(target, started_at_ms=1, evidence=Evidence.RESTARTED, **fields):
    defaults = {"job": JOB, "task": TASK, "was_running": True, "recorded_at_ms": AT_MS}
    return crash_histories.Crash(
        target=target, started_at_ms=started_at_ms, evidence=evidence, **{**defaults, **fields}
    )


def _history(*crashes):
    history = crash_histories.CrashHistory()
    for crash in crashes:
        history.record(crash, NOW)
    return history


@pytest.mark.parametrize(
    ("crashes", "finding"),
    [
        ((), Finding.NONE),
        ((_crash("t1"),), Finding.SUSPECT),
        ((_crash("t1"), _crash("t1")), Finding.SUSPECT),
        ((_crash("t1"), _crash("t2")), Finding.POISON),
        ((_crash("t1"), _crash("t1", 2)), Finding.POISON),
        ((_crash("t1"), _crash("t1", 0)), Finding.SUSPECT),
        ((_crash("t1"), _crash("t2", was_running=False)), Finding.SUSPECT),
        ((_crash("t1"), _crash("t2", task=OTHER_TASK)), Finding.SUSPECT),
        ((_crash("t1"), _crash("t2", evidence=Evidence.REFUSED)), Finding.HELD),
        ([_crash(f"t{n}", evidence=Evidence.REFUSED) for n in range(2)], Finding.HELD),
        ([_crash(f"t{n}", evidence=Evidence.ALIVE) for n in range(5)], Finding.NONE),
        ([_crash(f"t{n}", evidence=Evidence.SILENT) for n in range(3)], Finding.SUSPECT),
        ([_crash(f"t{n}", evidence=Evidence.SILENT) for n in range(4)], Finding.UNEXPLAINED),
        ([_crash("t1", n, Evidence.SILENT) for n in range(1, 5)], Finding.UNEXPLAINED),
        (
            [_crash("t0"), *(_crash(f"t{n}", evidence=Evidence.SILENT) for n in range(1, 4))],
            Finding.UNEXPLAINED,
        ),
        ((_crash("t1", evidence=Evidence.SILENT), _crash("t1"), _crash("t2")), Finding.POISON),
    ],
)
def test_finding_of_a_task(crashes, finding):
    history = _history(*crashes)
    assert history.finding(JOB, TASK, NOW) is finding
    assert history.worst_finding(JOB, NOW) is finding


def test_a_crash_that_is_known_tells_nothing_new():
    history = _history(_crash("t1", evidence=Evidence.SILENT))
    assert not history.record(_crash("t1", evidence=Evidence.SILENT), NOW)
    assert history.record(_crash("t1"), NOW)
    assert not history.record(_crash("t1", evidence=Evidence.SILENT), NOW)


def test_a_task_is_held_until_it_is_known_whether_its_targets_have_crashed():
    history = _history(*(_crash(f"t{n}", evidence=Evidence.REFUSED) for n in range(2)))
    later = NOW + crash_histories.HELD_FOR
    assert history.finding(JOB, TASK, later) is Finding.UNEXPLAINED
    history.record(_crash("t0", evidence=Evidence.ALIVE), NOW)
    assert history.finding(JOB, TASK, NOW) is Finding.SUSPECT
    history.record(_crash("t1"), NOW)
    history.record(_crash("t2"), NOW)
    assert history.finding(JOB, TASK, NOW) is Finding.POISON


def test_expired_crashes_are_neither_recorded_nor_kept():
    history = _history(_crash("t1"))
    later = NOW + crash_histories.KEPT_FOR + datetime.timedelta(seconds=1)
    assert not history.record(_crash("t2"), later)
    history.forget_expired(later)
    assert history.all() == []


def test_the_jobs_with_the_oldest_crashes_are_forgotten_first(monkeypatch):
    monkeypatch.setattr(crash_histories, "_MAX_JOBS", 2)
    history = crash_histories.CrashHistory()
    for job in ("a", "b", "a", "c"):
        target = f"t{len(history.all())}"
        history.record(_crash(target, job=job, task=f"{job}.0.0.0"), NOW)
    assert {crash.job for crash in history.all()} == {"a", "c"}


def test_suspects_run_alone_while_there_are_tasks_that_crash_targets():
    history = _history(_crash("t1"), _crash("t1", task=OTHER_TASK))
    assert not history.must_isolate(JOB, OTHER_TASK, NOW)
    history.record(_crash("t2"), NOW)
    assert history.must_isolate(JOB, OTHER_TASK, NOW)
    assert not history.must_isolate(JOB, f"{JOB}.0.0.2", NOW)


def test_the_likely_cause_of_a_crash_had_run_as_long_as_those_found_before():
    history = _history(_crash("t1", task=OTHER_TASK, ran_ms=100.0))
    assert history.is_likely_cause(JOB, OTHER_TASK, NOW)
    for target in ("t2", "t3"):
        history.record(_crash(target, ran_ms=12.0), NOW)
    assert not history.is_likely_cause(JOB, OTHER_TASK, NOW)
    assert history.is_likely_cause(JOB, TASK, NOW)
    later = NOW + crash_histories.ISOLATING_FOR
    assert history.is_likely_cause(JOB, OTHER_TASK, later)


def test_a_poison_task_of_long_ago_that_a_new_node_reads_isolates_nobody():
    later = NOW + datetime.timedelta(minutes=5)
    history = crash_histories.CrashHistory()
    for crash in (_crash("t1"), _crash("t2")):
        history.record(crash, later)
    assert history.finding(JOB, TASK, later) is Finding.POISON
    history.record(_crash("t3", task=OTHER_TASK), later)
    other_job = "b" * 16
    at_ms = crash_histories.to_unix_ms(later)
    suspect = _crash("t3", job=other_job, task=f"{other_job}.0.0.0", recorded_at_ms=at_ms)
    history.record(suspect, later)
    assert not history.must_isolate(other_job, suspect.task, later)

"""What is concluded from the crashes of targets under a task."""

import datetime

import pytest

from chiveridge_pool import crash_histories

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
AT_MS = crash_histories.to_unix_ms(NOW)
JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
Finding = crash_histories.Finding


OTHER_TASK = f"{JOB}.0.0.1"


def _crash(target, started_at_ms=1, *, is_certain=True, task=TASK, ran_ms=0.0):
    return crash_histories.Crash(JOB, task, target, started_at_ms, is_certain, AT_MS, ran_ms)


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
        ((_crash("t1"), _crash("t2")), Finding.CULPRIT),
        ((_crash("t1"), _crash("t1", 2)), Finding.CULPRIT),
        ((_crash("t1"), _crash("t1", 0)), Finding.SUSPECT),
        ((_crash("t1"), _crash("t2", task=OTHER_TASK)), Finding.SUSPECT),
        ([_crash(f"t{n}", is_certain=False) for n in range(3)], Finding.SUSPECT),
        ([_crash(f"t{n}", is_certain=False) for n in range(4)], Finding.UNEXPLAINED),
        ([_crash("t1", n, is_certain=False) for n in range(1, 5)], Finding.UNEXPLAINED),
        ([_crash(f"t{n}", is_certain=n == 0) for n in range(4)], Finding.UNEXPLAINED),
        ((_crash("t1", is_certain=False), _crash("t1"), _crash("t2")), Finding.CULPRIT),
    ],
)
def test_finding_of_a_task(crashes, finding):
    history = _history(*crashes)
    assert history.finding(JOB, TASK) is finding
    assert history.worst_finding(JOB) is finding


def test_a_crash_that_is_known_tells_nothing_new():
    history = _history(_crash("t1", is_certain=False))
    assert not history.record(_crash("t1", is_certain=False), NOW)
    assert history.record(_crash("t1"), NOW)
    assert not history.record(_crash("t1", is_certain=False), NOW)


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
        history.record(crash_histories.Crash(job, f"{job}.0.0.0", target, 1, True, AT_MS), NOW)
    assert {crash.job for crash in history.all()} == {"a", "c"}


def test_suspects_run_alone_while_there_are_tasks_that_crash_targets():
    history = _history(_crash("t1"), _crash("t1", task=OTHER_TASK))
    assert not history.must_isolate(JOB, OTHER_TASK, NOW)
    history.record(_crash("t2"), NOW)
    assert history.must_isolate(JOB, OTHER_TASK, NOW)
    assert not history.must_isolate(JOB, f"{JOB}.0.0.2", NOW)


def test_the_likely_cause_of_a_crash_had_run_as_long_as_those_found_before():
    history = _history(_crash("t1", task=OTHER_TASK, ran_ms=100.0))
    assert history.is_likely_culprit(JOB, OTHER_TASK, NOW)
    for target in ("t2", "t3"):
        history.record(_crash(target, ran_ms=12.0), NOW)
    assert not history.is_likely_culprit(JOB, OTHER_TASK, NOW)
    assert history.is_likely_culprit(JOB, TASK, NOW)
    later = NOW + crash_histories.ISOLATING_FOR
    assert history.is_likely_culprit(JOB, OTHER_TASK, later)


def test_a_culprit_of_long_ago_that_a_new_node_reads_isolates_nobody():
    later = NOW + datetime.timedelta(minutes=5)
    history = crash_histories.CrashHistory()
    for crash in (_crash("t1"), _crash("t2")):
        history.record(crash, later)
    assert history.finding(JOB, TASK) is Finding.CULPRIT
    history.record(_crash("t3", task=OTHER_TASK), later)
    other_job = "b" * 16
    at_ms = crash_histories.to_unix_ms(later)
    suspect = crash_histories.Crash(other_job, f"{other_job}.0.0.0", "t3", 1, True, at_ms)
    history.record(suspect, later)
    assert not history.must_isolate(other_job, suspect.task, later)

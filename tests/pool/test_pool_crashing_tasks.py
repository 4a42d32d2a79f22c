"""Tasks that crash each target that starts them, and what other callers lose to them."""

import datetime

import pools
import pytest

from chiveridge_pool import actions, notes

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


def _deadly_job(name, count=1, deadly=(0,), **fields):
    request = pools.job(name, count, **{"caller_timeout": PATIENCE, **fields})
    indexes = " ".join(str(index) for index in deadly)
    return pools.with_spec(request, f"{request.spec} deadly {indexes}")


def _starts(model):
    """Return the number of starts of each deadly task."""
    starts = {}
    for target in model.targets_by_id.values():
        for task, count in target.deadly_starts.items():
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
    model.submit(pools.node(model, 1), _deadly_job("b" * 16))
    model.run(seconds=1)
    crash = next(note for note in model.notes if note.event is notes.NoteEvent.TARGET_CRASHED)
    ran_ms_by_task = {task: ran_ms for task, _, ran_ms, _ in crash.fields["runs"]}
    assert ran_ms_by_task.keys() == {f"{'a' * 16}.0.0.0", f"{'b' * 16}.0.0.0"}
    assert ran_ms_by_task[f"{'b' * 16}.0.0.0"] < 50 < ran_ms_by_task[f"{'a' * 16}.0.0.0"]

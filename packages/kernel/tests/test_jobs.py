import itertools

import msgspec
import pytest

from chiveridge_kernel import clocks, jobs, messages, results

STATES = jobs.TaskState
SIGNALS = jobs.TaskSignal
ALLOWED = {
    (STATES.WAITING, SIGNALS.START): STATES.STARTED,
    (STATES.WAITING, SIGNALS.GIVE_UP): STATES.NOT_RUN,
    (STATES.STARTED, SIGNALS.NOT_STARTED): STATES.WAITING,
    (STATES.STARTED, SIGNALS.SUCCEED): STATES.SUCCEEDED,
    (STATES.STARTED, SIGNALS.FAIL): STATES.RAN,
    (STATES.STARTED, SIGNALS.LOSE): STATES.UNKNOWN,
    (STATES.STARTED, SIGNALS.GIVE_UP): STATES.UNKNOWN,
}


def new_job(count: int = 2) -> jobs.Job:
    tasks = [messages.TaskSpec(msgspec.Raw(b"null"))] * count
    submission = messages.Submission(submission_id="an-id", tasks=tasks)
    return jobs.Job("a-team", submission, None, clocks.EPOCH)


@pytest.mark.parametrize(("state", "signal"), list(itertools.product(STATES, SIGNALS)))
def test_a_task_moves_only_as_the_state_table_says(state, signal):
    task = new_job().tasks[0]
    task.state = state
    following = ALLOWED.get((state, signal))
    if following is None:
        with pytest.raises(jobs.TransitionError):
            task.signal(signal)
        assert task.state is state
    else:
        task.signal(signal)
        assert task.state is following


def test_every_final_state_has_an_outcome_for_the_caller():
    final = set(STATES) - {STATES.WAITING, STATES.STARTED}
    assert set(jobs.OUTCOMES_BY_STATE) == final


def test_only_a_task_that_waits_can_be_told_as_not_run():
    before = {state for (state, _), following in ALLOWED.items() if following is STATES.NOT_RUN}
    assert before == {STATES.WAITING}
    assert jobs.OUTCOMES_BY_STATE[STATES.NOT_RUN] is results.TaskOutcome.NOT_RUN


def test_a_job_ran_nothing_only_when_that_is_known_of_every_task():
    job = new_job()
    for task in job.tasks:
        task.signal(SIGNALS.GIVE_UP)
    assert job.nothing_ran()
    job.tasks[1].state = STATES.UNKNOWN
    assert not job.nothing_ran()

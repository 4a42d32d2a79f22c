import itertools

import msgspec
import pytest

from chiveridge_kernel import clocks, jobs, messages, results

STATES = jobs.TaskState
SIGNALS = jobs.TaskSignal
ALLOWED_TRANSITIONS = {
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
def test_a_task_allows_only_the_transitions_of_the_state_table(state, signal):
    task = new_job().tasks[0]
    task.state = state
    next_state = ALLOWED_TRANSITIONS.get((state, signal))
    if next_state is None:
        with pytest.raises(jobs.TransitionError):
            task.signal(signal)
        assert task.state is state
    else:
        task.signal(signal)
        assert task.state is next_state


def test_every_final_state_has_an_outcome_for_the_caller():
    final_states = set(STATES) - {STATES.WAITING, STATES.STARTED}
    assert set(jobs.OUTCOMES_BY_STATE) == final_states


def test_only_a_waiting_task_can_end_as_not_run():
    previous_states = {
        state
        for (state, _), next_state in ALLOWED_TRANSITIONS.items()
        if next_state is STATES.NOT_RUN
    }
    assert previous_states == {STATES.WAITING}
    assert jobs.OUTCOMES_BY_STATE[STATES.NOT_RUN] is results.TaskOutcome.NOT_RUN


def test_nothing_ran_only_when_no_task_of_the_job_can_have_run():
    job = new_job()
    for task in job.tasks:
        task.signal(SIGNALS.GIVE_UP)
    assert job.nothing_ran()
    job.tasks[1].state = STATES.UNKNOWN
    assert not job.nothing_ran()

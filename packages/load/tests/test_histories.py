import random

import pytest

from chiveridge_load import (
    history_checks,
    history_choices,
    history_events,
    history_plays,
    history_searches,
)
from chiveridge_pool import attempts, end_proofs

SCENARIO_BY_NAME = {scenario.name: scenario for scenario in history_plays.SCENARIOS}
FIRST_START = "start of task 0 run 1 on t001, attempt 1 #1"
SECOND_START = "start of task 0 run 1 on t001, attempt 2 #1"
NOT_EXECUTED = "not executed, connection reset"
STARTS = history_choices.Selection(frozenset({"starts"}))
MANY = 100_000

AFTER_RESTART = (
    (FIRST_START, NOT_EXECUTED),
    ("a run has ended #1", "the caller's connection breaks"),
    ("500 ms after the job was sent #1", "t001 restarts, takes 1 s"),
    ("the start is answered #3", "late start executed: 1111111111111111.0.0.0 on t001"),
)

STOPPED_BEFORE_RESTART = (
    (FIRST_START, NOT_EXECUTED),
    ("the start is sent #2", "the caller's connection breaks"),
    ("150 ms after the job was sent #1", "t001 restarts, takes 1 s"),
    ("the start is answered #3", "late start executed: 1111111111111111.0.0.0 on t001"),
)


def explore(name, disturbances, selection=history_events.ALL):
    search = history_searches.Search(selection, disturbances, MANY)
    search.explore(SCENARIO_BY_NAME[name])
    assert search.is_complete
    return search


def play(name, script):
    choices = history_choices.ScriptedChoices(script)
    history = history_plays.History(SCENARIO_BY_NAME[name], choices)
    history.play()
    assert choices.missed == ()
    return history


@pytest.mark.parametrize("name", SCENARIO_BY_NAME)
def test_no_disturbance_by_itself_makes_a_task_run_twice_or_goes_unanswered(name):
    search = explore(name, disturbances=1)
    assert list(search.found_by_violation) == []
    assert search.played > 100


def test_no_two_replies_to_a_start_make_its_task_run_twice():
    search = explore("owner", disturbances=2, selection=STARTS)
    assert list(search.found_by_violation) == []


@pytest.mark.parametrize("name", ["owner", "peer"])
def test_a_rejected_attempt_taken_for_the_verdict_on_its_run_is_found(name, monkeypatch):
    # The verdict of the overlapping runs (docs/incidents/repeated-starts.md).
    rejected = (attempts.AttemptResult.REJECTED, True)
    monkeypatch.setitem(attempts._VERDICTS, rejected, attempts.Verdict.NOT_RUN)
    monkeypatch.setattr(end_proofs, "may_end", lambda proof, **_: True)
    typical_starts = history_choices.Selection(frozenset({"starts"}), typical_only=True)
    search = explore(name, disturbances=2, selection=typical_starts)
    script_by_cause = {
        violation.cause: found.script for violation, found in search.found_by_violation.items()
    }
    end = "ended by its owner as refused, the target is unhealthy"
    assert script_by_cause[f"{end}; executed, then executed late"] == (
        (FIRST_START, NOT_EXECUTED),
        (SECOND_START, "rejected as unhealthy"),
        ("the start is answered #3", "late start executed: 1111111111111111.0.0.0 on t001"),
    )
    # A start that was executed is not sent again, as a hold lists its run.
    assert f"{end}; executed, then executed" not in script_by_cause


def test_an_unanswered_start_of_an_ended_run_does_not_overlap_a_later_run_after_a_restart():
    assert history_checks.find_violations(play("owner", AFTER_RESTART)) == []


def test_an_unanswered_start_of_a_stopped_run_does_not_overlap_a_later_run_after_a_restart():
    assert history_checks.find_violations(play("owner", STOPPED_BEFORE_RESTART)) == []


def test_a_history_is_reproducible():
    assert play("owner", AFTER_RESTART).steps == play("owner", AFTER_RESTART).steps


def test_random_histories_are_reproducible_and_repeated_by_their_scripts():
    choices = [history_choices.RandomChoices(random.Random(3), 4, 0.2) for _ in range(2)]
    steps = []
    for taken in choices:
        history = history_plays.History(SCENARIO_BY_NAME["peer"], taken)
        history.play()
        steps.append(history.steps)
    assert choices[0].script
    assert steps[0] == steps[1] == play("peer", choices[0].script).steps

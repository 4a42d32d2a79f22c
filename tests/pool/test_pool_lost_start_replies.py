"""Starts that are executed and get no reply, on targets that then answer by every failure."""

import lost_starts
import pytest

from chiveridge_pool import actions, attempts, end_proofs, events, start_checks

_RESULTS = attempts.AttemptResult
_NOT_RUN = attempts.Verdict.NOT_RUN

_KEEPING_ROWS = [
    ((_RESULTS.EXECUTED, False), _NOT_RUN, None),
    ((_RESULTS.EXECUTED, True), _NOT_RUN, None),
    ((_RESULTS.UNKNOWN, True), _NOT_RUN, events.Failure.BROKEN),
    ((_RESULTS.UNREADABLE, True), _NOT_RUN, events.Failure.UNREADABLE),
    ((_RESULTS.REJECTED, True), _NOT_RUN, events.Failure.UNREACHABLE),
    ((_RESULTS.REJECTED, True), _NOT_RUN, events.Failure.TOO_LATE),
    ((_RESULTS.REJECTED, True), _NOT_RUN, events.Failure.NO_ROOM),
    ((_RESULTS.REJECTED, True), _NOT_RUN, events.Failure.UNHEALTHY),
    ((_RESULTS.REJECTED, True), _NOT_RUN, events.Failure.INVALID),
    ((_RESULTS.UNSENT, True), _NOT_RUN, events.Failure.NOT_SENT),
    ((_RESULTS.OLD, True), attempts.Verdict.SUPERSEDED, events.Failure.OLD_RUN),
]
"""Rows of the verdicts by which a run may go on, a verdict that ends it at once, and a failure."""

_ENDING_ROWS = {(_RESULTS.REJECTED, False), (_RESULTS.UNSENT, False), (_RESULTS.OLD, False)}
"""Rows by which a run ends at once, as nothing is unanswered."""


def _plays(failure):
    return [lost_starts.Play(case) for case in lost_starts.cases(failure)]


@pytest.mark.promise("at_most_once", failures=["lost_reply"])
@pytest.mark.parametrize("failure", [None, *lost_starts.FAILURES])
def test_a_task_whose_start_lost_its_reply_overlaps_no_run_whatever_is_answered_next(failure):
    """Guards against a failure that is taken as the answer to a start that was executed before."""
    plays = _plays(failure)
    assert [play.case for play in plays if play.is_overlapping()] == []
    unserved = [play.case for play in plays if play.verdict() is not actions.Verdict.COMPLETE]
    assert [case for case in unserved if not case.is_lasting] == []
    verdicts = {play.verdict() for play in plays}
    assert verdicts <= {actions.Verdict.COMPLETE, actions.Verdict.GIVEN_UP}


def _overlaps(failure):
    return any(lost_starts.Play(case).is_overlapping() for case in lost_starts.cases(failure))


@pytest.mark.parametrize(("row", "ending", "failure"), _KEEPING_ROWS)
def test_a_verdict_that_ends_a_run_too_early_overlaps(monkeypatch, row, ending, failure):
    """Guards against lost replies that no longer reach a row of the verdicts."""
    monkeypatch.setitem(attempts._VERDICTS, row, ending)
    monkeypatch.setattr(end_proofs, "may_end", lambda proof, **_: True)
    # Else a start waits until its target runs nothing that its owner does not know.
    monkeypatch.setattr(start_checks, "_FIRST_ATTEMPT_CHECKS", ())
    assert _overlaps(failure)


@pytest.mark.parametrize(("row", "ending", "failure"), _KEEPING_ROWS[1:])
def test_a_verdict_that_ends_a_run_too_early_is_refused_for_its_proof(
    monkeypatch, row, ending, failure
):
    """Guards against a wrong verdict on an attempt that alone lets the task start again."""
    monkeypatch.setitem(attempts._VERDICTS, row, ending)
    assert not _overlaps(failure)


def test_every_verdict_is_known_to_end_a_run_or_to_be_needed():
    """Guards against a new verdict that no lost reply puts to the test."""
    assert attempts._VERDICTS.keys() == {row for row, _, _ in _KEEPING_ROWS} | _ENDING_ROWS


@pytest.mark.parametrize(
    "answer", [None, events.Failure.TIMEOUT, events.Failure.BROKEN, events.Failure.UNREADABLE]
)
def test_an_attempt_that_may_be_executed_and_counts_as_rejected_overlaps(monkeypatch, answer):
    """Guards against lost replies that no longer show the first attempt as unanswered."""
    monkeypatch.setitem(attempts._RESULT_BY_FAILURE, answer, _RESULTS.REJECTED)
    assert _overlaps(None)

"""The rules that every history has to keep, and what allowed the runs that break them."""

import datetime
import itertools

import msgspec

from chiveridge_load import history_plays, history_pools
from chiveridge_pool import notes

_ENDING_NOTES = (notes.NoteEvent.RUN_ENDED, notes.NoteEvent.RUN_LOST)


class Violation(msgspec.Struct, frozen=True):
    """A broken rule, and what allowed it; histories with equal ones are of one class."""

    rule: str
    cause: str = ""


class _Span(msgspec.Struct, frozen=True):
    started: history_pools.StartedRun
    ended_at: datetime.datetime


def find_violations(history: history_plays.History) -> list[Violation]:
    """Return the rules that a history has broken."""
    violations = list(dict.fromkeys(_overlaps(history)))
    if any(target.is_running() for target in history.targets()):
        violations.append(Violation("a run goes on at the end"))
    if history.caller.unanswered():
        violations.append(Violation("a caller has no answer"))
    return violations


def _overlaps(history: history_plays.History) -> list[Violation]:
    spans_by_task: dict[str, list[_Span]] = {}
    for target in history.targets():
        ends = {
            (task, started_at): ended_at
            for task, started_at, ended_at in target.spans(history.pool.simulation.now)
        }
        for started in target.started_runs:
            span = _Span(started, ends[started.task, started.started_at])
            spans_by_task.setdefault(started.task, []).append(span)
    return [
        Violation("two runs at once", _explain(history, earlier.started, later.started))
        for spans in spans_by_task.values()
        for earlier, later in _overlapping_pairs(spans)
    ]


def _overlapping_pairs(spans: list[_Span]) -> list[tuple[_Span, _Span]]:
    ordered = sorted(spans, key=lambda span: span.started.started_at)
    return [
        (earlier, later)
        for earlier, later in itertools.combinations(ordered, 2)
        if earlier.ended_at > later.started.started_at
    ]


def _explain(
    history: history_plays.History,
    earlier: history_pools.StartedRun,
    later: history_pools.StartedRun,
) -> str:
    """Return by what proof the run counted as ended that was not over."""
    presumed_ended = later if later.is_late else earlier
    proof = _find_proof(history, presumed_ended, later.started_at)
    return f"{proof}; {_describe(earlier)}, then {_describe(later)}"


def _find_proof(
    history: history_plays.History, run: history_pools.StartedRun, until: datetime.datetime
) -> str:
    """Return how the owner or the job's node had ended a run by a time."""
    key = (run.task, run.run, run.target)
    by_event = {}
    for logged in history.logged:
        fields = logged.fields
        is_of_run = key == (fields.get("task"), fields.get("run"), fields.get("target"))
        if logged.event in _ENDING_NOTES and is_of_run and logged.at <= until:
            by_event.setdefault(logged.event, fields)
    ended = by_event.get(notes.NoteEvent.RUN_ENDED)
    if ended is not None:
        reason = f", {ended['reason']}" if ended["reason"] else ""
        return f"ended by its owner as {ended['how']}{reason}"
    lost = by_event.get(notes.NoteEvent.RUN_LOST)
    if lost is not None:
        return f"ended as {lost['how']} without a note of its owner"
    if _has_run_before(history, run):
        return "an earlier attempt of it had ended"
    return "never ended: its job was ended or sent again"


def _has_run_before(history: history_plays.History, run: history_pools.StartedRun) -> bool:
    return any(
        other.started_at < run.started_at and (other.task, other.run) == (run.task, run.run)
        for target in history.targets()
        if target.target.id == run.target
        for other in target.started_runs
    )


def _describe(run: history_pools.StartedRun) -> str:
    late = " late" if run.is_late else ""
    incarnation = " by a later incarnation" if run.incarnation > 1 else ""
    return f"executed{late}{incarnation}"

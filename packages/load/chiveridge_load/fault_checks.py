"""Compares the replies to callers with the starts that the targets recorded."""

import collections
import enum
from collections.abc import Iterator

import msgspec

from chiveridge_kernel import messages, results
from chiveridge_load import fault_injectors, fault_jobs, fault_operators, fault_schedules
from chiveridge_standins import simulated_targets, start_journals

LEAVING_LIMIT_MS = 3000
_NOT_RUN = results.TaskOutcome.NOT_RUN
_SUCCEEDED = results.TaskOutcome.SUCCEEDED
_COMPLETE = results.JobState.COMPLETE
_LIST_LEAVING = fault_schedules.Fault.LIST_LEAVING
_LEAVING_FAULTS = (fault_schedules.Fault.SAY_LEAVING, _LIST_LEAVING)
_LISTING_OUTAGES = (
    fault_schedules.Fault.CUT_PLATFORM,
    fault_schedules.Fault.STALL_PLATFORM,
)


class Rule(enum.Enum):
    """The violation of each rule that a run is checked against."""

    STARTED_TWICE = "a task started more than once"
    ANSWERS_DIFFER = "two answers to one submission differ"
    REFUSED_BUT_STARTED = "a refusal said not run, and a task started"
    REFUSED_AND_ANSWERED = "a submission was refused as not run and also answered"
    SUCCEEDED_NOT_ONCE = "a task was told as succeeded and did not start exactly once"
    WRONG_RESULT = "a succeeded task carries the result of another"
    NOT_RUN_BUT_STARTED = "a task was told as not run, and it started"
    NOT_ENDED = "long after its deadline a job had neither an answer nor a final refusal"
    INCOMPLETE_ANSWER = "an answer does not have every task in order"
    PARTLY_COMPLETE = "a complete answer has a task that did not succeed"
    STARTED_WHILE_LEAVING = "a task started on a target long after it began to leave"
    UNKNOWN_START = "a task started that nobody submitted"
    VERDICT_DIFFERS = "an operator was told another verdict than the log gives"
    NODE_BEHIND = "a node has not applied the whole configuration in time"
    DRAIN_FAILED = "a planned stop did not end by itself with exit code 0"


class Violation(msgspec.Struct, frozen=True):
    """A violated rule; ``submission_id`` is empty when no job is concerned."""

    rule: Rule
    submission_id: str
    detail: str


def check(
    records: list[fault_jobs.JobRecord],
    starts: list[start_journals.Start],
    periods: list[fault_injectors.FaultPeriod],
    drains: list[fault_injectors.Drain],
) -> list[Violation]:
    """Return the violations by the jobs, starts, leaving targets and drains of a run."""
    counts_by_key = collections.Counter(start.key for start in starts)
    violations = [item for record in records for item in _check_job(record, counts_by_key)]
    violations += _check_unknown_starts(records, counts_by_key)
    violations += _check_leaving(records, starts, periods)
    for drain in drains:
        if drain.exit_code != 0:
            detail = f"{drain.name}: {drain.exit_code}\n{drain.log_tail}"
            violations.append(Violation(Rule.DRAIN_FAILED, "", detail))
    return violations


def check_configuration(outcome: fault_operators.ConfigurationOutcome) -> list[Violation]:
    """Return the violations by configuration changes and by nodes that lag behind the log."""
    violations = []
    for reported in outcome.told:
        verdict = outcome.verdicts_by_change_id.get(reported.change_id)
        if reported.verdict is not None and reported.verdict is not verdict:
            detail = f"{reported.change_id}: reported {reported.verdict.value}, log has {verdict}"
            violations.append(Violation(Rule.VERDICT_DIFFERS, "", detail))
    for name, offset in outcome.offsets_by_node.items():
        if offset < outcome.log_offset:
            detail = f"{name}: at {offset} of {outcome.log_offset}"
            violations.append(Violation(Rule.NODE_BEHIND, "", detail))
    return violations


def _check_job(
    record: fault_jobs.JobRecord, counts_by_key: collections.Counter[str]
) -> Iterator[Violation]:
    for rule, detail in _breaches(record, counts_by_key):
        yield Violation(rule, record.submission_id, detail)


def _breaches(
    record: fault_jobs.JobRecord, counts_by_key: collections.Counter[str]
) -> Iterator[tuple[Rule, str]]:
    for key in record.keys:
        if counts_by_key[key] > 1:
            yield Rule.STARTED_TWICE, f"{key}: {counts_by_key[key]} starts"
    yield from _refusal_breaches(record, counts_by_key)
    if record.submission_id and not any(attempt.is_final() for attempt in record.attempts[-1:]):
        yield Rule.NOT_ENDED, f"{len(record.attempts)} attempts"
    answers = record.final_answers()
    if any(answer != answers[0] for answer in answers):
        yield Rule.ANSWERS_DIFFER, ", ".join(sorted({answer.name for answer in answers}))
    for answer in answers[:1]:
        yield from _answer_breaches(record, answer, counts_by_key)


def _refusal_breaches(
    record: fault_jobs.JobRecord, counts_by_key: collections.Counter[str]
) -> Iterator[tuple[Rule, str]]:
    refusals = [refusal for refusal in record.refusals("POST") if refusal.ran is _NOT_RUN]
    started = [key for key in record.keys if counts_by_key[key]]
    for refusal in refusals[:1]:
        if started:
            yield Rule.REFUSED_BUT_STARTED, f"{refusal.name}: {len(started)} tasks started"
        if record.final_answers():
            yield Rule.REFUSED_AND_ANSWERED, refusal.name


def _answer_breaches(
    record: fault_jobs.JobRecord,
    answer: messages.JobAnswer,
    counts_by_key: collections.Counter[str],
) -> Iterator[tuple[Rule, str]]:
    if [task.index for task in answer.tasks] != list(range(len(record.keys))):
        yield Rule.INCOMPLETE_ANSWER, f"{len(answer.tasks)} of {len(record.keys)} tasks"
        return
    for key, task in zip(record.keys, answer.tasks, strict=True):
        yield from _task_breaches(key, task, counts_by_key[key])
        if answer.state is _COMPLETE and task.outcome is not _SUCCEEDED:
            yield Rule.PARTLY_COMPLETE, f"{key}: {task.outcome.value}"


def _task_breaches(key: str, task: messages.TaskAnswer, count: int) -> Iterator[tuple[Rule, str]]:
    if task.outcome is _NOT_RUN and count:
        yield Rule.NOT_RUN_BUT_STARTED, f"{key}: {count} starts"
    if task.outcome is not _SUCCEEDED:
        return
    if count != 1:
        yield Rule.SUCCEEDED_NOT_ONCE, f"{key}: {count} starts"
    if msgspec.json.decode(task.result, type=simulated_targets.TaskResult).key != key:
        yield Rule.WRONG_RESULT, f"{key}: {bytes(task.result).decode()}"


def _check_unknown_starts(
    records: list[fault_jobs.JobRecord], counts_by_key: collections.Counter[str]
) -> Iterator[Violation]:
    known_keys = {key for record in records for key in record.keys}
    for key in counts_by_key.keys() - known_keys:
        yield Violation(Rule.UNKNOWN_START, "", key)


def _check_leaving(
    records: list[fault_jobs.JobRecord],
    starts: list[start_journals.Start],
    periods: list[fault_injectors.FaultPeriod],
) -> Iterator[Violation]:
    ids_by_key = {key: record.submission_id for record in records for key in record.keys}
    listing_outages = [period for period in periods if period.fault in _LISTING_OUTAGES]
    leaving_periods = [period for period in periods if period.fault in _LEAVING_FAULTS]
    for period in leaving_periods:
        if period.fault is _LIST_LEAVING and any(
            _do_overlap(period, other) for other in listing_outages
        ):
            continue
        for start in starts:
            is_late = period.from_ms + LEAVING_LIMIT_MS < start.at_ms < period.until_ms
            if start.target == period.name and is_late:
                detail = f"{start.key} on {start.target} after {start.at_ms - period.from_ms} ms"
                yield Violation(Rule.STARTED_WHILE_LEAVING, ids_by_key.get(start.key, ""), detail)


def _do_overlap(first: fault_injectors.FaultPeriod, second: fault_injectors.FaultPeriod) -> bool:
    return first.from_ms < second.until_ms and second.from_ms < first.until_ms

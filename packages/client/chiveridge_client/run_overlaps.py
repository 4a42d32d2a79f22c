"""Finds runs in the log that were allowed although an earlier run of their task may go on."""

import typing
from collections.abc import Iterable, Iterator

if typing.TYPE_CHECKING:
    from chiveridge_client import traces

_Key = tuple[object, object]
_ENDS = ("RUN_ENDED", "RUN_LOST")
_LISTED = "listed"
_REFUSED = "refused"


def find(lines: "Iterable[traces.LogLine]") -> tuple[str, ...]:
    """Return a sentence for each such run, from the lines of one request in order of time."""
    return tuple(dict.fromkeys(_sentences(list(lines))))


def _sentences(lines: "list[traces.LogLine]") -> Iterator[str]:
    attempts_by_run = {_key(line): line for line in lines if line.name == "RUN_ATTEMPTS"}
    ended_by_run: dict[_Key, traces.LogLine] = {}
    for line in lines:
        if line.name in _ENDS and _key(line) not in ended_by_run:
            ended_by_run[_key(line)] = line
        if line.name == "RUN_LOST" and line.fields.get("is_proven") is False:
            yield _without_proof(line, attempts_by_run.get(_key(line)))
        elif line.name == "RUN_ENDED" and _is_verdict_of_one_attempt(line):
            yield (
                f"{_name(line)} ended as refused while {line.fields.get('unanswered')} of its "
                "attempts had no answer; its task was allowed to start again"
            )
        ended = ended_by_run.get(_key(line))
        if ended is not None and _shows_a_run_after(line, ended):
            elapsed_ms = (line.at - ended.at) * 1000
            yield f"{_name(line)} still ran {elapsed_ms:.1f} ms after it counted as ended"


def _without_proof(lost: "traces.LogLine", attempts: "traces.LogLine | None") -> str:
    text = (
        f"run {lost.fields.get('next_run')} was allowed without proof that {_name(lost)} had "
        f"ended ({lost.fields.get('proof')})"
    )
    if attempts is None:
        return text
    sent = len(attempts.fields.get("attempts") or ()) + int(attempts.fields.get("unlisted") or 0)
    return f"{text}: {attempts.fields.get('unanswered')} of its {sent} attempts had no answer"


def _is_verdict_of_one_attempt(ended: "traces.LogLine") -> bool:
    """Return whether a node that names no proofs took a refused attempt for all of them."""
    fields = ended.fields
    return (
        "proof" not in fields and fields.get("how") == _REFUSED and bool(fields.get("unanswered"))
    )


def _shows_a_run_after(line: "traces.LogLine", ended: "traces.LogLine") -> bool:
    """Return whether a line shows that a run was on its target after it counted as ended."""
    if line.name == "STRANGER_STOPPED":
        return True
    # Its owner logs an end before the job's node does, unless that did not wait for it.
    is_listed_end = line.name == "RUN_ENDED" and line.fields.get("proof") == _LISTED
    return is_listed_end and ended.name == "RUN_LOST" and ended.fields.get("proof") != _LISTED


def _key(line: "traces.LogLine") -> _Key:
    return line.fields.get("task"), line.fields.get("run")


def _name(line: "traces.LogLine") -> str:
    return f"run {line.fields.get('run')} of {line.fields.get('task')} on {_target(line)}"


def _target(line: "traces.LogLine") -> object:
    return line.fields.get("target", "an unknown target")

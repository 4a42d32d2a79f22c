"""Explains requests from the log lines of all nodes."""

import bisect
import json
from collections.abc import Iterable

import msgspec

from chiveridge_client import run_overlaps

CONTEXT_SECONDS = 1.5
"""Time before and after a request in which other events may explain it.

It is more than twice the silence after which a node counts as dead.
"""

_RUN_EVENTS = ("RUN_ENDED", "RUN_STOPPED", "RUN_LOST", "STRANGER_STOPPED")
_CONTEXT_EVENTS = (
    "OWNER_CHANGED",
    "TARGET_SILENT",
    "TARGET_SUSPENDED",
    "TARGET_LOST",
    "MEMBER_LOST",
    "NODE_SLOW",
    "LOG_UNREACHABLE",
    "LOG_REACHABLE",
    "CHANGE_ACCEPTED",
    "DRAIN_STARTED",
    "PROCESS_PAUSED",
    "NODE_LISTENING",
)
MAX_CONFIRMED_AGE_MS = 2000.0
"""Age above which a configuration counts as unconfirmed; a node confirms it about each second."""

_OMITTED_FIELDS = ("at", "node", "event", "name", "job")


class LogLine(msgspec.Struct, frozen=True):
    """One line of a node's log; ``at`` is in seconds on the clock of the node."""

    at: float
    node: str
    name: str
    fields: dict[str, object]

    def text(self, start: float) -> str:
        """Return the line as text, with the time since ``start`` in milliseconds."""
        fields_text = " ".join(
            f"{key}={_value_text(value)}"
            for key, value in self.fields.items()
            if key not in _OMITTED_FIELDS
        )
        return f"{(self.at - start) * 1000:9.1f}  {self.node:20} {self.name:18} {fields_text}"


class Trace(msgspec.Struct, frozen=True):
    """All lines of one request in order, related events around it, and the line that decided it.

    ``overlaps`` tells of runs that were allowed although an earlier run of their task may go on.
    """

    request: str
    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    deciding: LogLine | None
    cause: str
    clock_leads_ms: dict[str, float]
    overlaps: tuple[str, ...] = ()


def parse_lines(raw_lines: Iterable[str]) -> list[LogLine]:
    """Return the lines that hold events; a prefix, such as a log collector's, is ignored."""
    parsed_lines = []
    for raw_line in raw_lines:
        start = raw_line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(raw_line[start:])
        except ValueError:
            continue
        if not isinstance(fields, dict):
            continue
        if isinstance(fields.get("at"), int | float) and "name" in fields:
            name, node = str(fields["name"]), str(fields.get("node", ""))
            parsed_lines.append(LogLine(float(fields["at"]), node, name, fields))
    return parsed_lines


class Log:
    """The lines of all nodes, by request and in order of time."""

    def __init__(self, lines: Iterable[LogLine]):
        self._by_request: dict[str, list[LogLine]] = {}
        self._context: list[LogLine] = []
        for line in sorted(lines, key=lambda line: line.at):
            request = _request_of(line)
            if request:
                self._by_request.setdefault(request, []).append(line)
            elif line.name in _CONTEXT_EVENTS:
                self._context.append(line)

    def requests(self) -> list[str]:
        """Return the ids of all requests, in the order of their first lines."""
        return list(self._by_request)

    def trace(self, request: str) -> Trace | None:
        """Return the trace of a request, or ``None`` if no line mentions it."""
        request_lines = self._by_request.get(request)
        if request_lines is None:
            return None
        context = self._context_of(request_lines)
        deciding, cause = _decide(request_lines, context)
        return Trace(
            request,
            tuple(request_lines),
            tuple(context),
            deciding,
            cause,
            _clock_leads(request_lines),
            run_overlaps.find(request_lines),
        )

    def _context_of(self, request_lines: list[LogLine]) -> list[LogLine]:
        """Return the events near a request that concern its targets, owners and nodes."""
        start = bisect.bisect_left(
            self._context, request_lines[0].at - CONTEXT_SECONDS, key=_time_of
        )
        end = bisect.bisect_right(
            self._context, request_lines[-1].at + CONTEXT_SECONDS, key=_time_of
        )
        related_names: set[object] = {line.node for line in request_lines}
        for line in request_lines:
            related_names.update((line.fields.get("target"), line.fields.get("owner")))
            related_names.update(line.fields.get("targets") or ())
        related_names.discard(None)
        return [
            line
            for line in self._context[start:end]
            if related_names & {line.node, line.fields.get("target"), line.fields.get("member")}
            and (line.fields.get("target") is None or line.fields.get("target") in related_names)
        ]


def trace_request(request: str, lines: Iterable[LogLine]) -> Trace | None:
    """Return the trace of a request, or ``None`` if no line mentions it."""
    return Log(lines).trace(request)


def render(request_trace: Trace) -> str:
    """Return a trace as text."""
    start = request_trace.lines[0].at
    parts = [
        f"request {request_trace.request}",
        "",
        *(line.text(start) for line in request_trace.lines),
    ]
    if request_trace.context:
        parts += ["", "around it:", *(line.text(start) for line in request_trace.context)]
    if request_trace.clock_leads_ms:
        parts += ["", "clocks:"]
        parts += [
            f"  {node} is at least {lead:.1f} ms behind the node of the job"
            for node, lead in request_trace.clock_leads_ms.items()
        ]
    if request_trace.overlaps:
        parts += ["", "runs that may overlap:"]
        parts += [f"  {overlap}" for overlap in request_trace.overlaps]
    parts += ["", f"cause: {request_trace.cause}"]
    if request_trace.deciding is not None:
        parts += [f"deciding line: {request_trace.deciding.text(start).strip()}"]
    return "\n".join(parts)


def _time_of(line: LogLine) -> float:
    return line.at


def _request_of(line: LogLine) -> str:
    job = line.fields.get("job")
    return str(job) if job else str(line.fields.get("task", "")).partition(".")[0]


def _last_line(lines: list[LogLine], *names: str, **fields: object) -> LogLine | None:
    for line in reversed(lines):
        if line.name in names and all(line.fields.get(k) == v for k, v in fields.items()):
            return line
    return None


def _decide(request_lines: list[LogLine], context: list[LogLine]) -> tuple[LogLine | None, str]:
    """Return the line that decided the answer, and the cause in words."""
    answer = _last_line(
        request_lines, "JOB_ANSWERED", "JOB_REFUSED", "CALLER_LEFT", "REQUEST_REJECTED"
    )
    if answer is None:
        lost = _last_line(context, "MEMBER_LOST", "NODE_LISTENING")
        return lost, "no answer: the node of the job ended, or fell silent, before it"
    verdict = answer.fields.get("verdict", answer.name)
    return _DECIDERS_BY_VERDICT.get(verdict, _decide_by_answer)(request_lines, context, answer)


def _decide_by_answer(
    request_lines: list[LogLine], context: list[LogLine], answer: LogLine
) -> tuple[LogLine | None, str]:
    return answer, str(answer.fields.get("reason") or "answered")


def _decide_complete(
    request_lines: list[LogLine], context: list[LogLine], answer: LogLine
) -> tuple[LogLine | None, str]:
    if not answer.fields.get("is_late"):
        return answer, "answered in time"
    rerun = _last_line(request_lines, *_RUN_EVENTS)
    if rerun is not None:
        reason = rerun.fields.get("how") or rerun.fields.get("reason")
        return rerun, f"late: a task had to run again ({reason})"
    placement = _last_line(request_lines, "JOB_PLACED")
    if placement is None:
        return answer, "late: its lines do not tell why"
    queued_ms = float(placement.fields.get("waited_ms") or 0)
    run_ms = float(answer.fields.get("took_ms") or 0) - queued_ms
    if queued_ms > run_ms:
        return placement, "late: it waited for room longer than its tasks took"
    return placement, "late: its tasks took longer than it waited for room"


def _decide_failed(
    request_lines: list[LogLine], context: list[LogLine], answer: LogLine
) -> tuple[LogLine | None, str]:
    reason = str(answer.fields.get("reason") or "")
    if "crashed" in reason:
        crashed = _last_line(context, "TARGET_LOST")
        return crashed or answer, f"failed: {reason}"
    failed = _last_line(request_lines, "RUN_ENDED", "RUN_LOST", how="failed")
    return failed or answer, "failed: a task failed as often as its queue allows"


def _decide_given_up(
    request_lines: list[LogLine], context: list[LogLine], answer: LogLine
) -> tuple[LogLine | None, str]:
    rerun = _last_line(request_lines, "RUN_LOST")
    if rerun is None:
        return answer, "given up: its tasks took longer than the caller waits"
    return rerun, f"given up: a task had to run again ({rerun.fields.get('how')})"


def _decide_rejected(
    request_lines: list[LogLine], context: list[LogLine], answer: LogLine
) -> tuple[LogLine | None, str]:
    cause = f"rejected with {answer.fields.get('status')}: {answer.fields.get('reason')}"
    age_ms = answer.fields.get("version_age_ms")
    if isinstance(age_ms, int | float) and age_ms > MAX_CONFIRMED_AGE_MS:
        return answer, f"{cause} (by a configuration unconfirmed for over 2 s)"
    return answer, cause


def _decide_caller_left(
    request_lines: list[LogLine], context: list[LogLine], answer: LogLine
) -> tuple[LogLine | None, str]:
    return answer, "the caller left before the answer"


def _decide_refused(
    request_lines: list[LogLine], context: list[LogLine], answer: LogLine
) -> tuple[LogLine | None, str]:
    refused = _last_line(request_lines, "JOB_REFUSED") or answer
    return refused, f"refused: {refused.fields.get('reason')}"


_DECIDERS_BY_VERDICT = {
    "refused": _decide_refused,
    "JOB_REFUSED": _decide_refused,
    "complete": _decide_complete,
    "failed": _decide_failed,
    "given_up": _decide_given_up,
    "CALLER_LEFT": _decide_caller_left,
    "REQUEST_REJECTED": _decide_rejected,
}


def _clock_leads(request_lines: list[LogLine]) -> dict[str, float]:
    """Return by how many ms each node's first line precedes the acceptance of the job.

    Such a line shows that the clock of that node is behind the clock of the node of the job.
    """
    taken_line = next((line for line in request_lines if line.name == "JOB_TAKEN"), None)
    if taken_line is None:
        return {}
    leads: dict[str, float] = {}
    for line in request_lines:
        if line.node != taken_line.node and line.at < taken_line.at:
            lead = (taken_line.at - line.at) * 1000
            leads[line.node] = max(leads.get(line.node, 0.0), lead)
    return leads


def _value_text(value: object) -> str:
    return value if isinstance(value, str) and " " not in value else json.dumps(value)

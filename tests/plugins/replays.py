"""Replay recorded traces of kernel events with a manual clock and a seeded random source.

A trace is a file of JSON lines in the format of ``chiveridge_node.recorders``. Its last line has
the kind ``expect`` and holds the expected outcome: numbers of starts and stops, refusals, and
answers.
"""

import datetime
import pathlib
import random
import re
import typing

import msgspec

from chiveridge_kernel import actions, errors, events, identifiers, kernel_parts, kernels

SEED = 7
_PLACEHOLDER = re.compile(rb"\$(id|lease)(\d+)")
_EVENT_TYPES_BY_NAME = {found.__name__: found for found in typing.get_args(events.Event)}


class ReplayError(Exception):
    """A replay produced a result that is never allowed, such as two answers to one job."""


class TraceLine(msgspec.Struct, forbid_unknown_fields=True):
    """One line of a trace."""

    at_ms: int
    kind: str
    value: msgspec.Raw = msgspec.Raw(b"{}")


class TraceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the recorded node."""

    node: identifiers.NodeName
    domain: identifiers.DomainName
    policy: str
    started_at: datetime.datetime


class IdRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A recorded request of a team for submission ids."""

    team: identifiers.TeamName
    count: int = 1


class ExpectedAnswer(msgspec.Struct, forbid_unknown_fields=True):
    """Answer to a job: the name of its result code and the outcomes of its tasks."""

    code: str
    tasks: list[str]


class TraceOutcome(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Outcome of a replay: numbers of actions, refusals in order, and answers by submission id."""

    starts: int = 0
    stops: int = 0
    refusals: list[str] = []
    answers: dict[str, ExpectedAnswer] = {}


class Replay:
    """Run a kernel on the events of a trace."""

    def __init__(self):
        self.kernel: kernels.Kernel | None = None
        self.outcome = TraceOutcome()
        self._submission_ids: list[str] = []
        self._lease_ids: list[str] = []

    def run(self, path: pathlib.Path) -> TraceOutcome:
        """Replay a trace and return its expected outcome, to be compared with ``outcome``."""
        expected = None
        for raw_line in path.read_bytes().splitlines():
            line = msgspec.json.decode(self._fill_placeholders(raw_line), type=TraceLine)
            if line.kind == "settings":
                trace_settings = msgspec.json.decode(line.value, type=TraceSettings)
                self.kernel = _make_kernel(trace_settings)
            elif line.kind == "expect":
                expected = msgspec.json.decode(line.value, type=TraceOutcome)
            else:
                now = trace_settings.started_at + datetime.timedelta(milliseconds=line.at_ms)
                self._handle_line(line, now)
        return expected

    def _handle_line(self, line: TraceLine, now: datetime.datetime) -> None:
        try:
            if line.kind == "issue":
                self._issue_ids(msgspec.json.decode(line.value, type=IdRequest), now)
                return
            event = msgspec.json.decode(line.value, type=_EVENT_TYPES_BY_NAME[line.kind])
            resulting_actions = self.kernel.handle(event, now)
        except errors.RefusedError as error:
            self.outcome.refusals.append(error.code.name)
            return
        for action in resulting_actions:
            self._record_action(action)

    def _issue_ids(self, request: IdRequest, now: datetime.datetime) -> None:
        answer = self.kernel.admissions.issue(request.team, request.count, now)
        self._submission_ids.extend(answer.submission_ids)

    def _record_action(self, action: actions.Action) -> None:
        if isinstance(action, actions.StartTask):
            self.outcome.starts += 1
            self._lease_ids.append(action.lease_id)
        elif isinstance(action, actions.StopTask):
            self.outcome.stops += 1
        elif isinstance(action, actions.AnswerJob):
            answer = action.answer
            if answer.submission_id in self.outcome.answers:
                raise ReplayError(f"{answer.submission_id} was answered twice")
            tasks = [task.outcome.value for task in answer.tasks]
            self.outcome.answers[answer.submission_id] = ExpectedAnswer(answer.code.name, tasks)

    def _fill_placeholders(self, raw_line: bytes) -> bytes:
        def fill_match(match: re.Match[bytes]) -> bytes:
            recorded_ids = {b"id": self._submission_ids, b"lease": self._lease_ids}[match[1]]
            return recorded_ids[int(match[2]) - 1].encode()

        return _PLACEHOLDER.sub(fill_match, raw_line)


def _make_kernel(trace_settings: TraceSettings) -> kernels.Kernel:
    settings = kernel_parts.KernelSettings(
        node=trace_settings.node,
        domain=trace_settings.domain,
        policy=trace_settings.policy,
        incarnation=identifiers.Incarnation("trace"),
        secret=b"secret of the traces",
    )
    return kernels.Kernel(settings, random.Random(SEED))

"""Replays recorded traces of kernel events with a manual clock and a seeded random source.

A trace is a file of JSON lines as ``chiveridge_node.recorders`` writes them, and a last line of
kind ``expect`` with the stated outcome: numbers of starts and stops, refusals, and answers.
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
    """A trace led to something that no trace may lead to."""


class Line(msgspec.Struct, forbid_unknown_fields=True):
    """One line of a trace."""

    at_ms: int
    kind: str
    value: msgspec.Raw = msgspec.Raw(b"{}")


class TraceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The node that was recorded."""

    node: identifiers.NodeName
    domain: identifiers.DomainName
    policy: str
    started_at: datetime.datetime


class Issue(msgspec.Struct, forbid_unknown_fields=True):
    """Submission ids issued to a team."""

    team: identifiers.TeamName
    count: int = 1


class ExpectedAnswer(msgspec.Struct, forbid_unknown_fields=True):
    """Stated answer to a job: the name of its code and the outcomes of its tasks."""

    code: str
    tasks: list[str]


class Outcome(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What came of a trace: numbers of actions, refusals in order, and answers by id."""

    starts: int = 0
    stops: int = 0
    refusals: list[str] = []
    answers: dict[str, ExpectedAnswer] = {}


class Replay:
    """A kernel that is driven by a trace."""

    def __init__(self):
        self.kernel: kernels.Kernel | None = None
        self.outcome = Outcome()
        self._ids: list[str] = []
        self._leases: list[str] = []

    def run(self, path: pathlib.Path) -> Outcome:
        """Replay a trace and return the outcome that it states; compare it with ``outcome``."""
        expected = None
        for text in path.read_bytes().splitlines():
            line = msgspec.json.decode(self._filled(text), type=Line)
            if line.kind == "settings":
                recorded = msgspec.json.decode(line.value, type=TraceSettings)
                self.kernel = _kernel(recorded)
            elif line.kind == "expect":
                expected = msgspec.json.decode(line.value, type=Outcome)
            else:
                now = recorded.started_at + datetime.timedelta(milliseconds=line.at_ms)
                self._handle(line, now)
        return expected

    def _handle(self, line: Line, now: datetime.datetime) -> None:
        try:
            if line.kind == "issue":
                self._issue(msgspec.json.decode(line.value, type=Issue), now)
                return
            event = msgspec.json.decode(line.value, type=_EVENT_TYPES_BY_NAME[line.kind])
            done = self.kernel.handle(event, now)
        except errors.RefusedError as error:
            self.outcome.refusals.append(error.code.name)
            return
        for action in done:
            self._note(action)

    def _issue(self, issue: Issue, now: datetime.datetime) -> None:
        answer = self.kernel.admissions.issue(issue.team, issue.count, now)
        self._ids.extend(answer.submission_ids)

    def _note(self, action: actions.Action) -> None:
        if isinstance(action, actions.StartTask):
            self.outcome.starts += 1
            self._leases.append(action.lease_id)
        elif isinstance(action, actions.StopTask):
            self.outcome.stops += 1
        elif isinstance(action, actions.AnswerJob):
            answer = action.answer
            if answer.submission_id in self.outcome.answers:
                raise ReplayError(f"{answer.submission_id} was answered twice")
            tasks = [task.outcome.value for task in answer.tasks]
            self.outcome.answers[answer.submission_id] = ExpectedAnswer(answer.code.name, tasks)

    def _filled(self, text: bytes) -> bytes:
        def fill(match: re.Match[bytes]) -> bytes:
            table = {b"id": self._ids, b"lease": self._leases}[match[1]]
            return table[int(match[2]) - 1].encode()

        return _PLACEHOLDER.sub(fill, text)


def _kernel(recorded: TraceSettings) -> kernels.Kernel:
    settings = kernel_parts.KernelSettings(
        node=recorded.node,
        domain=recorded.domain,
        policy=recorded.policy,
        incarnation=identifiers.Incarnation("trace"),
        secret=b"secret of the traces",
    )
    return kernels.Kernel(settings, random.Random(SEED))

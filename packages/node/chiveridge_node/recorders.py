"""Records the events that a kernel handles, for debugging and for replay in tests.

Each line of the file is a JSON object of ``at_ms`` since the start, ``kind`` and ``value``.
Submission ids and leases are replaced by placeholders, numbered in the order of first use as
``$id1`` and ``$lease1``, so that a replay can substitute its own.
"""

import functools
import os
import typing

import msgspec

from chiveridge_kernel import actions, clocks, events
from chiveridge_node import kernel_runners

FILE_MODE = 0o600


class Recorder:
    """Writes a trace of one node to a file."""

    def __init__(self, path: str, runner: kernel_runners.KernelRunner):
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        self._runner = runner
        self._started_at = runner.clock.now()
        self._placeholders_by_id: dict[str, str] = {}
        self._placeholders_by_lease: dict[str, str] = {}
        for event_type in typing.get_args(events.Event):
            runner.add_observer(event_type, functools.partial(_record_event, self))
        runner.add_observer(actions.StartTask, self._number_lease)
        settings = runner.kernel.settings
        header = {
            "node": settings.node,
            "domain": settings.domain,
            "policy": settings.policy,
            "started_at": self._started_at,
        }
        self.write("settings", msgspec.json.encode(header))

    def write(self, kind: str, value: bytes) -> None:
        """Write one line of the trace."""
        at_ms = round(clocks.to_ms(self._runner.clock.now() - self._started_at))
        line = {"at_ms": at_ms, "kind": kind, "value": msgspec.Raw(value)}
        os.write(self._file, msgspec.json.encode(line) + b"\n")

    def placeholder_for_id(self, submission_id: str, team: str) -> str:
        """Return the placeholder of a submission id; before the first use, record its issue."""
        if submission_id not in self._placeholders_by_id:
            self._placeholders_by_id[submission_id] = f"$id{len(self._placeholders_by_id) + 1}"
            self.write("issue", msgspec.json.encode({"team": team}))
        return self._placeholders_by_id[submission_id]

    def placeholder_for_lease(self, lease_id: str) -> str:
        """Return the placeholder of a lease, or its id if there is none."""
        return self._placeholders_by_lease.get(lease_id, lease_id)

    def _number_lease(self, action: actions.StartTask) -> None:
        self._placeholders_by_lease[action.lease_id] = (
            f"$lease{len(self._placeholders_by_lease) + 1}"
        )


@functools.singledispatch
def _with_placeholders(event: events.Event, recorder: Recorder) -> events.Event:
    """Return the event with its ids replaced by placeholders."""
    return event


@_with_placeholders.register
def _(event: events.SubmissionReceived, recorder: Recorder) -> events.Event:
    placeholder = recorder.placeholder_for_id(event.submission.submission_id, event.team)
    submission = msgspec.structs.replace(event.submission, submission_id=placeholder)
    return msgspec.structs.replace(event, submission=submission)


@_with_placeholders.register
def _(event: events.CancelReceived, recorder: Recorder) -> events.Event:
    placeholder = recorder.placeholder_for_id(event.submission_id, getattr(event, "team", ""))
    return msgspec.structs.replace(event, submission_id=placeholder)


@_with_placeholders.register
def _(event: events.LeaseReported, recorder: Recorder) -> events.Event:
    return msgspec.structs.replace(event, lease_id=recorder.placeholder_for_lease(event.lease_id))


@_with_placeholders.register(events.StartDelayed)
@_with_placeholders.register(events.StartSent)
def _(event: events.StartDelayed | events.StartSent, recorder: Recorder) -> events.Event:
    return msgspec.structs.replace(event, lease_id=recorder.placeholder_for_lease(event.lease_id))


@_with_placeholders.register
def _(event: events.StopConfirmed, recorder: Recorder) -> events.Event:
    return msgspec.structs.replace(event, lease_id=recorder.placeholder_for_lease(event.lease_id))


@_with_placeholders.register
def _(event: events.RecordsRead, recorder: Recorder) -> events.Event:
    pairs = [(offset, _raw_json(value)) for offset, value in event.records]
    return msgspec.structs.replace(event, records=pairs)


def _raw_json(value: object) -> object:
    return msgspec.Raw(value) if isinstance(value, bytes) else value


def _record_event(recorder: Recorder, event: events.Event) -> None:
    replaced = _with_placeholders(event, recorder)
    recorder.write(type(event).__name__, msgspec.json.encode(replaced))

"""Decisions as lines of JSON on standard output: bounded in volume, never waiting for a reader.

A request is written as it is taken in, so that one which is lost with its node leaves a trace. Its
other lines are kept until its answer is known. Those of a request that was answered well are
written only while the budget lasts; those of any other request come first.
"""

import collections
import json
import logging
import os
import time
from collections.abc import Callable

from chiveridge_pool import actions, notes

GOOD_LINES_PER_SECOND = 100
"""Budget of lines of good requests; ten to twenty requests a second are shown whole."""

GOOD_BURST_LINES = 400
BAD_LINES_PER_SECOND = 1000
"""Budget of all other lines; a node serves fewer requests than this a second."""

BAD_BURST_LINES = 4000
_RESERVED_LINES = 2
"""Lines that a request needs at least once it is told: that it was taken in, and its answer."""

MAX_PENDING_REQUESTS = 4096
MAX_LINES_PER_REQUEST = 200
MAX_WRITE_BYTES = 4096
"""Most bytes of one write, but for a longer line: what a pipe takes as one (PIPE_BUF)."""

MAX_BUFFER_BYTES = 1024 * 1024
"""Bytes that wait for a reader; more are dropped and counted."""

_GOOD_VERDICT = actions.Verdict.COMPLETE.value


class _TokenBucket:
    """A token bucket."""

    def __init__(self, per_second: float, burst: float, clock: Callable[[], float]):
        self._tokens_per_second = per_second
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._refilled_at = clock()

    def try_consume(self, count: int) -> bool:
        """Take tokens, if so many are left."""
        now = self._clock()
        self._tokens = min(
            self._burst, self._tokens + (now - self._refilled_at) * self._tokens_per_second
        )
        self._refilled_at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class _RequestLines:
    """Buffers the lines of one request until its answer is known."""

    def __init__(self):
        self.lines: list[bytes] = []
        self.is_arrival_logged = False

    def add(self, line: bytes) -> None:
        """Keep a line, if there are not too many."""
        if len(self.lines) < MAX_LINES_PER_REQUEST:
            self.lines.append(line)


class DecisionLog:
    """Writes notes of the kernel."""

    def __init__(
        self,
        node: str,
        write: Callable[[bytes], int],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._node = node
        self._write = write
        self._wall_clock = wall_clock
        self._good_budget = _TokenBucket(GOOD_LINES_PER_SECOND, GOOD_BURST_LINES, clock)
        self._bad_budget = _TokenBucket(BAD_LINES_PER_SECOND, BAD_BURST_LINES, clock)
        self._lines_by_request: collections.OrderedDict[str, _RequestLines] = (
            collections.OrderedDict()
        )
        self._buffer = bytearray()
        self.dropped_good = 0
        self.dropped_bad = 0

    def note(self, action: actions.Note) -> None:
        """Take a note; it is written now, later or not at all."""
        line = self._encode(action)
        job_id = action.fields.get("job")
        if action.event not in notes.REQUEST_EVENTS or job_id is None:
            self._enqueue([line], is_good=False)
            return
        pending = self._lines_by_request.setdefault(job_id, _RequestLines())
        if action.event is notes.NoteEvent.JOB_TAKEN:
            pending.is_arrival_logged = self._good_budget.try_consume(
                _RESERVED_LINES
            ) and self._append_to_buffer([line])
        if not pending.is_arrival_logged or action.event is not notes.NoteEvent.JOB_TAKEN:
            pending.add(line)
        if action.event is notes.NoteEvent.JOB_ANSWERED:
            del self._lines_by_request[job_id]
            self._enqueue_answered(pending, action)
        elif action.event in _IMMEDIATE_EVENTS:
            self._enqueue(pending.lines, is_good=False)
            pending.lines = []
            if not pending.is_arrival_logged or action.event is notes.NoteEvent.CALLER_LEFT:
                del self._lines_by_request[job_id]
        elif len(self._lines_by_request) > MAX_PENDING_REQUESTS:
            # A request that is answered by another node: what is known here may explain it.
            self._enqueue(self._lines_by_request.popitem(last=False)[1].lines, is_good=False)

    def _enqueue_answered(self, pending: _RequestLines, action: actions.Note) -> None:
        is_good = action.fields["verdict"] == _GOOD_VERDICT and not action.fields["is_late"]
        if not is_good or not pending.is_arrival_logged:
            self._enqueue(pending.lines, is_good=is_good)
            return
        *earlier, answer = pending.lines
        self._enqueue(earlier, is_good=True)
        if not self._append_to_buffer([answer]):
            self.dropped_good += 1

    def write_record(self, text: str, level: str) -> None:
        """Take a line that is no note: an event of the node itself, or a library's message."""
        try:
            fields = json.loads(text)
        except ValueError:
            fields = None
        if not isinstance(fields, dict):
            fields = {"name": "MESSAGE", "level": level, "message": text}
        line = {"at": round(self._wall_clock(), 4), "node": self._node, **fields}
        self._enqueue([json.dumps(line, default=str).encode() + b"\n"], is_good=False)

    def flush(self) -> None:
        """Hand to the reader what it takes without waiting."""
        while self._buffer:
            chunk = self._next_chunk()
            try:
                written = self._write(chunk)
            except BlockingIOError:
                return
            except OSError:
                written = len(chunk)
            del self._buffer[:written]

    def _next_chunk(self) -> bytes:
        """Return the next whole lines, at least one."""
        end = self._buffer.rfind(b"\n", 0, MAX_WRITE_BYTES) + 1
        if not end:
            end = self._buffer.find(b"\n") + 1
        return bytes(self._buffer[: end or MAX_WRITE_BYTES])

    def _enqueue(self, lines: list[bytes], *, is_good: bool) -> None:
        budget = self._good_budget if is_good else self._bad_budget
        if budget.try_consume(len(lines)) and self._append_to_buffer(lines):
            return
        if is_good:
            self.dropped_good += len(lines)
        else:
            self.dropped_bad += len(lines)

    def _append_to_buffer(self, lines: list[bytes]) -> bool:
        """Add lines to what waits for the reader, if there is room for all of them."""
        if len(self._buffer) + sum(len(line) for line in lines) > MAX_BUFFER_BYTES:
            return False
        self._buffer += b"".join(lines)
        return True

    def _encode(self, action: actions.Note) -> bytes:
        line = {
            "at": round(self._wall_clock(), 4),
            "node": self._node,
            "event": int(action.event),
            "name": action.event.name,
            **action.fields,
        }
        return json.dumps(line, default=str).encode() + b"\n"


_IMMEDIATE_EVENTS = frozenset(
    {
        notes.NoteEvent.JOB_REFUSED,
        notes.NoteEvent.REQUEST_REJECTED,
        notes.NoteEvent.CALLER_LEFT,
        notes.NoteEvent.RUN_ENDED,
        notes.NoteEvent.RUN_STOPPED,
        notes.NoteEvent.STRANGER_STOPPED,
    }
)
"""Events after which the lines of a request are written at once, whatever its answer."""


class Handler(logging.Handler):
    """Sends the records of the standard logging library to a decision log."""

    def __init__(self, log: DecisionLog):
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Take a record; the traceback of an error goes with it."""
        text = record.getMessage()
        if record.exc_info:
            text = json.dumps({"name": "FAULT", "message": self.format(record)})
        self._log.write_record(text, record.levelname)


def write_to_stdout(data: bytes) -> int:
    """Write what standard output takes without waiting; return how many bytes.

    :raises BlockingIOError: when it takes nothing now.
    """
    return os.write(1, data)


def make_stdout_nonblocking() -> None:
    """Let writes to standard output fail in place of waiting for its reader."""
    os.set_blocking(1, False)

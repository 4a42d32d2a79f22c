"""Writes the kernel's decisions as rate-limited JSON lines to standard output, without blocking.

The arrival of a request is written at once, so that a request that is lost in a node crash leaves
a trace. Its other lines are buffered until its answer is known. A request is good if it completed
in time. The lines of good requests have a log budget of their own, so that they take none of the
budget for other requests.
"""

import collections
import json
import logging
import os
import time
from collections.abc import Callable

from chiveridge_pool import actions, notes

GOOD_LINES_PER_SECOND = 100
"""Log budget of good requests; enough to log 10 to 20 requests a second in full."""

GOOD_BURST_LINES = 400
BAD_LINES_PER_SECOND = 1000
"""Log budget of all other lines; more than the number of requests a node serves in a second."""

BAD_BURST_LINES = 4000
_RESERVED_LINES = 2
"""Budget reserved when the arrival of a request is logged: one line for it, one for the answer."""

MAX_PENDING_REQUESTS = 4096
MAX_LINES_PER_REQUEST = 200
MAX_WRITE_BYTES = 4096
"""Maximum size of one write, unless a single line is longer; a pipe writes PIPE_BUF atomically."""

MAX_BUFFER_BYTES = 1024 * 1024
"""Maximum size of the output buffer; lines beyond it are dropped and counted."""

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
        """Consume ``count`` tokens; return False, consuming none, if fewer are left."""
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
        """Buffer a line; lines beyond ``MAX_LINES_PER_REQUEST`` are discarded."""
        if len(self.lines) < MAX_LINES_PER_REQUEST:
            self.lines.append(line)


class DecisionLog:
    """Writes the kernel's notes and the process's log records under the log budgets."""

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

    def record_decision(self, action: actions.Note) -> None:
        """Log a note: write it at once, buffer it until its request is answered, or drop it."""
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
            # The request is answered by another node. Its lines here may still explain the answer.
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
        """Log a record that is not a note: a log event of the node or a message of a library."""
        try:
            fields = json.loads(text)
        except ValueError:
            fields = None
        if not isinstance(fields, dict):
            fields = {"name": "MESSAGE", "level": level, "message": text}
        line = {"at": round(self._wall_clock(), 4), "node": self._node, **fields}
        self._enqueue([json.dumps(line, default=str).encode() + b"\n"], is_good=False)

    def flush(self) -> None:
        """Write as much of the buffer as the output accepts without blocking."""
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
        """Return one or more whole lines from the start of the buffer."""
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
        """Add lines to the buffer; return False, adding none, if they don't all fit."""
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
        notes.NoteEvent.RUN_ATTEMPTS,
        notes.NoteEvent.RUN_ENDED,
        notes.NoteEvent.RUN_STOPPED,
        notes.NoteEvent.STRANGER_STOPPED,
    }
)
"""Events that write the buffered lines of a request at once, whatever its answer will be."""


class Handler(logging.Handler):
    """Forwards records of the standard ``logging`` module to a decision log."""

    def __init__(self, log: DecisionLog):
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Forward a record, with the traceback if it has one."""
        text = record.getMessage()
        if record.exc_info:
            text = json.dumps({"name": "FAULT", "message": self.format(record)})
        self._log.write_record(text, record.levelname)


def write_to_stdout(data: bytes) -> int:
    """Write to standard output without blocking; return the number of bytes written.

    :raises BlockingIOError: when nothing can be written without blocking.
    """
    return os.write(1, data)


def make_stdout_nonblocking() -> None:
    """Have writes to standard output raise BlockingIOError instead of blocking."""
    os.set_blocking(1, False)

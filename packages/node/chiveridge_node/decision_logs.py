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

LINES_PER_SECOND = 100
"""Budget of lines of good requests; ten to twenty requests a second are shown whole."""

BURST_LINES = 400
BAD_LINES_PER_SECOND = 1000
"""Budget of all other lines; a node serves fewer requests than this a second."""

BAD_BURST_LINES = 4000
_LINES_OF_TOLD = 2
"""Lines that a request needs at least once it is told: that it was taken in, and its answer."""

MAX_REQUESTS_KEPT = 4096
MAX_LINES_OF_REQUEST = 200
MAX_WRITE_BYTES = 4096
"""Most bytes of one write, but for a longer line: what a pipe takes as one (PIPE_BUF)."""

MAX_BUFFER_BYTES = 1024 * 1024
"""Bytes that wait for a reader; more are dropped and counted."""

_GOOD_VERDICT = actions.Verdict.COMPLETE.value


class _Budget:
    """A token bucket."""

    def __init__(self, per_second: float, burst: float, clock: Callable[[], float]):
        self._per_second = per_second
        self._burst = burst
        self._clock = clock
        self._left = burst
        self._at = clock()

    def take(self, count: int) -> bool:
        """Take tokens, if so many are left."""
        now = self._clock()
        self._left = min(self._burst, self._left + (now - self._at) * self._per_second)
        self._at = now
        if self._left < count:
            return False
        self._left -= count
        return True


class _RequestLines:
    """The lines of one request that wait for its answer; ``is_told`` when the first is written."""

    def __init__(self):
        self.lines: list[bytes] = []
        self.is_told = False

    def add(self, line: bytes) -> None:
        """Keep a line, if there are not too many."""
        if len(self.lines) < MAX_LINES_OF_REQUEST:
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
        self._good = _Budget(LINES_PER_SECOND, BURST_LINES, clock)
        self._bad = _Budget(BAD_LINES_PER_SECOND, BAD_BURST_LINES, clock)
        self._lines_by_request: collections.OrderedDict[str, _RequestLines] = (
            collections.OrderedDict()
        )
        self._buffer = bytearray()
        self.dropped_good = 0
        self.dropped_bad = 0

    def note(self, action: actions.Note) -> None:
        """Take a note; it is written now, later or not at all."""
        line = self._encode(action)
        request = action.fields.get("job")
        if action.event not in notes.REQUEST_EVENTS or request is None:
            self._put([line], is_good=False)
            return
        kept = self._lines_by_request.setdefault(request, _RequestLines())
        if action.event is notes.NoteEvent.JOB_TAKEN:
            kept.is_told = self._good.take(_LINES_OF_TOLD) and self._append([line])
        if not kept.is_told or action.event is not notes.NoteEvent.JOB_TAKEN:
            kept.add(line)
        if action.event is notes.NoteEvent.JOB_ANSWERED:
            del self._lines_by_request[request]
            self._put_answered(kept, action)
        elif action.event in _ENDS:
            self._put(kept.lines, is_good=False)
            kept.lines = []
            if not kept.is_told or action.event is notes.NoteEvent.CALLER_LEFT:
                del self._lines_by_request[request]
        elif len(self._lines_by_request) > MAX_REQUESTS_KEPT:
            # A request that is answered by another node: what is known here may explain it.
            self._put(self._lines_by_request.popitem(last=False)[1].lines, is_good=False)

    def _put_answered(self, kept: _RequestLines, action: actions.Note) -> None:
        is_good = action.fields["verdict"] == _GOOD_VERDICT and not action.fields["is_late"]
        if not is_good or not kept.is_told:
            self._put(kept.lines, is_good=is_good)
            return
        *others, answer = kept.lines
        self._put(others, is_good=True)
        if not self._append([answer]):
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
        self._put([json.dumps(line, default=str).encode() + b"\n"], is_good=False)

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

    def _put(self, lines: list[bytes], *, is_good: bool) -> None:
        budget = self._good if is_good else self._bad
        if budget.take(len(lines)) and self._append(lines):
            return
        if is_good:
            self.dropped_good += len(lines)
        else:
            self.dropped_bad += len(lines)

    def _append(self, lines: list[bytes]) -> bool:
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


_ENDS = frozenset(
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

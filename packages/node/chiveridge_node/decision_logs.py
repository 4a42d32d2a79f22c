"""Decisions as lines of JSON on standard output: bounded in volume, never waiting for a reader.

The lines of a request are kept until its answer is known. Those of a request that was answered well
are written only while the budget lasts; those of any other request come first.
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
MAX_REQUESTS_KEPT = 4096
MAX_LINES_OF_REQUEST = 200
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
        self._lines_by_request: collections.OrderedDict[str, list[bytes]] = (
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
        kept = self._lines_by_request.setdefault(request, [])
        if len(kept) < MAX_LINES_OF_REQUEST:
            kept.append(line)
        if action.event is notes.NoteEvent.JOB_ANSWERED:
            is_good = action.fields["verdict"] == _GOOD_VERDICT and not action.fields["is_late"]
            self._put(self._lines_by_request.pop(request), is_good=is_good)
        elif action.event in _ENDS:
            self._put(self._lines_by_request.pop(request), is_good=False)
        elif len(self._lines_by_request) > MAX_REQUESTS_KEPT:
            # A request that is answered by another node: what is known here may explain it.
            self._put(self._lines_by_request.popitem(last=False)[1], is_good=False)

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
        if not self._buffer:
            return
        try:
            written = self._write(bytes(self._buffer))
        except BlockingIOError:
            return
        except OSError:
            written = len(self._buffer)
        del self._buffer[:written]

    def _put(self, lines: list[bytes], *, is_good: bool) -> None:
        size = sum(len(line) for line in lines)
        budget = self._good if is_good else self._bad
        has_room = len(self._buffer) + size <= MAX_BUFFER_BYTES
        if has_room and budget.take(len(lines)):
            self._buffer += b"".join(lines)
        elif is_good:
            self.dropped_good += len(lines)
        else:
            self.dropped_bad += len(lines)

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

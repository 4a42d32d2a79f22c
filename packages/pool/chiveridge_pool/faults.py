"""Contains faults of the program, so that one target, job or message does not stop the others."""

import traceback
from collections.abc import Callable

from chiveridge_pool import notes, outboxes

_MAX_REMEMBERED = 1000
_TRACEBACK_LINES = 6
_LOGGED_REPETITIONS = 1000
"""A fault that is repeated in every tick is logged at first and then every 20 s."""


class Faults:
    """Calls the parts of the kernel, and logs what they raise."""

    def __init__(self, outbox: outboxes.Outbox):
        self._outbox = outbox
        self._count_by_place: dict[tuple[str, str], int] = {}

    def contain(self, part: str, key: str, function: Callable[..., object], *arguments) -> bool:
        """Call a function, and return whether it has raised no exception.

        ``part`` and ``key`` name in the log what failed, for example a target and its id.
        """
        try:
            function(*arguments)
        except Exception as error:
            self._record(part, key, error)
            return False
        return True

    def _record(self, part: str, key: str, error: Exception) -> None:
        place = part, key
        if place not in self._count_by_place and len(self._count_by_place) >= _MAX_REMEMBERED:
            self._count_by_place.clear()
        count = self._count_by_place.get(place, 0) + 1
        self._count_by_place[place] = count
        if count % _LOGGED_REPETITIONS != 1:
            return
        self._outbox.note(
            notes.NoteEvent.PART_FAILED,
            part=part,
            key=key,
            error=f"{type(error).__name__}: {error}",
            count=count,
            traceback="".join(traceback.format_exception(error, limit=-_TRACEBACK_LINES)),
        )

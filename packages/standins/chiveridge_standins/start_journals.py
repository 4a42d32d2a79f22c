"""Journals of task starts, as JSON lines in files that outlive the process of a target."""

import os
import pathlib

import msgspec

JOURNAL_SUFFIX = ".starts"


class Start(msgspec.Struct, frozen=True):
    """One start of a task; ``at_ms`` is in milliseconds since the Unix epoch."""

    key: str
    target: str
    at_ms: int


class StartJournal:
    """Appends the starts of one target to a file."""

    def __init__(self, directory: str, target_name: str):
        path = pathlib.Path(directory, f"{target_name}{JOURNAL_SUFFIX}")
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)

    def write(self, start: Start) -> None:
        """Append one start without buffering, so that it is kept if the process is killed."""
        os.write(self._file, msgspec.json.encode(start) + b"\n")


def read_starts(directory: pathlib.Path) -> list[Start]:
    """Return the starts of every journal in a directory."""
    lines = [
        line for path in sorted(directory.glob(f"*{JOURNAL_SUFFIX}")) for line in path.open("rb")
    ]
    return [msgspec.json.decode(line, type=Start) for line in lines]

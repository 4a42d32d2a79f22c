"""Files of starts, one JSON line each, which outlive the process of a target."""

import os
import pathlib

import msgspec

JOURNAL_SUFFIX = ".starts"


class Start(msgspec.Struct, frozen=True):
    """One start of a task; ``at_ms`` counts from the Unix epoch."""

    key: str
    target: str
    at_ms: int


class StartJournal:
    """Appends the starts of one target to a file."""

    def __init__(self, directory: str, target_name: str):
        path = pathlib.Path(directory, f"{target_name}{JOURNAL_SUFFIX}")
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)

    def write(self, start: Start) -> None:
        """Append one start; it is kept also when the process is killed right after."""
        os.write(self._file, msgspec.json.encode(start) + b"\n")


def read_starts(directory: pathlib.Path) -> list[Start]:
    """Return the starts of every journal of a directory."""
    lines = [
        line for path in sorted(directory.glob(f"*{JOURNAL_SUFFIX}")) for line in path.open("rb")
    ]
    return [msgspec.json.decode(line, type=Start) for line in lines]

"""Processor time and memory of a process, from ``/proc``."""

import os
import pathlib

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_USER_FIELD = 11
_SYSTEM_FIELD = 12


def cpu_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The name in brackets may hold blanks; the fields after it count from the state.
    fields = text.rpartition(")")[2].split()
    return (int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])) / _TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has no resident memory")

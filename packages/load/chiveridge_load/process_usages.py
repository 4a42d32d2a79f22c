"""CPU time and memory of a process, from ``/proc``."""

import os
import pathlib

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_USER_FIELD = 11
_SYSTEM_FIELD = 12


def cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The process name in parentheses may contain spaces; field 0 is the state that follows it.
    fields = text.rpartition(")")[2].split()
    return (int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])) / _TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes.

    :raises ValueError: if the process has none, as for a zombie.
    """
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"VmRSS is missing in /proc/{pid}/status")

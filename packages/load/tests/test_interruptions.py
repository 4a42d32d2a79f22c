import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

WAIT_S = 30.0
SOME_CHILDREN = 4
COMMANDS = {
    "benches": ["--seconds=60", "--out=bench.json"],
    "costs": ["--seconds=60", "--out=costs.json"],
}


def _children(pid):
    """Return the processes that every thread of a process has started and that still run."""
    lists = pathlib.Path(f"/proc/{pid}/task").glob("*/children")
    return {int(child) for path in lists for child in path.read_text().split()}


def _wait_until(condition):
    until = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.05)


def _runs(pid):
    try:
        return "(zombie)" not in pathlib.Path(f"/proc/{pid}/status").read_text()
    except FileNotFoundError:
        return False


@pytest.fixture
def command(request, tmp_path):
    name, number = request.param
    arguments = [sys.executable, "-m", f"chiveridge_load.{name}", *COMMANDS[name]]
    with (tmp_path / "output").open("wb") as output:
        started = subprocess.Popen(arguments, cwd=tmp_path, stdout=output, stderr=output)
    children = set()
    yield started, number, children
    for pid in [started.pid, *children]:
        if _runs(pid):
            os.kill(pid, signal.SIGKILL)
    started.wait()


@pytest.mark.parametrize(
    "command",
    [
        ("benches", signal.SIGTERM),
        ("benches", signal.SIGINT),
        ("costs", signal.SIGTERM),
    ],
    indirect=True,
)
def test_a_stop_ends_the_fleet_that_a_command_started(command):
    started, number, children = command
    _wait_until(lambda: len(_children(started.pid)) >= SOME_CHILDREN)
    children |= _children(started.pid)
    started.send_signal(number)
    code = started.wait(WAIT_S)
    assert [pid for pid in children if _runs(pid)] == []
    assert code == 128 + number

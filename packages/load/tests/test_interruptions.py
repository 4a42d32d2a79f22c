import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

WAIT_S = 30.0
MIN_CHILDREN = 4
COMMANDS = {
    "benches": ["--seconds=60", "--out=bench.json"],
    "costs": ["--seconds=60", "--out=costs.json"],
}


def _children(pid):
    """Return the ids of the running child processes of all threads of a process."""
    lists = pathlib.Path(f"/proc/{pid}/task").glob("*/children")
    return {int(child) for path in lists for child in path.read_text().split()}


def _wait_until(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def _is_running(pid):
    try:
        return "(zombie)" not in pathlib.Path(f"/proc/{pid}/status").read_text()
    except FileNotFoundError:
        return False


@pytest.fixture
def command(request, tmp_path):
    name, signum = request.param
    arguments = [sys.executable, "-m", f"chiveridge_load.{name}", *COMMANDS[name]]
    with (tmp_path / "output").open("wb") as output:
        process = subprocess.Popen(arguments, cwd=tmp_path, stdout=output, stderr=output)
    children = set()
    yield process, signum, children
    for pid in [process.pid, *children]:
        if _is_running(pid):
            os.kill(pid, signal.SIGKILL)
    process.wait()


@pytest.mark.parametrize(
    "command",
    [
        ("benches", signal.SIGTERM),
        ("benches", signal.SIGINT),
        ("costs", signal.SIGTERM),
    ],
    indirect=True,
)
def test_signal_ends_the_fleet_of_a_command(command):
    process, signum, children = command
    _wait_until(lambda: len(_children(process.pid)) >= MIN_CHILDREN)
    children |= _children(process.pid)
    process.send_signal(signum)
    code = process.wait(WAIT_S)
    assert [pid for pid in children if _is_running(pid)] == []
    assert code == 128 + signum

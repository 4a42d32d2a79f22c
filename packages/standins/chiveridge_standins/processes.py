"""Child processes that announce their ports on one line of standard output."""

import asyncio
import pathlib
import signal
import sys
from collections.abc import Coroutine
from typing import TypeVar

import msgspec

START_TIMEOUT_S = 30
TAIL_BYTES = 4000

T = TypeVar("T", bound=msgspec.Struct)


class ProcessError(Exception):
    """A child process was not started or did not announce its ports."""


class Process:
    """A Python module run as a child process, with standard error written to a file."""

    def __init__(self, name: str, stderr_path: pathlib.Path):
        self.name = name
        self._stderr_path = stderr_path
        self._child: asyncio.subprocess.Process | None = None
        self._stdout_drain_task: asyncio.Task[None] | None = None

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative for a signal; ``None`` if the process has not exited."""
        return None if self._child is None else self._child.returncode

    @property
    def pid(self) -> int:
        """Process id.

        :raises ProcessError: when the process was not started.
        """
        if self._child is None:
            raise ProcessError(f"{self.name} was not started")
        return self._child.pid

    async def start(self, module: str, arguments: list[str], announcement_type: type[T]) -> T:
        """Run a module and return the announcement that it prints once it listens.

        :raises ProcessError: when no valid announcement arrives in time.
        """
        with self._stderr_path.open("ab") as stderr:
            self._child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=stderr,
            )
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await self._child.stdout.readline()
            announcement = msgspec.json.decode(line, type=announcement_type)
        except (TimeoutError, ValueError) as error:
            raise ProcessError(
                f"{self.name} did not announce its ports: {self.stderr_tail()}"
            ) from error
        self._stdout_drain_task = asyncio.create_task(self._drain_stdout())
        return announcement

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self._child is not None and self._child.returncode is None:
            self._child.send_signal(signum)

    async def wait(self) -> int:
        """Wait for the process to exit and return its exit code."""
        if self._stdout_drain_task is not None:
            await self._stdout_drain_task
        return await self._child.wait()

    async def stop(self, grace_s: float) -> int | None:
        """Send SIGTERM, then SIGKILL after ``grace_s`` seconds; return the exit code."""
        if self._child is None:
            return None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self._child.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
        return await self.wait()

    def stderr_tail(self) -> str:
        """Return the last part of the process's standard error."""
        return self._stderr_path.read_bytes()[-TAIL_BYTES:].decode(errors="replace")

    async def _drain_stdout(self) -> None:
        while await self._child.stdout.read(TAIL_BYTES):
            pass


async def run_to_completion(cleanup: Coroutine[None, None, None]) -> None:
    """Run a clean-up to completion; a cancellation of the caller is raised afterwards."""
    task = asyncio.ensure_future(cleanup)
    try:
        await asyncio.shield(task)
    except asyncio.CancelledError:
        await task
        raise

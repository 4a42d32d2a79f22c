"""Sends a trace from several processes, so that the load generator is not the bottleneck."""

import asyncio
import pathlib
import tempfile
import time
from typing import Self

import msgspec

from chiveridge_load import deployments, generators, senders, workloads
from chiveridge_standins import processes

START_DELAY_S = 0.5
"""Time between announcing the start of a run and the start, for all senders to read it."""

STOP_GRACE_S = 2.0


class SenderPoolError(Exception):
    """A sender process has failed."""


class SenderPool:
    """Sender processes that share a trace; an asynchronous context manager."""

    def __init__(
        self,
        urls: list[str],
        teams: list[deployments.TeamPlan],
        jobs: list[workloads.JobPlan],
        *,
        seed: int,
        count: int,
    ):
        self._assignments = [
            senders.SenderAssignment(
                urls=urls, teams=teams, jobs=jobs[number::count], seed=seed + number
            )
            for number in range(count)
        ]
        self._directory = tempfile.TemporaryDirectory(prefix="chiveridge-load-")
        self._exchange = senders.ExchangeDirectory(pathlib.Path(self._directory.name))
        self._processes: list[processes.Process] = []
        self.set_urls(urls)

    async def __aenter__(self) -> Self:
        starts = [
            self._start(number, assignment) for number, assignment in enumerate(self._assignments)
        ]
        try:
            await asyncio.gather(*starts)
        except BaseException:
            await processes.run_to_completion(self._stop_all())
            raise
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await processes.run_to_completion(self._stop_all())

    def set_urls(self, urls: list[str]) -> None:
        """Send all further jobs to these nodes."""
        self._exchange.write_urls(urls)

    def start(self) -> float:
        """Start the run and return its start in monotonic time."""
        started = time.monotonic() + START_DELAY_S
        self._exchange.write_start_time(started)
        return started

    async def records(self) -> list[generators.JobRecord]:
        """Wait for all senders to end and return their records in order of sending.

        :raises FanoutError: when a sender has failed.
        """
        records = []
        for number, process in enumerate(self._processes):
            code = await process.wait()
            if code:
                raise SenderPoolError(
                    f"{process.name} exited with code {code}: {process.stderr_tail()}"
                )
            records += self._read_records(number)
        return sorted(records, key=lambda record: record.sent_s)

    async def _start(self, number: int, assignment: senders.SenderAssignment) -> None:
        self._exchange.assignment_path(number).write_bytes(msgspec.json.encode(assignment))
        log = self._exchange.directory / f"sender-{number}.stderr"
        process = processes.Process(f"sender-{number}", log)
        self._processes.append(process)
        arguments = [f"--directory={self._exchange.directory}", f"--number={number}"]
        await process.start("chiveridge_load.senders", arguments, senders.SenderListening)

    async def _stop_all(self) -> None:
        await asyncio.gather(*(process.stop(STOP_GRACE_S) for process in self._processes))
        self._directory.cleanup()

    def _read_records(self, number: int) -> list[generators.JobRecord]:
        content = self._exchange.records_path(number).read_bytes()
        return msgspec.json.decode(content, type=list[generators.JobRecord])

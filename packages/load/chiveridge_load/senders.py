"""Process that sends one part of a trace; :mod:`chiveridge_load.fanouts` starts several.

Sender N reads its assignment from ``order-N.json`` in the given directory. The parent process
also writes ``urls.json``, the URLs of the nodes in service, and ``started``, the start of the
run in monotonic time. The sender writes its records to ``records-N.json``.
"""

import asyncio
import gc
import pathlib

import absl.app
import msgspec
from absl import flags

from chiveridge_load import deployments, generators, workloads

POLL_INTERVAL_S = 0.02


class SenderAssignment(msgspec.Struct, frozen=True, kw_only=True):
    """The jobs that one sender sends, and the nodes and teams that it needs for them."""

    urls: list[str]
    teams: list[deployments.TeamPlan]
    jobs: list[workloads.JobPlan]
    seed: int


class SenderListening(msgspec.Struct, tag="listening", tag_field="event"):
    """Line that a sender prints when it is ready to start."""

    jobs: int


class ExchangeDirectory:
    """Files through which senders and their parent process exchange data."""

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self._start_time_path = directory / "started"
        self._urls_path = directory / "urls.json"

    def assignment_path(self, number: int) -> pathlib.Path:
        """Return the path of a sender's assignment."""
        return self.directory / f"order-{number}.json"

    def records_path(self, number: int) -> pathlib.Path:
        """Return the path of a sender's records."""
        return self.directory / f"records-{number}.json"

    def write_start_time(self, started: float) -> None:
        """Announce the start of the run to the senders."""
        _write_atomically(self._start_time_path, str(started).encode())

    def read_start_time(self) -> float | None:
        """Return the start of the run, or None if it has not been announced."""
        return float(self._start_time_path.read_text()) if self._start_time_path.exists() else None

    def write_urls(self, urls: list[str]) -> None:
        """Announce the URLs of the nodes in service to the senders."""
        _write_atomically(self._urls_path, msgspec.json.encode(urls))

    def read_urls(self) -> list[str]:
        """Return the URLs of the nodes in service."""
        return msgspec.json.decode(self._urls_path.read_bytes(), type=list[str])


def _write_atomically(path: pathlib.Path, content: bytes) -> None:
    temporary = path.with_suffix(".part")
    temporary.write_bytes(content)
    temporary.replace(path)


async def _run(exchange: ExchangeDirectory, number: int) -> None:
    assignment = msgspec.json.decode(
        exchange.assignment_path(number).read_bytes(), type=SenderAssignment
    )
    generator = generators.Generator(
        assignment.urls, assignment.teams, assignment.jobs, assignment.seed
    )
    await generator.prepare()
    # A full garbage collection over the trace would block the event loop for milliseconds.
    gc.collect()
    gc.freeze()
    print(msgspec.json.encode(SenderListening(len(assignment.jobs))).decode(), flush=True)
    started = exchange.read_start_time()
    while started is None:
        await asyncio.sleep(POLL_INTERVAL_S)
        started = exchange.read_start_time()
    refreshing = asyncio.create_task(_refresh_urls(exchange, generator))
    records = await generator.run(started)
    refreshing.cancel()
    await generator.close()
    exchange.records_path(number).write_bytes(msgspec.json.encode(records))


async def _refresh_urls(exchange: ExchangeDirectory, generator: generators.Generator) -> None:
    while True:
        generator.set_urls(exchange.read_urls())
        await asyncio.sleep(POLL_INTERVAL_S)


def main(_argv: list[str]) -> None:
    """Run the process."""
    exchange = ExchangeDirectory(pathlib.Path(flags.FLAGS.directory))
    asyncio.run(_run(exchange, flags.FLAGS.number))


if __name__ == "__main__":
    flags.DEFINE_string(
        "directory", None, "Directory for files shared with the parent process.", required=True
    )
    flags.DEFINE_integer("number", 0, "Number of this sender.")
    absl.app.run(main)

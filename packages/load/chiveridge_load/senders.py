"""Process that sends one part of a trace; :mod:`chiveridge_load.fanouts` starts several.

The directory it is given holds ``order-N.json``, and later ``started``, the start of the run on
the monotonic clock, and ``urls.json``, the nodes in service. It leaves ``records-N.json``.
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
    """What a sender has to do."""

    urls: list[str]
    teams: list[deployments.TeamPlan]
    jobs: list[workloads.JobPlan]
    seed: int


class SenderListening(msgspec.Struct, tag="listening", tag_field="event"):
    """Line that a sender prints when it can start."""

    jobs: int


class ExchangeDirectory:
    """Files by which a sender and the process that started it work together."""

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self._start_time_path = directory / "started"
        self._urls_path = directory / "urls.json"

    def assignment_path(self, number: int) -> pathlib.Path:
        """Return the path of a sender's order."""
        return self.directory / f"order-{number}.json"

    def records_path(self, number: int) -> pathlib.Path:
        """Return the path of a sender's records."""
        return self.directory / f"records-{number}.json"

    def write_start_time(self, started: float) -> None:
        """Tell the senders when the run starts."""
        _write_atomically(self._start_time_path, str(started).encode())

    def read_start_time(self) -> float | None:
        """Return when the run starts, if that is known."""
        return float(self._start_time_path.read_text()) if self._start_time_path.exists() else None

    def write_urls(self, urls: list[str]) -> None:
        """Tell the senders the nodes in service."""
        _write_atomically(self._urls_path, msgspec.json.encode(urls))

    def read_urls(self) -> list[str]:
        """Return the nodes in service."""
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
    # Full collections over the trace would hold up the event loop for milliseconds.
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
    flags.DEFINE_string("directory", None, "Directory of the exchange.", required=True)
    flags.DEFINE_integer("number", 0, "Number of this sender.")
    absl.app.run(main)

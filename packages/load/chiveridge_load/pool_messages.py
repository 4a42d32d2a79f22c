"""Counts the messages between the nodes of a simulated pool, at several sizes of the pool.

Usage: ``python -m chiveridge_load.pool_messages --shares 0.16,0.37,1``

Prints, for each share of the large deployment, the messages and bytes of a node and second while
all nodes start, at rest and under load, by type of message.
"""

import collections
import time

import msgspec
from absl import app, flags

from chiveridge_load import pool_loads, pool_models
from chiveridge_pool import messages

BOOT_SECONDS = 2.0
REST_SECONDS = 2.0


class Phase(msgspec.Struct, kw_only=True):
    """The messages of all nodes in one phase; ``starts`` counts the runs started by targets."""

    nodes: int
    seconds: float
    count_by_type: dict[str, int]
    bytes: int
    max_bytes_of_a_node: int
    starts: int
    processor_seconds: float

    def rate(self) -> float:
        """Return the messages that a node sends a second."""
        return sum(self.count_by_type.values()) / self.nodes / self.seconds

    def bytes_rate(self) -> float:
        """Return the bytes that a node sends a second."""
        return self.bytes / self.nodes / self.seconds


class MessageCounter:
    """Counts the messages that the nodes of a model send."""

    def __init__(self, model: pool_models.PoolModel):
        self._model = model
        self._count_by_type: collections.Counter[str] = collections.Counter()
        self._bytes_by_node: collections.Counter[str] = collections.Counter()
        model.on_send = self._count

    def _count(self, sender: pool_models.NodeModel, message: messages.AnyMessage) -> None:
        self._count_by_type[type(message).__name__] += 1
        self._bytes_by_node[sender.name] += len(messages.encode(message))

    def measure(self, seconds: float) -> Phase:
        """Run the model for some seconds and return what was sent meanwhile."""
        self._count_by_type.clear()
        self._bytes_by_node.clear()
        starts_before = self._starts()
        processor_before = time.process_time()
        self._model.run(seconds=seconds)
        return Phase(
            nodes=len(self._model.nodes_by_name),
            seconds=seconds,
            count_by_type=dict(self._count_by_type),
            bytes=self._bytes_by_node.total(),
            max_bytes_of_a_node=max(self._bytes_by_node.values(), default=0),
            starts=self._starts() - starts_before,
            processor_seconds=time.process_time() - processor_before,
        )

    def _starts(self) -> int:
        return sum(target.starts for target in self._model.targets_by_id.values())


def measure(share: float, load_seconds: float, seed: int) -> dict[str, Phase]:
    """Return the phases of a pool with a share of the large deployment."""
    site = pool_loads.large_site(share)
    simulation = pool_loads.LoadSimulation(site, 1.0, seed, is_booted=False)
    counter = MessageCounter(simulation.model)
    for node in simulation.model.nodes_by_name.values():
        node.boot()
    phases = {"boot": counter.measure(BOOT_SECONDS)}
    simulation.model.run(seconds=1)
    phases["rest"] = counter.measure(REST_SECONDS)
    simulation.start(load_seconds + 1)
    simulation.model.run(seconds=1)
    phases["load"] = counter.measure(load_seconds)
    return phases


def define_flags() -> None:
    """Define the command line flags."""
    flags.DEFINE_list("shares", ["0.16", "0.37", "1"], "Shares of the large deployment.")
    flags.DEFINE_float("seconds", 2.0, "Duration of the load, in seconds.", lower_bound=0.1)
    flags.DEFINE_integer("seed", 1, "Seed of the random load.")


def main(argv: list[str]) -> int:
    """Measure each size and print a row for each phase."""
    del argv
    options = flags.FLAGS
    for share in options.shares:
        for name, phase in measure(float(share), options.seconds, options.seed).items():
            print(_row(name, phase))
    return 0


def _row(name: str, phase: Phase) -> str:
    types = " ".join(
        f"{kind} {count}" for kind, count in sorted(phase.count_by_type.items(), key=_by_count)
    )
    starts = max(phase.starts, 1)
    return (
        f"{phase.nodes:4} nodes {name:5} {phase.rate():8.1f} msg/s {phase.bytes_rate():9.0f} B/s"
        f" {phase.max_bytes_of_a_node:9} B most, {phase.starts:6} starts,"
        f" {sum(phase.count_by_type.values()) / starts:8.2f} msg a start,"
        f" {1000 * phase.processor_seconds / starts:8.2f} ms a start: {types}"
    )


def _by_count(item: tuple[str, int]) -> int:
    return -item[1]


if __name__ == "__main__":
    define_flags()
    app.run(main)

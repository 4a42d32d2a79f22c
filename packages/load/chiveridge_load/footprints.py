"""Resource usage of the nodes of a fleet: CPU time, memory and traffic between them."""

import time

import msgspec

from chiveridge_load import process_usages
from chiveridge_standins import fleets


class Sample(msgspec.Struct, frozen=True):
    """Usage of one node process at ``at_s`` on the monotonic clock.

    ``cpu_s`` and ``peer_bytes`` are running totals.
    """

    pid: int
    at_s: float
    cpu_s: float
    memory_mb: float
    peer_bytes: int


class Footprint(msgspec.Struct, frozen=True, kw_only=True):
    """Usage over the nodes that ran from the first sample to the last.

    ``cpu_share`` is the mean share of a core per node, ``memory_mb`` the resident memory of the
    largest node, and ``peer_bytes`` the mean bytes per second per node.
    """

    cpu_share: float = 0.0
    memory_mb: float = 0.0
    peer_bytes: float = 0.0


def sample_nodes(fleet: fleets.Fleet) -> dict[str, Sample]:
    """Return a sample of every running node, by name."""
    samples = {}
    for name in fleet.nodes_by_name:
        pid = fleet.pid(name)
        try:
            cpu_s, memory_mb = process_usages.cpu_s(pid), process_usages.memory_mb(pid)
        except (OSError, ValueError):
            continue
        proxy = fleet.proxies_by_name.get(name)
        peer_bytes = proxy.counts.passed_bytes if proxy is not None else 0
        samples[name] = Sample(pid, time.monotonic(), cpu_s, memory_mb, peer_bytes)
    return samples


def footprint_between(before: dict[str, Sample], after: dict[str, Sample]) -> Footprint:
    """Return the usage between two samples of the nodes whose process is in both."""
    pairs = [
        (sample, after[name])
        for name, sample in before.items()
        if name in after and after[name].pid == sample.pid
    ]
    if not pairs:
        return Footprint()
    seconds = sum(last.at_s - first.at_s for first, last in pairs)
    return Footprint(
        cpu_share=sum(last.cpu_s - first.cpu_s for first, last in pairs) / seconds,
        memory_mb=max(last.memory_mb for _, last in pairs),
        peer_bytes=sum(last.peer_bytes - first.peer_bytes for first, last in pairs) / seconds,
    )

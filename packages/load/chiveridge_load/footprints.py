"""What the nodes of a fleet used: processor time, memory and messages between them."""

import time

import msgspec

from chiveridge_load import usages
from chiveridge_standins import fleets


class Sample(msgspec.Struct, frozen=True):
    """Totals of one node process since its start."""

    pid: int
    at_s: float
    cpu_s: float
    memory_mb: float
    peer_bytes: int


class Footprint(msgspec.Struct, frozen=True, kw_only=True):
    """Means over the nodes that ran all the time: share of a core, bytes a second; largest MB."""

    cpu_share: float = 0.0
    memory_mb: float = 0.0
    peer_bytes: float = 0.0


def sample_nodes(fleet: fleets.Fleet) -> dict[str, Sample]:
    """Return a sample of every node that runs, by name."""
    samples = {}
    for name in fleet.nodes_by_name:
        pid = fleet.pid(name)
        try:
            cpu_s, memory_mb = usages.cpu_s(pid), usages.memory_mb(pid)
        except (OSError, ValueError):
            continue
        proxy = fleet.proxies_by_name.get(name)
        peer_bytes = proxy.counts.passed_bytes if proxy is not None else 0
        samples[name] = Sample(pid, time.monotonic(), cpu_s, memory_mb, peer_bytes)
    return samples


def footprint_between(before: dict[str, Sample], after: dict[str, Sample]) -> Footprint:
    """Return what was used between two samples."""
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

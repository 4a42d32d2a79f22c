"""Plans of fleets of real processes."""

import msgspec


class DomainPlan(msgspec.Struct, frozen=True):
    """Numbers of nodes and targets in one failure domain."""

    node_count: int
    target_count: int


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Size and settings of a fleet.

    ``slots``, ``memory_mb`` and ``cores`` apply to each target. ``settings`` overrides the nodes'
    INI files by section and key. ``proxied_names`` names the targets, nodes (for their peer ports)
    and ``platform`` that are reached through a fault proxy; only the nodes use that of the
    platform. With ``journaled``, targets record their starts in files that outlive their processes,
    see :meth:`fleets.Fleet.journaled_starts`. If ``profiles`` names a directory, the nodes run
    under cProfile and write ``NAME.prof`` there.
    """

    domains: dict[str, DomainPlan]
    slots: int = 8
    memory_mb: int = 128 * 1024
    cores: int = 64
    settings: dict[str, dict[str, str]] = {}
    targets_per_process: int = 8
    proxied_names: frozenset[str] = frozenset()
    journaled: bool = False
    profiles: str = ""

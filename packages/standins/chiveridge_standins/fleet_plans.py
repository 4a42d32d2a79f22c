"""What a fleet of real processes consists of."""

import msgspec


class DomainPlan(msgspec.Struct, frozen=True):
    """Numbers of nodes and of targets in one failure domain."""

    nodes: int
    targets: int


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What a fleet consists of.

    ``slots``, ``memory_mb`` and ``cores`` are those of each target. ``settings`` adds to the
    nodes' INI files, by section and key. ``proxied`` names what has a proxy in front: targets,
    nodes (their peer ports) and ``platform``, which only the nodes reach by its proxy. With
    ``journaled`` the starts survive a target's end, see :meth:`fleets.Fleet.starts`. With
    ``profiles``, a directory, the nodes run under cProfile and leave ``NAME.prof`` there.
    """

    domains: dict[str, DomainPlan]
    slots: int = 8
    memory_mb: int = 128 * 1024
    cores: int = 64
    settings: dict[str, dict[str, str]] = {}
    targets_per_process: int = 8
    proxied: frozenset[str] = frozenset()
    journaled: bool = False
    profiles: str = ""

"""Registry of adapters; the ``register()`` function of each adapter module adds it."""

import enum
from collections.abc import Callable

from chiveridge_kernel import errors


class AdapterKind(enum.Enum):
    """Interfaces that an adapter can serve; the value is the key in ``[plugins]``."""

    TARGETS = "targets"
    LOG = "log"
    VMS = "vms"
    CALLERS = "callers"
    PEERS = "peers"


_factories_by_key: dict[tuple[AdapterKind, str], Callable] = {}


def register_factory(kind: AdapterKind, name: str, factory: Callable) -> None:
    """Register the factory of an adapter; it is called with the node."""
    _factories_by_key[kind, name] = factory


def names(kind: AdapterKind) -> list[str]:
    """Return the names of the adapters registered for an interface."""
    return sorted(name for registered, name in _factories_by_key if registered is kind)


def create(kind: AdapterKind, name: str, node: object) -> object:
    """Create an adapter.

    :raises errors.ChiveridgeError: if none is registered under the name.
    """
    factory = _factories_by_key.get((kind, name))
    if factory is None:
        raise errors.ChiveridgeError(f"[plugins] {kind.value}: no adapter is named {name!r}")
    return factory(node)

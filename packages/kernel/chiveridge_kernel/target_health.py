"""Classifies the owned targets for lending: healthy, slow and failing ones."""

from chiveridge_kernel import circuit_breakers, free_slots, target_speeds, targets


class TargetHealth:
    """Sets of owned targets by state, updated incrementally for each target."""

    def __init__(self, target_table: targets.TargetTable):
        self.breakers = circuit_breakers.CircuitBreakers()
        self.speeds = target_speeds.TargetSpeeds()
        self._targets = target_table
        self._index = free_slots.FreeSlots()
        self._owned: frozenset[str] = frozenset()
        self._slow: free_slots.Mask = 0
        self._failing: free_slots.Mask = 0
        self._usable: free_slots.Mask = 0
        self._healthy: free_slots.Mask = 0
        self._usable_version: int | None = None

    def set_owned_targets(self, owned: frozenset[str], index: free_slots.FreeSlots) -> None:
        """Replace the owned targets, and the index that defines their bit positions."""
        self.breakers.retain(owned)
        self.speeds.retain(owned)
        self._owned = owned
        self._index = index
        self._slow = index.mask_of(filter(self.speeds.is_slow, owned))
        self._failing = index.mask_of(self.breakers.open_targets())
        self._usable_version = None

    def update_target(self, name: str) -> None:
        """Update the sets from the current breaker and speed of a target."""
        bit = self._index.bit(name)
        slow = self._slow | bit if self.speeds.is_slow(name) else self._slow & ~bit
        failing = self._failing | bit if self.breakers.is_open(name) else self._failing & ~bit
        if (slow, failing) != (self._slow, self._failing):
            self._slow, self._failing = slow, failing
            self._healthy = self._usable & ~slow & ~failing

    def healthy(self) -> free_slots.Mask:
        """Return the usable targets that are neither slow nor failing."""
        self._refresh()
        return self._healthy

    def slow(self) -> free_slots.Mask:
        """Return the usable targets that are slow but not failing."""
        return self.usable() & self._slow & ~self._failing

    def failing(self) -> free_slots.Mask:
        """Return the usable targets with an open breaker, which are lent only for probes."""
        return self.usable() & self._failing

    def usable(self) -> free_slots.Mask:
        """Return the owned targets that may be sent new tasks."""
        self._refresh()
        return self._usable

    def _refresh(self) -> None:
        """Recompute the usable targets if the target table has changed."""
        if self._usable_version == self._targets.version:
            return
        self._usable_version = self._targets.version
        self._usable = self._index.mask_of(filter(self._targets.is_usable, self._owned))
        self._healthy = self._usable & ~self._slow & ~self._failing

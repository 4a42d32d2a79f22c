"""Amounts of processor, memory and accelerators that a target has or a task needs."""

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Amounts of each resource; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, available: "Resources") -> bool:
        """Tell whether ``available`` has at least this much of each resource."""
        return (
            self.cpu <= available.cpu
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def fit_count(self, available: "Resources") -> int:
        """Return how many multiples of this fit in ``available``."""
        counts = [
            offered // needed
            for needed, offered in zip(self.as_tuple(), available.as_tuple(), strict=True)
            if needed > 0
        ]
        return max(min(counts, default=0), 0)

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def as_tuple(self) -> tuple[int, int, int]:
        """Return the amounts as processor, memory and accelerators."""
        return self.cpu, self.memory_mb, self.accelerators


ZERO = Resources()

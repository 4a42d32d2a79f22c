"""Amounts of processor, memory and accelerators that a target has or a task needs."""

import msgspec

from chiveridge_pool import value_ranges


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Amounts of each resource; ``cpu`` is in thousandths of a core."""

    cpu: value_ranges.SignedAmount = 0
    memory_mb: value_ranges.SignedAmount = 0
    accelerators: value_ranges.SignedAmount = 0

    def fits_in(self, available: "Resources") -> bool:
        """Tell whether ``available`` has at least this much of each resource."""
        return (
            self.cpu <= available.cpu
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def fit_count(self, available: "Resources") -> int:
        """Return how many multiples of this fit in ``available``."""
        # Written out, as owners are compared by it for each job.
        count = available.cpu // self.cpu if self.cpu > 0 else None
        if self.memory_mb > 0:
            of_memory = available.memory_mb // self.memory_mb
            count = of_memory if count is None or of_memory < count else count
        if self.accelerators > 0:
            of_accelerators = available.accelerators // self.accelerators
            count = of_accelerators if count is None or of_accelerators < count else count
        return max(count or 0, 0)

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

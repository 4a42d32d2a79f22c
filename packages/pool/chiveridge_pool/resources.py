"""Amounts of processor, memory and accelerators, of a target or needed by a task."""

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount; ``cpu`` counts thousandths of a core."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, room: "Resources") -> bool:
        """Tell whether this much is left in ``room``."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def times_in(self, room: "Resources") -> int:
        """Return how often this fits in ``room``."""
        counts = [
            has // needs
            for needs, has in zip(self.as_tuple(), room.as_tuple(), strict=True)
            if needs > 0
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
        """Return the three amounts."""
        return self.cpu, self.memory_mb, self.accelerators


NOTHING = Resources()

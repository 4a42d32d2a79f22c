"""An index of targets by free slots, which chooses slots without a scan of all targets.

Sets of targets are bit masks with one bit for each target, in order of name. The cost of an
operation grows by one machine word for every 30 targets, which is negligible for some thousands
of targets.
"""

from collections.abc import Iterable, Iterator

_BYTE_BITS = 8

Mask = int
"""A set of targets as a bit mask; bit n stands for the n-th target in order of name."""


class FreeSlots:
    """Index of targets by their number of free slots."""

    def __init__(self, names: Iterable[str] = ()):
        self._names = sorted(names)
        self._position_by_name = {name: position for position, name in enumerate(self._names)}
        self._free_by_name: dict[str, int] = {}
        self._masks_by_free: dict[int, Mask] = {}

    def set_free(self, name: str, free: int) -> None:
        """Set the free slots of a target; ignore a target that is not indexed."""
        previous = self._free_by_name.get(name, 0)
        if previous == free or name not in self._position_by_name:
            return
        self._free_by_name[name] = free
        bit = 1 << self._position_by_name[name]
        if previous:
            self._remove_bit(bit, previous)
        if free:
            self._masks_by_free[free] = self._masks_by_free.get(free, 0) | bit

    def free(self, name: str) -> int:
        """Return the free slots of a target."""
        return self._free_by_name.get(name, 0)

    def count(self, allowed: Mask) -> int:
        """Return the sum of the free slots of the allowed targets."""
        found = 0
        for free, mask in self._masks_by_free.items():
            found += free * (mask & allowed).bit_count()
        return found

    def spread(self, allowed: Mask, count: int) -> list[str]:
        """Choose up to ``count`` slots, each on the target with the most free slots left.

        Of targets with equally many free slots, choose the first by name.
        """
        levels = {free: mask & allowed for free, mask in self._masks_by_free.items()}
        free = max((free for free, mask in levels.items() if mask), default=0)
        chosen: list[str] = []
        most_free = levels.get(free, 0)
        while free > 0 and len(chosen) < count:
            for name in self.names_in(most_free):
                chosen.append(name)
                if len(chosen) == count:
                    break
            free -= 1
            most_free |= levels.get(free, 0)
        return chosen

    def bit(self, name: str) -> Mask:
        """Return the mask of one target, 0 when it is not indexed."""
        position = self._position_by_name.get(name)
        return 0 if position is None else 1 << position

    def mask_of(self, names: Iterable[str]) -> Mask:
        """Return the mask of some targets, ignoring those that are not indexed."""
        bits = bytearray(len(self._names) // _BYTE_BITS + 1)
        for name in names:
            position = self._position_by_name.get(name)
            if position is not None:
                bits[position // _BYTE_BITS] |= 1 << position % _BYTE_BITS
        return int.from_bytes(bits, "little")

    def names_in(self, mask: Mask) -> Iterator[str]:
        """Yield the targets of a mask in order of name."""
        while mask:
            lowest = mask & -mask
            mask ^= lowest
            yield self._names[lowest.bit_length() - 1]

    def _remove_bit(self, bit: Mask, free: int) -> None:
        remaining = self._masks_by_free[free] ^ bit
        if remaining:
            self._masks_by_free[free] = remaining
        else:
            del self._masks_by_free[free]

"""Sets of targets that a submission may run on."""

import bisect
import collections
import functools
import hashlib
import operator
from collections.abc import Iterable

from chiveridge_kernel import messages, vms

Capacity = tuple[int, int, int]
"""Memory in megabytes, number of cores and number of accelerators of a target."""

_KEY_BYTES = 16
_MAX_CACHED_KEYS = 16_384
_get_name = operator.attrgetter("name")


class Candidates:
    """Targets sorted by name, and their capacities, so that needs are checked once per capacity.

    Candidates from the same list of VMs contain the same targets if their keys are equal.
    """

    def __init__(self, candidate_vms: Iterable[vms.Vm]):
        self.vms = tuple(sorted(candidate_vms, key=_get_name))
        self.key = set_key(map(_get_name, self.vms))
        self._counts_by_capacity = collections.Counter(map(_capacity, self.vms))
        self._fitting_by_capacities: dict[tuple, tuple[vms.Vm, ...]] = {}

    def contains(self, name: str) -> bool:
        """Return whether a target is a candidate."""
        index = bisect.bisect_left(self.vms, name, key=_get_name)
        return index < len(self.vms) and self.vms[index].name == name

    def filter_names(self, names: Iterable[str]) -> list[str]:
        """Return the names that are candidates, in the given order."""
        return [name for name in names if self.contains(name)]

    def key_after(self, removed: Iterable[str], added: Iterable[str]) -> int:
        """Return the key after removing and adding targets; removed ones must be candidates."""
        return self.key - set_key(removed) + set_key(added)

    def with_changes(self, removed: Iterable[str], added: Iterable[vms.Vm]) -> "Candidates":
        """Return a copy with targets removed and added; removed ones must be candidates."""
        result = Candidates(())
        sorted_vms = list(self.vms)
        counts = self._counts_by_capacity.copy()
        for name in removed:
            vm = sorted_vms.pop(bisect.bisect_left(sorted_vms, name, key=_get_name))
            counts[_capacity(vm)] -= 1
        for vm in added:
            bisect.insort(sorted_vms, vm, key=_get_name)
            counts[_capacity(vm)] += 1
        result.vms = tuple(sorted_vms)
        result.key = self.key_after(removed, map(_get_name, added))
        result._counts_by_capacity = +counts
        return result

    def fitting_vms(self, task: messages.TaskSpec) -> tuple[vms.Vm, ...]:
        """Return the targets whose capacity covers the declared needs of a task."""
        capacities = self._fitting_capacities(task)
        if len(capacities) == len(self._counts_by_capacity):
            return self.vms
        fitting_vms = self._fitting_by_capacities.get(capacities)
        if fitting_vms is None:
            fitting_vms = tuple(vm for vm in self.vms if _capacity(vm) in capacities)
            self._fitting_by_capacities[capacities] = fitting_vms
        return fitting_vms

    def minimum_capacity(self, task: messages.TaskSpec) -> Capacity:
        """Return the minimum capacity among the fitting targets, in each dimension.

        Tasks that fit the same targets get the same result. The task must fit at least one target.
        """
        capacities = self._fitting_capacities(task)
        return tuple(min(amounts) for amounts in zip(*capacities, strict=True))

    def _fitting_capacities(self, task: messages.TaskSpec) -> tuple[Capacity, ...]:
        return tuple(capacity for capacity in self._counts_by_capacity if _fits(task, capacity))


def set_key(names: Iterable[str]) -> int:
    """Return a key of a set of names: the sum of the hashes of the names.

    A sum can be updated for added and removed names without hashing the others.
    """
    return sum(map(_name_key, names))


@functools.lru_cache(maxsize=_MAX_CACHED_KEYS)
def _name_key(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=_KEY_BYTES).digest(), "big")


def _capacity(vm: vms.Vm) -> Capacity:
    return vm.memory_mb, vm.cores, vm.accelerators


def _fits(task: messages.TaskSpec, capacity: Capacity) -> bool:
    memory_mb, cores, accelerators = capacity
    return task.memory_mb <= memory_mb and task.cores <= cores and task.accelerators <= accelerators

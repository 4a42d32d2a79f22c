"""Which node owns which target: rendezvous hashing over the live nodes of its domain.

Every node works this out by itself. Nodes whose lists differ for a while may disagree on an
owner; that crowds a target, and nothing else depends on it.
"""

import hashlib

from chiveridge_kernel import members, targets

_SCORE_BYTES = 8


def score(node: str, target: str) -> int:
    """Return the weight of a node for a target; the highest owns it."""
    digest = hashlib.blake2b(f"{node}/{target}".encode(), digest_size=_SCORE_BYTES)
    return int.from_bytes(digest.digest(), "big")


class OwnerTable:
    """Owners by target; a domain without live nodes is served by the nodes of all domains."""

    def __init__(self, member_table: members.MemberTable, target_table: targets.TargetTable):
        self._members = member_table
        self._targets = target_table
        self._versions: tuple[int, int] | None = None
        self._scores: dict[tuple[str, str], int] = {}
        self.owner_by_target: dict[str, str] = {}
        self.owned: frozenset[str] = frozenset()

    def refresh(self) -> bool:
        """Work out the owners again when members or targets changed; tell whether they did."""
        versions = (self._members.version, self._targets.list_version)
        if versions == self._versions:
            return False
        self._versions = versions
        names_by_domain = self._names_by_domain()
        everybody = [name for names in names_by_domain.values() for name in names]
        self.owner_by_target = {
            vm.name: self._owner(vm.name, names_by_domain.get(vm.domain) or everybody)
            for vm in self._targets.vms_by_name.values()
        }
        own_name = self._members.own_name
        self.owned = frozenset(
            target for target, owner in self.owner_by_target.items() if owner == own_name
        )
        self._forget_scores(set(everybody))
        return True

    def _names_by_domain(self) -> dict[str, list[str]]:
        names_by_domain: dict[str, list[str]] = {}
        for name in self._members.live_names():
            vm = self._members.find(name)
            domain = vm.domain if vm is not None else self._members.own_domain
            names_by_domain.setdefault(domain, []).append(name)
        return names_by_domain

    def _owner(self, target: str, names: list[str]) -> str:
        return max(names, key=lambda name: (self._score(name, target), name))

    def _score(self, node: str, target: str) -> int:
        known = self._scores.get((node, target))
        if known is None:
            known = score(node, target)
            self._scores[node, target] = known
        return known

    def _forget_scores(self, names: set[str]) -> None:
        known = self._targets.vms_by_name
        if len(self._scores) > 2 * len(names) * max(len(known), 1):
            self._scores = {
                key: value
                for key, value in self._scores.items()
                if key[0] in names and key[1] in known
            }

"""Assigns each target to an owner node by rendezvous hashing over the live nodes of its domain.

Every node computes the owners by itself. Nodes whose lists differ for a while may disagree on an
owner. The only effect is that a target may be given more tasks than it has slots.
"""

import msgspec

from chiveridge_kernel import identifiers, members, rendezvous_hashing, targets


class OwnerChanges(msgspec.Struct, frozen=True):
    """Changes of ownership, and the owners that do not know which of their slots are held.

    ``uninformed`` contains the other nodes that became the owner of a target, and the owners that
    have a new incarnation.
    """

    owners_changed: bool
    uninformed: frozenset[str]


class OwnerTable:
    """Owners by target; nodes of all domains own the targets of a domain without live nodes."""

    def __init__(self, member_table: members.MemberTable, target_table: targets.TargetTable):
        self._members = member_table
        self._targets = target_table
        self._versions: tuple[int, int] | None = None
        self._scores: dict[tuple[str, str], int] = {}
        self._names_by_domain: dict[str, tuple[str, ...]] = {}
        self._domain_by_target: dict[str, str] = {}
        self._incarnation_by_owner: dict[str, identifiers.Incarnation | None] = {}
        self.owner_by_target: dict[str, str] = {}
        self.owned: frozenset[str] = frozenset()

    def refresh(self) -> OwnerChanges | None:
        """Recompute the owners; return None when neither members nor targets changed."""
        versions = (self._members.version, self._targets.list_version)
        if versions == self._versions:
            return None
        self._versions = versions
        domain_by_target = {vm.name: vm.domain for vm in self._targets.vms_by_name.values()}
        names_by_domain = self._candidates_by_domain(set(domain_by_target.values()))
        changed = {
            domain
            for domain, names in names_by_domain.items()
            if names != self._names_by_domain.get(domain)
        }
        before, known_domains = self.owner_by_target, self._domain_by_target
        self.owner_by_target = {
            target: (
                before[target]
                if domain not in changed and known_domains.get(target) == domain
                else self._owner(target, names_by_domain[domain])
            )
            for target, domain in domain_by_target.items()
        }
        self._names_by_domain, self._domain_by_target = names_by_domain, domain_by_target
        own_name = self._members.own_name
        self.owned = frozenset(
            target for target, owner in self.owner_by_target.items() if owner == own_name
        )
        self._prune_scores(set(self._members.live_names()))
        return OwnerChanges(
            owners_changed=self.owner_by_target != before,
            uninformed=self._new_owners(before) | self._restarted_owners(),
        )

    def _new_owners(self, before: dict[str, str]) -> frozenset[str]:
        changed = self.owner_by_target.items() - before.items()
        return frozenset(owner for _, owner in changed if owner != self._members.own_name)

    def _restarted_owners(self) -> frozenset[str]:
        previous = self._incarnation_by_owner
        members_by_name = self._members.members_by_name
        self._incarnation_by_owner = {
            owner: members_by_name[owner].incarnation
            for owner in set(self.owner_by_target.values()) & members_by_name.keys()
        }
        changed = self._incarnation_by_owner.items() - previous.items()
        return frozenset(owner for owner, _ in changed)

    def _candidates_by_domain(self, domains: set[str]) -> dict[str, tuple[str, ...]]:
        """Return the nodes that may own the targets of each domain."""
        live_by_domain: dict[str, list[str]] = {}
        for name in self._members.live_names():
            vm = self._members.find_vm(name)
            domain = vm.domain if vm is not None else self._members.own_domain
            live_by_domain.setdefault(domain, []).append(name)
        all_live = self._members.live_names()
        return {domain: tuple(live_by_domain.get(domain, all_live)) for domain in domains}

    def _owner(self, target: str, names: tuple[str, ...]) -> str:
        return max(names, key=lambda name: (self._score(name, target), name))

    def _score(self, node: str, target: str) -> int:
        cached = self._scores.get((node, target))
        if cached is None:
            cached = rendezvous_hashing.score(node, target)
            self._scores[node, target] = cached
        return cached

    def _prune_scores(self, names: set[str]) -> None:
        known = self._targets.vms_by_name
        if len(self._scores) > 2 * len(names) * max(len(known), 1):
            self._scores = {
                key: value
                for key, value in self._scores.items()
                if key[0] in names and key[1] in known
            }

import datetime

from hypothesis import given, settings, strategies

from chiveridge_kernel import (
    clocks,
    identifiers,
    members,
    owners,
    peers,
    rendezvous_hashing,
    targets,
    vms,
)

DOMAINS = ("ikeja", "lekki", "surulere")
DOMAIN_BY_NAME = strategies.dictionaries(
    strategies.sampled_from([f"v{number}" for number in range(6)]), strategies.sampled_from(DOMAINS)
)


def vm(name: str, domain: str, role: vms.VmRole) -> vms.Vm:
    return vms.Vm(name=name, role=role, domain=domain, address="127.0.0.1", port=1, peer_port=1)


class System:
    """The owner table of one node, with the members and targets of its list."""

    def __init__(self):
        self.members = members.MemberTable(identifiers.NodeName("own"), DOMAINS[0])
        self.targets = targets.TargetTable()
        self.table = owners.OwnerTable(self.members, self.targets)

    def replace_list(
        self, domain_by_node: dict[str, str], domain_by_target: dict[str, str]
    ) -> None:
        entries = [
            vm(f"e-{name}", domain, vms.VmRole.ENTRY) for name, domain in domain_by_node.items()
        ]
        found = [
            vm(f"t-{name}", domain, vms.VmRole.TARGET) for name, domain in domain_by_target.items()
        ]
        own = vm("own", DOMAINS[0], vms.VmRole.ENTRY)
        listing = vms.VmList(1, [own, *entries, *found])
        self.members.apply_listing(listing, clocks.EPOCH)
        self.targets.replace(listing)

    def expected_owners(self) -> dict[str, str]:
        """Compute the owners of all targets without any cached state."""
        found = {}
        for target in self.targets.vms_by_name.values():
            names = self.members.live_names(target.domain) or self.members.live_names()
            found[target.name] = max(
                names,
                key=lambda name, target=target: (rendezvous_hashing.score(name, target.name), name),
            )
        return found


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    strategies.lists(
        strategies.tuples(DOMAIN_BY_NAME, DOMAIN_BY_NAME, strategies.booleans()), max_size=8
    )
)
def test_owners_match_a_full_recomputation_after_every_change(steps):
    system = System()
    for domain_by_node, domain_by_target, loses_a_node in steps:
        system.replace_list(domain_by_node, domain_by_target)
        others = [found.vm for found in system.members.members_by_name.values() if found.vm]
        if loses_a_node and others:
            system.members.mark_unreachable(others[0])
        before = system.table.owner_by_target
        changes = system.table.refresh()
        after = system.table.owner_by_target
        gaining = {owner for target, owner in after.items() if before.get(target) != owner}
        assert changes.uninformed == gaining - {"own"}
        assert changes.owners_changed == (before != after)
        assert system.table.owner_by_target == system.expected_owners()
        owned = {name for name, owner in system.table.owner_by_target.items() if owner == "own"}
        assert system.table.owned == owned
        assert system.table.refresh() is None


def test_a_change_in_one_domain_recomputes_no_owner_in_another(monkeypatch):
    system = System()
    domain_by_node = {f"n{number}": DOMAINS[number % 3] for number in range(9)}
    domain_by_target = {f"p{number}": DOMAINS[number % 3] for number in range(30)}
    system.replace_list(domain_by_node, domain_by_target)
    system.table.refresh()
    computed = []
    compute_owner = owners.OwnerTable._owner
    monkeypatch.setattr(
        owners.OwnerTable,
        "_owner",
        lambda table, target, names: computed.append(target) or compute_owner(table, target, names),
    )
    system.replace_list(domain_by_node, domain_by_target | {"p30": DOMAINS[1]})
    system.table.refresh()
    assert computed == ["t-p30"]
    computed.clear()
    system.members.mark_unreachable(system.members.find_vm("e-n2"))
    system.table.refresh()
    assert set(computed) == {f"t-p{number}" for number in range(30) if number % 3 == 2}


def test_an_owner_with_a_new_incarnation_is_reported_as_uninformed():
    system = System()
    system.replace_list(
        {"n1": DOMAINS[0], "n2": DOMAINS[1]}, {f"p{n}": DOMAINS[n % 2] for n in range(9)}
    )
    system.table.refresh()
    timeouts = members.MemberTimeouts(
        suspect_after=datetime.timedelta(seconds=3), dead_after=datetime.timedelta(seconds=10)
    )
    for incarnation in ("b", "c"):
        beat = peers.Heartbeat(sender="e-n2", incarnation=incarnation, sequence=1)
        system.members.record_heartbeat(beat, timeouts, clocks.EPOCH)
        changes = system.table.refresh()
        assert (changes.owners_changed, changes.uninformed) == (False, {"e-n2"})

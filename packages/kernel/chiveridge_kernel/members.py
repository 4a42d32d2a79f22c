"""The nodes of the system as this node sees them."""

from chiveridge_kernel import identifiers, vms


class MemberTable:
    """Nodes by name, from the platform's list; ``version`` grows when the live nodes change."""

    def __init__(self, own_name: identifiers.NodeName, own_domain: identifiers.DomainName):
        self.own_name = own_name
        self.own_domain = own_domain
        self.vms_by_name: dict[str, vms.Vm] = {}
        self.version = 0

    def replace(self, listing: vms.VmList) -> None:
        """Take the platform's list."""
        self.vms_by_name = {vm.name: vm for vm in listing.vms if vm.role is vms.VmRole.ENTRY}
        self.version += 1

    def find(self, name: str) -> vms.Vm | None:
        """Return a node's VM when it is listed."""
        return self.vms_by_name.get(name)

    def live_names(self) -> list[str]:
        """Return the names of the nodes that take part now, this one included, in order."""
        names = {vm.name for vm in self.vms_by_name.values() if vm.state is vms.VmState.LIVE}
        return sorted(names | {self.own_name})

"""The targets as this node sees them: the platform's list joined with direct evidence."""

import datetime

from chiveridge_kernel import vms

BUSY_BACKOFF = datetime.timedelta(milliseconds=50)
UNREACHABLE_BACKOFF = datetime.timedelta(seconds=1)
SILENT_BACKOFF = datetime.timedelta(seconds=10)
LEAVING_EVIDENCE_LIFETIME = datetime.timedelta(seconds=60)


class TargetTable:
    """Known targets, those listed as leaving, and those to avoid for a while.

    ``version`` grows whenever the set of usable targets may have changed, ``list_version``
    whenever the platform's list was taken.
    """

    def __init__(self):
        self.vms_by_name: dict[str, vms.Vm] = {}
        self.version = 0
        self.list_version = 0
        self._leaving_names: frozenset[str] = frozenset()
        self._avoided_until_by_name: dict[str, datetime.datetime] = {}

    def replace(self, listing: vms.VmList) -> None:
        """Take the platform's list; evidence from targets outlives a list that lags behind."""
        self.vms_by_name = {vm.name: vm for vm in listing.vms if vm.role is vms.VmRole.TARGET}
        self._leaving_names = frozenset(
            vm.name for vm in self.vms_by_name.values() if vm.state is vms.VmState.LEAVING
        )
        self.version += 1
        self.list_version += 1

    def avoid(self, name: str, until: datetime.datetime) -> None:
        """Give the target no new work until a moment; a later moment set before stands."""
        known = self._avoided_until_by_name.get(name)
        if known is None or known < until:
            self._avoided_until_by_name[name] = until
            self.version += 1

    def expire(self, now: datetime.datetime) -> bool:
        """Let avoided targets be used again when their time is over; tell whether any is."""
        due = [name for name, until in self._avoided_until_by_name.items() if until <= now]
        for name in due:
            del self._avoided_until_by_name[name]
        if due:
            self.version += 1
        return bool(due)

    def next_expiry(self) -> datetime.datetime | None:
        """Return the moment of the next expiry."""
        return min(self._avoided_until_by_name.values(), default=None)

    def is_usable(self, name: str) -> bool:
        """Tell whether the target may be given new work."""
        return (
            name in self.vms_by_name
            and name not in self._leaving_names
            and name not in self._avoided_until_by_name
        )

"""The state of the targets on this node, from the platform's list and from observations."""

import datetime
import enum

from chiveridge_kernel import vms

BUSY_BACKOFF = datetime.timedelta(milliseconds=50)
UNREACHABLE_BACKOFF = datetime.timedelta(seconds=1)
SILENT_BACKOFF = datetime.timedelta(seconds=10)
LEAVING_REPORT_TTL = datetime.timedelta(seconds=60)
STALE_LIST_LIMIT = datetime.timedelta(seconds=1)
"""Time after a pause of the process after which targets are used even if the list was not read."""


class TargetState(enum.Enum):
    """Whether a listed target is given new work, and why not."""

    USABLE = "usable"
    LEAVING = "leaving"
    AVOIDED = "avoided"


class TargetTable:
    """The listed targets, and which of them are leaving, avoided or suspected to be unreachable.

    ``version`` increases whenever the set of usable targets may have changed, ``list_version``
    whenever the list is replaced.
    """

    def __init__(self):
        self.vms_by_name: dict[str, vms.Vm] = {}
        self.version = 0
        self.list_version = 0
        self._leaving_names: frozenset[str] = frozenset()
        self._avoided_until_by_name: dict[str, datetime.datetime] = {}
        self._reported_leaving_names: set[str] = set()
        self._suspected_until_by_name: dict[str, datetime.datetime] = {}
        self._held_names: set[str] = set()
        self._list_stale_since: datetime.datetime | None = None

    def replace(self, listing: vms.VmList) -> None:
        """Replace the list; keep observations of targets, which may be newer, unless they moved."""
        old_vms_by_name = self.vms_by_name
        self.vms_by_name = {vm.name: vm for vm in listing.vms if vm.role is vms.VmRole.TARGET}
        for name, vm in old_vms_by_name.items():
            self._forget_if_replaced(vm, self.vms_by_name.get(name))
        self._leaving_names = frozenset(
            vm.name for vm in self.vms_by_name.values() if vm.state is vms.VmState.LEAVING
        )
        self.version += 1
        self.list_version += 1

    def _forget_if_replaced(self, vm: vms.Vm, new_vm: vms.Vm | None) -> None:
        if new_vm is None or (new_vm.address, new_vm.port) != (vm.address, vm.port):
            self._avoided_until_by_name.pop(vm.name, None)
            self._reported_leaving_names.discard(vm.name)
            self.clear_suspicion(vm.name)

    def exclude_until(self, name: str, until: datetime.datetime) -> None:
        """Give a target no new work until ``until``; a later time set before stays in force."""
        current = self._avoided_until_by_name.get(name)
        if current is None or current < until:
            self._avoided_until_by_name[name] = until
            self.version += 1

    def mark_leaving(self, name: str, until: datetime.datetime) -> None:
        """Record that a target has told this node or a peer that it is leaving."""
        self._reported_leaving_names.add(name)
        self.exclude_until(name, until)

    def suspect(self, name: str, until: datetime.datetime) -> None:
        """Lend no slots of a target that is being probed until ``until``; jobs may wait for it."""
        self._suspected_until_by_name[name] = until
        self.version += 1

    def confirm_unreachable(self, name: str, until: datetime.datetime) -> None:
        """Exclude a target that several nodes could not reach; no job waits for it."""
        self._held_names.add(name)
        self.suspect(name, until)

    def clear_suspicion(self, name: str) -> None:
        """Clear the suspicion of a target, even if several nodes could not reach it."""
        self._held_names.discard(name)
        if self._suspected_until_by_name.pop(name, None) is not None:
            self.version += 1

    def mark_list_stale(self, now: datetime.datetime) -> None:
        """Use no target until the list is read again, as it may be stale after a process pause."""
        self._list_stale_since = now
        self.version += 1

    def is_list_stale(self) -> bool:
        """Return whether the list must be read again before a target is used."""
        return self._list_stale_since is not None

    def mark_list_read(self, asked_at: datetime.datetime | None) -> bool:
        """Handle the end of a read of the list that was started at ``asked_at``.

        Return whether targets become usable again: the list was stale and the read started no
        earlier than that. A read whose start is unknown (None) counts.
        """
        stale_since = self._list_stale_since
        if stale_since is None or (asked_at is not None and asked_at < stale_since):
            return False
        self._list_stale_since = None
        self.version += 1
        return True

    def is_known_leaving(self, name: str) -> bool:
        """Return whether the list, the target or a peer has reported that the target is leaving."""
        return name in self._leaving_names or name in self._reported_leaving_names

    def expire(self, now: datetime.datetime) -> bool:
        """End the avoidance and suspicion of targets that are due; return whether any ended."""
        due = [name for name, until in self._avoided_until_by_name.items() if until <= now]
        for name in due:
            del self._avoided_until_by_name[name]
            self._reported_leaving_names.discard(name)
        suspected = [name for name, until in self._suspected_until_by_name.items() if until <= now]
        for name in suspected:
            self.clear_suspicion(name)
        if due:
            self.version += 1
        # Without the platform, the node continues with the list that it has.
        is_wait_over = (
            self._list_stale_since is not None and self._list_stale_since + STALE_LIST_LIMIT <= now
        )
        return (is_wait_over and self.mark_list_read(now)) or bool(due or suspected)

    def next_expiry(self) -> datetime.datetime | None:
        """Return the time of the next expiry, or None."""
        moments = list(self._avoided_until_by_name.values())
        moments += self._suspected_until_by_name.values()
        if self._list_stale_since is not None:
            moments.append(self._list_stale_since + STALE_LIST_LIMIT)
        return min(moments, default=None)

    def is_usable(self, name: str) -> bool:
        """Return whether the target may be given new work now."""
        return name not in self._suspected_until_by_name and self.is_eligible(name)

    def is_eligible(self, name: str) -> bool:
        """Return whether the target may be given new work, now or once a probe has ended."""
        return (
            self._list_stale_since is None
            and name in self.vms_by_name
            and name not in self._leaving_names
            and name not in self._avoided_until_by_name
            and name not in self._held_names
        )

    def state_of(self, name: str) -> TargetState:
        """Return the state of a listed target."""
        if name in self._leaving_names:
            return TargetState.LEAVING
        if name in self._avoided_until_by_name or name in self._suspected_until_by_name:
            return TargetState.AVOIDED
        return TargetState.USABLE

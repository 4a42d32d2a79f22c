"""Ledger kept by the owner of targets: the slots lent, by holder node, target and team."""

import collections
import datetime
from collections.abc import Collection, Mapping

import msgspec

from chiveridge_kernel import free_slots, vms

# Time after which a newly owned target lends slots even if some nodes have not reported theirs.
SETTLING_LIMIT = datetime.timedelta(milliseconds=500)
# Age at which a grant that the holder has not confirmed is taken for lost.
GRANT_DELIVERY_LIMIT = datetime.timedelta(seconds=1)
# Time without a message after which the slots of a holder are reclaimed.
HOLDER_SILENCE_LIMIT = datetime.timedelta(seconds=5)
MAX_UNCONFIRMED_GRANTS = 1000


UNKNOWN_TEAM = ""
"""Team of slots reported without teams, as nodes of an earlier version do."""

SlotCounts = collections.Counter[tuple[str, str]]
"""Numbers of slots by target and team."""


def slot_counts_of(
    held_by_target: Mapping[str, int], teams_by_target: Mapping[str, Mapping]
) -> SlotCounts:
    """Return the slots held by target and team; those without a team count as UNKNOWN_TEAM."""
    slot_counts: SlotCounts = collections.Counter()
    for name, count in held_by_target.items():
        teams = teams_by_target.get(name, {})
        slot_counts.update({(name, team): known for team, known in teams.items()})
        missing = count - sum(teams.values())
        if missing > 0:
            slot_counts[name, UNKNOWN_TEAM] += missing
    return slot_counts


class _Grant(msgspec.Struct):
    serial: int
    granted_at: datetime.datetime
    slot_counts: collections.Counter


class Holder:
    """The slots that one node holds, as far as the owner knows."""

    def __init__(self, now: datetime.datetime):
        self.slot_counts: SlotCounts = collections.Counter()
        self.serial = 0
        self.last_heard_at = now
        self._unconfirmed: collections.deque[_Grant] = collections.deque()

    def record_grant(self, slot_counts: SlotCounts, now: datetime.datetime) -> int:
        """Record a grant and return its serial number."""
        self.serial += 1
        self.slot_counts.update(slot_counts)
        self._unconfirmed.append(_Grant(self.serial, now, slot_counts))
        if len(self._unconfirmed) > MAX_UNCONFIRMED_GRANTS:
            self._unconfirmed.popleft()
        return self.serial

    def release(self, name: str, team: str) -> tuple[str, str] | None:
        """Remove one held slot; return its target and team as counted, or None if not held."""
        for key in ((name, team), (name, UNKNOWN_TEAM)):
            if self.slot_counts[key] > 1:
                self.slot_counts[key] -= 1
                return key
            if self.slot_counts.pop(key, 0):
                return key
        return None

    def apply_report(self, last_serial: int, held: SlotCounts, now: datetime.datetime) -> None:
        """Replace the counts by those of a report, plus the grants not yet received by then."""
        oldest = now - GRANT_DELIVERY_LIMIT
        while self._unconfirmed and (
            self._unconfirmed[0].serial <= last_serial or self._unconfirmed[0].granted_at < oldest
        ):
            self._unconfirmed.popleft()
        self.slot_counts = held.copy()
        for grant in self._unconfirmed:
            self.slot_counts.update(grant.slot_counts)


class _Settling(msgspec.Struct):
    """A newly owned target, which lends no slots until the awaited nodes have reported."""

    ends_at: datetime.datetime
    awaited_nodes: set[str]


class SlotLedger:
    """Tracks which slots of the owned targets are free or lent to nodes, this one included."""

    def __init__(self):
        self.holders_by_node: dict[str, Holder] = {}
        self.lent_by_team: collections.Counter[str] = collections.Counter()
        self.index = free_slots.FreeSlots()
        self.slot_count = 0
        self._vms_by_name: dict[str, vms.Vm] = {}
        self._lent_by_target: collections.Counter[str] = collections.Counter()
        self._settling_by_target: dict[str, _Settling] = {}

    def set_owned_targets(
        self, owned: dict[str, vms.Vm], nodes: Collection[str], now: datetime.datetime
    ) -> None:
        """Replace the owned targets; new ones lend no slots until ``nodes`` have reported."""
        for name in owned.keys() - self._vms_by_name.keys():
            self._settling_by_target[name] = _Settling(now + SETTLING_LIMIT, set(nodes))
        for name in self._vms_by_name.keys() - owned.keys():
            self._settling_by_target.pop(name, None)
        self._vms_by_name = owned
        self.slot_count = sum(vm.slots for vm in owned.values())
        self._rebuild_counts()

    def settle(self, now: datetime.datetime) -> bool:
        """End the settling of targets that are due; return whether there were any."""
        due = [
            name
            for name, settling in self._settling_by_target.items()
            if settling.ends_at <= now or not settling.awaited_nodes
        ]
        for name in due:
            del self._settling_by_target[name]
            self._update_free(name)
        return bool(due)

    def next_settling_at(self) -> datetime.datetime | None:
        """Return when the next settling time ends, or None when no target is settling."""
        return min(
            (settling.ends_at for settling in self._settling_by_target.values()), default=None
        )

    def settling_targets(self) -> Collection[str]:
        """Return the targets that do not lend slots yet."""
        return self._settling_by_target.keys()

    def owns(self, name: str) -> bool:
        """Return whether a target is owned by this node."""
        return name in self._vms_by_name

    def free(self, name: str) -> int:
        """Return the free slots of a target; 0 when it is not owned or still settling."""
        return self.index.free(name)

    def lend(self, node: str, team: str, names: list[str], now: datetime.datetime) -> int:
        """Lend one slot for each target name to a team; return the serial number of the grant."""
        slot_counts: SlotCounts = collections.Counter((name, team) for name in names)
        self._add_lent(slot_counts)
        return self._holder(node, now).record_grant(slot_counts, now)

    def release(self, node: str, name: str, team: str, now: datetime.datetime) -> None:
        """Return one slot to the free ones; do nothing if it was not lent."""
        holder = self._holder(node, now)
        holder.last_heard_at = now
        key = holder.release(name, team)
        if key is not None:
            self._add_lent({key: 1}, sign=-1)

    def apply_report(
        self, node: str, last_serial: int, held: SlotCounts, now: datetime.datetime
    ) -> None:
        """Correct the slots counted for a node by its own report."""
        holder = self._holder(node, now)
        holder.last_heard_at = now
        self._add_lent(holder.slot_counts, sign=-1)
        holder.apply_report(last_serial, held, now)
        self._add_lent(holder.slot_counts)
        for settling in self._settling_by_target.values():
            settling.awaited_nodes.discard(node)
        self.settle(now)

    def record_contact(self, node: str, now: datetime.datetime) -> None:
        """Record that a node was heard from, whether or not it holds slots."""
        self._holder(node, now).last_heard_at = now

    def expire(self, now: datetime.datetime) -> list[str]:
        """Reclaim the slots of nodes silent for longer than the limit; return these nodes."""
        silent = [
            node
            for node, holder in self.holders_by_node.items()
            if now - holder.last_heard_at > HOLDER_SILENCE_LIMIT
        ]
        for node in silent:
            self._add_lent(self.holders_by_node.pop(node).slot_counts, sign=-1)
        return silent

    def _holder(self, node: str, now: datetime.datetime) -> Holder:
        holder = self.holders_by_node.get(node)
        if holder is None:
            holder = Holder(now)
            self.holders_by_node[node] = holder
        return holder

    def _rebuild_counts(self) -> None:
        self._lent_by_target.clear()
        self.lent_by_team.clear()
        for holder in self.holders_by_node.values():
            self._add_lent(holder.slot_counts)
        self.index = free_slots.FreeSlots(self._vms_by_name)
        for name in self._vms_by_name:
            self._update_free(name)

    def _add_lent(self, slot_counts: Mapping[tuple[str, str], int], sign: int = 1) -> None:
        """Add slots to the lent counts, or subtract them; skip targets that are not owned."""
        for (name, team), count in slot_counts.items():
            if name in self._vms_by_name:
                self._lent_by_target[name] += sign * count
                self.lent_by_team[team] += sign * count
                self._update_free(name)

    def _update_free(self, name: str) -> None:
        free = self._vms_by_name[name].slots - self._lent_by_target[name]
        self.index.set_free(name, 0 if name in self._settling_by_target else max(free, 0))

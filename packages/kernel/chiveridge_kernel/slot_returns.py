"""Returns slots to their owners and reports to owners which of their slots are held."""

import datetime
from collections.abc import Iterable

from chiveridge_kernel import (
    actions,
    identifiers,
    lenders,
    owners,
    peers,
    placements,
    slot_messages,
    slots,
)

REPORT_INTERVAL = datetime.timedelta(seconds=1)
# Delay of the repeated report after owners have changed, in case the first one was lost.
SECOND_REPORT_DELAY = datetime.timedelta(milliseconds=100)
REPORTS_AFTER_CONTACT = 3
"""Reports sent after each contact with an owner, which make up for lost grants and returns."""


class SlotReturns:
    """Batches the slots returned to owners during one event, and reports the held slots."""

    def __init__(
        self,
        starter: placements.TaskStarter,
        owner_table: owners.OwnerTable,
        lender: lenders.Lender,
    ):
        self._starter = starter
        self._owner_table = owner_table
        self._lender = lender
        self._own_name = starter.members.own_name
        self._ends_by_owner: dict[str, list[slot_messages.SlotEnd]] = {}
        self._reports_due_by_owner: dict[str, int] = {}
        self._last_serial_by_owner: dict[str, int] = {}
        self._next_report_at: datetime.datetime | None = None

    def release(self, end: slot_messages.SlotEnd, now: datetime.datetime) -> bool:
        """Return a slot to its owner; tell whether this node owns the target."""
        owner = self._owner_table.owner_by_target.get(end.target)
        if owner == self._own_name:
            self._lender.release(self._own_name, end, now)
            return True
        if owner is not None:
            self._ends_by_owner.setdefault(owner, []).append(end)
        return False

    def flush(self) -> None:
        """Send the slots returned during one event, in one message to each owner."""
        if not self._ends_by_owner:
            return
        free = self._lender.free_count()
        for owner, ends in self._ends_by_owner.items():
            self.send(owner, slot_messages.SlotReturn(sender=self._own_name, ends=ends, free=free))
        self._ends_by_owner = {}

    def schedule_reports(self, owner: str) -> None:
        """Include an owner in the next reports even if none of its slots is held."""
        self._reports_due_by_owner[owner] = REPORTS_AFTER_CONTACT

    def record_grant(self, owner: str, serial: int) -> None:
        """Record the serial number of the last grant received from an owner."""
        self._last_serial_by_owner[owner] = serial

    def report_to(self, names: Iterable[str], now: datetime.datetime) -> None:
        """Report to some owners at once, so that they need not wait out their settling time."""
        for owner in names:
            self.schedule_reports(owner)
        self.send_reports(now)
        self._next_report_at = now + SECOND_REPORT_DELAY

    def report_if_due(self, now: datetime.datetime) -> None:
        """Send reports if the report interval has passed."""
        if self._next_report_at is None or self._next_report_at <= now:
            self.send_reports(now)
            self._next_report_at = now + REPORT_INTERVAL

    def next_report_at(self) -> datetime.datetime | None:
        """Return when the next report is due."""
        return self._next_report_at

    def send_reports(self, now: datetime.datetime) -> None:
        """Send each owner concerned the slots that this node holds of its targets."""
        held_by_owner = self._held_by_owner()
        own = self._slot_counts(held_by_owner.pop(self._own_name, []))
        ledger = self._lender.ledger
        holder = ledger.holders_by_node.get(self._own_name)
        ledger.apply_report(self._own_name, holder.serial if holder else 0, own, now)
        free = self._lender.free_count()
        for owner in self._reports_due_by_owner.keys() | held_by_owner.keys():
            self.send(owner, self._build_report(owner, held_by_owner.get(owner, []), free))
        self._reports_due_by_owner = {
            owner: count - 1 for owner, count in self._reports_due_by_owner.items() if count > 1
        }

    def send(self, node: str, message: peers.PeerMessage) -> None:
        """Send a message to a node, if it is known."""
        vm = self._starter.members.find_vm(node)
        if vm is not None:
            self._starter.outbox.append(actions.SendToPeer(peer=vm, message=message))

    def _build_report(
        self, owner: str, held: list[identifiers.TargetName], free: int
    ) -> slot_messages.SlotReport:
        in_progress = self._starter.starts_in_progress
        return slot_messages.SlotReport(
            sender=self._own_name,
            last_serial=self._last_serial_by_owner.get(owner, 0),
            held_by_target={name: in_progress.count_by_target[name] for name in held},
            free=free,
            teams_by_target={name: dict(in_progress.teams_by_target[name]) for name in held},
        )

    def _slot_counts(self, held: list[identifiers.TargetName]) -> slots.SlotCounts:
        in_progress = self._starter.starts_in_progress
        counts = {name: in_progress.count_by_target[name] for name in held}
        return slots.slot_counts_of(counts, in_progress.teams_by_target)

    def _held_by_owner(self) -> dict[str, list[identifiers.TargetName]]:
        held_by_owner: dict[str, list[identifiers.TargetName]] = {}
        for target in self._starter.starts_in_progress.count_by_target:
            owner = self._owner_table.owner_by_target.get(target)
            if owner is not None:
                held_by_owner.setdefault(owner, []).append(identifiers.TargetName(target))
        return held_by_owner

"""Targets listed by the platform, supplemented by reports from peers."""

import collections
import datetime

import msgspec

from chiveridge_pool import identifiers, targets

_DROP_MISSING_AFTER = datetime.timedelta(seconds=3)
"""Time between two reads of the platform's list without a target after which it is dropped.

Entries that lapse while the store is away are back about 2 s after its return.
"""


class TargetList:
    """All known targets, by id."""

    def __init__(self):
        self.has_platform_list = False
        self._read_at: datetime.datetime | None = None
        # Increases with each change of the listed targets and their domains.
        self.revision = 0
        self.by_id: dict[identifiers.TargetId, targets.Target] = {}
        # Listed with an entry that is not valid, which names no target to use.
        self.unusable: frozenset[identifiers.TargetId] = frozenset()
        self.missing_since: dict[identifiers.TargetId, datetime.datetime] = {}

    def replace(
        self,
        listed: tuple[targets.Target, ...],
        now: datetime.datetime,
        unusable: frozenset[identifiers.TargetId] = frozenset(),
    ) -> None:
        """Update the targets from the platform's list; mark those no longer listed as missing.

        ``unusable`` are the ids whose entries are not valid; they count as missing too.
        """
        self.has_platform_list = True
        self.unusable = unusable
        self._read_at = now
        known = {target.id: target for target in listed}
        for target_id in sorted(self.by_id.keys() - known.keys()):
            self.missing_since.setdefault(target_id, now)
        for target_id, target in known.items():
            self.missing_since.pop(target_id, None)
            self._put(target)

    def add_reported(self, reported: tuple[targets.Target, ...]) -> None:
        """Add targets reported by a peer; once the platform's list was read, only known ones."""
        for target in reported:
            if target.id in self.by_id or not self.has_platform_list:
                self.add(target)

    def add(self, target: targets.Target) -> targets.Target:
        """Add a target unless this or a later incarnation is known, and return what is known."""
        known = self.by_id.get(target.id)
        if known is None or target.started_at_ms > known.started_at_ms:
            self._put(target)
        return self.by_id[target.id]

    def _put(self, target: targets.Target) -> None:
        known = self.by_id.get(target.id)
        if known is None or known.domain != target.domain:
            self.revision += 1
        self.by_id[target.id] = target

    def count_by_domain(self) -> dict[identifiers.DomainName, int]:
        """Return the number of listed targets of each failure domain."""
        return dict(collections.Counter(target.domain for target in self.by_id.values()))

    def draining(self) -> tuple[tuple[identifiers.TargetId, int], ...]:
        """Return the id and start time of each draining target."""
        return tuple(
            (target.id, target.started_at_ms)
            for target in self.by_id.values()
            if target.is_draining
        )

    def mark_draining(
        self, reported: tuple[tuple[identifiers.TargetId, int], ...]
    ) -> list[targets.Target]:
        """Mark targets that a peer reports as draining; return those not marked before."""
        newly_draining = []
        for target_id, started_at_ms in reported:
            target = self.by_id.get(target_id)
            if target is None or target.is_draining or target.started_at_ms > started_at_ms:
                continue
            draining = msgspec.structs.replace(target, is_draining=True)
            self.by_id[target_id] = draining
            newly_draining.append(draining)
        return newly_draining

    def droppable(self) -> list[identifiers.TargetId]:
        """Return the targets that were missing long enough at the latest read to be dropped."""
        return [
            target_id
            for target_id, since in self.missing_since.items()
            if self._read_at - since >= _DROP_MISSING_AFTER
        ]

    def remove(self, target_id: identifiers.TargetId) -> None:
        """Remove a target."""
        self.missing_since.pop(target_id, None)
        if self.by_id.pop(target_id, None) is not None:
            self.revision += 1

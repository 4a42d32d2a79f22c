"""Targets as the platform lists them, with what peers have told of them."""

import datetime

import msgspec

from chiveridge_pool import identifiers, targets

_GONE_AFTER = datetime.timedelta(seconds=3)
"""Absence from the platform's list after which an idle target is dropped."""


class Listing:
    """All targets that are known, by id."""

    def __init__(self):
        self._is_read = False
        self.by_id: dict[identifiers.TargetId, targets.Target] = {}
        self.missing_since: dict[identifiers.TargetId, datetime.datetime] = {}

    def replace(self, listed: tuple[targets.Target, ...], now: datetime.datetime) -> None:
        """Take the platform's list; what it shows no more counts as missing."""
        self._is_read = True
        known = {target.id: target for target in listed}
        for target_id in sorted(self.by_id.keys() - known.keys()):
            self.missing_since.setdefault(target_id, now)
        for target_id, target in known.items():
            self.missing_since.pop(target_id, None)
            self.by_id[target_id] = target

    def learn(self, told: tuple[targets.Target, ...]) -> None:
        """Take targets from a peer, until the platform's list was read."""
        if not self._is_read:
            for target in told:
                self.by_id.setdefault(target.id, target)

    def leaving(self) -> tuple[tuple[identifiers.TargetId, int], ...]:
        """Return the targets that are draining, each with its birth."""
        return tuple(
            (target.id, target.born) for target in self.by_id.values() if target.is_draining
        )

    def note_leaving(
        self, told: tuple[tuple[identifiers.TargetId, int], ...]
    ) -> list[targets.Target]:
        """Take what a peer has seen draining; return the targets that are news here."""
        news = []
        for target_id, born in told:
            target = self.by_id.get(target_id)
            if target is None or target.is_draining or target.born > born:
                continue
            draining = msgspec.structs.replace(target, is_draining=True)
            self.by_id[target_id] = draining
            news.append(draining)
        return news

    def gone(self, now: datetime.datetime) -> list[identifiers.TargetId]:
        """Return the targets that have been missing for so long that they may be dropped."""
        return [
            target_id
            for target_id, since in self.missing_since.items()
            if now - since >= _GONE_AFTER
        ]

    def drop(self, target_id: identifiers.TargetId) -> None:
        """Forget a target."""
        self.missing_since.pop(target_id, None)
        self.by_id.pop(target_id, None)

"""Credit of teams for the part of their slot share that they recently left unused."""

import datetime
from collections.abc import Iterable, Mapping

import msgspec

CREDIT_LIMIT_TIME = datetime.timedelta(seconds=1)
"""Limit of a team's credit: what a team that holds no slots would leave unused in this time."""

CREDIT_EXPIRY_TIME = datetime.timedelta(seconds=1)
"""Time without a held slot after which a team's credit is reset to 0."""


class _Credit(msgspec.Struct):
    """Slot seconds of its share that a team left unused, as of ``updated_at``."""

    slot_seconds: float
    updated_at: datetime.datetime


class FairShares:
    """Divides an owner's slots into equal team shares and credits teams for unused slots.

    Demand arrives as jobs of many tasks, so the slots that a team holds vary around a mean that
    may well be within its share. A team with credit counts as within its share and is served
    before teams with less credit. A team that is new, or held no slots for a while, has no
    credit, so a burst starts without any.
    """

    def __init__(self):
        self._credits_by_team: dict[str, _Credit] = {}
        self._share = 0.0

    def divide(
        self, slot_count: int, waiting_teams: Iterable[str], held_by_team: Mapping[str, int]
    ) -> None:
        """Set the equal share of each team that waits for slots or holds any."""
        active_teams = {team for team, held in held_by_team.items() if held}
        self._share = slot_count / max(len(active_teams.union(waiting_teams)), 1)

    def rank(self, team: str, held: int, now: datetime.datetime) -> tuple[float, float]:
        """Return the sort key of a team in the order of service; the smallest is served first.

        Teams within their share or with credit come first, and among these the one with the most
        credit.
        """
        credit = self.update_credit(team, held, now)
        excess = 0.0 if credit > 0 else max(held - self._share, 0.0)
        return excess, -credit

    def update_credit(self, team: str, held: int, now: datetime.datetime) -> float:
        """Update and return the credit, in slot seconds, of a team that held slots until now."""
        credit = self._credits_by_team.get(team)
        if credit is None:
            credit = self._credits_by_team[team] = _Credit(0.0, now)
        elapsed = now - credit.updated_at
        if held:
            max_credit = self._share * CREDIT_LIMIT_TIME.total_seconds()
            earned = (self._share - held) * elapsed.total_seconds()
            credit.slot_seconds = min(max(credit.slot_seconds + earned, 0.0), max_credit)
        elif elapsed > CREDIT_EXPIRY_TIME:
            credit.slot_seconds = 0.0
        credit.updated_at = now
        return credit.slot_seconds

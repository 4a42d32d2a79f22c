"""What each team left of its share of an owner's slots lately."""

import datetime
from collections.abc import Iterable, Mapping

import msgspec

CREDIT_LIMIT_TIME = datetime.timedelta(seconds=1)
"""Time in which a team that holds nothing would leave as much of its share as is remembered."""

CREDIT_EXPIRY_TIME = datetime.timedelta(seconds=1)
"""Time without any slot after which a team has no credit."""


class _Credit(msgspec.Struct):
    """Slot seconds that a team left of its share, up to a moment."""

    slot_seconds: float
    updated_at: datetime.datetime


class Shares:
    """Credits teams with what they leave of equal shares of an owner's slots.

    Demand comes in jobs of many tasks, so that what a team holds varies around a mean that may
    well be within its share. A team with credit counts as within it, and goes before teams with
    less. One that is new, or was away, has none: a burst begins without credit.
    """

    def __init__(self):
        self._credits_by_team: dict[str, _Credit] = {}
        self._share = 0.0

    def divide(
        self, slot_count: int, waiting_teams: Iterable[str], held_by_team: Mapping[str, int]
    ) -> None:
        """Give each team that waits or holds slots an equal share."""
        active_teams = {team for team, held in held_by_team.items() if held}
        self._share = slot_count / max(len(active_teams.union(waiting_teams)), 1)

    def rank(self, team: str, held: int, now: datetime.datetime) -> tuple[float, float]:
        """Return the place of a team in the order of service; the least goes first.

        Teams within their share or with credit come first, of these the one with most credit.
        """
        credit = self.update_credit(team, held, now)
        excess = 0.0 if credit > 0 else max(held - self._share, 0.0)
        return excess, -credit

    def update_credit(self, team: str, held: int, now: datetime.datetime) -> float:
        """Bring the credit of a team that held some slots until now up to date; return it."""
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

"""One target as its owner sees it: token, lease, room and what runs there."""

import datetime
import enum

from chiveridge_pool import grants, identifiers, resources, runs, targets, timings


class HoldingState(enum.Enum):
    """Life of a holding.

    A target under ``CLAIM`` was told the token and has not confirmed it; one that is ``HELD``
    runs only what this owner started or was handed.
    """

    CLAIM = "claim"
    HELD = "held"


class Holding:
    """A target held, or about to be held, under one fencing token."""

    def __init__(
        self,
        target: targets.Target,
        token: identifiers.FencingToken,
        now: datetime.datetime,
    ):
        self.target = target
        self.token = token
        self.state = HoldingState.CLAIM
        self.acknowledged = 0
        self.born = 0
        self.grants_by_id: dict[identifiers.GrantId, grants.Grant] = {}
        self.strangers: set[tuple[identifiers.TaskName, identifiers.RunNumber]] = set()
        self.used = resources.NOTHING
        self.replied_at: datetime.datetime | None = None
        self.failures = 0
        self.lapses_at = now
        self.suspended_until = now
        self._clock_ms = 0.0
        self._clock_at = now

    def see_clock(self, clock_ms: int, now: datetime.datetime) -> None:
        """Learn the time of the target's clock."""
        self._clock_ms = clock_ms
        self._clock_at = now

    def lease_until(self, now: datetime.datetime) -> int:
        """Return the end of a full lease from now, on the target's clock, in milliseconds."""
        elapsed = (now - self._clock_at) / timings.LEASE * 1000
        return int(self._clock_ms + elapsed + 1000)

    def knows_clock(self) -> bool:
        """Tell whether the target has told its clock."""
        return self._clock_ms > 0

    def note_renewal(self, now: datetime.datetime) -> None:
        """Note that an order was sent that may renew the lease."""
        self.lapses_at = max(self.lapses_at, now + timings.LEASE_OVER_AFTER)

    def free(self) -> resources.Resources:
        """Return the room that is neither used nor promised."""
        return self.target.capacity.minus(self.used)

    def may_grant(self, now: datetime.datetime) -> bool:
        """Tell whether the target can take new runs."""
        return (
            self.state is HoldingState.HELD
            and not self.target.is_draining
            and self.failures <= timings.FAILURES_BORNE
            and not self.strangers
            and now >= self.suspended_until
        )

    def add(self, grant: grants.Grant) -> None:
        """Take a grant's room."""
        self.grants_by_id[grant.id] = grant
        self.used = self.used.plus(grant.size)

    def remove(self, grant: grants.Grant) -> None:
        """Give a grant's room back."""
        if self.grants_by_id.pop(grant.id, None) is not None:
            self.used = self.used.minus(grant.size)

    def sent_grants(self) -> list[grants.Grant]:
        """Return the grants of which the target may know."""
        return [grant for grant in self.grants_by_id.values() if grant.is_sent()]

    def ran_in_this_life(self, grant: grants.Grant) -> bool:
        """Tell whether a run was known to go on when the target last replied.

        Any other start may have been carried out by the next life of a target that has crashed.
        """
        if grant.running_since is None or self.replied_at is None:
            return False
        return grant.running_since <= self.replied_at

    def has_unsettled(self) -> bool:
        """Tell whether a grant is reserved or its start is on its way."""
        unsettled = (runs.GrantState.RESERVED, runs.GrantState.STARTING)
        return any(grant.state in unsettled for grant in self.grants_by_id.values())

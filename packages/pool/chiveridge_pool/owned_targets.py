"""The owner's state of one target: token, lease, capacity and runs."""

import datetime
import enum

from chiveridge_pool import (
    grants,
    identifiers,
    resources,
    restart_signs,
    runs,
    targets,
    timings,
)

_CLOCK_TOLERANCE_MS = 200.0
"""Difference of two readings of a target's clock that the way of the replies may cause."""


class OwnershipState(enum.Enum):
    """Ownership state of a target.

    In ``CLAIMING``, the target has not yet confirmed the owner's token. In ``OWNED``, it has, and
    it runs only what this owner started or took over.
    """

    CLAIMING = "claim"
    OWNED = "held"


class OwnedTarget:
    """A target that this node owns or claims under one fencing token."""

    def __init__(
        self,
        target: targets.Target,
        token: identifiers.FencingToken,
        now: datetime.datetime,
    ):
        self.target = target
        self.token = token
        self.state = OwnershipState.CLAIMING
        self.taken_over_at: datetime.datetime | None = None
        self.acknowledged = 0
        self.started_at_ms = 0
        self.grants_by_id: dict[identifiers.GrantId, grants.Grant] = {}
        self.unknown_runs: set[tuple[identifiers.TaskName, identifiers.RunNumber]] = set()
        self.used = resources.ZERO
        self._isolated_count = 0
        self.replied_at: datetime.datetime | None = None
        self.failures = 0
        self.restart_signs = restart_signs.RestartSigns()
        # Starts to be sent once the target has replied, in the order in which they were asked for.
        self.waiting_starts: dict[identifiers.GrantId, None] = {}
        self.lease_expires_at = now
        self.suspended_until = now
        self._used_at = now
        self._clock_ms = 0.0
        self._clock_at = now

    def record_clock(self, clock_ms: int, now: datetime.datetime) -> None:
        """Record a reading of the target's clock."""
        self._clock_ms = clock_ms
        self._clock_at = now

    def agrees_with_clock(self, clock_ms: int, now: datetime.datetime) -> bool:
        """Return whether a reading continues the earlier ones, as the clock restarts at a crash."""
        elapsed_ms = (now - self._clock_at) / datetime.timedelta(milliseconds=1)
        tolerance_ms = _CLOCK_TOLERANCE_MS + elapsed_ms * (timings.LEASE_DRIFT_FACTOR - 1)
        return abs(clock_ms - self._clock_ms - elapsed_ms) <= tolerance_ms

    def lease_end_ms(self, now: datetime.datetime) -> int:
        """Return the end of a full lease that starts now, in milliseconds of the target's clock."""
        elapsed = (now - self._clock_at) / timings.LEASE * 1000
        return int(self._clock_ms + elapsed + 1000)

    def has_clock(self) -> bool:
        """Return whether the target has reported its clock."""
        return self._clock_ms > 0

    def extend_lease(self, now: datetime.datetime) -> None:
        """Record that a request was sent that may renew the lease."""
        self.lease_expires_at = max(self.lease_expires_at, now + timings.LEASE_EXPIRED_AFTER)

    def free(self) -> resources.Resources:
        """Return the capacity that is neither used nor reserved."""
        return self.target.capacity.minus(self.used)

    def free_cpu(self) -> int:
        """Return the processor capacity that is free, in thousandths of a core."""
        return self.target.capacity.cpu - self.used.cpu

    def accepts_runs(self, now: datetime.datetime) -> bool:
        """Return whether the target can accept new runs."""
        return (
            self.state is OwnershipState.OWNED
            and not self.target.is_draining
            and self.failures <= timings.MAX_FAILED_HOLDS
            and not self.restart_signs.is_restart_possible(now)
            and not self.unknown_runs
            and now >= self.suspended_until
        )

    def add(self, grant: grants.Grant) -> None:
        """Add a grant and subtract its size from the free capacity."""
        self.grants_by_id[grant.id] = grant
        self._used_at = grant.expires_at
        self.used = self.used.plus(grant.size)
        self._isolated_count += grant.is_isolated

    def remove(self, grant: grants.Grant) -> None:
        """Remove a grant and free its capacity."""
        self.waiting_starts.pop(grant.id, None)
        if self.grants_by_id.pop(grant.id, None) is not None:
            self.used = self.used.minus(grant.size)
            self._isolated_count -= grant.is_isolated

    def was_just_taken_over(self, now: datetime.datetime) -> bool:
        """Return whether another owner has handed it over so lately that it should stay here."""
        if self.taken_over_at is None:
            return False
        return now - self.taken_over_at < timings.MIN_TIME_BETWEEN_HANDOVERS

    def has_isolated_run(self) -> bool:
        """Return whether a run is granted here beside which nothing else may start."""
        return self._isolated_count > 0

    def is_idle(self, now: datetime.datetime) -> bool:
        """Return whether nothing has run on the target for some time."""
        return not self.grants_by_id and now - self._used_at > timings.IDLE_AFTER

    def needs_renewal(self, now: datetime.datetime) -> bool:
        """Return whether a run was started so long ago that the lease should be renewed."""
        limit = now - timings.RENEW_AFTER_START
        return any(
            grant.is_sent() and grant.first_sent_at <= limit for grant in self.grants_by_id.values()
        )

    def sent_grants(self) -> list[grants.Grant]:
        """Return the grants whose start was sent to the target."""
        return [grant for grant in self.grants_by_id.values() if grant.is_sent()]

    def requested_grants(self) -> list[grants.Grant]:
        """Return the grants whose start was sent to the target, or waits to be sent."""
        return [
            grant
            for grant in self.grants_by_id.values()
            if grant.is_sent() or grant.id in self.waiting_starts
        ]

    def was_running_at_last_reply(self, grant: grants.Grant) -> bool:
        """Return whether a run was known to be running when the target last replied.

        Any other start may have been executed by the next incarnation of a target that crashed.
        """
        if grant.running_since is None or self.replied_at is None:
            return False
        return grant.running_since <= self.replied_at

    def was_running_lately(self, grant: grants.Grant, now: datetime.datetime) -> bool:
        """Return whether a run was certainly in progress so lately that its lease is still valid.

        An owner that was paused or cut off does not know whether a run was over before a crash.
        """
        if not grant.was_certainly_running() or grant.running_since is None:
            return False
        known_at = max(grant.running_since, self.replied_at or grant.running_since)
        return now - known_at < timings.LEASE - timings.HOLD_WAIT

    def has_pending_grants(self) -> bool:
        """Return whether a grant is reserved or the reply to its start is outstanding."""
        pending = (runs.GrantState.RESERVED, runs.GrantState.STARTING)
        return any(grant.state in pending for grant in self.grants_by_id.values())

"""Tracks the share of a team's limit that the allocator granted to this node."""

import datetime

import msgspec

from chiveridge_kernel import clocks, identifiers, limit_allocators, limit_grants

RENEW_INTERVAL = datetime.timedelta(milliseconds=1500)
RETRY_INTERVAL = datetime.timedelta(milliseconds=500)
IDLE_REPORT_DELAY = datetime.timedelta(milliseconds=200)
MAX_REPORTS_KEPT = 16
NO_GRANT_KEY = ("", 0)


class LimitShare(msgspec.Struct, kw_only=True):
    """The starts that a team may have in progress on this node.

    ``in_use`` counts tasks that were admitted and have not ended, ``wanted`` those held back.
    The lease of a grant runs from the time of the report that it answers, so that a node that
    was paused or is partitioned starts no tasks after the lease.
    """

    allocator_name: identifiers.NodeName
    in_use: int = 0
    wanted: int = 0
    allowed: int = 0
    valid_until: datetime.datetime = clocks.EPOCH
    last_grant_key: tuple[str, int] = NO_GRANT_KEY
    next_report_at: datetime.datetime = clocks.EPOCH
    lease_end_by_sequence: dict[int, datetime.datetime] = msgspec.field(default_factory=dict)

    def free_starts(self, now: datetime.datetime) -> int:
        """Return how many more tasks may be admitted now."""
        return max(0, self.allowed - self.in_use) if now < self.valid_until else 0

    def is_idle(self) -> bool:
        """Return whether the team has no tasks in progress or held back."""
        return self.in_use == 0 and self.wanted == 0

    def change_allocator(
        self, allocator_name: identifiers.NodeName, now: datetime.datetime
    ) -> None:
        """Drop the grant of the earlier allocator and follow a new one.

        The report is delayed, because the new allocator usually requests one before it is due.
        """
        self.allocator_name = allocator_name
        self.last_grant_key = NO_GRANT_KEY
        self.drop_grant()
        self.next_report_at = now + RETRY_INTERVAL

    def drop_grant(self) -> None:
        """Drop the grant, and accept only grants that answer later reports."""
        self.allowed = 0
        self.next_report_at = clocks.EPOCH
        self.lease_end_by_sequence.clear()

    def handle_report_request(self, request: limit_grants.LimitGrant) -> None:
        """Drop the grant if it is older than an allocator's request for a report."""
        key = (request.incarnation, request.serial)
        if key > self.last_grant_key:
            self.last_grant_key = key
            self.drop_grant()

    def record_report(
        self,
        sequence: int,
        now: datetime.datetime,
        lease: datetime.timedelta = limit_allocators.LEASE,
    ) -> None:
        """Record when a report was sent, and schedule the next one.

        The interval is in proportion to the lease.
        """
        self.lease_end_by_sequence[sequence] = now + lease
        if len(self.lease_end_by_sequence) > MAX_REPORTS_KEPT:
            del self.lease_end_by_sequence[min(self.lease_end_by_sequence)]
        self.next_report_at = now + self._report_interval(lease)

    def record_queued_report(self, now: datetime.datetime, lease: datetime.timedelta) -> None:
        """Record that a report is queued, so that the next one is due only after an interval."""
        self.next_report_at = now + self._report_interval(lease)

    def _report_interval(self, lease: datetime.timedelta) -> datetime.timedelta:
        base_interval = RETRY_INTERVAL if self.wanted else RENEW_INTERVAL
        return base_interval * (lease / limit_allocators.LEASE)

    def apply_grant(self, grant: limit_grants.LimitGrant) -> None:
        """Apply a grant, unless it is older than the last one or its report is unknown."""
        lease_end = self.lease_end_by_sequence.get(grant.sequence)
        key = (grant.incarnation, grant.serial)
        if lease_end is None or key < self.last_grant_key:
            return
        if grant.allowed < self.allowed:
            # Report at once, because the allocator grants the difference to others only after that.
            self.next_report_at = clocks.EPOCH
        self.last_grant_key = key
        self.allowed = grant.allowed
        self.valid_until = max(self.valid_until, lease_end)

"""A node's share of a team's limit, as its keeper granted it."""

import datetime

import msgspec

from chiveridge_kernel import clocks, identifiers, limit_keepers, limit_terms

RENEW_INTERVAL = datetime.timedelta(milliseconds=1500)
RETRY_INTERVAL = datetime.timedelta(milliseconds=500)
IDLE_REPORT_DELAY = datetime.timedelta(milliseconds=200)
MAX_REPORTS_KEPT = 16
NO_GRANT_KEY = ("", 0)


class Share(msgspec.Struct, kw_only=True):
    """Starts that a team may have in progress here.

    ``in_use`` counts tasks that were let through and have not ended, ``wanted`` those that
    wait. A grant holds for a lease counted from the report that it answers, so that a node
    which was frozen, or is cut off, starts nothing more.
    """

    keeper: identifiers.NodeName
    in_use: int = 0
    wanted: int = 0
    allowed: int = 0
    valid_until: datetime.datetime = clocks.EPOCH
    last_grant_key: tuple[str, int] = NO_GRANT_KEY
    next_report_at: datetime.datetime = clocks.EPOCH
    lease_end_by_sequence: dict[int, datetime.datetime] = msgspec.field(default_factory=dict)

    def free_starts(self, now: datetime.datetime) -> int:
        """Return how many more tasks may be let through now."""
        return max(0, self.allowed - self.in_use) if now < self.valid_until else 0

    def is_idle(self) -> bool:
        """Tell whether nothing runs or waits."""
        return self.in_use == 0 and self.wanted == 0

    def change_keeper(self, keeper: identifiers.NodeName, now: datetime.datetime) -> None:
        """Forget what an earlier keeper granted; the new one mostly asks before it is told."""
        self.keeper = keeper
        self.last_grant_key = NO_GRANT_KEY
        self.drop_grant()
        self.next_report_at = now + RETRY_INTERVAL

    def drop_grant(self) -> None:
        """Start nothing more until a report that is yet to be sent is answered."""
        self.allowed = 0
        self.next_report_at = clocks.EPOCH
        self.lease_end_by_sequence.clear()

    def handle_report_request(self, request: limit_terms.LimitGrant) -> None:
        """Give up what was granted before a keeper asked for a report."""
        key = (request.incarnation, request.serial)
        if key > self.last_grant_key:
            self.last_grant_key = key
            self.drop_grant()

    def record_report(
        self,
        sequence: int,
        now: datetime.datetime,
        lease: datetime.timedelta = limit_keepers.LEASE,
    ) -> None:
        """Note when a report was sent, and when the next is due; intervals grow with the lease."""
        self.lease_end_by_sequence[sequence] = now + lease
        if len(self.lease_end_by_sequence) > MAX_REPORTS_KEPT:
            del self.lease_end_by_sequence[min(self.lease_end_by_sequence)]
        self.next_report_at = now + self._report_interval(lease)

    def record_queued_report(self, now: datetime.datetime, lease: datetime.timedelta) -> None:
        """Note that a report waits to be sent, so that none other is due for a while."""
        self.next_report_at = now + self._report_interval(lease)

    def _report_interval(self, lease: datetime.timedelta) -> datetime.timedelta:
        base_interval = RETRY_INTERVAL if self.wanted else RENEW_INTERVAL
        return base_interval * (lease / limit_keepers.LEASE)

    def apply_grant(self, grant: limit_terms.LimitGrant) -> None:
        """Take a grant; one that is older than the last changes nothing."""
        lease_end = self.lease_end_by_sequence.get(grant.sequence)
        key = (grant.incarnation, grant.serial)
        if lease_end is None or key < self.last_grant_key:
            return
        if grant.allowed < self.allowed:
            # The keeper lends the difference on as soon as it knows that this was seen.
            self.next_report_at = clocks.EPOCH
        self.last_grant_key = key
        self.allowed = grant.allowed
        self.valid_until = max(self.valid_until, lease_end)

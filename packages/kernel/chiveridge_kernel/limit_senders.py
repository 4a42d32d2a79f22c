"""Sends limit reports and grants of a node in batches, within a budget of bytes per second."""

import datetime
import math
from collections.abc import Callable

from chiveridge_kernel import (
    actions,
    clocks,
    heartbeats,
    identifiers,
    limit_allocators,
    limit_batches,
    limit_grants,
    limit_outboxes,
    limit_shares,
    members,
    peers,
)

MAX_INTERVAL_SCALE = 60.0
PIGGYBACK_FRACTION = 0.5
"""Fraction of the renewal interval by which a report may be sent early with another one.

Both go to the same allocator in one batch.
"""

Send = Callable[[actions.Action], None]
SharesByTeam = dict[identifiers.TeamName, limit_shares.LimitShare]


class LimitSender:
    """Builds and sends the limit messages of one node.

    ``interval_scale``, at least 1, multiplies the report intervals and the leases, so that the
    messages fit the budget.
    """

    def __init__(
        self,
        member_table: members.MemberTable,
        incarnation: identifiers.Incarnation,
        shares_by_team: SharesByTeam,
        send: Send,
    ):
        self.outbox = limit_outboxes.Outbox()
        self.interval_scale = 1.0
        self._members = member_table
        self._incarnation = incarnation
        self._shares_by_team = shares_by_team
        self._send = send
        self._sequence = 0

    def lease_duration(self) -> datetime.timedelta:
        """Return the lease of a grant that answers a report sent now, in whole milliseconds."""
        milliseconds = math.floor(clocks.to_ms(limit_allocators.LEASE * self.interval_scale))
        return datetime.timedelta(milliseconds=milliseconds)

    def update_scale(self, grants_by_team: dict[identifiers.TeamName, int]) -> None:
        """Set the interval scale from the bytes of one round of reports and grants.

        ``grants_by_team`` has the number of grants to other holders in a round.
        """
        entry_counts = {team: 1 for team in self._shares_by_team}
        for team, count in grants_by_team.items():
            entry_counts[team] = entry_counts.get(team, 0) + count
        peer_count = min(len(self._members.others_in_domain()), sum(entry_counts.values()))
        byte_count = peer_count * (
            limit_outboxes.BATCH_BYTES + heartbeats.WIRE_BYTES_PER_MESSAGE
        ) + sum(
            count * (limit_outboxes.ENTRY_BYTES + len(team)) for team, count in entry_counts.items()
        )
        needed_scale = limit_outboxes.interval_scale(byte_count, self.outbox.bytes_per_second)
        self.interval_scale = min(needed_scale, MAX_INTERVAL_SCALE)

    def make_report(
        self, team: identifiers.TeamName, now: datetime.datetime, sequence: int
    ) -> limit_grants.LimitReport:
        """Return a report on a team as of now, and record when it was made."""
        share = self._shares_by_team[team]
        lease = self.lease_duration()
        share.record_report(sequence, now, lease)
        return limit_grants.LimitReport(
            sender=self._members.own_name,
            incarnation=self._incarnation,
            team=team,
            sequence=sequence,
            in_use=share.in_use,
            wanted=share.wanted,
            allocator_seen=share.last_grant_key[0],
            serial_seen=share.last_grant_key[1],
            lease_ms=lease // datetime.timedelta(milliseconds=1),
        )

    def next_sequence(self) -> int:
        """Return the sequence number of the next batch."""
        self._sequence += 1
        return self._sequence

    def flush(self, now: datetime.datetime) -> None:
        """Send pending batches while the budget allows, in the order in which peers were queued."""
        while (next_pending := self.outbox.pop_next(now)) is not None:
            node, pending = next_pending
            vm = self._members.find_vm(node)
            if vm is not None:
                self._send_pending(vm.name, pending, now)

    def _send_pending(
        self,
        node: identifiers.NodeName,
        pending: limit_outboxes.PendingBatch,
        now: datetime.datetime,
    ) -> None:
        sequence = self.next_sequence()
        reports = [
            self.make_report(team, now, sequence)
            for team in self._teams_to_report(node, pending, now)
        ]
        for batch in limit_batches.pack(reports, pending.grants.values()):
            byte_count = len(peers.encode(batch)) + heartbeats.WIRE_BYTES_PER_MESSAGE
            self.outbox.spend(byte_count)
            self._send(actions.SendToPeer(peer=self._members.find_vm(node), message=batch))

    def _teams_to_report(
        self,
        node: identifiers.NodeName,
        pending: limit_outboxes.PendingBatch,
        now: datetime.datetime,
    ) -> list[identifiers.TeamName]:
        """Return the teams with a queued report and those whose report is due soon.

        The latter share a message that is sent anyway.
        """
        max_lead = limit_shares.RENEW_INTERVAL * self.interval_scale * PIGGYBACK_FRACTION
        due_before = clocks.EPOCH if pending.is_urgent else now + max_lead
        return [
            team
            for team, share in self._shares_by_team.items()
            if share.allocator_name == node
            and (team in pending.teams or share.next_report_at <= due_before)
        ]

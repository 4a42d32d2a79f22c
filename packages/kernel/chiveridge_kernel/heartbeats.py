"""Heartbeats to every node of the domain and, round-robin, to single nodes outside it.

``docs/design/membership.md`` explains how the byte budget is calculated.
"""

import datetime
import random

import msgspec

from chiveridge_kernel import actions, identifiers, member_states, members, peers

HEARTBEAT_BYTES = 72
WIRE_BYTES_PER_MESSAGE = 104
"""Bytes of the TCP and IP headers of a message and of its acknowledgement."""

WIRE_BYTES_PER_CONTACT = 1200
"""Bytes of the connections that both sides open and close for one exchange outside the domain."""

ROUNDS_PER_OUTSIDE_PARTNER = 5
JITTER_SHARE = 0.1
PAUSE_INTERVALS = 2
"""Intervals without a tick after which this node assumes that it was paused itself."""

MAX_ANNOUNCEMENTS = 5
"""Heartbeats to one incarnation that may carry this node's endpoint, which makes them longer."""


class HeartbeatSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Shortest interval of heartbeats and their budget in bytes per second, headers included.

    A node is suspect after ``suspect_intervals`` without a heartbeat and counts as dead after
    ``dead_intervals``.
    """

    interval: datetime.timedelta = datetime.timedelta(seconds=1)
    bytes_per_second: int = 2600
    suspect_intervals: int = 3
    dead_intervals: int = 10


class Heartbeats:
    """Sends and receives the heartbeats of a node."""

    def __init__(
        self,
        settings: HeartbeatSettings,
        table: members.MemberTable,
        incarnation: identifiers.Incarnation,
        rng: random.Random,
    ):
        self._settings = settings
        self._table = table
        self._incarnation = incarnation
        self._rng = rng
        self._due_at: datetime.datetime | None = None
        self._last_tick_at: datetime.datetime | None = None
        self._round_count = 0
        self.interval = settings.interval
        self.endpoint: peers.Endpoint | None = None
        self.is_leaving = False
        self._exited = False
        self.offset = 0
        self.stale_count = 0

    def timeouts(self) -> members.MemberTimeouts:
        """Return after how much silence a node is suspect and after how much it counts as dead."""
        return members.MemberTimeouts(
            suspect_after=self.interval * self._settings.suspect_intervals,
            dead_after=self.interval * self._settings.dead_intervals,
        )

    def next_due(self) -> datetime.datetime | None:
        """Return when the next heartbeats are due."""
        return self._due_at

    def update_interval(self, now: datetime.datetime) -> None:
        """Adapt the interval to the size of the domain; after the first call heartbeats are due."""
        partners = len(self._table.others_in_domain())
        bytes_per_round = partners * (HEARTBEAT_BYTES + WIRE_BYTES_PER_MESSAGE)
        bytes_per_round += WIRE_BYTES_PER_CONTACT / ROUNDS_PER_OUTSIDE_PARTNER
        needed = datetime.timedelta(seconds=bytes_per_round / self._settings.bytes_per_second)
        self.interval = max(self._settings.interval, needed)
        if self._due_at is None:
            self._due_at = now

    def tick(self, now: datetime.datetime) -> list[actions.Action]:
        """Check the timeouts of members and send heartbeats that are due."""
        if self._due_at is None:
            return []
        pause = self.interval * PAUSE_INTERVALS
        if self._last_tick_at is not None and now - self._last_tick_at > pause:
            self._table.reset_silence(now)
        self._last_tick_at = now
        silent = self._table.check_timeouts(self.timeouts(), now)
        pending = [actions.DisconnectPeer(peer=vm) for vm in silent]
        if now >= self._due_at:
            jitter = 1 + self._rng.uniform(-JITTER_SHARE, JITTER_SHARE)
            self._due_at = now + self.interval * jitter
            pending.extend(self._make_round())
        return pending

    def receive(self, heartbeat: peers.Heartbeat, now: datetime.datetime) -> list[actions.Action]:
        """Record a heartbeat and reply to it if the sender wants a reply."""
        if heartbeat.sender == self._table.own_name:
            return []
        if not self._table.record_heartbeat(heartbeat, self.timeouts(), now):
            self.stale_count += 1
            return []
        member = self._table.members_by_name[heartbeat.sender]
        if heartbeat.reply_wanted and member.vm is not None:
            return [self._make_heartbeat(member, reply_wanted=False)]
        return []

    def announce_leaving(self) -> list[actions.Action]:
        """Send heartbeats that say that this node is leaving."""
        self.is_leaving = True
        return self._heartbeats_to_domain()

    def announce_exit(self) -> list[actions.Action]:
        """Send heartbeats that say that this node has ended all tasks and starts no more."""
        self._exited = True
        return self._heartbeats_to_domain()

    def _heartbeats_to_domain(self) -> list[actions.Action]:
        return [self._make_heartbeat(member) for member in self._table.others_in_domain()]

    def _make_round(self) -> list[actions.Action]:
        pending = self._heartbeats_to_domain()
        outside = self._table.others_outside_domain()
        self._round_count += 1
        if outside and self._round_count % ROUNDS_PER_OUTSIDE_PARTNER == 0:
            partner = outside[self._round_count // ROUNDS_PER_OUTSIDE_PARTNER % len(outside)]
            pending.append(self._make_heartbeat(partner, reply_wanted=True))
        return pending

    def _endpoint_for(self, member: member_states.Member) -> peers.Endpoint | None:
        if member.confirmed_sequence or member.announcement_count >= MAX_ANNOUNCEMENTS:
            return None
        member.announcement_count += 1
        return self.endpoint

    def _make_heartbeat(
        self, member: member_states.Member, reply_wanted: bool = False
    ) -> actions.Action:
        member.last_sent_sequence += 1
        heartbeat = peers.Heartbeat(
            sender=self._table.own_name,
            incarnation=self._incarnation,
            sequence=member.last_sent_sequence,
            echo=member.last_received_sequence,
            offset=self.offset,
            leaving=self.is_leaving,
            exited=self._exited,
            # A member not heard yet is asked for a reply, so that new nodes become known at once.
            reply_wanted=reply_wanted or member.incarnation is None,
            endpoint=self._endpoint_for(member),
        )
        return actions.SendToPeer(peer=member.vm, message=heartbeat)

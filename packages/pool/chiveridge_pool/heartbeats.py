"""Heartbeats: the state that a node sends to the nodes that it has to keep informed.

Nodes that share runs, and owners of the same failure domain, hear each other five times a second;
the other nodes of the audience less often.
"""

import datetime
from typing import TYPE_CHECKING

from chiveridge_pool import actions, grants, identifiers, members, messages, timings

if TYPE_CHECKING:
    from chiveridge_pool import kernels

_ROOM_UNIT = 16_000
"""Granularity of the free capacity told of other domains' owners, in thousandths of a core."""

_ROOMS_REPEATED_EVERY = 40
"""Rounds after which unchanged free capacities of other domains' owners are sent again."""


class HeartbeatSender:
    """Builds and sends the heartbeats of one node.

    To save bandwidth, rarely changing state is sent to a member only until it confirms it.
    """

    def __init__(self, kernel: "kernels.Kernel", now: datetime.datetime):
        self._kernel = kernel
        self._members = kernel.members
        self._next_round_at = now
        self._round = 0
        self._state: messages.NodeState | None = None
        self._state_number = 0
        self._remote_rooms: tuple[messages.Room, ...] = ()
        self._reconnect_due_by_endpoint: dict[identifiers.Endpoint, datetime.datetime] = {}

    def tick(self, now: datetime.datetime) -> None:
        """Send the heartbeats that are due."""
        if now >= self._next_round_at:
            self.send_round(now)

    def send_round(self, now: datetime.datetime) -> None:
        """Send a heartbeat to each member whose turn it is."""
        self._next_round_at = now + timings.ROUND_INTERVAL
        self._round += 1
        audience = self._members.audience()
        self._update_state(now)
        batch = _Batch(self._kernel, now)
        own_grants = batch.grants_by_node.get(self._kernel.settings.node, [])
        self._kernel.coordinator.placements.reconcile_own(own_grants, now)
        if self._is_turn(timings.ROUNDS_PER_HEARTBEAT):
            batch.remote_rooms = self._changed_rooms(now)
            self._reconnect_unheard(audience, now)
        for member in audience:
            if self._is_due(member, batch, now):
                self._send(member, batch, now)

    def _is_turn(self, rounds: int) -> bool:
        return self._round % rounds == 1 % rounds

    def _is_due(self, member: members.Member, batch: "_Batch", now: datetime.datetime) -> bool:
        if member.related_since is not None:
            is_due = self._is_turn(timings.ROUNDS_PER_RELATED_HEARTBEAT)
        elif member.is_remote and member.sent_jobs == batch.relayed_to(member):
            is_due = self._is_turn(timings.ROUNDS_PER_REMOTE_HEARTBEAT)
        else:
            is_due = self._is_turn(timings.ROUNDS_PER_HEARTBEAT)
        has_unconfirmed = member.confirmed_state_number != self._state_number
        return is_due or member.owes_confirmation or (has_unconfirmed and member.is_live(now))

    def send_to(self, member: members.Member, now: datetime.datetime) -> None:
        """Send one member a heartbeat at once, for example its first one."""
        self._update_state(now)
        batch = _Batch(self._kernel, now)
        batch.remote_rooms = self._remote_rooms
        self._send(member, batch, now)

    def introduce(self, member: members.Member, now: datetime.datetime) -> None:
        """Make sure that a member can reply to a message that is about to be sent to it."""
        is_introduced = member.introduced_in_round == self._round
        if member.confirmed_state_number == 0 and not is_introduced:
            member.introduced_in_round = self._round
            self.send_to(member, now)

    def _send(self, member: members.Member, batch: "_Batch", now: datetime.datetime) -> None:
        heartbeat = self._build(member, batch, now)
        self._kernel.outbox.add(actions.SendMessage(endpoint=member.endpoint, message=heartbeat))
        member.owes_confirmation = False
        member.sent_jobs = heartbeat.leaders_by_job
        member.sent_capacities = batch.free_capacities

    def send_goodbyes(self) -> None:
        """Notify the audience that this node exits."""
        settings = self._kernel.settings
        goodbye = messages.Goodbye(sender=settings.node, endpoint=settings.endpoint)
        for member in self._members.audience():
            self._kernel.outbox.add(actions.SendMessage(endpoint=member.endpoint, message=goodbye))

    def _update_state(self, now: datetime.datetime) -> None:
        kernel = self._kernel
        state = messages.NodeState(
            domain=kernel.settings.domain,
            endpoint=kernel.settings.endpoint,
            owned_tokens=kernel.target_owner.owned_tokens(),
            draining_targets=kernel.target_owner.target_list.draining(),
            is_draining=kernel.draining_since is not None,
            is_slow=kernel.loop_lag.is_slow,
            version=kernel.configuration_version,
            strength=kernel.settings.strength,
            unfit_endpoints=self._members.unfit_endpoints(),
            evacuations_version=kernel.evacuations.version,
            interferences=kernel.target_owner.orders.preferences.interferences.found_pairs(),
            unfinished_jobs=kernel.target_owner.unfinished_jobs(now),
        )
        if state != self._state:
            self._state = state
            self._state_number += 1

    def _build(
        self, member: members.Member, batch: "_Batch", now: datetime.datetime
    ) -> messages.Heartbeat:
        own_id = self._kernel.settings.node
        # A member that is not heard may have forgotten this node.
        is_confirmed = (
            member.confirmed_state_number == self._state_number
            and member.was_heard_within(_confirmation_valid_for(member), now)
        )
        is_unchanged = is_confirmed and member.sent_capacities == batch.free_capacities
        return messages.Heartbeat(
            sender=own_id,
            state_number=self._state_number,
            state=None if is_confirmed else self._state,
            recipient=member.id,
            confirmed_state_number=member.state_number,
            free_capacities=None if is_unchanged else batch.free_capacities,
            grants_in_use=tuple(
                grants.short_id(own_id, grant) for grant in batch.grants_by_node.get(member.id, ())
            ),
            last_start_sequence=self._kernel.last_start_by_node.get(member.id, 0),
            jobs=batch.jobs,
            leaders_by_job=batch.relayed_to(member),
            is_watching=member.watched_since is not None,
            hears_recipient=member.is_live(now),
            needs_lists=batch.needs_lists,
            remote_rooms=None if member.is_remote else batch.remote_rooms,
            heard_owners=batch.heard_owners(member),
        )

    def _changed_rooms(self, now: datetime.datetime) -> tuple[messages.Room, ...] | None:
        """Return the free capacities of other domains' owners if they are due to be sent."""
        own_domain = self._members.own_domain
        rooms = tuple(
            (member.id, member.endpoint, _rounded_room(member))
            for member in self._members.live_owners(now)
            if member.domain != own_domain
        )
        is_repeated = self._round % _ROOMS_REPEATED_EVERY == 1
        is_due = rooms != self._remote_rooms or is_repeated
        self._remote_rooms = rooms
        return rooms if is_due and self._kernel.target_owner.owned_by_target else None

    def _reconnect_unheard(self, audience: list[members.Member], now: datetime.datetime) -> None:
        """Replace the connections to members that have not heard this node for some time."""
        for member in audience:
            if member.is_live(now) and member.hears_this_node:
                self._reconnect_due_by_endpoint.pop(member.endpoint, None)
                continue
            due = self._reconnect_due_by_endpoint.setdefault(
                member.endpoint, now + timings.RECONNECT_INTERVAL
            )
            if now >= due:
                self._reconnect_due_by_endpoint[member.endpoint] = now + timings.RECONNECT_INTERVAL
                self._kernel.outbox.add(actions.Reconnect(endpoint=member.endpoint))


class _Batch:
    """What the heartbeats of one round have in common.

    Owners relay the jobs of other nodes: to the nodes of their domain all that they know of, to
    the owners of other domains those of their own domain.
    """

    def __init__(self, kernel: "kernels.Kernel", now: datetime.datetime):
        owner = kernel.target_owner
        self.free_capacities = tuple(owned.free() for owned in owner.usable_targets(now))
        self.grants_by_node = owner.grants_by_node()
        self.jobs = kernel.coordinator.followed_jobs.advertised_jobs(now)
        self.needs_lists = kernel.needs_lists()
        self.remote_rooms: tuple[messages.Room, ...] | None = None
        self._owners = kernel.members.live_owners(now) if owner.owned_by_target else []
        heard: dict[identifiers.JobId, identifiers.NodeId] = {}
        told: dict[identifiers.JobId, identifiers.NodeId] = {}
        if owner.owned_by_target:
            for member in kernel.members.live(now):
                if member.is_remote:
                    told.update(member.leaders_by_job)
                    told.update(dict.fromkeys(member.jobs, member.id))
                else:
                    heard.update(dict.fromkeys(member.jobs, member.id))
        self._of_own_domain = tuple(heard.items())
        self._of_all = tuple((told | heard).items())

    def heard_owners(self, member: members.Member) -> tuple[identifiers.Endpoint, ...]:
        """Return the owners of a member's domain that are heard, if it is another domain."""
        if not member.is_remote:
            return ()
        return tuple(owner.endpoint for owner in self._owners if owner.domain == member.domain)

    def relayed_to(
        self, member: members.Member
    ) -> tuple[tuple[identifiers.JobId, identifiers.NodeId], ...]:
        """Return the jobs of other nodes that a member is told of, each with its leader."""
        return self._of_own_domain if member.is_remote else self._of_all


def _confirmation_valid_for(member: members.Member) -> datetime.timedelta:
    """Return the silence of a member after which state that it confirmed is sent again."""
    rounds = timings.ROUNDS_PER_HEARTBEAT
    if member.is_remote:
        rounds = timings.ROUNDS_PER_REMOTE_HEARTBEAT
    return 1.5 * rounds * timings.ROUND_INTERVAL


def _rounded_room(member: members.Member) -> int:
    return member.free_cpu() // _ROOM_UNIT * _ROOM_UNIT

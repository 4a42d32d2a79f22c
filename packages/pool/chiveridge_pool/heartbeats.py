"""Heartbeats: the state that a node sends to every other node ten times a second."""

import datetime
from typing import TYPE_CHECKING

import msgspec

from chiveridge_pool import actions, grants, identifiers, members, messages, timings

if TYPE_CHECKING:
    from chiveridge_pool import kernels

_ENDPOINTS_EVERY = 10
"""One heartbeat in this many lists the endpoints of all nodes heard."""


class HeartbeatSender:
    """Builds and sends the heartbeats of one node.

    To save bandwidth, rarely changing state is sent to a member only until it confirms it.
    """

    def __init__(self, kernel: "kernels.Kernel", now: datetime.datetime):
        self._kernel = kernel
        self._members = kernel.members
        self._next_send_at = now
        self._count = 0
        self._state: messages.NodeState | None = None
        self._state_number = 0

    def send_soon(self, now: datetime.datetime) -> None:
        """Make the next heartbeats due immediately."""
        self._next_send_at = now

    def tick(self, now: datetime.datetime) -> None:
        """Send heartbeats when they are due."""
        if now >= self._next_send_at:
            self.send(now)

    def send(self, now: datetime.datetime) -> None:
        """Send a heartbeat to every known endpoint."""
        self._next_send_at = now + timings.HEARTBEAT_INTERVAL
        self._count += 1
        self._update_state(now)
        kernel = self._kernel
        common = messages.Heartbeat(
            sender=kernel.settings.node,
            state_number=self._state_number,
            state=self._state,
            free_capacities=tuple(
                owned.free() for owned in kernel.target_owner.usable_targets(now)
            ),
            jobs=kernel.coordinator.followed_jobs.advertised_jobs(now),
            endpoints=self._endpoints_to_list(),
        )
        for member in self._members.by_endpoint.values():
            heartbeat = common if member.id is None else self._heartbeat_for(member, common)
            kernel.outbox.add(actions.SendMessage(endpoint=member.endpoint, message=heartbeat))

    def send_goodbyes(self) -> None:
        """Notify every known endpoint that this node exits."""
        settings = self._kernel.settings
        goodbye = messages.Goodbye(sender=settings.node, endpoint=settings.endpoint)
        for endpoint in self._members.by_endpoint:
            self._kernel.outbox.add(actions.SendMessage(endpoint=endpoint, message=goodbye))

    def _update_state(self, now: datetime.datetime) -> None:
        kernel = self._kernel
        state = messages.NodeState(
            domain=kernel.settings.domain,
            endpoint=kernel.settings.endpoint,
            heard_nodes=tuple(sorted(member.id for member in self._members.live(now))),
            owned_tokens=kernel.target_owner.owned_tokens(),
            draining_targets=kernel.target_owner.target_list.draining(),
            is_draining=kernel.draining_since is not None,
            is_slow=kernel.loop_lag.is_slow,
            version=kernel.configuration_version,
        )
        if state != self._state:
            self._state = state
            self._state_number += 1

    def _heartbeat_for(
        self, member: members.Member, common: messages.Heartbeat
    ) -> messages.Heartbeat:
        own_id = self._kernel.settings.node
        is_confirmed = member.confirmed_state_number == self._state_number
        return msgspec.structs.replace(
            common,
            state=None if is_confirmed else self._state,
            recipient=member.id,
            confirmed_state_number=member.state_number,
            grants_in_use=tuple(
                grants.short_id(own_id, grant)
                for grant in self._kernel.target_owner.grants_of(member.id)
            ),
            last_start_sequence=self._kernel.last_start_by_node.get(member.id, 0),
        )

    def _endpoints_to_list(self) -> tuple[identifiers.Endpoint, ...]:
        if self._count % _ENDPOINTS_EVERY:
            return ()
        heard = [
            member.endpoint
            for member in self._members.by_endpoint.values()
            if member.heard_at is not None
        ]
        return tuple(heard)

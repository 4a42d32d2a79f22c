"""Pool membership: the other nodes, as known from their heartbeats."""

import datetime

from chiveridge_pool import identifiers, messages, resources, timings


class Member:
    """The known state of the node at one endpoint."""

    def __init__(self, endpoint: identifiers.Endpoint, now: datetime.datetime):
        self.endpoint = endpoint
        self.id: identifiers.NodeId | None = None
        self.domain = identifiers.DomainName("")
        self.added_at = now
        self.heard_at: datetime.datetime | None = None
        # The newest state number received from it, and the newest of this node that it confirmed.
        self.state_number = 0
        self.confirmed_state_number = 0
        self.has_received_targets = False
        # Time of its first heartbeat, or of the first after it was dead.
        self.joined_at: datetime.datetime | None = None
        self.is_draining = False
        self.is_slow = False
        self.heard_nodes: frozenset[identifiers.NodeId] = frozenset()
        self.owned_tokens: dict[identifiers.TargetId, identifiers.FencingToken] = {}
        self.free_capacities: list[resources.Resources] = []
        self.version = 0
        self.jobs: frozenset[identifiers.JobId] = frozenset()

    def is_eligible(self) -> bool:
        """Return whether it may own targets."""
        return not self.is_draining and not self.is_slow

    def is_live(self, now: datetime.datetime) -> bool:
        """Return whether a heartbeat from it was received recently."""
        return self.heard_at is not None and now - self.heard_at < timings.DEAD_AFTER


class Membership:
    """All nodes that were heard or listed and not yet forgotten, by endpoint."""

    def __init__(
        self,
        own_id: identifiers.NodeId,
        own_domain: identifiers.DomainName,
        own_endpoint: identifiers.Endpoint,
    ):
        self.own_id = own_id
        self.own_domain = own_domain
        self.own_endpoint = own_endpoint
        self.by_endpoint: dict[identifiers.Endpoint, Member] = {}
        self.by_id: dict[identifiers.NodeId, Member] = {}
        self.heard_by_id: dict[identifiers.NodeId, datetime.datetime] = {}

    def add(self, endpoint: identifiers.Endpoint, now: datetime.datetime) -> None:
        """Add an endpoint at which a node may be listening."""
        if endpoint != self.own_endpoint and endpoint not in self.by_endpoint:
            self.by_endpoint[endpoint] = Member(endpoint, now)

    def handle_heartbeat(
        self, heartbeat: messages.Heartbeat, now: datetime.datetime
    ) -> Member | None:
        """Process a heartbeat; return its sender, or None if that is unknown or this node."""
        if heartbeat.sender == self.own_id:
            return None
        if heartbeat.state is not None:
            self._apply_state(heartbeat, heartbeat.state, now)
        member = self.by_id.get(heartbeat.sender)
        if member is None:
            return None
        if not member.is_live(now):
            member.joined_at = now
        member.heard_at = now
        self.heard_by_id[heartbeat.sender] = now
        if heartbeat.recipient == self.own_id:
            member.confirmed_state_number = heartbeat.confirmed_state_number
        member.free_capacities = list(heartbeat.free_capacities)
        member.jobs = frozenset(heartbeat.jobs)
        for endpoint in heartbeat.endpoints:
            self.add(endpoint, now)
        return member

    def _apply_state(
        self, heartbeat: messages.Heartbeat, state: messages.NodeState, now: datetime.datetime
    ) -> None:
        self.add(state.endpoint, now)
        member = self.by_endpoint[state.endpoint]
        if member.id != heartbeat.sender:
            self._set_incarnation(member, heartbeat.sender, now)
        elif heartbeat.state_number < member.state_number:
            return
        member.state_number = heartbeat.state_number
        member.domain = state.domain
        member.is_draining = state.is_draining
        member.is_slow = state.is_slow
        member.heard_nodes = frozenset(state.heard_nodes)
        member.owned_tokens = state.owned_tokens
        member.version = state.version

    def handle_goodbye(self, message: messages.Goodbye) -> None:
        """Remove a node that has announced its exit."""
        member = self.by_endpoint.get(message.endpoint)
        if member is not None and member.id == message.sender:
            self._remove(message.endpoint)

    def live(self, now: datetime.datetime) -> list[Member]:
        """Return the live members."""
        return [member for member in self.by_id.values() if member.is_live(now)]

    def find_live(self, node: identifiers.NodeId, now: datetime.datetime) -> Member | None:
        """Return a member if it is live, or None."""
        member = self.by_id.get(node)
        return member if member is not None and member.is_live(now) else None

    def find_with_job(self, job: identifiers.JobId, now: datetime.datetime) -> Member | None:
        """Return a live member that reports the job as in progress, or None."""
        members_with_job = (member for member in self.live(now) if job in member.jobs)
        return next(members_with_job, None)

    def is_owned(self, target: identifiers.TargetId, now: datetime.datetime) -> bool:
        """Return whether a live member owns the target."""
        return any(target in member.owned_tokens for member in self.live(now))

    def are_all_heard(self) -> bool:
        """Return whether every known node has been heard at least once."""
        return all(member.heard_at is not None for member in self.by_endpoint.values())

    def has_majority(self, now: datetime.datetime) -> bool:
        """Return whether this node and the live members are more than half of all nodes heard."""
        return _is_majority(list(self.by_endpoint.values()), now)

    def has_domain_majority(self, now: datetime.datetime) -> bool:
        """Return the same as :meth:`has_majority` for this node's failure domain."""
        domain = [
            member for member in self.by_endpoint.values() if member.domain == self.own_domain
        ]
        return _is_majority(domain, now)

    def forget_silent(self, now: datetime.datetime) -> None:
        """Remove members that have been silent for a long time."""
        silent = [
            member.endpoint
            for member in self.by_endpoint.values()
            if now - (member.heard_at or member.added_at) > timings.MEMBER_REMOVED_AFTER
        ]
        for endpoint in silent:
            self._remove(endpoint)

    def _set_incarnation(
        self, member: Member, node: identifiers.NodeId, now: datetime.datetime
    ) -> None:
        if member.id is not None:
            self.by_id.pop(member.id, None)
        member.id = node
        member.joined_at = now
        member.confirmed_state_number = 0
        member.has_received_targets = False
        self.by_id[node] = member

    def _remove(self, endpoint: identifiers.Endpoint) -> None:
        member = self.by_endpoint.pop(endpoint, None)
        if member is not None and member.id is not None:
            self.by_id.pop(member.id, None)


def _is_majority(others: list[Member], now: datetime.datetime) -> bool:
    """Return whether this node and the live ``others`` are more than half of those heard."""
    heard = [member for member in others if member.heard_at is not None]
    live = sum(member.is_live(now) for member in heard)
    return 2 * (live + 1) > len(heard) + 1

"""Pool membership: the other nodes, as listed by the store and known from their heartbeats.

A node exchanges heartbeats only with the nodes that it has to know: those with which it shares
runs, and the owners of its failure domain. Owners also watch the nodes of their domain and the
owners of other domains. What a node does not watch it believes to be alive, unless an owner that
does watch it reports otherwise.
"""

import datetime

from chiveridge_pool import identifiers, messages, node_lists, owner_sets, resources, timings

_MIN_CANDIDATES_PER_SLOW = 2
"""Slow nodes lose their targets only while at least as many others are not slow."""

_MAX_DEPARTED = 1000
"""Nodes remembered that have said goodbye; their entries in the store may be read later."""


class Member:
    """The known state of the node at one endpoint."""

    def __init__(self, endpoint: identifiers.Endpoint, now: datetime.datetime):
        self.endpoint = endpoint
        self.id: identifiers.NodeId | None = None
        self.domain = identifiers.DomainName("")
        self.is_remote = False
        self.strength = 0
        self.is_listed = False
        self.added_at = now
        self.heard_at: datetime.datetime | None = None
        # Since when heartbeats are expected from it, and since when at the rate of related nodes.
        self.watched_since: datetime.datetime | None = None
        self.related_since: datetime.datetime | None = None
        # It was silent while heartbeats were expected from it, and was not heard since.
        self.is_suspected = False
        # Whether it expects heartbeats from this node, and has heard this node recently.
        self.is_watching = False
        self.hears_this_node = False
        self.introduced_in_round = -1
        # What the last heartbeat to it contained.
        self.sent_capacities: tuple[resources.Resources, ...] | None = None
        # Whether the next heartbeat to it is due at once, to confirm its state.
        self.owes_confirmation = False
        self.sent_jobs: tuple[tuple[identifiers.JobId, identifiers.NodeId], ...] = ()
        # The newest state number received from it, and the newest of this node that it confirmed.
        self.state_number = 0
        self.confirmed_state_number = 0
        self.is_known = False
        # Time of its first heartbeat, or of the first after it was dead.
        self.joined_at: datetime.datetime | None = None
        self.is_draining = False
        self.is_slow = False
        self.unfit_endpoints: frozenset[identifiers.Endpoint] = frozenset()
        self.heard_owners: frozenset[identifiers.Endpoint] = frozenset()
        self.owned_tokens: dict[identifiers.TargetId, identifiers.FencingToken] = {}
        self.reported_capacities: tuple[resources.Resources, ...] = ()
        # The reported ones, less what this node has requested since.
        self.free_capacities: list[resources.Resources] = []
        self.version = 0
        self.interferences: tuple[tuple[identifiers.QueueName, identifiers.QueueName], ...] = ()
        self.jobs: frozenset[identifiers.JobId] = frozenset()
        self.leaders_by_job: dict[identifiers.JobId, identifiers.NodeId] = {}
        # Jobs of lost nodes of which runs on its targets have not ended.
        self.unfinished_jobs: frozenset[identifiers.JobId] = frozenset()

    def is_eligible(self) -> bool:
        """Return whether it may own targets, if it is not too slow for it."""
        return not (self.is_draining or self.is_suspected)

    def is_live(self, now: datetime.datetime) -> bool:
        """Return whether it was heard within the time in which it has to send something."""
        return self.heard_at is not None and now - self.heard_at < self._silence_limit(now)

    def free_cpu(self) -> int:
        """Return the free processor capacity of its targets, in thousandths of a core."""
        return sum(capacity.cpu for capacity in self.free_capacities)

    def is_silent(self, now: datetime.datetime) -> bool:
        """Return whether it sent nothing in time although heartbeats are expected from it."""
        since = max(self.watched_since, self.heard_at or self.watched_since)
        return now - since >= self._silence_limit(now)

    def was_heard_within(self, duration: datetime.timedelta, now: datetime.datetime) -> bool:
        """Return whether anything was received from it within a duration."""
        return self.heard_at is not None and now - self.heard_at < duration

    def _silence_limit(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the limit of related nodes once both sides had time to notice the relation."""
        if self.related_since is not None and now - self.related_since >= timings.DEAD_AFTER:
            return timings.DEAD_AFTER
        return timings.REMOTE_DEAD_AFTER if self.is_remote else timings.WATCHED_DEAD_AFTER


class Membership:
    """All nodes that were listed or heard and not yet forgotten, by endpoint."""

    def __init__(
        self,
        own_id: identifiers.NodeId,
        own_domain: identifiers.DomainName,
        own_endpoint: identifiers.Endpoint,
        own_strength: int = 0,
    ):
        self.own_id = own_id
        self.own_domain = own_domain
        self.own_endpoint = own_endpoint
        self.by_endpoint: dict[identifiers.Endpoint, Member] = {}
        self.by_id: dict[identifiers.NodeId, Member] = {}
        self.heard_by_id: dict[identifiers.NodeId, datetime.datetime] = {}
        self.remote_room_by_id: dict[identifiers.NodeId, int] = {}
        # Increases with each change of what the choice of owners depends on.
        self.revision = 0
        self._own = Member(own_endpoint, datetime.datetime.min)
        self._own.id, self._own.domain, self._own.strength = own_id, own_domain, own_strength
        # Members that were live at the last review; a superset of the live ones.
        self._contacts: dict[identifiers.Endpoint, Member] = {}
        self._watched: dict[identifiers.Endpoint, Member] = {}
        self._related: dict[identifiers.Endpoint, Member] = {}
        self._departed_by_id: dict[identifiers.NodeId, identifiers.Endpoint] = {}
        self._target_counts: dict[identifiers.DomainName, int] = {}
        self._owner_sets: dict[identifiers.DomainName, tuple[identifiers.Endpoint, ...]] = {}
        self._owner_sets_revision = -1
        self._domains: frozenset[identifiers.DomainName] = frozenset()
        self._domains_revision = -1

    # Listed nodes

    def add(self, endpoint: identifiers.Endpoint, now: datetime.datetime) -> None:
        """Add an endpoint at which a node may be listening."""
        if endpoint != self.own_endpoint and endpoint not in self.by_endpoint:
            self.by_endpoint[endpoint] = Member(endpoint, now)
            self.revision += 1

    def add_listed(self, listed: node_lists.ListedNode, now: datetime.datetime) -> None:
        """Add a node from a list, unless it has said goodbye or was heard itself."""
        if listed.endpoint == self.own_endpoint or listed.node in self._departed_by_id:
            return
        self.add(listed.endpoint, now)
        member = self.by_endpoint[listed.endpoint]
        member.is_listed = member.is_listed or bool(listed.domain)
        if member.heard_at is None and listed.domain:
            if listed.node and member.id != listed.node:
                self._set_incarnation(member, listed.node, now)
            self._place(member, listed.domain, listed.strength)

    def listed(self) -> tuple[node_lists.ListedNode, ...]:
        """Return all nodes whose failure domain is known, including this one."""
        return tuple(
            node_lists.ListedNode(
                member.endpoint,
                member.id or identifiers.NodeId(""),
                member.domain,
                member.strength,
            )
            for member in (self._own, *self.by_endpoint.values())
            if member.domain
        )

    def _place(self, member: Member, domain: identifiers.DomainName, strength: int) -> None:
        if (member.domain, member.strength) != (domain, strength):
            member.domain, member.strength = domain, strength
            member.is_remote = domain != self.own_domain
            self.revision += 1

    def set_target_counts(self, counts: dict[identifiers.DomainName, int]) -> None:
        """Set the number of targets of each failure domain."""
        if counts != self._target_counts:
            self._target_counts = counts
            self.revision += 1

    # Heartbeats

    def record_heard(self, node: identifiers.NodeId, now: datetime.datetime) -> None:
        """Record that a message of a node was received."""
        member = self.by_id.get(node)
        if member is None:
            return
        if not member.is_live(now):
            member.joined_at = now
        if member.is_suspected:
            member.is_suspected = False
            self.revision += 1
        member.heard_at = now
        self.heard_by_id[node] = now
        if member.endpoint not in self._contacts:
            self._contacts[member.endpoint] = member
            self.revision += 1

    def handle_heartbeat(
        self, heartbeat: messages.Heartbeat, now: datetime.datetime
    ) -> Member | None:
        """Process a heartbeat; return its sender, or None if that is unknown or this node."""
        if heartbeat.sender == self.own_id:
            return None
        if heartbeat.state is not None:
            self._apply_state(heartbeat, heartbeat.state, now)
        elif heartbeat.sender in self._departed_by_id:
            self._readmit(heartbeat.sender, now)
        member = self.by_id.get(heartbeat.sender)
        if member is None:
            return None
        self.record_heard(heartbeat.sender, now)
        member.is_watching = heartbeat.is_watching
        if heartbeat.recipient == self.own_id:
            member.confirmed_state_number = heartbeat.confirmed_state_number
            member.hears_this_node = heartbeat.hears_recipient
        if heartbeat.free_capacities is not None:
            member.reported_capacities = heartbeat.free_capacities
        member.free_capacities = list(member.reported_capacities)
        member.heard_owners = frozenset(heartbeat.heard_owners)
        member.jobs = frozenset(heartbeat.jobs)
        member.leaders_by_job = dict(heartbeat.leaders_by_job)
        if heartbeat.remote_rooms is not None and member.domain == self.own_domain:
            self._set_remote_rooms(heartbeat.remote_rooms, now)
        return member

    def _set_remote_rooms(self, rooms: tuple[messages.Room, ...], now: datetime.datetime) -> None:
        """Take over what an owner of the own domain tells of the owners of other domains."""
        self.remote_room_by_id = {node: room for node, _, room in rooms}
        for node, endpoint, _ in rooms:
            self.add(endpoint, now)
            member = self.by_endpoint.get(endpoint)
            if member is not None and member.id != node and not member.is_live(now):
                self._set_incarnation(member, node, now)

    def _apply_state(
        self, heartbeat: messages.Heartbeat, state: messages.NodeState, now: datetime.datetime
    ) -> None:
        if state.endpoint == self.own_endpoint:
            return
        self.add(state.endpoint, now)
        member = self.by_endpoint[state.endpoint]
        if member.id != heartbeat.sender:
            self._set_incarnation(member, heartbeat.sender, now)
        elif heartbeat.state_number < member.state_number:
            return
        member.owes_confirmation = member.state_number != heartbeat.state_number
        member.state_number = heartbeat.state_number
        self._place(member, state.domain, state.strength)
        fitness = (member.is_draining, member.is_slow, member.unfit_endpoints)
        member.is_draining = state.is_draining
        member.is_slow = state.is_slow
        member.unfit_endpoints = frozenset(state.unfit_endpoints)
        if fitness != (member.is_draining, member.is_slow, member.unfit_endpoints):
            self.revision += 1
        member.owned_tokens = state.owned_tokens
        member.unfinished_jobs = frozenset(state.unfinished_jobs)
        member.version = state.version

    def handle_goodbye(self, message: messages.Goodbye) -> None:
        """Remove a node that has announced its exit."""
        member = self.by_endpoint.get(message.endpoint)
        if member is not None and member.id == message.sender:
            self._departed_by_id[message.sender] = message.endpoint
            if len(self._departed_by_id) > _MAX_DEPARTED:
                del self._departed_by_id[next(iter(self._departed_by_id))]
            self._remove(message.endpoint)

    def _readmit(self, node: identifiers.NodeId, now: datetime.datetime) -> None:
        """Add a node again that goes on after its goodbye; its state is not known any more."""
        endpoint = self._departed_by_id.pop(node)
        self.add(endpoint, now)
        member = self.by_endpoint[endpoint]
        if member.id is None:
            self._set_incarnation(member, node, now)
            member.owes_confirmation = True

    # Liveness

    def live(self, now: datetime.datetime) -> list[Member]:
        """Return the live members; the others that this node does not watch are not included."""
        return [member for member in self._contacts.values() if member.is_live(now)]

    def live_owners(self, now: datetime.datetime) -> list[Member]:
        """Return the live members that own targets."""
        return [member for member in self.live(now) if member.owned_tokens]

    def find_live(self, node: identifiers.NodeId, now: datetime.datetime) -> Member | None:
        """Return a member if it is live, or None."""
        member = self.by_id.get(node)
        return member if member is not None and member.is_live(now) else None

    def find_leader(
        self, job: identifiers.JobId, now: datetime.datetime
    ) -> identifiers.NodeId | None:
        """Return another node that a live member reports to have a job in progress, or None."""
        for member in self._contacts.values():
            leader = member.id if job in member.jobs else member.leaders_by_job.get(job)
            if leader not in (None, self.own_id) and member.is_live(now):
                return leader
        return None

    def find_owner_of_unfinished(
        self, job: identifiers.JobId, now: datetime.datetime
    ) -> identifiers.NodeId | None:
        """Return an owner on whose targets runs of a job have outlived the job's node, or None."""
        for member in self._contacts.values():
            if job in member.unfinished_jobs and member.is_live(now):
                return member.id
        return None

    def is_owned(self, target: identifiers.TargetId, now: datetime.datetime) -> bool:
        """Return whether a live member owns the target."""
        return any(target in member.owned_tokens for member in self.live(now))

    def are_owners_heard(self) -> bool:
        """Return whether all owners of this node's domain have been heard."""
        others = set(self.owner_set(self.own_domain)) - {self.own_endpoint}
        return all(self.by_endpoint[endpoint].heard_at is not None for endpoint in others)

    def watch(self, endpoints: set[identifiers.Endpoint], now: datetime.datetime) -> None:
        """Set the members from which heartbeats are expected."""
        for endpoint in self._watched.keys() - endpoints:
            self._watched.pop(endpoint).watched_since = None
        for endpoint in endpoints - self._watched.keys():
            member = self.by_endpoint.get(endpoint)
            if member is not None:
                member.watched_since = now
                self._watched[endpoint] = member

    def relate(self, related: set[identifiers.Endpoint], now: datetime.datetime) -> None:
        """Set the members with which this node shares runs, requests or jobs."""
        for endpoint in self._related.keys() - related:
            self._related.pop(endpoint).related_since = None
        for endpoint in related - self._related.keys():
            member = self.by_endpoint[endpoint]
            member.related_since = now
            self._related[endpoint] = member

    def review(self, now: datetime.datetime) -> list[Member]:
        """Suspect the watched members that are silent; return the members that are dead now."""
        for member in self._watched.values():
            if not member.is_suspected and member.is_silent(now):
                member.is_suspected = True
                self.revision += 1
        dead = [member for member in self._contacts.values() if not member.is_live(now)]
        for member in dead:
            del self._contacts[member.endpoint]
            self.revision += 1
        return dead

    def forget_silent(self, now: datetime.datetime) -> None:
        """Remove unlisted members that have been silent for a long time."""
        silent = [
            member.endpoint
            for member in self.by_endpoint.values()
            if not member.is_listed
            and now - (member.heard_at or member.added_at) > timings.MEMBER_REMOVED_AFTER
        ]
        for endpoint in silent:
            self._remove(endpoint)

    def watched(self) -> list[Member]:
        """Return the members from which heartbeats are expected."""
        return list(self._watched.values())

    def audience(self) -> list[Member]:
        """Return the members that get heartbeats.

        These are the ones that this node watches or is related to, and those that watch it.
        """
        watching = {
            endpoint: member for endpoint, member in self._contacts.items() if member.is_watching
        }
        return list((self._watched | self._related | watching).values())

    # Owners

    def owner_set(self, domain: identifiers.DomainName) -> tuple[identifiers.Endpoint, ...]:
        """Return the nodes that should own the targets of a domain, as far as is known here."""
        if self._owner_sets_revision != self.revision:
            self._choose_owners()
        return self._owner_sets.get(domain, ())

    def domains(self) -> frozenset[identifiers.DomainName]:
        """Return the failure domains of all known nodes."""
        if self._domains_revision != self.revision:
            known = (self._own, *self.by_endpoint.values())
            self._domains = frozenset(member.domain for member in known if member.domain)
            self._domains_revision = self.revision
        return self._domains

    def preferred_owners(
        self, domain: identifiers.DomainName, now: datetime.datetime
    ) -> tuple[identifiers.Endpoint, ...]:
        """Return the nodes that would own a domain's targets if none of them was silent.

        They are probed, so that both sides of a partition find each other when it ends.
        """
        candidates = [
            member
            for member in (self._own, *self.by_endpoint.values())
            if member.domain == domain and not self._is_long_silent(member, now)
        ]
        return owner_sets.choose(candidates, domain, self._owner_count(domain))

    def lately_present(
        self, domain: identifiers.DomainName, now: datetime.datetime
    ) -> list[identifiers.Endpoint]:
        """Return the members of a domain, but those that have been silent for a long time."""
        return [
            member.endpoint
            for member in self.by_endpoint.values()
            if member.domain == domain and not self._is_long_silent(member, now)
        ]

    def _is_long_silent(self, member: Member, now: datetime.datetime) -> bool:
        since = member.heard_at or member.added_at
        return member.is_suspected and now - since > timings.MEMBER_REMOVED_AFTER

    def _owner_count(self, domain: identifiers.DomainName) -> int:
        return owner_sets.owner_count(self._target_counts.get(domain, 0))

    def _choose_owners(self) -> None:
        unfit = self._reported_unfit()
        by_domain: dict[identifiers.DomainName, list[Member]] = {}
        for member in (self._own, *self.by_endpoint.values()):
            is_heard = member.endpoint in self._contacts
            is_fit = member.is_eligible() and (is_heard or member.endpoint not in unfit)
            if member.domain and is_fit:
                by_domain.setdefault(member.domain, []).append(member)
        self._owner_sets = {
            domain: owner_sets.choose(_without_slow(candidates), domain, self._owner_count(domain))
            for domain, candidates in by_domain.items()
        }
        self._owner_sets_revision = self.revision

    def _reported_unfit(self) -> set[identifiers.Endpoint]:
        """Return the nodes that live members of the same domain report as unfit to own targets."""
        unfit: set[identifiers.Endpoint] = set()
        for member in self._contacts.values():
            for endpoint in member.unfit_endpoints:
                reported = self.by_endpoint.get(endpoint)
                if reported is not None and reported.domain == member.domain:
                    unfit.add(endpoint)
        return unfit

    def set_own_fitness(self, *, is_draining: bool, is_slow: bool) -> None:
        """Set whether this node may own targets."""
        if (self._own.is_draining, self._own.is_slow) != (is_draining, is_slow):
            self._own.is_draining, self._own.is_slow = is_draining, is_slow
            self.revision += 1

    def is_owner(self) -> bool:
        """Return whether this node should own targets of its domain."""
        return self.own_endpoint in self.owner_set(self.own_domain)

    def unfit_endpoints(self) -> tuple[identifiers.Endpoint, ...]:
        """Return the members of this node's domain that it knows to be silent or draining."""
        return tuple(
            sorted(
                member.endpoint
                for member in self.by_endpoint.values()
                if member.domain == self.own_domain and not member.is_eligible()
            )
        )

    def _set_incarnation(
        self, member: Member, node: identifiers.NodeId, now: datetime.datetime
    ) -> None:
        if member.id is not None:
            self.by_id.pop(member.id, None)
        member.id = node
        member.joined_at = now
        member.state_number = 0
        member.confirmed_state_number = 0
        member.hears_this_node = False
        member.is_known = False
        member.introduced_in_round = -1
        member.sent_capacities = None
        member.reported_capacities = ()
        member.free_capacities = []
        self.by_id[node] = member

    def _remove(self, endpoint: identifiers.Endpoint) -> None:
        member = self.by_endpoint.pop(endpoint, None)
        if member is None:
            return
        self.revision += 1
        for index in (self._contacts, self._watched, self._related):
            index.pop(endpoint, None)
        if member.id is not None:
            self.by_id.pop(member.id, None)


def _without_slow(candidates: list[Member]) -> list[Member]:
    """Return the candidates that are not slow, or all of them if many are.

    When a whole domain is overloaded, moving its targets between slow nodes adds to the load.
    """
    slow_count = sum(member.is_slow for member in candidates)
    if slow_count * _MIN_CANDIDATES_PER_SLOW > len(candidates):
        return candidates
    return [member for member in candidates if not member.is_slow]

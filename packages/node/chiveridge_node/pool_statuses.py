"""Reports a pool node's view of itself and of the other members to operators.

Fields that ``chiveridge status`` reads have the same names as in :mod:`chiveridge_node.statuses`,
so that one command supports both. In a pool, ``config_offset`` is the configuration's version.
"""

import datetime

import msgspec

from chiveridge_kernel import clocks
from chiveridge_pool import kernels, members, owned_targets


class PoolMemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Another node as seen by this one; ``silent_ms`` is the time since its last heartbeat."""

    name: str
    domain: str
    state: str
    incarnation: str
    config_offset: int
    silent_ms: float


class EvacuationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """An evacuated failure domain; ``runs`` are those left on the targets that this node holds."""

    domain: str
    since_s: float
    runs: int


class PoolStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A node's view of the pool; ``target_states`` has only the targets that the node holds.

    Staleness is the time since the platform's topic last replied, or None if it never did.
    """

    name: str
    domain: str
    incarnation: str
    ready: bool
    draining: bool
    config_offset: int
    config_staleness_s: float | None
    vms_staleness_s: float | None
    jobs_in_progress: int
    targets_listed: int
    target_states: dict[str, str]
    members: list[PoolMemberStatus]
    evacuations_version: int
    evacuations: list[EvacuationStatus]


def make_status(
    kernel: kernels.Kernel,
    name: str,
    *,
    is_ready: bool,
    config_age: datetime.timedelta | None,
    list_age: datetime.timedelta | None,
    now: datetime.datetime,
) -> PoolStatus:
    """Return a node's view; ages are the times since the platform's topics were last read."""
    usable_ids = {owned.target.id for owned in kernel.target_owner.usable_targets(now)}
    all_owned = kernel.target_owner.owned_by_target.values()
    known_members = sorted(kernel.members.by_endpoint.values(), key=lambda member: member.endpoint)
    return PoolStatus(
        name=name,
        domain=kernel.settings.domain,
        incarnation=kernel.settings.node,
        ready=is_ready,
        draining=kernel.draining_since is not None,
        config_offset=kernel.configuration_version,
        config_staleness_s=_age_seconds(config_age),
        vms_staleness_s=_age_seconds(list_age),
        jobs_in_progress=len(kernel.coordinator.jobs_by_id),
        targets_listed=len(kernel.target_owner.target_list.by_id),
        target_states={owned.target.id: _target_state(owned, usable_ids) for owned in all_owned},
        members=[_member_status(member, now) for member in known_members],
        evacuations_version=kernel.evacuations.version,
        evacuations=[
            EvacuationStatus(
                domain=domain,
                since_s=(now - since).total_seconds(),
                runs=kernel.target_owner.count_runs_in(domain),
            )
            for domain, since in kernel.evacuations.since_by_domain.items()
        ],
    )


def _age_seconds(age: datetime.timedelta | None) -> float | None:
    return None if age is None else age.total_seconds()


def _target_state(owned: owned_targets.OwnedTarget, usable_ids: set[str]) -> str:
    if owned.state is owned_targets.OwnershipState.CLAIMING:
        return "claimed"
    if owned.target.is_draining:
        return "leaving"
    return "usable" if owned.target.id in usable_ids else "avoided"


def _member_status(member: members.Member, now: datetime.datetime) -> PoolMemberStatus:
    return PoolMemberStatus(
        name=member.endpoint,
        domain=member.domain,
        state=_member_state(member, now),
        incarnation=member.id or "",
        config_offset=member.version,
        silent_ms=clocks.to_ms(now - (member.heard_at or member.added_at)),
    )


def _member_state(member: members.Member, now: datetime.datetime) -> str:
    if member.heard_at is None:
        return "unknown"
    if not member.is_live(now):
        return "dead"
    return "leaving" if member.is_draining else "live"

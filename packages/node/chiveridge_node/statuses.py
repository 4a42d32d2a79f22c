"""What a node tells operators of itself and of the others."""

import datetime

import msgspec

from chiveridge_kernel import clocks, kernels, members


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Another node as this one sees it; ``silent_ms`` counts from its last heartbeat."""

    name: str
    domain: str
    state: members.MemberState
    incarnation: str
    config_offset: int
    silent_ms: float


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A node's view of the system, for operators."""

    name: str
    domain: str
    incarnation: str
    ready: bool
    draining: bool
    config_offset: int
    targets: list[str]
    nodes: list[str]
    live_nodes: list[str]
    members: list[MemberStatus]
    jobs_in_progress: int
    starts_in_progress: int


def status_of(kernel: kernels.Kernel, now: datetime.datetime) -> NodeStatus:
    """Return a kernel's view of the system."""
    table = kernel.members
    return NodeStatus(
        name=kernel.settings.node,
        domain=kernel.settings.domain,
        incarnation=kernel.settings.incarnation,
        ready=kernel.is_ready(),
        draining=kernel.draining,
        config_offset=kernel.configuration.offset,
        targets=sorted(kernel.target_table.vms_by_name),
        nodes=sorted(table.vms_by_name),
        live_nodes=table.live_names(),
        members=[_member_status(found, now) for _, found in sorted(table.members_by_name.items())],
        jobs_in_progress=len(kernel.dispatcher.jobs_by_id),
        starts_in_progress=sum(kernel.dispatcher.in_flight_by_target.values()),
    )


def _member_status(member: members.Member, now: datetime.datetime) -> MemberStatus:
    return MemberStatus(
        name=member.name,
        domain=member.vm.domain if member.vm else "",
        state=member.state,
        incarnation=member.incarnation or "",
        config_offset=member.offset,
        silent_ms=clocks.to_ms(now - member.heard_at) if member.heard_at else 0.0,
    )

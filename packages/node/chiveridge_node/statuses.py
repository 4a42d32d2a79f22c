"""Status of a node and of the other nodes as it sees them, for operators."""

import datetime

import msgspec

from chiveridge_kernel import catch_ups, clocks, kernels, member_states, targets


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Another node as this one sees it; ``silent_ms`` counts from its last heartbeat.

    ``is_confirmed`` is false while the node may also be reachable at an address that it announced.
    """

    name: str
    domain: str
    state: member_states.MemberState
    incarnation: str
    config_offset: int
    silent_ms: float
    is_confirmed: bool


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A node's view of the system, for operators.

    Staleness is the time since the platform's log or list of VMs was last read, None if it never
    was. ``config_is_complete`` is false while records are missing because they expired before
    they were read and no snapshot that covers them was found.
    """

    name: str
    domain: str
    incarnation: str
    ready: bool
    draining: bool
    config_offset: int
    config_staleness_s: float | None
    config_is_complete: bool
    vms_staleness_s: float | None
    targets: list[str]
    target_states: dict[str, targets.TargetState]
    nodes: list[str]
    live_nodes: list[str]
    members: list[MemberStatus]
    jobs_in_progress: int
    starts_in_progress: int


def make_status(kernel: kernels.Kernel, now: datetime.datetime) -> NodeStatus:
    """Return the status of the node that a kernel belongs to."""
    table = kernel.members
    names = sorted(kernel.target_table.vms_by_name)
    return NodeStatus(
        name=kernel.settings.node,
        domain=kernel.settings.domain,
        incarnation=kernel.settings.incarnation,
        ready=kernel.is_ready(),
        draining=kernel.is_draining,
        config_offset=kernel.configuration.offset,
        config_staleness_s=catch_ups.staleness_s(kernel.catch_up.log_last_read_at, now),
        config_is_complete=not kernel.follower.is_scanning,
        vms_staleness_s=catch_ups.staleness_s(kernel.catch_up.vms_last_read_at, now),
        targets=names,
        target_states={name: kernel.target_table.state_of(name) for name in names},
        nodes=sorted(table.vms_by_name),
        live_nodes=table.live_names(),
        members=[
            _member_status(member, now) for _, member in sorted(table.members_by_name.items())
        ],
        jobs_in_progress=len(kernel.dispatcher.jobs_by_id),
        starts_in_progress=sum(kernel.dispatcher.start_counts_by_target.values()),
    )


def _member_status(member: member_states.Member, now: datetime.datetime) -> MemberStatus:
    return MemberStatus(
        name=member.name,
        domain=member.vm.domain if member.vm else "",
        state=member.state,
        incarnation=member.incarnation or "",
        config_offset=member.config_offset,
        silent_ms=clocks.to_ms(now - member.heard_at) if member.heard_at else 0.0,
        is_confirmed=member.incarnation is not None and member.announced is None,
    )

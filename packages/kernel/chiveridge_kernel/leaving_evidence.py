"""Sharing of evidence that a target is leaving among the nodes of a domain.

One refusal is then enough for all nodes. Only what a target itself has said is shared this way: a
target that one node cannot reach may be reachable for others, so its owner checks such reports,
see :mod:`suspicions`.
"""

import datetime

from chiveridge_kernel import actions, clocks, members, target_messages, targets, vms


def make_leaving_messages(
    member_table: members.MemberTable, target_table: targets.TargetTable, vm: vms.Vm
) -> list[actions.Action]:
    """Return the messages that announce to the domain that a target is leaving.

    There are none if this is already known here, which keeps the number of messages low.
    """
    if target_table.is_known_leaving(vm.name):
        return []
    message = target_messages.TargetLeaving(
        target=vm.name,
        address=vm.address,
        port=vm.port,
        lifetime_ms=int(clocks.to_ms(targets.LEAVING_REPORT_TTL)),
    )
    others = member_table.others_in_domain()
    return [actions.SendToPeer(peer=member.vm, message=message) for member in others]


def handle_leaving(
    message: target_messages.TargetLeaving,
    target_table: targets.TargetTable,
    now: datetime.datetime,
) -> None:
    """Avoid a target that is leaving; evidence about an earlier VM of the name is ignored."""
    vm = target_table.vms_by_name.get(message.target)
    if vm is None or (vm.address, vm.port) != (message.address, message.port):
        return
    lifetime = datetime.timedelta(milliseconds=message.lifetime_ms)
    until = now + min(lifetime, targets.LEAVING_REPORT_TTL)
    target_table.mark_leaving(vm.name, until)

"""Evidence on targets that the nodes of a domain share, so that leaving is learnt once.

Only what a target itself said is told to all: a target that one node cannot reach may be well for
others, so that its owner weighs such news, see :mod:`suspicions`.
"""

import datetime

from chiveridge_kernel import actions, clocks, members, target_messages, targets, vms


def tell_leaving(
    member_table: members.MemberTable, target_table: targets.TargetTable, vm: vms.Vm
) -> list[actions.Action]:
    """Return the messages that tell the domain of a target that refused as leaving.

    There are none when the target is avoided for long already, so that few nodes tell.
    """
    if target_table.is_known_leaving(vm.name):
        return []
    message = target_messages.TargetLeaving(
        target=vm.name,
        address=vm.address,
        port=vm.port,
        lifetime_ms=int(clocks.to_ms(targets.LEAVING_EVIDENCE_LIFETIME)),
    )
    others = member_table.others_in_domain()
    return [actions.SendToPeer(peer=member.vm, message=message) for member in others]


def handle_leaving(
    message: target_messages.TargetLeaving,
    target_table: targets.TargetTable,
    now: datetime.datetime,
) -> None:
    """Avoid a target that is leaving; evidence on an earlier VM of the name is ignored."""
    vm = target_table.vms_by_name.get(message.target)
    if vm is None or (vm.address, vm.port) != (message.address, message.port):
        return
    lifetime = datetime.timedelta(milliseconds=message.lifetime_ms)
    until = now + min(lifetime, targets.LEAVING_EVIDENCE_LIFETIME)
    target_table.leaving(vm.name, until)

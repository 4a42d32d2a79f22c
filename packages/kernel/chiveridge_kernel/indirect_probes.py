"""Probes of targets that another node of the domain asked for."""

import datetime

import msgspec

from chiveridge_kernel import actions, placements, target_messages, vms

MAX_ASKERS = 100


class _Asked(msgspec.Struct):
    vm: vms.Vm
    until: datetime.datetime
    askers: set[str]


class IndirectProbes:
    """Probes a target once for all nodes that ask meanwhile, and tells them the result."""

    def __init__(self, starter: placements.Starter, limit: datetime.timedelta):
        self._starter = starter
        self._limit = limit
        self._asked_by_target: dict[str, _Asked] = {}

    def ask(self, message: target_messages.ProbeRequest, now: datetime.datetime) -> None:
        """Begin a probe, unless the target is another VM than the one that is known here."""
        vm = self._starter.target_table.vms_by_name.get(message.target)
        if vm is None or (vm.address, vm.port) != (message.address, message.port):
            return
        asked = self._asked_by_target.get(vm.name)
        if asked is None or asked.vm != vm or asked.until <= now:
            asked = _Asked(vm, now + self._limit, set())
            self._asked_by_target[vm.name] = asked
            self._starter.outbox.append(actions.ProbeTarget(target=vm))
        if len(asked.askers) < MAX_ASKERS:
            asked.askers.add(message.sender)

    def probed(self, vm: vms.Vm, is_reachable: bool) -> None:
        """Tell the result to the nodes that asked for it."""
        asked = self._asked_by_target.get(vm.name)
        if asked is None or asked.vm != vm:
            return
        del self._asked_by_target[vm.name]
        reply = target_messages.ProbeReply(
            sender=self._starter.members.own_name,
            target=vm.name,
            address=vm.address,
            port=vm.port,
            is_reachable=is_reachable,
        )
        for node in sorted(asked.askers):
            peer = self._starter.members.find(node)
            if peer is not None:
                self._starter.outbox.append(actions.SendToPeer(peer=peer, message=reply))

    def expire(self, now: datetime.datetime) -> None:
        """Forget probes that brought no result."""
        for name, asked in list(self._asked_by_target.items()):
            if asked.until <= now:
                del self._asked_by_target[name]

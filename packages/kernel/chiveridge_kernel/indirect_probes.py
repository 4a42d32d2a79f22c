"""Probes of targets at the request of other nodes of the domain."""

import datetime

import msgspec

from chiveridge_kernel import actions, placements, target_messages, vms

MAX_REQUESTERS = 100


class _PendingProbe(msgspec.Struct):
    vm: vms.Vm
    until: datetime.datetime
    requesters: set[str]


class IndirectProbes:
    """Probes a target once for all nodes that request it meanwhile, and sends them the result."""

    def __init__(self, starter: placements.TaskStarter, timeout: datetime.timedelta):
        self._starter = starter
        self._timeout = timeout
        self._pending_by_target: dict[str, _PendingProbe] = {}

    def handle_request(self, message: target_messages.ProbeRequest, now: datetime.datetime) -> None:
        """Start or join a probe, unless the request is for another VM than the one known here."""
        vm = self._starter.target_table.vms_by_name.get(message.target)
        if vm is None or (vm.address, vm.port) != (message.address, message.port):
            return
        pending = self._pending_by_target.get(vm.name)
        if pending is None or pending.vm != vm or pending.until <= now:
            pending = _PendingProbe(vm, now + self._timeout, set())
            self._pending_by_target[vm.name] = pending
            self._starter.outbox.append(actions.ProbeTarget(target=vm))
        if len(pending.requesters) < MAX_REQUESTERS:
            pending.requesters.add(message.sender)

    def handle_probe_result(self, vm: vms.Vm, is_reachable: bool) -> None:
        """Send the result of a probe to the nodes that requested it."""
        pending = self._pending_by_target.get(vm.name)
        if pending is None or pending.vm != vm:
            return
        del self._pending_by_target[vm.name]
        reply = target_messages.ProbeReply(
            sender=self._starter.members.own_name,
            target=vm.name,
            address=vm.address,
            port=vm.port,
            is_reachable=is_reachable,
        )
        for node in sorted(pending.requesters):
            peer = self._starter.members.find_vm(node)
            if peer is not None:
                self._starter.outbox.append(actions.SendToPeer(peer=peer, message=reply))

    def drop_expired(self, now: datetime.datetime) -> None:
        """Drop probes that timed out without a result."""
        for name, pending in list(self._pending_by_target.items()):
            if pending.until <= now:
                del self._pending_by_target[name]

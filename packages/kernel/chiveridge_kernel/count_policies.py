"""The ``shared_counts`` policy: chooses the least loaded of a few targets by all nodes' counts.

Tasks are sent at once and queue at their targets. A node knows its own starts in progress
exactly, and those of the nodes that send it their counts with some delay. See
``docs/design/placement.md``.
"""

import datetime
from collections.abc import Sequence

from chiveridge_kernel import (
    actions,
    events,
    jobs,
    peers,
    placements,
    slot_messages,
    start_counts,
    vms,
)

SAMPLE_SIZE = 8
"""Targets compared for a task; a random sample keeps nodes from all choosing the same target."""

MAX_RECEIVERS = 24


@placements.register("shared_counts")
class SharedCountsPolicy(placements.ImmediatePolicy):
    """Chooses targets by counts that nodes exchange at a bounded rate."""

    def __init__(self, starter: placements.TaskStarter):
        super().__init__(starter)
        own_name = starter.members.own_name
        self._peer_counts = start_counts.PeerCounts(starter.target_table)
        self._publisher = start_counts.CountPublisher(own_name, starter.start_counts_by_target)
        self._receivers: list[vms.Vm] = []
        self._receivers_version: int | None = None

    def choose(self, found: Sequence[vms.Vm]) -> vms.Vm:
        """Choose the least loaded target of a random sample, the first drawn in case of a tie."""
        self._publisher.mark_changed()
        rng = self.starter.rng
        return min(rng.sample(found, min(SAMPLE_SIZE, len(found))), key=self._load)

    def handle_start_end(
        self,
        task: jobs.Task,
        vm: vms.Vm,
        report: events.LeaseReported | None,
        now: datetime.datetime,
    ) -> None:
        """Mark the counts as changed, so that they are sent."""
        self._publisher.mark_changed()

    def handle_message(self, message: peers.PeerMessage, now: datetime.datetime) -> None:
        """Apply the counts of another node; other parts of the kernel handle all other messages."""
        is_known = isinstance(message, slot_messages.StartCounts) and self.starter.members.find_vm(
            message.sender
        )
        if is_known and message.sender != self.starter.members.own_name:
            self._peer_counts.apply(message, now)

    def handle_tick(self, now: datetime.datetime) -> None:
        """Send counts that are due, and drop the counts of silent nodes."""
        self._peer_counts.expire(now)
        receivers = self._find_receivers()
        message = self._publisher.next_message(receivers, now)
        if message is not None:
            self.starter.outbox.extend(
                actions.SendToPeer(peer=vm, message=message) for vm in receivers
            )

    def next_wakeup_at(self) -> datetime.datetime | None:
        """Return when the next counts are due to be sent."""
        return self._publisher.next_send_at()

    def _load(self, vm: vms.Vm) -> float:
        own = self.starter.start_counts_by_target.get(vm.name, 0)
        return (own + self._peer_counts.total(vm.name)) / max(vm.slots, 1)

    def _find_receivers(self) -> list[vms.Vm]:
        """Return the nodes to send counts to: those of this domain, then others, up to a limit."""
        members = self.starter.members
        if members.version != self._receivers_version:
            self._receivers_version = members.version
            same_domain = members.live_names(members.own_domain)
            others = [name for name in members.live_names() if name not in set(same_domain)]
            names = [name for name in [*same_domain, *others] if name != members.own_name]
            found = [members.find_vm(name) for name in names[:MAX_RECEIVERS]]
            self._receivers = [vm for vm in found if vm is not None]
        return self._receivers

"""What the kernel does at each event and at each message of a peer."""

import datetime
import functools
from typing import TYPE_CHECKING

from chiveridge_kernel import (
    actions,
    events,
    evidence,
    peers,
    target_messages,
)

if TYPE_CHECKING:
    from chiveridge_kernel import kernels

# Types are named at registration, as those of the kernel cannot be resolved here.


@functools.singledispatch
def handle(event: events.Event, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    """Have the parts of a kernel handle an event."""
    raise TypeError(f"no handler for event {type(event).__name__}")


@handle.register(events.SubmissionReceived)
def _(event: events.SubmissionReceived, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.admissions.submit(event, now)


@handle.register(events.CancelReceived)
def _(event: events.CancelReceived, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.admissions.cancel(event.submission_id, event.team, now)


@handle.register(events.LeaseReported)
def _(event: events.LeaseReported, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.dispatcher.report(event, now)


@handle.register(events.StartDelayed)
def _(event: events.StartDelayed, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.dispatcher.note_unsent(event.lease_id, is_unsent=True)


@handle.register(events.StartSent)
def _(event: events.StartSent, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.dispatcher.note_unsent(event.lease_id, is_unsent=False)


@handle.register(events.TargetProbed)
def _(event: events.TargetProbed, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.dispatcher.policy.target_probed(event, now)


@handle.register(events.StopConfirmed)
def _(event: events.StopConfirmed, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.dispatcher.stops.settle(event.lease_id)


@handle.register(events.RecordsRead)
def _(event: events.RecordsRead, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.catch_up.log_read_at = now
    changes = kernel.follower.read(event.records, event.first, event.next_offset)
    for change in changes:
        kernel.snapshot_schedule.saw_change(change.offset)
    kernel.configuration_moved(changes, now)
    kernel.finish_loading(now)
    kernel.plan_snapshot(now)


@handle.register(events.RecordsExpired)
def _(event: events.RecordsExpired, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.catch_up.log_read_at = now
    kernel.follower.expired(event.first, event.next_offset)


@handle.register(events.VmsListed)
def _(event: events.VmsListed, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.catch_up.vms_read_at = now
    kernel.target_table.confirm(event.asked_at)
    kernel.take_listing(event.listing, now)


@handle.register(events.VmsConfirmed)
def _(event: events.VmsConfirmed, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.catch_up.vms_read_at = now
    if kernel.target_table.confirm(event.asked_at):
        kernel.dispatcher.place_waiting(now)


@handle.register(events.ProcessPaused)
def _(event: events.ProcessPaused, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.target_table.doubt(now)
    kernel.dispatcher.limiter.give_up_grants()


@handle.register(events.PeerMessageReceived)
def _(event: events.PeerMessageReceived, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    take_message(event.message, kernel, event.route, now)


@handle.register(events.LoadingContinued)
def _(event: events.LoadingContinued, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.load_on(now)


@handle.register(events.Ticked)
def _(event: events.Ticked, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.ask_to_load_on()
    kernel.dispatcher.probe(now)
    kernel.dispatcher.stops.expire(now)
    kernel.dispatcher.backlogs.observe(now)
    kernel.admissions.forget_expired(now)
    kernel.handovers.forget_expired(now)
    if kernel.target_table.expire(now):
        kernel.dispatcher.place_waiting(now)
    kernel.dispatcher.policy.ticked(now)
    kernel.dispatcher.limiter.tick(now)
    outbox = kernel.dispatcher.outbox
    if kernel.snapshot_schedule.take_due(now):
        outbox.append(actions.AppendSnapshot(snapshot=kernel.configuration.snapshot()))
    outbox.extend(kernel.catch_up.ask_if_due(now, kernel.follower.is_scanning))
    kernel.heartbeats.offset = kernel.configuration.offset
    outbox.extend(kernel.heartbeats.tick(now))


@handle.register(events.PeerUnreachable)
def _(event: events.PeerUnreachable, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.members.unreachable(event.peer)


@handle.register(events.DrainRequested)
def _(event: events.DrainRequested, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.drain(event.forced, now)


@functools.singledispatch
def take_message(
    message: peers.PeerMessage, kernel: "kernels.Kernel", route: bytes, now: datetime.datetime
) -> None:
    """Handle a message from another node; those that no part handles are the policy's."""
    kernel.dispatcher.policy.received(message, now)


@take_message.register(peers.ConfigurationAsk)
def _(
    message: peers.ConfigurationAsk, kernel: "kernels.Kernel", route: bytes, now: datetime.datetime
) -> None:
    kernel.dispatcher.outbox.extend(kernel.catch_up.answer(message, route))


@take_message.register(peers.ConfigurationChunk)
def _(
    message: peers.ConfigurationChunk,
    kernel: "kernels.Kernel",
    route: bytes,
    now: datetime.datetime,
) -> None:
    kernel.catch_up.take(message)
    kernel.finish_loading(now)


@take_message.register(peers.ListingReply)
def _(
    message: peers.ListingReply, kernel: "kernels.Kernel", route: bytes, now: datetime.datetime
) -> None:
    if kernel.catch_up.listing is None:
        kernel.take_listing(message.listing, now)


@take_message.register(peers.Heartbeat)
def _(
    message: peers.Heartbeat, kernel: "kernels.Kernel", route: bytes, now: datetime.datetime
) -> None:
    kernel.dispatcher.outbox.extend(kernel.heartbeats.receive(message, now))


@take_message.register(target_messages.TargetLeaving)
def _(
    message: target_messages.TargetLeaving,
    kernel: "kernels.Kernel",
    route: bytes,
    now: datetime.datetime,
) -> None:
    evidence.take_leaving(message, kernel.target_table, now)


@take_message.register(peers.LimitBatch)
def _(
    message: peers.LimitBatch, kernel: "kernels.Kernel", route: bytes, now: datetime.datetime
) -> None:
    kernel.dispatcher.limiter.take_batch(message, now)


@take_message.register(peers.Handover)
def _(
    message: peers.Handover, kernel: "kernels.Kernel", route: bytes, now: datetime.datetime
) -> None:
    kernel.handovers.receive(message, now)
    kept = peers.HandoverKept(
        sender=kernel.settings.node, incarnation=message.incarnation, part=message.part
    )
    kernel.dispatcher.outbox.append(actions.ReplyToPeer(route=route, message=kept))


@take_message.register(peers.HandoverKept)
def _(
    message: peers.HandoverKept, kernel: "kernels.Kernel", route: bytes, now: datetime.datetime
) -> None:
    kernel.handover_kept(message, now)

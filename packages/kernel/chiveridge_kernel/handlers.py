"""Handlers of the kernel's events and of messages from peers."""

import datetime
import functools

from chiveridge_kernel import (
    actions,
    events,
    kernel_parts,
    leaving_evidence,
    limit_messages,
    peers,
    target_messages,
)


@functools.singledispatch
def handle(event: events.Event, kernel: kernel_parts.KernelParts, now: datetime.datetime) -> None:
    """Pass an event to the parts of a kernel that handle it."""
    raise TypeError(f"no handler for event {type(event).__name__}")


@handle.register
def _(
    event: events.SubmissionReceived, kernel: kernel_parts.KernelParts, now: datetime.datetime
) -> None:
    kernel.admissions.submit(event, now)


@handle.register
def _(
    event: events.CancelReceived, kernel: kernel_parts.KernelParts, now: datetime.datetime
) -> None:
    kernel.admissions.cancel(event.submission_id, event.team, now)


@handle.register
def _(
    event: events.LeaseReported, kernel: kernel_parts.KernelParts, now: datetime.datetime
) -> None:
    kernel.dispatcher.handle_outcome(event, now)


@handle.register
def _(event: events.StartDelayed, kernel: kernel_parts.KernelParts, now: datetime.datetime) -> None:
    kernel.dispatcher.set_unsent(event.lease_id, is_unsent=True)


@handle.register
def _(event: events.StartSent, kernel: kernel_parts.KernelParts, now: datetime.datetime) -> None:
    kernel.dispatcher.set_unsent(event.lease_id, is_unsent=False)


@handle.register
def _(event: events.TargetProbed, kernel: kernel_parts.KernelParts, now: datetime.datetime) -> None:
    kernel.dispatcher.policy.handle_probe_result(event, now)


@handle.register
def _(
    event: events.StopConfirmed, kernel: kernel_parts.KernelParts, now: datetime.datetime
) -> None:
    kernel.dispatcher.stops.settle(event.lease_id)


@handle.register
def _(event: events.RecordsRead, kernel: kernel_parts.KernelParts, now: datetime.datetime) -> None:
    kernel.catch_up.log_last_read_at = now
    changes = kernel.follower.process_records(event.records, event.first, event.next_offset)
    for change in changes:
        kernel.snapshot_schedule.record_change(change.offset)
    kernel.handle_changes(changes, now)
    kernel.adopt_finished_loading(now)
    kernel.plan_snapshot(now)


@handle.register
def _(
    event: events.RecordsExpired, kernel: kernel_parts.KernelParts, now: datetime.datetime
) -> None:
    kernel.catch_up.log_last_read_at = now
    kernel.follower.handle_expired(event.first, event.next_offset)


@handle.register
def _(event: events.VmsListed, kernel: kernel_parts.KernelParts, now: datetime.datetime) -> None:
    kernel.catch_up.vms_last_read_at = now
    kernel.target_table.mark_list_read(event.asked_at)
    kernel.apply_listing(event.listing, now)


@handle.register
def _(event: events.VmsConfirmed, kernel: kernel_parts.KernelParts, now: datetime.datetime) -> None:
    kernel.catch_up.vms_last_read_at = now
    if kernel.target_table.mark_list_read(event.asked_at):
        kernel.dispatcher.place_waiting(now)


@handle.register
def _(
    event: events.ProcessPaused, kernel: kernel_parts.KernelParts, now: datetime.datetime
) -> None:
    kernel.target_table.mark_list_stale(now)
    kernel.dispatcher.limiter.reset_after_pause()


@handle.register
def _(
    event: events.PeerMessageReceived, kernel: kernel_parts.KernelParts, now: datetime.datetime
) -> None:
    handle_message(event.message, kernel, event.route, now)


@handle.register
def _(
    event: events.LoadingContinued, kernel: kernel_parts.KernelParts, now: datetime.datetime
) -> None:
    kernel.continue_loading(now)


@handle.register
def _(event: events.Ticked, kernel: kernel_parts.KernelParts, now: datetime.datetime) -> None:
    kernel.request_loading_step()
    kernel.dispatcher.query_late_outcomes(now)
    kernel.dispatcher.stops.expire(now)
    kernel.dispatcher.backlogs.observe(now)
    kernel.admissions.drop_expired(now)
    kernel.handovers.drop_expired(now)
    if kernel.target_table.expire(now):
        kernel.dispatcher.place_waiting(now)
    kernel.dispatcher.policy.handle_tick(now)
    kernel.dispatcher.limiter.tick(now)
    outbox = kernel.dispatcher.outbox
    if kernel.snapshot_schedule.claim_due(now):
        outbox.append(actions.AppendSnapshot(snapshot=kernel.configuration.snapshot()))
    outbox.extend(kernel.catch_up.request_if_due(now, kernel.follower.is_scanning))
    kernel.heartbeats.offset = kernel.configuration.offset
    outbox.extend(kernel.heartbeats.tick(now))


@handle.register
def _(
    event: events.PeerUnreachable, kernel: kernel_parts.KernelParts, now: datetime.datetime
) -> None:
    kernel.members.mark_unreachable(event.peer)


@handle.register
def _(
    event: events.DrainRequested, kernel: kernel_parts.KernelParts, now: datetime.datetime
) -> None:
    kernel.drain(event.forced, now)


@functools.singledispatch
def handle_message(
    message: peers.PeerMessage,
    kernel: kernel_parts.KernelParts,
    route: bytes,
    now: datetime.datetime,
) -> None:
    """Handle a message from another node; the placement policy gets all other types."""
    kernel.dispatcher.policy.handle_message(message, now)


@handle_message.register
def _(
    message: peers.ConfigurationAsk,
    kernel: kernel_parts.KernelParts,
    route: bytes,
    now: datetime.datetime,
) -> None:
    kernel.dispatcher.outbox.extend(kernel.catch_up.handle_request(message, route))


@handle_message.register
def _(
    message: peers.ConfigurationChunk,
    kernel: kernel_parts.KernelParts,
    route: bytes,
    now: datetime.datetime,
) -> None:
    kernel.catch_up.add_chunk(message)
    kernel.adopt_finished_loading(now)


@handle_message.register
def _(
    message: peers.ListingReply,
    kernel: kernel_parts.KernelParts,
    route: bytes,
    now: datetime.datetime,
) -> None:
    if kernel.catch_up.vm_list is None:
        kernel.apply_listing(message.listing, now)


@handle_message.register
def _(
    message: peers.Heartbeat, kernel: kernel_parts.KernelParts, route: bytes, now: datetime.datetime
) -> None:
    kernel.dispatcher.outbox.extend(kernel.heartbeats.receive(message, now))


@handle_message.register
def _(
    message: target_messages.TargetLeaving,
    kernel: kernel_parts.KernelParts,
    route: bytes,
    now: datetime.datetime,
) -> None:
    leaving_evidence.handle_leaving(message, kernel.target_table, now)


@handle_message.register
def _(
    message: limit_messages.LimitBatch,
    kernel: kernel_parts.KernelParts,
    route: bytes,
    now: datetime.datetime,
) -> None:
    kernel.dispatcher.limiter.handle_batch(message, now)


@handle_message.register
def _(
    message: peers.Handover, kernel: kernel_parts.KernelParts, route: bytes, now: datetime.datetime
) -> None:
    kernel.handovers.store_part(message, now)
    kept = peers.HandoverKept(
        sender=kernel.settings.node, incarnation=message.incarnation, part=message.part
    )
    kernel.dispatcher.outbox.append(actions.ReplyToPeer(route=route, message=kept))


@handle_message.register
def _(
    message: peers.HandoverKept,
    kernel: kernel_parts.KernelParts,
    route: bytes,
    now: datetime.datetime,
) -> None:
    kernel.handle_handover_kept(message, now)

"""Dispatches messages from peers to the parts of the kernel that handle them."""

import datetime
import functools
from typing import TYPE_CHECKING

from chiveridge_pool import actions, messages

if TYPE_CHECKING:
    from chiveridge_pool import kernels


@functools.singledispatch
def handle_message(
    message: messages.AnyMessage, kernel: "kernels.Kernel", now: datetime.datetime
) -> None:
    """Pass a message to its handlers.

    :raises TypeError: when the message type has no handler.
    """
    raise TypeError(f"no handler for message {type(message).__name__}")


@handle_message.register(messages.Heartbeat)
def _(message: messages.Heartbeat, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    member = kernel.members.handle_heartbeat(message, now)
    if member is None:
        return
    if not member.is_known:
        kernel.welcome(member, now)
    if member.joined_at == now:
        kernel.crash_reports.send_all(member)
    if message.needs_lists:
        kernel.send_lists(member, now)
    kernel.share_configuration(member, now)
    if message.state is not None:
        kernel.target_owner.mark_draining(message.state.draining_targets)
        kernel.share_evacuations(member, message.state.evacuations_version)
        if member.interferences != message.state.interferences:
            member.interferences = message.state.interferences
            kernel.follow_interferences(now)
    kernel.coordinator.placements.reconcile(message, member, now)


@handle_message.register(messages.Goodbye)
def _(message: messages.Goodbye, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.members.handle_goodbye(message)


@handle_message.register(messages.CapacityRequest)
def _(message: messages.CapacityRequest, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    if not kernel.coordinator.refer_if_running(message):
        kernel.target_owner.request_capacity(message, now)


@handle_message.register(messages.CapacityWithdrawal)
def _(
    message: messages.CapacityWithdrawal, kernel: "kernels.Kernel", now: datetime.datetime
) -> None:
    kernel.target_owner.allocator.capacity_queue.withdraw(message)


@handle_message.register(messages.CapacityGranted)
def _(message: messages.CapacityGranted, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.handle_granted(message, now)


@handle_message.register(messages.GrantRelease)
def _(message: messages.GrantRelease, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.target_owner.release(message, now)


@handle_message.register(messages.StartRuns)
def _(message: messages.StartRuns, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.last_start_by_node[message.sender] = message.sequence
    kernel.target_owner.allocator.start(message, now)


@handle_message.register(messages.StopRuns)
def _(message: messages.StopRuns, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.target_owner.stop(message, now)


@handle_message.register(messages.StartsUnanswered)
def _(message: messages.StartsUnanswered, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.placements.handle_unanswered(message, now)


@handle_message.register(messages.RunsEnded)
def _(message: messages.RunsEnded, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.placements.handle_ended(message, now)


@handle_message.register(messages.Configuration)
def _(message: messages.Configuration, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    if message.version > kernel.configuration_version:
        action = actions.ApplyConfiguration(
            sender=message.sender, version=message.version, text=message.text
        )
        kernel.outbox.add(action)


@handle_message.register(messages.Targets)
def _(message: messages.Targets, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.target_owner.add_reported_targets(message, now)


@handle_message.register(messages.Nodes)
def _(message: messages.Nodes, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.add_listed_nodes(message.nodes, now)


@handle_message.register(messages.JobElsewhere)
def _(message: messages.JobElsewhere, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.handle_elsewhere(message, now)


@handle_message.register(messages.Handover)
def _(message: messages.Handover, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.target_owner.handle_handover(message, now)


@handle_message.register(messages.OwnerChanged)
def _(message: messages.OwnerChanged, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.placements.handle_moved(message, now)


@handle_message.register(messages.FollowJob)
def _(message: messages.FollowJob, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.followed_jobs.add_follower(message, now)


@handle_message.register(messages.UnfollowJob)
def _(message: messages.UnfollowJob, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.followed_jobs.remove_follower(message, now)


@handle_message.register(messages.JobOutcome)
def _(message: messages.JobOutcome, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.followed_jobs.handle_outcome(message, now)


@handle_message.register(messages.CrashesReported)
def _(message: messages.CrashesReported, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.record_crashes(message.crashes, now)


@handle_message.register(messages.Evacuations)
def _(message: messages.Evacuations, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.apply_evacuations(message.version, message.domains, message.sender, now)


@handle_message.register(messages.CancelJob)
def _(message: messages.CancelJob, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.cancel(message.job, now)

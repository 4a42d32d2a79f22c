"""Dispatches messages from peers to the parts of the kernel that handle them."""

import datetime
import functools
from typing import TYPE_CHECKING

from chiveridge_pool import actions, messages

if TYPE_CHECKING:
    from chiveridge_pool import kernels


@functools.singledispatch
def take_message(
    message: messages.AnyMessage, kernel: "kernels.Kernel", now: datetime.datetime
) -> None:
    """Pass a message to its handlers.

    :raises TypeError: when the message type has no handler.
    """
    raise TypeError(f"no handler for message {type(message).__name__}")


@take_message.register(messages.Heartbeat)
def _(message: messages.Heartbeat, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    member = kernel.members.hear(message, now)
    if member is None:
        return
    if not member.is_greeted:
        kernel.greet(member, now)
    kernel.share_configuration(member, now)
    if message.state is not None:
        kernel.holder.note_leaving(message.state.leaving)
    kernel.coordinator.placements.reconcile(message, member, now)


@take_message.register(messages.Goodbye)
def _(message: messages.Goodbye, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.members.bid_farewell(message)


@take_message.register(messages.Ask)
def _(message: messages.Ask, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.holder.ask(message, now)


@take_message.register(messages.Withdraw)
def _(message: messages.Withdraw, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.holder.lending.requests.withdraw(message)


@take_message.register(messages.Granted)
def _(message: messages.Granted, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.handle_granted(message, now)


@take_message.register(messages.Release)
def _(message: messages.Release, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.holder.release(message, now)


@take_message.register(messages.Start)
def _(message: messages.Start, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.started_by_node[message.sender] = message.sequence
    kernel.holder.lending.start(message, now)


@take_message.register(messages.Stop)
def _(message: messages.Stop, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.holder.stop(message, now)


@take_message.register(messages.Ended)
def _(message: messages.Ended, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.placements.handle_ended(message, now)


@take_message.register(messages.Configuration)
def _(message: messages.Configuration, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    if message.version > kernel.version:
        action = actions.ApplyConfiguration(version=message.version, text=message.text)
        kernel.mailbox.add(action)


@take_message.register(messages.Targets)
def _(message: messages.Targets, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.holder.listing.learn(message.targets)


@take_message.register(messages.Handover)
def _(message: messages.Handover, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.holder.take_handover(message, now)


@take_message.register(messages.Moved)
def _(message: messages.Moved, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.placements.handle_moved(message, now)


@take_message.register(messages.Follow)
def _(message: messages.Follow, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.followings.add_follower(message, now)


@take_message.register(messages.Unfollow)
def _(message: messages.Unfollow, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.followings.remove_follower(message, now)


@take_message.register(messages.Outcome)
def _(message: messages.Outcome, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.followings.handle_outcome(message, now)


@take_message.register(messages.Cancel)
def _(message: messages.Cancel, kernel: "kernels.Kernel", now: datetime.datetime) -> None:
    kernel.coordinator.cancel(message.job, now)

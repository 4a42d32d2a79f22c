"""What can happen to targets, nodes and callers at a moment of a history."""

import datetime
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import msgspec

from chiveridge_load import history_choices, history_pools, pool_models
from chiveridge_pool import events

if TYPE_CHECKING:
    from chiveridge_load import history_plays

KINDS = frozenset({"starts", "stops", "holds", "targets", "nodes", "links", "callers"})
"""Kinds of disturbances; the first three are those of calls to targets."""

ALL = history_choices.Selection(KINDS)
_LESS_TYPICAL = (
    "restarts at once",
    "is replaced",
    "does not reply",
    "drains",
    "leaves the list",
    "is frozen for 0.8 s",
    "falls silent",
    "the caller leaves",
)
"""Ends of the names of events that are left out where only typical ones are explored."""

_MS = datetime.timedelta(milliseconds=1)
_RESTART_TIME = 1000 * _MS
_CUT_TIME = 1500 * _MS
_REBOOT_TIME = 200 * _MS


class Event(msgspec.Struct, frozen=True):
    """Something that can happen now, and the function that makes it happen."""

    option: history_choices.Option
    perform: Callable[[], None]


def possible_events(
    history: "history_plays.History", selection: history_choices.Selection
) -> list[Event]:
    """Return what can happen now, of the disturbances that are explored."""
    found = [
        Event(history_choices.Option(name), perform)
        for kind, events_of in _EVENTS_BY_KIND.items()
        if kind in selection.kinds
        for name, perform in events_of(history)
        if not (selection.typical_only and name.endswith(_LESS_TYPICAL))
    ]
    # The disturbance was that its reply got lost.
    found += [
        Event(
            history_choices.Option(
                f"late start executed: {late.action.task} on {late.action.target.id}", 0
            ),
            lambda late=late: history.pool.execute_late(late),
        )
        for late in history.pool.executable_starts()
    ]
    return found


Named = Iterator[tuple[str, Callable[[], None]]]


def _target_events(history: "history_plays.History") -> Named:
    for target in history.pool.involved:
        if target.is_replaced or target.is_unlisted:
            continue
        name = target.target.id
        yield f"{name} restarts at once", lambda target=target: _restart(
            target, datetime.timedelta()
        )
        yield f"{name} restarts, takes 1 s", lambda target=target: _restart(target, _RESTART_TIME)
        yield f"{name} is replaced", target.replace
        yield f"{name} refuses connections", lambda target=target: _refuse(history, target)
        yield f"{name} does not reply", lambda target=target: _darken(history, target)
        yield f"{name} drains", lambda target=target: _drain(history, target)
        yield f"{name} leaves the list", lambda target=target: _unlist(history, target)


def _restart(target: history_pools.HistoryTarget, restart_time: datetime.timedelta) -> None:
    target.restart_time = restart_time
    target.crash_under(target.incarnation)


def _refuse(history: "history_plays.History", target: history_pools.HistoryTarget) -> None:
    target.cut_off()

    def end() -> None:
        target.refuses_connections = False

    history.call_later(_CUT_TIME, end)


def _darken(history: "history_plays.History", target: history_pools.HistoryTarget) -> None:
    target.is_dark = True

    def end() -> None:
        target.is_dark = False

    history.call_later(_CUT_TIME, end)


def _drain(history: "history_plays.History", target: history_pools.HistoryTarget) -> None:
    target.drain()
    _list_targets(history)


def _unlist(history: "history_plays.History", target: history_pools.HistoryTarget) -> None:
    target.is_unlisted = True
    _list_targets(history)


def _list_targets(history: "history_plays.History") -> None:
    for node in history.nodes():
        node.handle(events.TargetsListed(targets=history.pool.listed()))


def _node_events(history: "history_plays.History") -> Named:
    for node in history.nodes():
        if not node.is_running or node.is_frozen:
            continue
        name = node.name
        for duration in (800 * _MS, 2500 * _MS):
            yield (
                f"{name} is frozen for {duration.total_seconds()} s",
                lambda node=node, duration=duration: _freeze(history, node, duration),
            )
        yield f"{name} is lost", node.kill
        yield f"{name} restarts", lambda node=node: _reboot(history, node)
        if node.kernel.draining_since is None:
            yield f"{name} drains", node.drain


def _freeze(
    history: "history_plays.History", node: pool_models.NodeModel, duration: datetime.timedelta
) -> None:
    kernel = node.kernel
    node.freeze()

    def end() -> None:
        if node.kernel is kernel and node.is_frozen:
            node.wake()

    history.call_later(duration, end)


def _reboot(history: "history_plays.History", node: pool_models.NodeModel) -> None:
    node.kill()
    history.call_later(_REBOOT_TIME, node.boot)


def _link_events(history: "history_plays.History") -> Named:
    one, other = history.nodes()
    pairs = {(one.name, other.name), (other.name, one.name)}
    if pairs & history.lost_links:
        return
    yield f"no messages between {one.name} and {other.name}", lambda: _cut(history, pairs)
    for sender, receiver in sorted(pairs):
        yield (
            f"messages are lost from {sender} to {receiver}",
            lambda link=(sender, receiver): _cut(history, {link}),
        )


def _cut(history: "history_plays.History", links: set[tuple[str, str]]) -> None:
    history.lost_links |= links

    def end() -> None:
        history.lost_links -= links

    history.call_later(_CUT_TIME, end)


def _caller_events(history: "history_plays.History") -> Named:
    caller = history.caller
    if not caller.is_waiting():
        return
    yield "the caller's connection breaks", caller.lose_connection
    yield "the caller's connection falls silent", caller.fall_silent
    yield "the caller leaves", caller.leave
    for node in history.nodes():
        yield (
            f"the job is cancelled at {node.name}",
            lambda node=node: node.handle(events.JobCancelled(job=history.request.id)),
        )


_EVENTS_BY_KIND = {
    "targets": _target_events,
    "nodes": _node_events,
    "links": _link_events,
    "callers": _caller_events,
}

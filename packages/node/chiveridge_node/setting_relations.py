"""Relations that must hold between the settings of a node."""

import operator
from collections.abc import Callable, Iterator, Mapping

import msgspec

from chiveridge_kernel import clocks, dispatchers, handovers, members, targets

Comparison = Callable[[int, int], bool]
Values = Mapping[str, object]

MAX_IDLE_MS = int(clocks.to_ms(targets.SILENT_BACKOFF))
START_WINDOW_MS = int(clocks.to_ms(dispatchers.START_WINDOW))
MIN_LINGER_MS = int(clocks.to_ms(handovers.REMAINING_PEERS_LINGER))
FORGET_AFTER_MS = int(clocks.to_ms(members.UNLISTED_MEMBER_LIFETIME))


class Relation(msgspec.Struct, frozen=True):
    """A comparison that must hold between two keys of a section, and the reason for it."""

    section: str
    key: str
    comparison: Comparison
    other_key: str
    reason: str


class Bound(msgspec.Struct, frozen=True):
    """A comparison that must hold between a key and a constant, in milliseconds."""

    section: str
    key: str
    comparison: Comparison
    limit_ms: int
    reason: str


def _can_both_be_bound(port: int, other_port: int) -> bool:
    return port != other_port or port == 0


def _is_dead_before_forgotten(count: int, interval_ms: int) -> bool:
    return count * interval_ms < FORGET_AFTER_MS


RELATIONS = (
    Relation(
        "platform",
        "request_timeout_ms",
        operator.gt,
        "poll_wait_ms",
        "must be longer, or each idle read would time out",
    ),
    Relation(
        "membership",
        "dead_heartbeats",
        operator.gt,
        "suspect_heartbeats",
        "must be greater, as a node is suspected before it is declared dead",
    ),
    Relation(
        "membership",
        "dead_heartbeats",
        _is_dead_before_forgotten,
        "heartbeat_ms",
        f"must give a product of less than {FORGET_AFTER_MS} ms, after which a node is forgotten",
    ),
    Relation("targets", "probe_max_ms", operator.ge, "probe_min_ms", "must not be shorter"),
    Relation(
        "node",
        "peer_port",
        _can_both_be_bound,
        "caller_port",
        "must be a different port, as both are bound to the same address",
    ),
    Relation(
        "snapshots",
        "max_age_ms",
        operator.ge,
        "min_interval_ms",
        "must not be shorter than the time between attempts",
    ),
)

BOUNDS = (
    Bound(
        "targets",
        "idle_timeout_ms",
        operator.le,
        MAX_IDLE_MS,
        "a silent target is used again after this time; its idle connections must be closed before",
    ),
    Bound(
        "targets",
        "connect_timeout_ms",
        operator.lt,
        START_WINDOW_MS,
        "a start that was not sent by then is not sent at all",
    ),
    Bound(
        "node",
        "drain_linger_ms",
        operator.ge,
        MIN_LINGER_MS,
        "peers get this time to confirm the handover of a stopping node",
    ),
)


def problems(values_by_section: Mapping[str, Values]) -> Iterator[str]:
    """Yield a message for each relation that does not hold; skip values that are invalid."""
    for relation in RELATIONS:
        values = values_by_section[relation.section]
        value, other_value = values.get(relation.key), values.get(relation.other_key)
        if None not in (value, other_value) and not relation.comparison(value, other_value):
            yield (
                f"[{relation.section}] {relation.key}: {value} conflicts with"
                f" {relation.other_key} = {other_value}; it {relation.reason}"
            )
    for bound in BOUNDS:
        value = values_by_section[bound.section].get(bound.key)
        if value is not None and not bound.comparison(value, bound.limit_ms):
            yield (
                f"[{bound.section}] {bound.key}: {value} conflicts with the limit of"
                f" {bound.limit_ms} ms; {bound.reason}"
            )

"""Seeded fault schedules for a fleet of real processes."""

import enum
import random
from collections.abc import Collection, Iterator

import msgspec


class ComponentKind(enum.Enum):
    """The kind of component that a fault is injected into."""

    NODE = "node"
    TARGET = "target"
    PLATFORM = "platform"


class Fault(enum.Enum):
    """Kinds of faults; see :mod:`chiveridge_load.fault_injectors` for what each does."""

    KILL_NODE = "kill_node"
    FREEZE_NODE = "freeze_node"
    TERMINATE_NODE = "terminate_node"
    CUT_PEER = "cut_peer"
    SILENCE_PEER = "silence_peer"
    KILL_TARGET = "kill_target"
    FREEZE_TARGET = "freeze_target"
    CUT_TARGET = "cut_target"
    STALL_TARGET = "stall_target"
    SILENCE_TARGET = "silence_target"
    DROP_START_REPLIES = "drop_start_replies"
    SAY_LEAVING = "say_leaving"
    LIST_LEAVING = "list_leaving"
    CUT_PLATFORM = "cut_platform"
    STALL_PLATFORM = "stall_platform"
    LOG_DOWN = "log_down"
    DROP_APPEND_REPLIES = "drop_append_replies"


class FaultProfile(msgspec.Struct, frozen=True):
    """How a fault is drawn: kind of component, relative weight and range of its duration."""

    component_kind: ComponentKind
    weight: float
    min_duration_ms: int
    max_duration_ms: int


PROFILES_BY_FAULT = {
    Fault.KILL_NODE: FaultProfile(ComponentKind.NODE, 2, 100, 1500),
    Fault.FREEZE_NODE: FaultProfile(ComponentKind.NODE, 2, 200, 5000),
    Fault.TERMINATE_NODE: FaultProfile(ComponentKind.NODE, 1, 100, 1000),
    Fault.CUT_PEER: FaultProfile(ComponentKind.NODE, 1, 200, 3000),
    Fault.SILENCE_PEER: FaultProfile(ComponentKind.NODE, 1, 100, 1000),
    Fault.KILL_TARGET: FaultProfile(ComponentKind.TARGET, 2, 100, 2000),
    Fault.FREEZE_TARGET: FaultProfile(ComponentKind.TARGET, 2, 200, 4000),
    Fault.CUT_TARGET: FaultProfile(ComponentKind.TARGET, 3, 50, 2000),
    Fault.STALL_TARGET: FaultProfile(ComponentKind.TARGET, 2, 200, 4000),
    Fault.SILENCE_TARGET: FaultProfile(ComponentKind.TARGET, 2, 100, 1000),
    Fault.DROP_START_REPLIES: FaultProfile(ComponentKind.TARGET, 2, 100, 1000),
    Fault.SAY_LEAVING: FaultProfile(ComponentKind.TARGET, 1, 4000, 6000),
    Fault.LIST_LEAVING: FaultProfile(ComponentKind.TARGET, 2, 4000, 6000),
    Fault.CUT_PLATFORM: FaultProfile(ComponentKind.PLATFORM, 1, 500, 4000),
    Fault.STALL_PLATFORM: FaultProfile(ComponentKind.PLATFORM, 1, 500, 4000),
    Fault.LOG_DOWN: FaultProfile(ComponentKind.PLATFORM, 1, 500, 4000),
    Fault.DROP_APPEND_REPLIES: FaultProfile(ComponentKind.PLATFORM, 1, 100, 1000),
}


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """A scheduled fault; ``at_ms`` is its beginning, counted from the start of the run."""

    at_ms: int
    fault: Fault
    name: str
    duration_ms: int


def steps(
    rng: random.Random,
    names_by_component_kind: dict[ComponentKind, list[str]],
    mean_gap_ms: float,
    faults: Collection[Fault] = tuple(Fault),
    recovery_ms: int = 500,
) -> Iterator[Step]:
    """Yield steps in order of time, without end.

    A component has at most one fault at a time, and none for ``recovery_ms`` after each.
    """
    free_at_by_name: dict[str, int] = {}
    candidates = [fault for fault in Fault if fault in faults]
    weights = [PROFILES_BY_FAULT[fault].weight for fault in candidates]
    at_ms = 0
    while True:
        at_ms += round(rng.expovariate(1 / mean_gap_ms)) + 1
        fault = rng.choices(candidates, weights)[0]
        profile = PROFILES_BY_FAULT[fault]
        name = rng.choice(names_by_component_kind[profile.component_kind])
        duration_ms = rng.randint(profile.min_duration_ms, profile.max_duration_ms)
        if free_at_by_name.get(name, 0) <= at_ms:
            free_at_by_name[name] = at_ms + duration_ms + recovery_ms
            yield Step(at_ms=at_ms, fault=fault, name=name, duration_ms=duration_ms)

"""Messages between nodes on slots lent by the owners of targets, and on starts in progress."""

from typing import Annotated

import msgspec

from chiveridge_kernel import identifiers

# Short keys, as counts are much of the control traffic.
_START_COUNTS_KEYS_BY_FIELD = {
    "sender": "s",
    "sent_at_ms": "t",
    "is_full": "w",
    "count_by_target": "c",
}


class SlotRequest(msgspec.Struct, frozen=True, kw_only=True, tag="slot_request"):
    """Asks the owner of targets for slots; it replaces an earlier request of the demand.

    ``wanted`` 0 cancels. The owner serves requests by ``due_ms``, when the job would end
    without any wait; like ``arrived_at_ms`` it is in milliseconds since the Unix epoch.
    """

    sender: identifiers.NodeName
    demand_id: int
    team: identifiers.TeamName
    selector: str
    wanted: int
    arrived_at_ms: int
    due_ms: int
    memory_mb: int = 0
    cores: int = 0
    accelerators: int = 0


class SlotGrant(msgspec.Struct, frozen=True, kw_only=True, tag="slot_grant"):
    """Lends slots, one for each target named; ``free`` is what the owner has left.

    ``serial`` counts the owner's grants to this node from 1.
    """

    sender: identifiers.NodeName
    demand_id: int
    team: identifiers.TeamName
    serial: int
    targets: list[identifiers.TargetName]
    free: int


class SlotEnd(msgspec.Struct, frozen=True, array_like=True):
    """A slot given back, with what its start showed of the target."""

    target: identifiers.TargetName
    team: identifiers.TeamName
    outcome: str = ""
    run_ms: float = 0.0


class SlotReturn(msgspec.Struct, frozen=True, kw_only=True, tag="slot_return"):
    """Gives slots back to their owner; ``free`` is what the sender has left of its own."""

    sender: identifiers.NodeName
    ends: list[SlotEnd]
    free: int


class SlotReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="slot_report"):
    """All slots of the owner that the sender holds, as a correction of lost messages.

    ``last_serial`` is the last grant received from the owner, 0 for none. ``teams_by_target``
    says how many of the slots each team has; without it their teams are not known.
    """

    sender: identifiers.NodeName
    last_serial: int
    held_by_target: dict[identifiers.TargetName, int]
    free: int
    teams_by_target: dict[identifiers.TargetName, dict[identifiers.TeamName, int]] = {}


class StartCounts(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag="sc",
    rename=_START_COUNTS_KEYS_BY_FIELD.get,
):
    """Starts of the sender in progress by target: those that changed, or all when ``is_full``.

    ``sent_at_ms``, in milliseconds since the Unix epoch, puts the messages of a sender in order.
    """

    sender: identifiers.NodeName
    sent_at_ms: int
    is_full: bool = False
    count_by_target: dict[identifiers.TargetName, Annotated[int, msgspec.Meta(ge=0)]]

"""Messages between nodes about slots lent by target owners and about starts in progress."""

from typing import Annotated

import msgspec

from chiveridge_kernel import identifiers

# Short keys, because these messages are a large part of the control traffic.
_START_COUNTS_KEYS_BY_FIELD = {
    "sender": "s",
    "sent_at_ms": "t",
    "is_full": "w",
    "count_by_target": "c",
}


class SlotRequest(msgspec.Struct, frozen=True, kw_only=True, tag="slot_request"):
    """Requests slots from the owner of targets; replaces an earlier request of the demand.

    ``wanted`` 0 cancels the request. The owner serves requests in order of ``due_ms``, the time
    at which the job would end if it did not have to wait. ``due_ms`` and ``arrived_at_ms`` are
    in milliseconds since the Unix epoch.
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
    """Grants one slot for each entry of ``targets``; ``free`` counts the owner's free slots left.

    ``serial`` counts the owner's grants to this node from 1.
    """

    sender: identifiers.NodeName
    demand_id: int
    team: identifiers.TeamName
    serial: int
    targets: list[identifiers.TargetName]
    free: int


class SlotEnd(msgspec.Struct, frozen=True, array_like=True):
    """A released slot, with the outcome and run time of the start that used it."""

    target: identifiers.TargetName
    team: identifiers.TeamName
    outcome: str = ""
    run_ms: float = 0.0


class SlotReturn(msgspec.Struct, frozen=True, kw_only=True, tag="slot_return"):
    """Returns slots to their owner; ``free`` counts the free slots of the sender's own targets."""

    sender: identifiers.NodeName
    ends: list[SlotEnd]
    free: int


class SlotReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="slot_report"):
    """Lists all slots of the owner that the sender holds, which corrects lost messages.

    ``last_serial`` is the serial number of the last grant received from the owner, 0 for none.
    ``teams_by_target`` counts the held slots by team; without it their teams are unknown.
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
    """The sender's starts in progress by target: changed counts, or all when ``is_full``.

    ``sent_at_ms``, in milliseconds since the Unix epoch, orders the messages of a sender.
    """

    sender: identifiers.NodeName
    sent_at_ms: int
    is_full: bool = False
    count_by_target: dict[identifiers.TargetName, Annotated[int, msgspec.Meta(ge=0)]]

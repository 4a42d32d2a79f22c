"""One node as another sees it, with the state table of what is believed of it."""

import collections
import datetime
import enum

import msgspec

from chiveridge_kernel import identifiers, vms

MAX_FORMER_INCARNATIONS = 100


class MemberState(enum.Enum):
    """What this node believes of another; a wrong belief costs speed, never a promise.

    ``REPLACED`` means that the list shows a new address under the name and the node there has
    not been heard yet.
    """

    UNKNOWN = "unknown"
    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"
    REPLACED = "replaced"


class MemberSignal(enum.Enum):
    """Evidence about a node."""

    HEARD = "heard"
    RENEWED = "renewed"
    MOVED = "moved"
    GOODBYE = "goodbye"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    LOST = "lost"


_TRANSITIONS = {
    (MemberState.UNKNOWN, MemberSignal.HEARD): MemberState.LIVE,
    (MemberState.UNKNOWN, MemberSignal.UNREACHABLE): MemberState.SUSPECT,
    (MemberState.UNKNOWN, MemberSignal.SILENT): MemberState.SUSPECT,
    (MemberState.LIVE, MemberSignal.UNREACHABLE): MemberState.SUSPECT,
    (MemberState.LIVE, MemberSignal.SILENT): MemberState.SUSPECT,
    (MemberState.SUSPECT, MemberSignal.HEARD): MemberState.LIVE,
    (MemberState.SUSPECT, MemberSignal.LOST): MemberState.DEAD,
    (MemberState.DEAD, MemberSignal.HEARD): MemberState.LIVE,
    (MemberState.LEAVING, MemberSignal.LOST): MemberState.DEAD,
    (MemberState.REPLACED, MemberSignal.HEARD): MemberState.LIVE,
    (MemberState.REPLACED, MemberSignal.UNREACHABLE): MemberState.SUSPECT,
    (MemberState.REPLACED, MemberSignal.SILENT): MemberState.SUSPECT,
}
_TRANSITIONS |= {(state, MemberSignal.RENEWED): MemberState.LIVE for state in MemberState}
_TRANSITIONS |= {(state, MemberSignal.MOVED): MemberState.REPLACED for state in MemberState}
_TRANSITIONS |= {(state, MemberSignal.GOODBYE): MemberState.LEAVING for state in MemberState}

_SERVING_STATES = frozenset({MemberState.UNKNOWN, MemberState.LIVE, MemberState.REPLACED})


class Member(msgspec.Struct, kw_only=True):
    """One node; ``vm`` is where it is reached, None while that is not known.

    ``listed`` is its VM in the platform's list, and ``announced`` the one that a new incarnation
    told of itself, until the node confirms what was sent to either. ``domain`` is the last known.

    ``exited`` is what its last heartbeat tells: this incarnation runs no more.

    ``sent`` counts the heartbeats sent to it, ``echoed`` is the last of them that it has
    confirmed, and ``received`` the last that it sent here. ``announcements`` counts how often
    this incarnation of it was told where this node listens.
    """

    name: str
    vm: vms.Vm | None = None
    listed: vms.Vm | None = None
    announced: vms.Vm | None = None
    domain: str = ""
    state: MemberState = MemberState.UNKNOWN
    incarnation: identifiers.Incarnation | None = None
    former_incarnations: collections.deque[identifiers.Incarnation] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=MAX_FORMER_INCARNATIONS)
    )
    offset: int = 0
    sent: int = 0
    echoed: int = 0
    received: int = 0
    announcements: int = 0
    unreachable_at: int = 0
    heard_at: datetime.datetime | None = None
    proved_at: datetime.datetime | None = None
    reconnected_at: datetime.datetime | None = None
    exited: bool = False

    def signal(self, signal: MemberSignal) -> bool:
        """Follow the state table; tell whether the state changed."""
        before = self.state
        self.state = _TRANSITIONS.get((before, signal), before)
        return self.state is not before

    def serves(self) -> bool:
        """Tell whether the node is to be counted on."""
        listed = self.vm is not None and self.vm.state is vms.VmState.LIVE
        return listed and self.state in _SERVING_STATES

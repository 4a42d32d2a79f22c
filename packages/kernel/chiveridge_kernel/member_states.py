"""One member as another node sees it, with the state table of its liveness."""

import collections
import datetime
import enum

import msgspec

from chiveridge_kernel import identifiers, vms

MAX_FORMER_INCARNATIONS = 100


class MemberState(enum.Enum):
    """The assumed state of another node; a wrong one costs speed, but no guarantee is lost.

    ``UNKNOWN`` is the state of a listed node before its first heartbeat. ``REPLACED`` means that
    the list shows a new address under the name and no heartbeat from there has been confirmed.
    """

    UNKNOWN = "unknown"
    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"
    REPLACED = "replaced"


class MemberSignal(enum.Enum):
    """Evidence about a node.

    ``HEARD``: it confirmed a recent heartbeat. ``RENEWED``: a new incarnation was heard.
    ``MOVED``: its listed address changed. ``GOODBYE``: its heartbeat says that it is leaving.
    ``UNREACHABLE``: nothing can be sent to it. ``SILENT`` and ``LOST``: the timeouts after which
    it is suspect and counts as dead have passed.
    """

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
    """One node; ``vm`` is the address in use for it, None while there is none.

    ``listed`` is its VM in the platform's list. ``announced`` is the one that a new incarnation
    announced in its heartbeats; it is dropped once the node has confirmed a heartbeat that was
    sent to another address. ``domain`` is the last known failure domain.

    ``has_exited`` is set when its last heartbeat said that this incarnation has ended its tasks and
    starts no more.

    ``last_sent_sequence`` is the number of the last heartbeat sent to it, ``confirmed_sequence``
    that of the last one it echoed, and ``last_received_sequence`` that of its own last heartbeat.
    A later echo than ``unreachable_sequence`` shows that the node can be reached again.
    ``announcement_count`` counts the heartbeats that carried this node's endpoint to this
    incarnation. ``heard_at`` is the time of its last heartbeat, ``confirmed_at`` that of the last
    one that echoed a new sequence, and ``reconnected_at`` when the connection to it was last
    closed for silence.
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
    config_offset: int = 0
    last_sent_sequence: int = 0
    confirmed_sequence: int = 0
    last_received_sequence: int = 0
    announcement_count: int = 0
    unreachable_sequence: int = 0
    heard_at: datetime.datetime | None = None
    confirmed_at: datetime.datetime | None = None
    reconnected_at: datetime.datetime | None = None
    has_exited: bool = False

    def apply_signal(self, signal: MemberSignal) -> bool:
        """Apply a signal to the state; tell whether the state changed."""
        before = self.state
        self.state = _TRANSITIONS.get((before, signal), before)
        return self.state is not before

    def is_serving(self) -> bool:
        """Tell whether the node can be given work: listed as live and neither suspect nor gone."""
        listed = self.vm is not None and self.vm.state is vms.VmState.LIVE
        return listed and self.state in _SERVING_STATES

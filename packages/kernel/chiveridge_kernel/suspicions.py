"""How the owner of a target handles reports that the target is unreachable.

The report is part of the message that returns the slot of a failed start, so it costs no message
of its own. While the owner probes the suspect target itself, it lends none of its slots, but jobs
may wait for them. It holds the target, which then gets no new work for a while, only if other
nodes could not reach it either. See ``docs/design/membership.md``.
"""

import datetime
import enum

import msgspec

from chiveridge_kernel import (
    actions,
    identifiers,
    placements,
    slot_messages,
    target_messages,
    vms,
)

PROBE_TIMEOUT = datetime.timedelta(seconds=1)
"""Time after which a probe without any result is dropped and the suspicion is cleared."""

INDIRECT_PROBE_TIMEOUT = datetime.timedelta(milliseconds=1500)
INITIAL_HOLD = datetime.timedelta(seconds=1)
MAX_HOLD = datetime.timedelta(seconds=4)
WITNESS_LIFETIME = datetime.timedelta(seconds=30)
CONNECTIVITY_LIFETIME = datetime.timedelta(seconds=5)
"""Time after a reply from any target during which this node counts as a witness."""

INITIAL_IGNORE = datetime.timedelta(seconds=1)
MAX_IGNORE = datetime.timedelta(seconds=30)
REQUIRED_WITNESSES = 2
MAX_INDIRECT_PROBERS = 2

_REACHED_OUTCOMES = frozenset({"succeeded", "failed", "stopped"})
_UNREACHED_OUTCOMES = frozenset({"refused", "lost"})


class SuspectState(enum.Enum):
    """What the owner waits for before it decides on a suspect target.

    ``PROBED``: the result of its own probe. ``ASKED``: the replies of the nodes that it asked for
    indirect probes. ``HELD``: the end of a hold, when it probes again.
    """

    PROBED = "probed"
    ASKED = "asked"
    HELD = "held"


class _Suspect(msgspec.Struct):
    """A suspect target; its state ends at ``due``.

    ``witnesses`` maps each node that could not reach the target to when its report expires.
    ``awaited_nodes`` were asked for an indirect probe and have not replied.
    """

    vm: vms.Vm
    due: datetime.datetime
    state: SuspectState = SuspectState.PROBED
    was_held: bool = False
    witnesses: dict[str, datetime.datetime] = {}
    awaited_nodes: set[str] = set()
    hold_duration: datetime.timedelta = INITIAL_HOLD


class _IgnoredNode(msgspec.Struct):
    """How long the reports of a node are ignored, because its last ones were not confirmed."""

    until: datetime.datetime
    duration: datetime.timedelta


class Suspicions:
    """The suspect targets among those that this node owns."""

    def __init__(self, starter: placements.TaskStarter):
        self._starter = starter
        self._members = starter.members
        self._table = starter.target_table
        self._suspects_by_target: dict[str, _Suspect] = {}
        self._ignored_by_node: dict[str, _IgnoredNode] = {}
        self._reached_at: datetime.datetime | None = None

    def record_own_outcome(self, outcome: str, now: datetime.datetime) -> None:
        """Record the outcome of a start of this node, which shows whether it reached a target."""
        if outcome in _REACHED_OUTCOMES:
            self._reached_at = now

    def record_start_outcome(
        self, node: str, end: slot_messages.SlotEnd, now: datetime.datetime
    ) -> None:
        """Record the outcome of a start of any node on a target that this node owns."""
        vm = self._table.vms_by_name.get(end.target)
        if end.outcome not in _UNREACHED_OUTCOMES or vm is None or self._is_ignored(node, now):
            return
        suspect = self._suspects_by_target.get(end.target)
        if suspect is None:
            suspect = self._suspects_by_target[end.target] = _Suspect(vm, now)
            self._probe(suspect, now)
        suspect.witnesses[node] = now + WITNESS_LIFETIME

    def handle_probe_result(self, vm: vms.Vm, is_reachable: bool, now: datetime.datetime) -> None:
        """Handle the result of this node's own probe."""
        suspect = self._suspects_by_target.get(vm.name)
        if suspect is None or suspect.vm != vm or suspect.state is not SuspectState.PROBED:
            return
        if is_reachable:
            self._reached_at = now
            self._trust(suspect, now)
        elif suspect.was_held and self._is_confirmed_unreachable(suspect, now):
            self._hold(suspect, now)
        else:
            self._request_indirect_probes(suspect, now)

    def handle_probe_reply(
        self, message: target_messages.ProbeReply, now: datetime.datetime
    ) -> None:
        """Handle the result of an indirect probe by another node."""
        suspect = self._suspects_by_target.get(message.target)
        if suspect is None or message.sender not in suspect.awaited_nodes:
            return
        if (suspect.vm.address, suspect.vm.port) != (message.address, message.port):
            return
        if message.is_reachable:
            self._trust(suspect, now)
            return
        suspect.witnesses[message.sender] = now + WITNESS_LIFETIME
        suspect.awaited_nodes.discard(message.sender)
        if not suspect.awaited_nodes:
            self._decide(suspect, now)

    def tick(self, now: datetime.datetime) -> None:
        """Handle suspect targets whose state ends: probe again, decide, or clear them."""
        for name, suspect in list(self._suspects_by_target.items()):
            if suspect.due > now:
                continue
            if suspect.state is SuspectState.HELD:
                self._probe(suspect, now)
            elif suspect.state is SuspectState.ASKED:
                self._decide(suspect, now)
            else:
                self._clear_suspect(name)

    def next_wakeup_at(self) -> datetime.datetime | None:
        """Return when to call :meth:`tick` next."""
        return min((suspect.due for suspect in self._suspects_by_target.values()), default=None)

    def retain(self, owned: dict[str, vms.Vm]) -> None:
        """Drop targets that are not owned any more or were replaced, and unknown nodes."""
        for name, suspect in list(self._suspects_by_target.items()):
            if owned.get(name) != suspect.vm:
                self._clear_suspect(name)
        known = self._members.members_by_name.keys() | {self._members.own_name}
        for node in self._ignored_by_node.keys() - known:
            del self._ignored_by_node[node]

    def _probe(self, suspect: _Suspect, now: datetime.datetime) -> None:
        suspect.state = SuspectState.PROBED
        suspect.due = now + PROBE_TIMEOUT
        self._table.suspect(suspect.vm.name, suspect.due)
        self._starter.outbox.append(actions.ProbeTarget(target=suspect.vm))

    def _request_indirect_probes(self, suspect: _Suspect, now: datetime.datetime) -> None:
        """Ask nodes that are not witnesses for indirect probes; one success clears the target."""
        suspect.state = SuspectState.ASKED
        suspect.due = now + INDIRECT_PROBE_TIMEOUT
        self._table.suspect(suspect.vm.name, suspect.due)
        message = target_messages.ProbeRequest(
            sender=self._members.own_name,
            target=identifiers.TargetName(suspect.vm.name),
            address=suspect.vm.address,
            port=suspect.vm.port,
        )
        others = [
            node
            for node in self._other_live_names()
            if node not in _current_witnesses(suspect, now)
        ]
        suspect.awaited_nodes = set(
            self._starter.rng.sample(others, min(MAX_INDIRECT_PROBERS, len(others)))
        )
        for node in sorted(suspect.awaited_nodes):
            peer = self._members.find_vm(node)
            self._starter.outbox.append(actions.SendToPeer(peer=peer, message=message))
        if not suspect.awaited_nodes:
            self._decide(suspect, now)

    def _decide(self, suspect: _Suspect, now: datetime.datetime) -> None:
        """Hold a target if enough nodes could not reach it; otherwise clear its suspicion."""
        suspect.awaited_nodes = set()
        if self._is_confirmed_unreachable(suspect, now):
            self._hold(suspect, now)
        else:
            self._clear_suspect(suspect.vm.name)

    def _hold(self, suspect: _Suspect, now: datetime.datetime) -> None:
        suspect.state = SuspectState.HELD
        suspect.was_held = True
        suspect.due = now + suspect.hold_duration
        suspect.hold_duration = min(suspect.hold_duration * 2, MAX_HOLD)
        self._table.confirm_unreachable(
            suspect.vm.name, suspect.due + PROBE_TIMEOUT + INDIRECT_PROBE_TIMEOUT
        )
        for node in suspect.witnesses:
            self._ignored_by_node.pop(node, None)

    def _trust(self, suspect: _Suspect, now: datetime.datetime) -> None:
        """Clear a suspect; if it was never held, ignore its witnesses for a growing time."""
        self._clear_suspect(suspect.vm.name)
        if suspect.was_held:
            return
        for node in suspect.witnesses:
            known = self._ignored_by_node.get(node)
            duration = INITIAL_IGNORE if known is None else min(known.duration * 2, MAX_IGNORE)
            self._ignored_by_node[node] = _IgnoredNode(now + duration, duration)

    def _clear_suspect(self, target: str) -> None:
        del self._suspects_by_target[target]
        self._table.clear_suspicion(target)

    def _is_confirmed_unreachable(self, suspect: _Suspect, now: datetime.datetime) -> bool:
        """Tell whether enough nodes agree that a target is unreachable.

        This node counts only if it has reached a target recently, because otherwise it may itself
        be disconnected.
        """
        others = self._other_live_names()
        agreeing = len(_current_witnesses(suspect, now).intersection(others))
        is_connected = (
            self._reached_at is not None and now - self._reached_at < CONNECTIVITY_LIFETIME
        )
        required = REQUIRED_WITNESSES - 1 if is_connected else REQUIRED_WITNESSES
        return agreeing >= min(required, len(others))

    def _is_ignored(self, node: str, now: datetime.datetime) -> bool:
        ignored = self._ignored_by_node.get(node)
        return ignored is not None and now < ignored.until

    def _other_live_names(self) -> list[str]:
        """Return the names of the other live nodes of the domain."""
        own_name = self._members.own_name
        names = self._members.live_names(self._members.own_domain)
        return [name for name in names if name != own_name]


def _current_witnesses(suspect: _Suspect, now: datetime.datetime) -> set[str]:
    return {node for node, until in suspect.witnesses.items() if now < until}

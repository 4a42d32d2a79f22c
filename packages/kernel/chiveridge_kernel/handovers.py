"""Handover of a stopping node to its peers: its stored answers and the ids that it admitted.

A node hands over once it has drained, so it has no job in progress and admits no more. Its set of
admitted ids is therefore final: a peer that has all parts of the handover can prove that the job
of an id outside this set never ran.
"""

import datetime

import msgspec

from chiveridge_kernel import (
    answers,
    clocks,
    errors,
    identifiers,
    ledgers,
    member_states,
    members,
    peers,
    results,
    submission_ids,
    vms,
)

MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_PART_BYTES = 512 * 1024
MAX_KEPT_HANDOVERS = 100
RESEND_INTERVAL = datetime.timedelta(milliseconds=100)
RECONNECT_INTERVAL = datetime.timedelta(milliseconds=500)
"""Time without a confirmation from a peer after which its connection is replaced."""

REMAINING_PEERS_LINGER = datetime.timedelta(milliseconds=300)
DEFAULT_LINGER = datetime.timedelta(seconds=3)
MAX_PEERS_OUTSIDE_DOMAIN = 2
"""Nodes of other domains that get a handover when no node of the own domain serves."""

_DEPARTED_STATES = frozenset({member_states.MemberState.DEAD, member_states.MemberState.LEAVING})


def choose_peers(table: members.MemberTable) -> list[vms.Vm]:
    """Return the nodes to which a stopping node sends its handover.

    These are the nodes of its domain, including suspect ones, because only the connection to them
    may have failed. If none of them serves, a few nodes of other domains are added.
    """
    candidates = [member for member in table.others_in_domain() if _accepts_handover(member)]
    chosen = [member.vm for member in candidates]
    if not any(member.is_serving() for member in candidates):
        chosen += _peers_outside_domain(table)
    return chosen


def _accepts_handover(member: member_states.Member) -> bool:
    return member.vm.state is vms.VmState.LIVE and member.state not in _DEPARTED_STATES


def _peers_outside_domain(table: members.MemberTable) -> list[vms.Vm]:
    remote_vms = [member.vm for member in table.others_outside_domain() if member.is_serving()]
    return sorted(remote_vms, key=lambda vm: vm.name)[:MAX_PEERS_OUTSIDE_DOMAIN]


def make_parts(
    sender: identifiers.NodeName,
    incarnation: identifiers.Incarnation,
    admitted: dict[int, bytes],
    kept: dict[identifiers.SubmissionId, answers.StoredAnswer],
    made_at: datetime.datetime,
) -> list[peers.Handover]:
    """Split a handover into messages; the first carries the admitted ids."""
    groups: list[list[peers.HandoverAnswer]] = [[]]
    size = 0
    for submission_id, answer in kept.items():
        size += len(answer.body)
        if groups[-1] and size > MAX_PART_BYTES:
            groups.append([])
            size = len(answer.body)
        groups[-1].append(
            peers.HandoverAnswer(submission_id, answer.team, answer.code, answer.body)
        )
    return [
        peers.Handover(
            sender=sender,
            incarnation=incarnation,
            part=number,
            part_count=len(groups),
            made_at_ms=clocks.to_epoch_ms(made_at),
            admitted=admitted if number == 0 else {},
            answers=group,
        )
        for number, group in enumerate(groups)
    ]


class HandoverSender:
    """Resends the parts of a handover until they are confirmed or ``linger`` has passed.

    Once one peer has confirmed all parts, the others get :data:`REMAINING_PEERS_LINGER` more.
    """

    def __init__(
        self,
        parts: list[peers.Handover],
        to_peers: list[vms.Vm],
        now: datetime.datetime,
        linger: datetime.timedelta,
    ):
        self.due = now
        self._linger_until = now + linger
        self._parts = parts
        self._missing_by_peer: dict[str, set[int]] = {}
        self._peers_by_name: dict[str, vms.Vm] = {}
        self._reconnect_at = now + RECONNECT_INTERVAL
        self._confirming_names: set[str] = set()
        self.set_peers(to_peers)

    def set_peers(self, to_peers: list[vms.Vm]) -> None:
        """Replace the peers; a peer whose VM has changed gets every part again."""
        known = self._peers_by_name
        self._missing_by_peer = {
            vm.name: (
                self._missing_by_peer[vm.name] if known.get(vm.name) == vm else self._part_numbers()
            )
            for vm in to_peers
        }
        self._peers_by_name = {vm.name: vm for vm in to_peers}

    def pop_silent_peers(self, now: datetime.datetime) -> list[vms.Vm]:
        """Return the peers whose connection should be replaced; each interval returns them once."""
        if now < self._reconnect_at:
            return []
        self._reconnect_at = now + RECONNECT_INTERVAL
        confirming_names, self._confirming_names = self._confirming_names, set()
        return [
            self._peers_by_name[name]
            for name, missing in self._missing_by_peer.items()
            if missing and name not in confirming_names
        ]

    def messages_due(self, now: datetime.datetime) -> list[tuple[vms.Vm, peers.Handover]]:
        """Return the unconfirmed parts with their peers, at most once per resend interval."""
        if now < self.due:
            return []
        self.due = now + RESEND_INTERVAL
        return [
            (self._peers_by_name[name], self._parts[number])
            for name, missing in self._missing_by_peer.items()
            for number in sorted(missing)
        ]

    def confirm_part(self, message: peers.HandoverKept, now: datetime.datetime) -> None:
        """Record that a peer has stored a part."""
        missing = self._missing_by_peer.get(message.sender)
        if not missing:
            return
        self._confirming_names.add(message.sender)
        missing.discard(message.part)
        if not missing:
            self._linger_until = min(self._linger_until, now + REMAINING_PEERS_LINGER)

    def is_finished(self, now: datetime.datetime) -> bool:
        """Tell whether every peer has confirmed every part or the time is over."""
        return now >= self._linger_until or not any(self._missing_by_peer.values())

    def _part_numbers(self) -> set[int]:
        return {part.part for part in self._parts}


class _ReceivedHandover(msgspec.Struct):
    """The received part of a handover."""

    expires_at: datetime.datetime
    made_at_ms: int
    parts_missing: set[int]
    admitted: dict[int, bytes] = {}


class HandoverTable:
    """Received handovers of stopped nodes, kept until every id that they issued has expired."""

    def __init__(self, answer_store: answers.AnswerStore):
        self._answers = answer_store
        self._received_by_incarnation: dict[identifiers.Incarnation, _ReceivedHandover] = {}

    def store_part(self, message: peers.Handover, now: datetime.datetime) -> None:
        """Store a part; a repeated part changes nothing."""
        received = self._received_by_incarnation.get(message.incarnation)
        if received is None:
            self._evict_oldest()
            expires_at = now + submission_ids.ID_LIFETIME
            received = _ReceivedHandover(
                expires_at, message.made_at_ms, set(range(message.part_count))
            )
            self._received_by_incarnation[message.incarnation] = received
        received.parts_missing.discard(message.part)
        received.admitted = received.admitted or message.admitted
        for answer in message.answers:
            kept = answers.StoredAnswer(team=answer.team, code=answer.code, body=answer.body)
            self._answers.put(answer.submission_id, kept)

    def find_answer(
        self,
        submission_id: identifiers.SubmissionId,
        team: identifiers.TeamName,
        now: datetime.datetime,
    ) -> answers.StoredAnswer | None:
        """Return the answer to a submission to a stopped node, or None when it is not known here.

        :raises errors.RefusedError: when the complete handover of the issuer has no answer to it.
        """
        answer = self._answers.find(submission_id)
        if answer is not None and answer.team == team:
            return answer
        issued = submission_ids.parse(submission_id)
        received = self._received_by_incarnation.get(issued.incarnation)
        if received is None or received.parts_missing:
            return None
        if issued.expires_at_ms <= max(received.made_at_ms, clocks.to_epoch_ms(now)):
            raise submission_ids.expired_id_error()
        raise _make_refusal(ledgers.is_set_in_bitmaps(received.admitted, issued.serial))

    def drop_expired(self, now: datetime.datetime) -> None:
        """Drop handovers whose ids have all expired."""
        for incarnation, received in list(self._received_by_incarnation.items()):
            if received.expires_at <= now:
                del self._received_by_incarnation[incarnation]

    def _evict_oldest(self) -> None:
        if len(self._received_by_incarnation) >= MAX_KEPT_HANDOVERS:
            del self._received_by_incarnation[next(iter(self._received_by_incarnation))]


def _make_refusal(was_admitted: bool) -> errors.RefusedError:
    if was_admitted:
        message = "the node that ran the job has stopped and the answer is no longer kept"
        return errors.RefusedError(
            results.ResultCode.ANSWER_NOT_KEPT, message, ran=results.TaskOutcome.UNKNOWN
        )
    message = "the node that issued the id has stopped and never started the job"
    return errors.RefusedError(results.ResultCode.ISSUER_GONE, message, 0)

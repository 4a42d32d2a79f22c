"""What a node leaves with its peers when it stops: kept answers, and which ids were admitted.

A node that drains has nothing in progress and admits nothing more, so its list of admitted ids
is final: a peer that holds the whole of it can prove that a job under another id never ran.
"""

import datetime

import msgspec

from chiveridge_kernel import (
    answers,
    errors,
    identifiers,
    ledgers,
    peers,
    results,
    submissions,
    vms,
)

MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_PART_BYTES = 512 * 1024
MAX_KEPT_HANDOVERS = 100
RESEND_INTERVAL = datetime.timedelta(milliseconds=100)
OTHERS_LINGER = datetime.timedelta(milliseconds=300)
DEFAULT_LINGER = datetime.timedelta(seconds=3)
FOREIGN_PEERS = 2
"""Nodes of other domains that get a handover when there is no other in the own domain."""


def choose_peers(
    own: identifiers.NodeName, domain: identifiers.DomainName, listed: list[vms.Vm]
) -> list[vms.Vm]:
    """Return the nodes that a node hands over to: those of its domain, or a few others."""
    others = [vm for vm in listed if vm.state is vms.VmState.LIVE and vm.name != own]
    near = [vm for vm in others if vm.domain == domain]
    return near or sorted(others, key=lambda vm: vm.name)[:FOREIGN_PEERS]


def parts_of(
    sender: identifiers.NodeName,
    incarnation: identifiers.Incarnation,
    admitted: dict[int, bytes],
    kept: dict[identifiers.SubmissionId, answers.KeptAnswer],
) -> list[peers.Handover]:
    """Return the messages of a handover; the first carries the admitted ids."""
    groups: list[list[peers.HandedAnswer]] = [[]]
    size = 0
    for submission_id, answer in kept.items():
        size += len(answer.body)
        if groups[-1] and size > MAX_PART_BYTES:
            groups.append([])
            size = len(answer.body)
        groups[-1].append(peers.HandedAnswer(submission_id, answer.team, answer.code, answer.body))
    return [
        peers.Handover(
            sender=sender,
            incarnation=incarnation,
            part=number,
            part_count=len(groups),
            admitted=admitted if number == 0 else {},
            answers=group,
        )
        for number, group in enumerate(groups)
    ]


class Sender:
    """Sends the parts of a handover again and again until they are confirmed or time is over.

    Once one peer has all of it, the others get a short time more.
    """

    def __init__(
        self,
        parts: list[peers.Handover],
        to_peers: list[vms.Vm],
        now: datetime.datetime,
        linger: datetime.timedelta,
    ):
        self.due = now
        self._until = now + linger
        self._parts = parts
        self._missing_by_peer = {vm.name: {part.part for part in parts} for vm in to_peers}
        self._peers_by_name = {vm.name: vm for vm in to_peers}

    def messages_due(self, now: datetime.datetime) -> list[tuple[vms.Vm, peers.Handover]]:
        """Return what to send now."""
        if now < self.due:
            return []
        self.due = now + RESEND_INTERVAL
        return [
            (self._peers_by_name[name], self._parts[number])
            for name, missing in self._missing_by_peer.items()
            for number in sorted(missing)
        ]

    def confirmed(self, message: peers.HandoverKept, now: datetime.datetime) -> None:
        """Learn that a peer keeps a part."""
        missing = self._missing_by_peer.get(message.sender)
        if not missing:
            return
        missing.discard(message.part)
        if not missing:
            self._until = min(self._until, now + OTHERS_LINGER)

    def is_over(self, now: datetime.datetime) -> bool:
        """Tell whether the node need not stay for the handover any more."""
        return now >= self._until or not any(self._missing_by_peer.values())


class _Received(msgspec.Struct):
    """Parts of a handover that have arrived."""

    expires_at: datetime.datetime
    parts_missing: set[int]
    admitted: dict[int, bytes] = {}


class HandoverTable:
    """Handovers of nodes that have stopped, until every id they issued has expired."""

    def __init__(self, answer_store: answers.AnswerStore):
        self._answers = answer_store
        self._received_by_incarnation: dict[identifiers.Incarnation, _Received] = {}

    def receive(self, message: peers.Handover, now: datetime.datetime) -> None:
        """Keep a part; one that comes again changes nothing."""
        received = self._received_by_incarnation.get(message.incarnation)
        if received is None:
            self._make_room()
            expires_at = now + submissions.ID_LIFETIME
            received = _Received(expires_at, set(range(message.part_count)))
            self._received_by_incarnation[message.incarnation] = received
        received.parts_missing.discard(message.part)
        received.admitted = received.admitted or message.admitted
        for found in message.answers:
            kept = answers.KeptAnswer(team=found.team, code=found.code, body=found.body)
            self._answers.put(found.submission_id, kept)

    def find(
        self,
        submission_id: identifiers.SubmissionId,
        team: identifiers.TeamName,
        now: datetime.datetime,
    ) -> answers.KeptAnswer | None:
        """Return the answer to a submission to a node that has stopped, or None.

        :raises errors.RefusedError: when the handover tells that there is no answer to find.
        """
        answer = self._answers.find(submission_id)
        if answer is not None and answer.team == team:
            return answer
        issued = submissions.parse(submission_id)
        received = self._received_by_incarnation.get(issued.incarnation)
        if received is None or received.parts_missing or received.expires_at <= now:
            return None
        raise _refusal(ledgers.is_marked(received.admitted, issued.serial))

    def forget_expired(self, now: datetime.datetime) -> None:
        """Forget handovers of which no id can be used any more."""
        for incarnation, received in list(self._received_by_incarnation.items()):
            if received.expires_at <= now:
                del self._received_by_incarnation[incarnation]

    def _make_room(self) -> None:
        if len(self._received_by_incarnation) >= MAX_KEPT_HANDOVERS:
            del self._received_by_incarnation[next(iter(self._received_by_incarnation))]


def _refusal(was_admitted: bool) -> errors.RefusedError:
    if was_admitted:
        message = "the node that ran the job has stopped and the answer is no longer kept"
        return errors.RefusedError(
            results.ResultCode.ANSWER_NOT_KEPT, message, ran=results.TaskOutcome.UNKNOWN
        )
    message = "the node that issued the id has stopped and never started the job"
    return errors.RefusedError(results.ResultCode.ISSUER_GONE, message, 0)

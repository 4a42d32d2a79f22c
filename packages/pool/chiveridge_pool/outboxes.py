"""Outgoing actions and messages, including messages of this node to itself."""

import collections
import datetime
from collections.abc import Callable

from chiveridge_kernel import clocks
from chiveridge_pool import (
    actions,
    end_proofs,
    grants,
    identifiers,
    members,
    messages,
    notes,
    runs,
)


class Outbox:
    """Collects actions, routes messages and batches the ends of grants by receiving node."""

    def __init__(self, table: members.Membership):
        self._members = table
        self._actions: list[actions.Action] = []
        self._ends_by_node: dict[identifiers.NodeId, list[tuple[identifiers.GrantId, str]]] = {}
        self._proofs_by_node: dict[identifiers.NodeId, dict[identifiers.GrantId, str]] = {}
        self.own_messages: collections.deque[messages.AnyMessage] = collections.deque()
        self.introduce: Callable[[members.Member], None] = _no_introduction

    def add(self, action: actions.Action) -> None:
        """Add an action."""
        self._actions.append(action)

    def note(self, event: notes.NoteEvent, **fields: object) -> None:
        """Add a log event."""
        self._actions.append(actions.Note(event=event, fields=fields))

    def send(self, node: identifiers.NodeId, message: messages.AnyMessage) -> None:
        """Send a message to a node; drop it if the node is unknown."""
        if node == self._members.own_id:
            self.own_messages.append(message)
            return
        member = self._members.by_id.get(node)
        if member is not None:
            self.introduce(member)
            self.add(actions.SendMessage(endpoint=member.endpoint, message=message))

    def notify_unanswered(self, grant: grants.Grant, now: datetime.datetime) -> None:
        """Tell a job's node if a start got no reply, as it has to know if this owner is lost."""
        if grant.attempts.may_be_executed(now):
            grant.unanswered_told_at = now
            message = messages.StartsUnanswered(
                sender=self._members.own_id,
                grants=(grant.id,),
                executable_for_ms=clocks.to_ms(grant.attempts.executable_until(now) - now),
            )
            self.send(grant.node, message)

    def queue_end(
        self,
        node: identifiers.NodeId,
        grant: identifiers.GrantId,
        how: runs.RunEnd,
        proof: end_proofs.EndProof,
    ) -> None:
        """Queue the end of a grant for a job's coordinating node, until the next flush.

        Only :mod:`chiveridge_pool.run_ends` calls this, as the proof has to suffice.
        """
        self._ends_by_node.setdefault(node, []).append((grant, how.value))
        if how is not runs.RunEnd.DONE:
            self._proofs_by_node.setdefault(node, {})[grant] = proof.value

    def flush_ends(self) -> None:
        """Send the queued ends of grants, one message per node."""
        batches, self._ends_by_node = self._ends_by_node, {}
        proofs_by_node, self._proofs_by_node = self._proofs_by_node, {}
        for node, ends in batches.items():
            message = messages.RunsEnded(
                sender=self._members.own_id, ends=tuple(ends), proofs=proofs_by_node.get(node, {})
            )
            self.send(node, message)

    def take_actions(self) -> list[actions.Action]:
        """Return and clear the collected actions."""
        taken, self._actions = self._actions, []
        return taken


def _no_introduction(member: members.Member) -> None:
    """Send nothing before the first message to a member."""

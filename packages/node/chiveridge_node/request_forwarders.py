"""Forwards requests to the node that issued their submission id."""

import enum
from collections.abc import Awaitable, Callable

import msgspec

from chiveridge_kernel import (
    clocks,
    identifiers,
    kernels,
    member_states,
    peers,
    results,
    submission_ids,
    vms,
)

FIRST_POLL_MS = 1000
MAX_POLL_MS = 4000
REPLY_MARGIN_MS = 1000
MAX_UNANSWERED_ATTEMPTS = 2

RequestSender = Callable[[vms.Vm, peers.CallerRequest, int], Awaitable[peers.CallerReply | None]]
"""Sends a request to a peer; returns None if no reply arrives within the given milliseconds."""


class NoReplyReason(enum.Enum):
    """Why there is no reply from the issuer of a submission id."""

    EXPIRED = "expired"
    GONE = "gone"
    UNREACHABLE = "unreachable"


class Forwarder:
    """Forwards requests to the nodes that issued their submission ids.

    A long wait is split into short polls, so that a silent connection is detected. Each poll may
    be sent again, because a submission id is used only once, however often it arrives.
    """

    def __init__(self, kernel: kernels.Kernel, clock: clocks.Clock):
        self.send_request: RequestSender | None = None
        self._kernel = kernel
        self._clock = clock

    async def forward(
        self, issued: submission_ids.IssuedId, request: peers.CallerRequest
    ) -> peers.CallerReply | NoReplyReason:
        """Return the issuer's reply, or the reason why there is none."""
        if issued.expires_at_ms <= clocks.to_epoch_ms(self._clock.now()):
            return NoReplyReason.EXPIRED
        unanswered = 0
        remaining_ms = request.wait_ms
        max_poll_ms = FIRST_POLL_MS
        while unanswered < MAX_UNANSWERED_ATTEMPTS:
            issuer = self._find_issuer(issued)
            if isinstance(issuer, NoReplyReason):
                return issuer
            poll_ms = min(remaining_ms, max_poll_ms)
            poll = msgspec.structs.replace(request, wait_ms=poll_ms)
            reply = await self.send_request(issuer, poll, poll_ms + REPLY_MARGIN_MS)
            if reply is None:
                unanswered += 1
                continue
            remaining_ms -= poll_ms
            if reply.code is not results.ResultCode.ACCEPTED or remaining_ms <= 0:
                return reply
            unanswered = 0
            max_poll_ms = MAX_POLL_MS
            request = msgspec.structs.replace(request, operation=peers.Operation.QUERY, body=b"")
        return NoReplyReason.UNREACHABLE

    async def ask_successor(
        self, issued: submission_ids.IssuedId, request: peers.CallerRequest
    ) -> peers.CallerReply | None:
        """Return the reply of a node that may hold the handover of a stopped issuer, or None.

        Any request may be sent to another node, because only the issuer starts jobs.
        """
        table = self._kernel.members
        candidates = table.serving_nodes_near(issued.node)
        # A node in the issuer's domain got the handover itself and need not ask for it, unless it
        # replaced the issuer under the same name.
        is_handover_local = (
            issued.node != table.own_name
            and candidates
            and candidates[0].domain == table.own_domain
        )
        if not candidates or is_handover_local:
            return None
        peer = candidates[issued.serial % len(candidates)]
        immediate = msgspec.structs.replace(request, wait_ms=0)
        reply = await self.send_request(peer, immediate, REPLY_MARGIN_MS)
        unreachable = results.ResultCode.ISSUER_UNREACHABLE
        return None if reply is None or reply.code is unreachable else reply

    def _find_issuer(self, issued: submission_ids.IssuedId) -> vms.Vm | NoReplyReason:
        table = self._kernel.members
        if table.was_replaced(issued.node, issued.incarnation):
            return NoReplyReason.GONE
        member = table.members_by_name.get(issued.node)
        if member is None or member.vm is None or member.state is member_states.MemberState.DEAD:
            return NoReplyReason.UNREACHABLE
        return member.vm


def no_reply_reason(
    issued: submission_ids.IssuedId, own_incarnation: identifiers.Incarnation
) -> NoReplyReason | None:
    """Return why a request that was forwarded to this node cannot be served, or None if it can.

    An id issued by an earlier incarnation is gone. One issued by a later incarnation means that
    this node is itself the one that was replaced, so it does not know the outcome.
    """
    if issued.incarnation == own_incarnation:
        return None
    return NoReplyReason.GONE if issued.incarnation < own_incarnation else NoReplyReason.UNREACHABLE

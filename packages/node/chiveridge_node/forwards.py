"""Has a request served by the node that issued its submission id."""

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
    submissions,
    vms,
)

FIRST_POLL_MS = 1000
MAX_POLL_MS = 4000
REPLY_MARGIN_MS = 1000
MAX_UNANSWERED_ATTEMPTS = 2

Exchange = Callable[[vms.Vm, peers.CallerRequest, int], Awaitable[peers.CallerReply | None]]
"""Sends a request to a peer; returns None when no reply came in so many milliseconds."""


class NoReplyReason(enum.Enum):
    """Why the issuer does not reply."""

    EXPIRED = "expired"
    GONE = "gone"
    UNREACHABLE = "unreachable"


class Forwarder:
    """Forwards requests to issuers.

    A long wait is made of short exchanges, so that a silent connection is noticed. Each may
    be sent again, as a submission id is used once however often it arrives.
    """

    def __init__(self, kernel: kernels.Kernel, clock: clocks.Clock):
        self.exchange: Exchange | None = None
        self._kernel = kernel
        self._clock = clock

    async def forward(
        self, issued: submissions.IssuedId, request: peers.CallerRequest
    ) -> peers.CallerReply | NoReplyReason:
        """Return the issuer's reply, or why there is none."""
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
            reply = await self.exchange(issuer, poll, poll_ms + REPLY_MARGIN_MS)
            if reply is None:
                unanswered += 1
                continue
            remaining_ms -= poll_ms
            if reply.code is not results.ResultCode.ACCEPTED or remaining_ms <= 0:
                return reply
            unanswered = 0
            max_poll_ms = MAX_POLL_MS
            request = msgspec.structs.replace(request, operation=peers.Operation.ASK, body=b"")
        return NoReplyReason.UNREACHABLE

    async def ask_successor(
        self, issued: submissions.IssuedId, request: peers.CallerRequest
    ) -> peers.CallerReply | None:
        """Ask a node near an issuer that has stopped for what was left there, or return None.

        Only the issuer starts jobs, so that any request may be sent to another node.
        """
        table = self._kernel.members
        candidates = table.serving_near(issued.node)
        # A node of the issuer's domain has what was left there, unless it is the one replaced.
        is_handover_local = (
            issued.node != table.own_name
            and candidates
            and candidates[0].domain == table.own_domain
        )
        if not candidates or is_handover_local:
            return None
        peer = candidates[issued.serial % len(candidates)]
        immediate = msgspec.structs.replace(request, wait_ms=0)
        reply = await self.exchange(peer, immediate, REPLY_MARGIN_MS)
        unreachable = results.ResultCode.ISSUER_UNREACHABLE
        return None if reply is None or reply.code is unreachable else reply

    def _find_issuer(self, issued: submissions.IssuedId) -> vms.Vm | NoReplyReason:
        table = self._kernel.members
        if table.was_replaced(issued.node, issued.incarnation):
            return NoReplyReason.GONE
        member = table.members_by_name.get(issued.node)
        if member is None or member.vm is None or member.state is member_states.MemberState.DEAD:
            return NoReplyReason.UNREACHABLE
        return member.vm


def no_reply_reason(
    issued: submissions.IssuedId, own_incarnation: identifiers.Incarnation
) -> NoReplyReason | None:
    """Return why a request that was forwarded here cannot be served, or None when it can.

    An id of an earlier incarnation is lost. One of a later incarnation means that this node
    is the one that was replaced, so that it cannot tell.
    """
    if issued.incarnation == own_incarnation:
        return None
    return NoReplyReason.GONE if issued.incarnation < own_incarnation else NoReplyReason.UNREACHABLE

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
    submission_ids,
    vms,
)

FIRST_SLICE_MS = 1000
SLICE_MS = 4000
REPLY_MARGIN_MS = 1000
MAX_SILENT_TRIES = 2

Exchange = Callable[[vms.Vm, peers.CallerRequest, int], Awaitable[peers.CallerReply | None]]
"""Sends a request to a peer; returns None when no reply came in so many milliseconds."""


class NoReply(enum.Enum):
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

    async def perform(
        self, issued: submission_ids.IssuedId, request: peers.CallerRequest
    ) -> peers.CallerReply | NoReply:
        """Return the issuer's reply, or why there is none."""
        if issued.expires_at_ms <= clocks.to_epoch_ms(self._clock.now()):
            return NoReply.EXPIRED
        silent_tries = 0
        left_ms = request.wait_ms
        longest_ms = FIRST_SLICE_MS
        while silent_tries < MAX_SILENT_TRIES:
            found = self._find(issued)
            if isinstance(found, NoReply):
                return found
            slice_ms = min(left_ms, longest_ms)
            part = msgspec.structs.replace(request, wait_ms=slice_ms)
            reply = await self.exchange(found, part, slice_ms + REPLY_MARGIN_MS)
            if reply is None:
                silent_tries += 1
                continue
            left_ms -= slice_ms
            if reply.code is not results.ResultCode.ACCEPTED or left_ms <= 0:
                return reply
            silent_tries = 0
            longest_ms = SLICE_MS
            request = msgspec.structs.replace(request, operation=peers.Operation.ASK, body=b"")
        return NoReply.UNREACHABLE

    async def ask_near(
        self, issued: submission_ids.IssuedId, request: peers.CallerRequest
    ) -> peers.CallerReply | None:
        """Ask a node near an issuer that has stopped for what was left there, or return None.

        Only the issuer starts jobs, so that any request may be sent to another node.
        """
        table = self._kernel.members
        near = table.serving_nodes_near(issued.node)
        # A node of the issuer's domain has what was left there, unless it is the one replaced.
        has_it = issued.node != table.own_name and near and near[0].domain == table.own_domain
        if not near or has_it:
            return None
        chosen = near[issued.serial % len(near)]
        short = msgspec.structs.replace(request, wait_ms=0)
        reply = await self.exchange(chosen, short, REPLY_MARGIN_MS)
        unreachable = results.ResultCode.ISSUER_UNREACHABLE
        return None if reply is None or reply.code is unreachable else reply

    def _find(self, issued: submission_ids.IssuedId) -> vms.Vm | NoReply:
        table = self._kernel.members
        if table.was_replaced(issued.node, issued.incarnation):
            return NoReply.GONE
        member = table.members_by_name.get(issued.node)
        if member is None or member.vm is None or member.state is member_states.MemberState.DEAD:
            return NoReply.UNREACHABLE
        return member.vm


def verdict_on(issued: submission_ids.IssuedId, own: identifiers.Incarnation) -> NoReply | None:
    """Return why a request that was forwarded here cannot be served, or None when it can.

    An id of an earlier incarnation is lost. One of a later incarnation means that this node
    is the one that was replaced, so that it cannot tell.
    """
    if issued.incarnation == own:
        return None
    return NoReply.GONE if issued.incarnation < own else NoReply.UNREACHABLE

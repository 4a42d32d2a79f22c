"""Replies to callers' requests: answers and refusals."""

import msgspec

from chiveridge_kernel import errors, messages, peers, results, submission_ids
from chiveridge_node import request_forwarders

RETRY_AFTER_MS = 1000

_CODES_BY_REASON = {
    request_forwarders.NoReplyReason.EXPIRED: results.ResultCode.SUBMISSION_ID_EXPIRED,
    request_forwarders.NoReplyReason.GONE: results.ResultCode.ISSUER_GONE,
    request_forwarders.NoReplyReason.UNREACHABLE: results.ResultCode.ISSUER_UNREACHABLE,
}

_MESSAGES_BY_REASON = {
    request_forwarders.NoReplyReason.EXPIRED: "submission_id: it has expired",
    request_forwarders.NoReplyReason.GONE: (
        "node {node!r}, which issued the id, was replaced; nothing more of it will start"
    ),
    request_forwarders.NoReplyReason.UNREACHABLE: (
        "node {node!r}, which issued the id, cannot be reached; ask again with the same id"
    ),
}


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A reply to a caller: a result code and a JSON body with an answer or a refusal."""

    code: results.ResultCode
    body: bytes
    retry_after_ms: int | None = None
    refused: bool = False


def from_refusal(error: errors.RefusedError) -> Reply:
    """Return the reply for a refusal."""
    return Reply(
        code=error.code,
        body=messages.encoder.encode(messages.refusal_of(error)),
        retry_after_ms=error.retry_after_ms,
        refused=True,
    )


def outcome_unknown(
    code: results.ResultCode, message: str, retry_after_ms: int | None = None
) -> Reply:
    """Return the refusal of a request that may or may not have run."""
    unknown_outcome = results.TaskOutcome.UNKNOWN
    return from_refusal(errors.RefusedError(code, message, retry_after_ms, unknown_outcome))


def from_peer(reply: peers.CallerReply) -> Reply:
    """Return the reply received from another node."""
    return Reply(
        code=reply.code,
        body=reply.body,
        retry_after_ms=reply.retry_after_ms,
        refused=reply.refused,
    )


def from_no_reply(
    reason: request_forwarders.NoReplyReason, issued: submission_ids.IssuedId
) -> Reply:
    """Return the reply to send when there is none from the issuer of an id."""
    code = _CODES_BY_REASON[reason]
    message = _MESSAGES_BY_REASON[reason].format(node=issued.node)
    retry_after_ms = (
        RETRY_AFTER_MS if reason is request_forwarders.NoReplyReason.UNREACHABLE else None
    )
    return outcome_unknown(code, message, retry_after_ms)

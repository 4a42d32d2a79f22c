"""Replies to callers' requests, answers and refusals."""

import msgspec

from chiveridge_kernel import errors, messages, peers, results, submission_ids
from chiveridge_node import forwards

RETRY_AFTER_MS = 1000

_CODES_BY_REASON = {
    forwards.NoReply.EXPIRED: results.ResultCode.SUBMISSION_ID_EXPIRED,
    forwards.NoReply.GONE: results.ResultCode.ISSUER_GONE,
    forwards.NoReply.UNREACHABLE: results.ResultCode.ISSUER_UNREACHABLE,
}

_MESSAGES_BY_REASON = {
    forwards.NoReply.EXPIRED: "submission_id: it has expired",
    forwards.NoReply.GONE: (
        "node {node!r}, which issued the id, was replaced; nothing more of it will start"
    ),
    forwards.NoReply.UNREACHABLE: (
        "node {node!r}, which issued the id, cannot be reached; ask again with the same id"
    ),
}


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller is told: a result code and a JSON body, an answer or a refusal."""

    code: results.ResultCode
    body: bytes
    retry_after_ms: int | None = None
    refused: bool = False


def refused(error: errors.RefusedError) -> Reply:
    """Return the reply that tells of a refusal."""
    return Reply(
        code=error.code,
        body=messages.encoder.encode(messages.refusal_of(error)),
        retry_after_ms=error.retry_after_ms,
        refused=True,
    )


def unknown(code: results.ResultCode, message: str, retry_after_ms: int | None = None) -> Reply:
    """Return the reply to a request of which it is not known whether it ran."""
    unknown_outcome = results.TaskOutcome.UNKNOWN
    return refused(errors.RefusedError(code, message, retry_after_ms, unknown_outcome))


def of_peer(reply: peers.CallerReply) -> Reply:
    """Return the reply that another node gave."""
    return Reply(
        code=reply.code,
        body=reply.body,
        retry_after_ms=reply.retry_after_ms,
        refused=reply.refused,
    )


def of_no_reply(reason: forwards.NoReply, issued: submission_ids.IssuedId) -> Reply:
    """Return the reply when the issuer of an id gave none."""
    code = _CODES_BY_REASON[reason]
    message = _MESSAGES_BY_REASON[reason].format(node=issued.node)
    retry_after_ms = RETRY_AFTER_MS if reason is forwards.NoReply.UNREACHABLE else None
    return unknown(code, message, retry_after_ms)

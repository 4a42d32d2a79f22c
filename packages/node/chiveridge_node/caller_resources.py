"""Falcon resources of the callers' HTTP port."""

import math
import re

import falcon
import falcon.asgi
import msgspec
import prometheus_client

from chiveridge_kernel import admission_checks, errors, identifiers, messages, peers, results
from chiveridge_node import log_events, replies, request_handlers

_QUOTED_CHARS = 100
_WAIT_PATTERN = re.compile("[0-9]{1,9}")

_HTTP_STATUS_BY_CODE = {
    results.ResultCode.ACCEPTED: 202,
    results.ResultCode.TOO_LARGE: 413,
    results.ResultCode.BAD_CREDENTIALS: 401,
    results.ResultCode.UNKNOWN_SUBMISSION: 404,
    results.ResultCode.NO_SUCH_PAGE: 404,
    results.ResultCode.SUBMISSION_ID_REUSED: 409,
    results.ResultCode.QUOTA_EXCEEDED: 429,
    results.ResultCode.INTERNAL_ERROR: 500,
}
_HTTP_STATUS_BY_CLASS = {0: 200, 1: 400, 2: 403, 3: 503, 4: 410}


def http_status(code: results.ResultCode, refused: bool = True) -> int:
    """Return the HTTP status for a result code.

    The answer of a failed job is sent with status 200, as the request itself succeeded. A refusal
    never gets a success status, so that a client does not take it for an answer.
    """
    if not refused and code // 1000 == 4:
        return 200
    return _HTTP_STATUS_BY_CODE.get(code, _HTTP_STATUS_BY_CLASS[code // 1000])


def new_app(node) -> falcon.asgi.App:
    """Return the ASGI application that serves the callers of a node."""
    app = falcon.asgi.App(middleware=[_ConnectionCloser(node), _RefusalCounter(node)])
    app.add_route("/v1/submission-ids", _IdsResource(node))
    app.add_route("/v1/jobs", _JobsResource(node))
    app.add_route("/v1/jobs/{submission_id}", _JobResource(node))
    app.add_route("/v1/status", _StatusResource(node))
    app.add_route("/healthz", _HealthResource())
    app.add_route("/readyz", _ReadyResource(node))
    app.add_route("/metrics", _MetricsResource(node))
    app.add_error_handler(errors.RefusedError, _handle_refusal)
    app.add_error_handler(falcon.HTTPError, _handle_http_error)
    app.add_error_handler(Exception, _handle_internal_error)
    return app


class _IdsResource:
    def __init__(self, node):
        self._node = node

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        team = _authenticate(self._node, req, results.TaskOutcome.NOT_RUN)
        _write_reply(resp, self._node.request_handler.issue_ids(team, await _read_body(req)))


class _JobsResource:
    def __init__(self, node):
        self._node = node

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        body = await _read_body(req)
        team = self._authenticate_submission(req, body)
        submission_id = messages.decode_submission(body).submission_id
        wait_ms = self._parse_submission_wait(req, team, body)
        reply = await self._node.request_handler.serve(
            peers.Operation.SUBMIT, team, submission_id, body, wait_ms
        )
        _write_reply(resp, reply)

    def _authenticate_submission(
        self, req: falcon.asgi.Request, body: bytes
    ) -> identifiers.TeamName:
        try:
            return _authenticate(self._node, req)
        except errors.RefusedError as error:
            if error.code is not results.ResultCode.BAD_CREDENTIALS:
                raise
            team = _bearer_credential(req).partition(".")[0]
            raise self._node.request_handler.refuse_submission(error, team, body) from error

    def _parse_submission_wait(
        self, req: falcon.asgi.Request, team: identifiers.TeamName, body: bytes
    ) -> int:
        try:
            return _parse_wait_ms(req)
        except errors.RefusedError as error:
            raise self._node.request_handler.refuse_submission(error, team, body) from error


class _JobResource:
    def __init__(self, node):
        self._node = node

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, submission_id: str
    ) -> None:
        await self._serve(peers.Operation.QUERY, req, resp, submission_id)

    async def on_delete(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, submission_id: str
    ) -> None:
        await self._serve(peers.Operation.CANCEL, req, resp, submission_id)

    async def _serve(self, operation, req, resp, submission_id: str) -> None:
        team = _authenticate(self._node, req)
        reply = await self._node.request_handler.serve(
            operation, team, submission_id, wait_ms=_parse_wait_ms(req)
        )
        _write_reply(resp, reply)


class _HealthResource:
    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.text = "ok\n"


class _ReadyResource:
    def __init__(self, node):
        self._node = node

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        ready = self._node.kernel.is_ready()
        resp.status = 200 if ready else 503
        resp.text = "ready\n" if ready else "not ready\n"


class _MetricsResource:
    def __init__(self, node):
        self._node = node

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.content_type = prometheus_client.CONTENT_TYPE_LATEST
        resp.data = self._node.metrics.render()


class _StatusResource:
    def __init__(self, node):
        self._node = node

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.content_type = falcon.MEDIA_JSON
        resp.data = msgspec.json.encode(self._node.status())


class _ConnectionCloser:
    """Asks clients to close the connection after each reply while the node drains.

    Otherwise a connection accepted while the port closes would stay open for another request.
    """

    def __init__(self, node):
        self._node = node

    async def process_response(self, req, resp, resource, req_succeeded: bool) -> None:
        if self._node.kernel.is_draining:
            resp.set_header("Connection", "close")


class _RefusalCounter:
    """Counts the refusals sent to callers, by result code."""

    def __init__(self, node):
        self._node = node

    async def process_response(self, req, resp, resource, req_succeeded: bool) -> None:
        code = getattr(resp.context, "code", None)
        if code is not None and resp.status_code >= 400:
            self._node.metrics.count_refusal(code)


def _authenticate(
    node, req: falcon.asgi.Request, ran: results.TaskOutcome = results.TaskOutcome.UNKNOWN
) -> identifiers.TeamName:
    """Return the calling team; ``ran`` is the task outcome that a refusal reports.

    The configuration of this node may be older than that of the node which issued a submission
    id, so an unknown key does not prove that nothing ran under the id.

    :raises errors.RefusedError: if the credential is missing or wrong, or cannot be checked
        because this node has no configuration yet.
    """
    if not node.kernel.configuration.offset:
        message = "this node has no configuration yet; ask another node"
        code = results.ResultCode.NOT_READY
        raise errors.RefusedError(code, message, admission_checks.RETRY_AFTER_MS, ran)
    team = node.kernel.configuration.authenticate(_bearer_credential(req))
    if team is None:
        message = "Authorization: no team has this key"
        raise errors.RefusedError(results.ResultCode.BAD_CREDENTIALS, message, ran=ran)
    return team


async def _read_body(req: falcon.asgi.Request) -> bytes:
    limit = messages.MAX_SUBMISSION_BYTES
    body = b""
    if (req.content_length or 0) <= limit:
        body = await req.stream.read(limit + 1)
    if max(req.content_length or 0, len(body)) > limit:
        message = f"the body is over the limit of {limit} bytes"
        raise errors.RefusedError(results.ResultCode.TOO_LARGE, message)
    return body


def _bearer_credential(req: falcon.asgi.Request) -> str:
    """Return the bearer token of a request, or an empty string."""
    scheme, _, credential = (req.auth or "").partition(" ")
    return credential.strip() if scheme.lower() == "bearer" else ""


def _parse_wait_ms(req: falcon.asgi.Request) -> int:
    text = req.get_param("wait_ms", default="0")
    if not _WAIT_PATTERN.fullmatch(text) or int(text) > request_handlers.MAX_WAIT_MS:
        message = (
            f"wait_ms: {text[:_QUOTED_CHARS]!r} is not a number"
            f" from 0 to {request_handlers.MAX_WAIT_MS}"
        )
        raise errors.RefusedError(
            results.ResultCode.INVALID_FIELD, message, ran=results.TaskOutcome.UNKNOWN
        )
    return int(text)


def _write_reply(resp: falcon.asgi.Response, reply: replies.Reply) -> None:
    resp.status = http_status(reply.code, reply.refused)
    resp.context.code = reply.code
    resp.content_type = falcon.MEDIA_JSON
    resp.data = reply.body
    if reply.retry_after_ms is not None:
        resp.set_header("Retry-After", str(math.ceil(reply.retry_after_ms / 1000)))


async def _handle_refusal(req, resp, error: errors.RefusedError, params) -> None:
    _write_reply(resp, replies.from_refusal(error))


async def _handle_http_error(req, resp, error: falcon.HTTPError, params) -> None:
    code = results.ResultCode.NO_SUCH_PAGE if error.status_code == 404 else None
    code = code or results.ResultCode.MALFORMED
    message = error.description or error.title
    _write_reply(resp, replies.from_refusal(errors.RefusedError(code, f"{req.path}: {message}")))
    resp.status = error.status


async def _handle_internal_error(req, resp, error: Exception, params) -> None:
    log_events.log_exception(log_events.LogEvent.INTERNAL_FAULT, path=req.path)
    message = "internal error; ask for the outcome with the same submission id"
    _write_reply(resp, replies.outcome_unknown(results.ResultCode.INTERNAL_ERROR, message))

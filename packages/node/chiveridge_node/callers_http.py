"""Serves callers over HTTP with falcon on uvicorn."""

import asyncio
import contextlib
import math
import re
import socket

import falcon
import falcon.asgi
import msgspec
import prometheus_client
import uvicorn

from chiveridge_kernel import errors, identifiers, jobchecks, messages, peers, results
from chiveridge_node import logevents, plugins, requests

LISTEN_BACKLOG = 2048
_MAX_QUOTED = 100
_WAIT_PATTERN = re.compile("[0-9]{1,9}")
GRACEFUL_EXIT_SECONDS = 60
STALL_SECONDS = 20.0
"""Time without progress after which a stopping node waits for no caller.

A caller's reads show only once the systems' buffers, of several megabytes, have room again.
"""

STALL_CHECK_SECONDS = 0.1

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
    """Return the HTTP status for a result code; the answer to a failed job is a successful reply.

    A refusal never gets a status of success, so that it is not taken for an answer.
    """
    if not refused and code // 1000 == 4:
        return 200
    return _HTTP_STATUS_BY_CODE.get(code, _HTTP_STATUS_BY_CLASS[code // 1000])


class _IdsResource:
    def __init__(self, http: "HttpCallers"):
        self._http = http

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        team = self._http.authenticate(req, results.TaskOutcome.NOT_RUN)
        _write(resp, self._http.requests.issue_ids(team, await _read_body(req)))


class _JobsResource:
    def __init__(self, http: "HttpCallers"):
        self._http = http

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        body = await _read_body(req)
        team = self._authenticate(req, body)
        submission_id = messages.decode_submission(body).submission_id
        wait_ms = self._wait_ms(req, team, body)
        reply = await self._http.requests.perform(
            peers.Operation.SUBMIT, team, submission_id, body, wait_ms
        )
        _write(resp, reply)

    def _authenticate(self, req: falcon.asgi.Request, body: bytes) -> identifiers.TeamName:
        try:
            return self._http.authenticate(req)
        except errors.RefusedError as error:
            if error.code is not results.ResultCode.BAD_CREDENTIALS:
                raise
            team = _credential(req).partition(".")[0]
            raise self._http.requests.refuse_unused(error, team, body) from error

    def _wait_ms(self, req: falcon.asgi.Request, team: identifiers.TeamName, body: bytes) -> int:
        try:
            return _wait_ms(req)
        except errors.RefusedError as error:
            raise self._http.requests.refuse_unused(error, team, body) from error


class _JobResource:
    def __init__(self, http: "HttpCallers"):
        self._http = http

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, submission_id: str
    ) -> None:
        await self._perform(peers.Operation.ASK, req, resp, submission_id)

    async def on_delete(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, submission_id: str
    ) -> None:
        await self._perform(peers.Operation.CANCEL, req, resp, submission_id)

    async def _perform(self, operation, req, resp, submission_id: str) -> None:
        team = self._http.authenticate(req)
        reply = await self._http.requests.perform(
            operation, team, submission_id, wait_ms=_wait_ms(req)
        )
        _write(resp, reply)


class _HealthResource:
    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.text = "ok\n"


class _ReadyResource:
    def __init__(self, http: "HttpCallers"):
        self._http = http

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        ready = self._http.node.kernel.is_ready()
        resp.status = 200 if ready else 503
        resp.text = "ready\n" if ready else "not ready\n"


class _MetricsResource:
    def __init__(self, http: "HttpCallers"):
        self._http = http

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.content_type = prometheus_client.CONTENT_TYPE_LATEST
        resp.data = self._http.node.metrics.text()


class _StatusResource:
    def __init__(self, http: "HttpCallers"):
        self._http = http

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.content_type = falcon.MEDIA_JSON
        resp.data = msgspec.json.encode(self._http.node.status())


class _ConnectionCloser:
    """Closes the connection after each reply of a node that stops.

    A connection accepted while the port closes would otherwise stay open for its next request.
    """

    def __init__(self, http: "HttpCallers"):
        self._http = http

    async def process_response(self, req, resp, resource, req_succeeded: bool) -> None:
        if self._http.node.kernel.draining:
            resp.set_header("Connection", "close")


class _RefusalCounter:
    """Counts the refusals that are told to callers."""

    def __init__(self, http: "HttpCallers"):
        self._http = http

    async def process_response(self, req, resp, resource, req_succeeded: bool) -> None:
        code = getattr(resp.context, "code", None)
        if code is not None and resp.status_code >= 400:
            self._http.node.metrics.note_refusal(code)


class _Server(uvicorn.Server):
    """Leaves signals to the node."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpCallers:
    """The callers' port."""

    def __init__(self, node):
        self.node = node
        self.requests: requests.Requests = node.requests
        self.port = 0
        self._server: _Server | None = None
        self._task: asyncio.Task | None = None

    async def open(self) -> None:
        """Bind the port and begin to serve."""
        section = self.node.settings.node
        listener = _listener(section.address, section.caller_port)
        self.port = listener.getsockname()[1]
        config = uvicorn.Config(
            self._app(),
            http="httptools",
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            timeout_graceful_shutdown=GRACEFUL_EXIT_SECONDS,
        )
        self._server = _Server(config)
        serving = self._server.serve(sockets=[listener])
        self._task = asyncio.get_running_loop().create_task(serving)

    async def close(self) -> None:
        """Finish the replies in progress and close the port."""
        self._server.should_exit = True
        watching = asyncio.get_running_loop().create_task(self._watch_stalls())
        await self._task
        watching.cancel()

    async def _watch_stalls(self) -> None:
        """Wait for callers no longer once none of them reads."""
        loop = asyncio.get_running_loop()
        unread, moved_at = self._unread_bytes(), loop.time()
        while loop.time() - moved_at < STALL_SECONDS:
            await asyncio.sleep(STALL_CHECK_SECONDS)
            self._close_idle()
            before, unread = unread, self._unread_bytes()
            if unread != before:
                moved_at = loop.time()
        self._server.force_exit = True

    def _close_idle(self) -> None:
        """Close idle connections; one accepted while the port closes is missed by the server."""
        for connection in list(self._server.server_state.connections):
            connection.shutdown()

    def _unread_bytes(self) -> int:
        connections = self._server.server_state.connections
        return sum(connection.transport.get_write_buffer_size() for connection in connections)

    def authenticate(
        self, req: falcon.asgi.Request, ran: results.TaskOutcome = results.TaskOutcome.UNKNOWN
    ) -> identifiers.TeamName:
        """Return the calling team; ``ran`` is what a refusal says of the request's tasks.

        The configuration in force here may lag behind that of the node which issued a submission
        id, so a bad key is no proof that nothing ran under the id.

        :raises errors.RefusedError: when the credential is missing or wrong, or can't be
            checked because there is no configuration yet.
        """
        if not self.node.kernel.configuration.offset:
            message = "this node has no configuration yet; ask another node"
            code = results.ResultCode.NOT_READY
            raise errors.RefusedError(code, message, jobchecks.RETRY_AFTER_MS, ran)
        team = self.node.kernel.configuration.authenticate(_credential(req))
        if team is None:
            message = "Authorization: no team has this key"
            raise errors.RefusedError(results.ResultCode.BAD_CREDENTIALS, message, ran=ran)
        return team

    def _app(self) -> falcon.asgi.App:
        app = falcon.asgi.App(middleware=[_ConnectionCloser(self), _RefusalCounter(self)])
        app.add_route("/v1/submission-ids", _IdsResource(self))
        app.add_route("/v1/jobs", _JobsResource(self))
        app.add_route("/v1/jobs/{submission_id}", _JobResource(self))
        app.add_route("/v1/status", _StatusResource(self))
        app.add_route("/healthz", _HealthResource())
        app.add_route("/readyz", _ReadyResource(self))
        app.add_route("/metrics", _MetricsResource(self))
        app.add_error_handler(errors.RefusedError, _refuse)
        app.add_error_handler(falcon.HTTPError, _refuse_http)
        app.add_error_handler(Exception, _fail)
        return app


def _listener(address: str, port: int) -> socket.socket:
    """Return a listening socket; asyncio sets TCP_NODELAY only where the protocol is named."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


async def _read_body(req: falcon.asgi.Request) -> bytes:
    limit = messages.MAX_SUBMISSION_BYTES
    body = b""
    if (req.content_length or 0) <= limit:
        body = await req.stream.read(limit + 1)
    if max(req.content_length or 0, len(body)) > limit:
        message = f"the body is over the limit of {limit} bytes"
        raise errors.RefusedError(results.ResultCode.TOO_LARGE, message)
    return body


def _credential(req: falcon.asgi.Request) -> str:
    """Return the credential that a request bears, or an empty text."""
    scheme, _, credential = (req.auth or "").partition(" ")
    return credential.strip() if scheme.lower() == "bearer" else ""


def _wait_ms(req: falcon.asgi.Request) -> int:
    text = req.get_param("wait_ms", default="0")
    if not _WAIT_PATTERN.fullmatch(text) or int(text) > requests.MAX_WAIT_MS:
        message = (
            f"wait_ms: {text[:_MAX_QUOTED]!r} is not a number from 0 to {requests.MAX_WAIT_MS}"
        )
        raise errors.RefusedError(
            results.ResultCode.INVALID_FIELD, message, ran=results.TaskOutcome.UNKNOWN
        )
    return int(text)


def _write(resp: falcon.asgi.Response, reply: requests.Reply) -> None:
    resp.status = http_status(reply.code, reply.refused)
    resp.context.code = reply.code
    resp.content_type = falcon.MEDIA_JSON
    resp.data = reply.body
    if reply.retry_after_ms is not None:
        resp.set_header("Retry-After", str(math.ceil(reply.retry_after_ms / 1000)))


async def _refuse(req, resp, error: errors.RefusedError, params) -> None:
    _write(resp, requests.refused(error))


async def _refuse_http(req, resp, error: falcon.HTTPError, params) -> None:
    code = results.ResultCode.NO_SUCH_PAGE if error.status_code == 404 else None
    code = code or results.ResultCode.MALFORMED
    message = error.description or error.title
    _write(resp, requests.refused(errors.RefusedError(code, f"{req.path}: {message}")))
    resp.status = error.status


async def _fail(req, resp, error: Exception, params) -> None:
    logevents.write_error(logevents.LogEvent.INTERNAL_FAULT, path=req.path)
    message = "internal error; ask for the outcome with the same submission id"
    _write(resp, requests.unknown(results.ResultCode.INTERNAL_ERROR, message))


def register() -> None:
    """Register the adapter under the name ``http``."""
    plugins.add(plugins.Kind.CALLERS, "http", HttpCallers)

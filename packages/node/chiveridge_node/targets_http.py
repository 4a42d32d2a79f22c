"""Starts, queries and stops tasks on targets over HTTP."""

import asyncio
import datetime

import aiohttp
import msgspec

from chiveridge_kernel import actions, clocks, events, identifiers, readers, vms
from chiveridge_node import log_events, loop_pacers, plugins, sendings, start_connections

ASK_TIMEOUT_SECONDS = 3.0
ASK_WAIT_MS = 1000
PROBE_TIMEOUT_SECONDS = 0.8
STOP_TIMEOUT_SECONDS = 2.0
STOP_RETRY_DELAY = datetime.timedelta(milliseconds=20)
"""Delay before a stop is first retried; it doubles with each retry."""

MIN_START_AGE_TO_ASK = datetime.timedelta(milliseconds=500)
"""Age of a start below which the target may not have read it yet."""

REQUESTS_PER_TURN = 32
"""Requests that begin in one turn of the event loop; more would delay the handling of replies."""

_FINAL_OUTCOMES = frozenset(
    {
        events.LeaseOutcome.SUCCEEDED,
        events.LeaseOutcome.FAILED,
        events.LeaseOutcome.STOPPED,
        events.LeaseOutcome.NOT_STARTED,
    }
)

_NODE_ONLY_OUTCOMES = frozenset(
    {events.LeaseOutcome.LOST, events.LeaseOutcome.REFUSED, events.LeaseOutcome.QUEUED}
)


class LeaseReply(msgspec.Struct, frozen=True):
    """A target's reply to a request about a lease, see ``docs/protocols.md``."""

    outcome: events.LeaseOutcome
    run_ms: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"null")
    reason: str = ""
    busy: int | None = None


class InvalidOutcomeError(Exception):
    """Raised when a target replies with an outcome that only a node can determine."""


_NO_REPLY_ERRORS = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    readers.ReadError,
    InvalidOutcomeError,
)

_read_reply = readers.Reader(msgspec.json.Decoder(LeaseReply).decode)


class HttpTargets:
    """Performs the kernel's actions on targets; reports outcomes as events."""

    def __init__(self, node):
        self._runner = node.runner
        self._settings = node.settings.targets
        self._start_tasks_by_lease: dict[identifiers.LeaseId, asyncio.Task] = {}
        self._pending_starts = sendings.PendingStarts(node.runner)
        self._background_tasks: set[asyncio.Task] = set()
        self._pacer = loop_pacers.Pacer(REQUESTS_PER_TURN)
        self._start_connections: start_connections.StartConnections | None = None
        self._unpooled_session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the connection pools."""
        connect = self._settings.connect_timeout_ms / 1000
        trace = self._pending_starts.trace_config()
        self._start_connections = start_connections.StartConnections(self._settings, trace)
        # Queries never reuse a connection, as the connection of the start may be dead.
        self._unpooled_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=ASK_TIMEOUT_SECONDS, sock_connect=connect),
        )
        self._runner.set_performer(actions.StartTask, self.start)
        self._runner.set_performer(actions.AskOutcome, self.ask_outcome)
        self._runner.set_performer(actions.ProbeTarget, self.probe)
        self._runner.set_performer(actions.StopTask, self.stop)
        self._runner.set_performer(actions.WithdrawStart, self.withdraw)

    async def close(self) -> None:
        """Let background requests end, cancel the starts in progress, and close the pools.

        Waits up to ``STOP_TIMEOUT_SECONDS``, so that stops are delivered.
        """
        if self._background_tasks:
            await asyncio.wait(self._background_tasks, timeout=STOP_TIMEOUT_SECONDS)
        pending = [*self._start_tasks_by_lease.values(), *self._background_tasks]
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        await self._start_connections.close()
        await self._unpooled_session.close()

    def start(self, action: actions.StartTask) -> None:
        """Send a start; report its outcome when the target replies."""
        task = asyncio.get_running_loop().create_task(self._start(action))
        self._start_tasks_by_lease[action.lease_id] = task
        self._pending_starts.add(action.lease_id, action.start_before)
        task.add_done_callback(lambda _: self._remove_start(action.lease_id))

    def ask_outcome(self, action: actions.AskOutcome) -> None:
        """Query the outcome of a start over a new connection."""
        self._run_in_background(self._ask_outcome(action))

    def probe(self, action: actions.ProbeTarget) -> None:
        """Check over a new connection whether a target replies."""
        self._run_in_background(self._probe(action))

    def stop(self, action: actions.StopTask) -> None:
        """Cancel the request of a start; send a stop unless nothing of the start was sent."""
        pending_start = self._pending_starts.find(action.lease_id)
        self._cancel_start_request(action.lease_id)
        if pending_start is not None and pending_start.sent_at is None:
            # The kernel is still handling an event, so the report is deferred until it is done.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._confirm_stop, action.lease_id)
        else:
            self._run_in_background(self._stop(action))

    def _cancel_start_request(self, lease_id: identifiers.LeaseId) -> None:
        """Cancel the request of a start, which closes its connection."""
        task = self._start_tasks_by_lease.get(lease_id)
        if task is not None:
            task.cancel()

    def _remove_start(self, lease_id: identifiers.LeaseId) -> None:
        self._start_tasks_by_lease.pop(lease_id, None)
        self._pending_starts.remove(lease_id)

    def withdraw(self, action: actions.WithdrawStart) -> None:
        """Cancel a start that still waits for a connection."""
        if not self._pending_starts.withdraw(action.lease_id):
            return
        self._cancel_start_request(action.lease_id)
        reply = LeaseReply(events.LeaseOutcome.REFUSED, reason=actions.WITHDRAWN)
        # The kernel is still handling an event, so the report is deferred until it is done.
        asyncio.get_running_loop().call_soon(self._report_outcome, action.lease_id, reply)

    def _run_in_background(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _start(self, action: actions.StartTask) -> None:
        try:
            reply = await self._send_start(action)
        except sendings.StartTooLateError:
            reply = LeaseReply(events.LeaseOutcome.NOT_STARTED, reason="too_late")
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            reply = LeaseReply(events.LeaseOutcome.REFUSED, reason="unreachable")
        except _NO_REPLY_ERRORS as error:
            log_events.log_event(
                log_events.LogEvent.START_LOST,
                lease=action.lease_id,
                target=action.target.name,
                error=repr(error),
            )
            reply = LeaseReply(events.LeaseOutcome.LOST)
        self._report_outcome(action.lease_id, reply)

    async def _send_start(self, action: actions.StartTask) -> LeaseReply:
        pending_start = self._pending_starts.find(action.lease_id)
        await self._pacer.wait_for_turn()
        self._pending_starts.check_start_limit(pending_start)
        headers = {
            "Content-Type": "application/json",
            "Chiveridge-Team": action.team,
            "Chiveridge-Start-Before": str(clocks.to_epoch_ms(action.start_before)),
        }
        url = _lease_url(action.target, action.lease_id)
        # Only POST: aiohttp resends idempotent methods when a kept-alive connection closes.
        with self._start_connections.session(action.target.name) as session:
            async with session.post(
                url, data=action.body, headers=headers, trace_request_ctx=pending_start
            ) as response:
                return _decode_reply(await response.read())

    async def _ask_outcome(self, action: actions.AskOutcome) -> None:
        await asyncio.sleep(action.delay.total_seconds())
        await self._pacer.wait_for_turn()
        if self._is_too_early_to_ask(action.lease_id):
            self._report_outcome(
                action.lease_id, LeaseReply(events.LeaseOutcome.QUEUED), asked=True
            )
            return
        wait_ms = ASK_WAIT_MS if action.wait else 0
        url = f"{_lease_url(action.target, action.lease_id)}?wait_ms={wait_ms}"
        try:
            async with self._unpooled_session.get(url) as response:
                reply = _decode_reply(await response.read())
        except _NO_REPLY_ERRORS:
            reply = LeaseReply(events.LeaseOutcome.LOST)
        if reply.outcome in _FINAL_OUTCOMES:
            self._cancel_start_request(action.lease_id)
        self._report_outcome(action.lease_id, reply, asked=True)

    async def _probe(self, action: actions.ProbeTarget) -> None:
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        url = f"http://{action.target.address}:{action.target.port}/v1/usage"
        await self._pacer.wait_for_turn()
        try:
            async with self._unpooled_session.get(url, timeout=timeout) as response:
                await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            is_reachable = False
        else:
            is_reachable = True
        event = events.TargetProbed(target=action.target, is_reachable=is_reachable)
        self._runner.handle_and_log_errors(event)

    def _is_too_early_to_ask(self, lease_id: identifiers.LeaseId) -> bool:
        pending_start = self._pending_starts.find(lease_id)
        if pending_start is None:
            return False
        return (
            pending_start.sent_at is None
            or self._runner.clock.now() - pending_start.sent_at < MIN_START_AGE_TO_ASK
        )

    async def _stop(self, action: actions.StopTask) -> None:
        """Send a stop; retry until the target has seen the start or the start limit passes."""
        delay = STOP_RETRY_DELAY
        while not await self._send_stop(action):
            if self._runner.clock.now() + delay >= action.start_before:
                return
            await asyncio.sleep(delay.total_seconds())
            delay *= 2
        self._confirm_stop(action.lease_id)

    async def _send_stop(self, action: actions.StopTask) -> bool:
        """Send a stop once; return whether the target has seen the start."""
        timeout = aiohttp.ClientTimeout(total=STOP_TIMEOUT_SECONDS)
        await self._pacer.wait_for_turn()
        try:
            url = _lease_url(action.target, action.lease_id)
            async with self._unpooled_session.delete(url, timeout=timeout) as response:
                reply = _decode_reply(await response.read())
        except _NO_REPLY_ERRORS as error:
            log_events.log_event(
                log_events.LogEvent.STOP_LOST,
                lease=action.lease_id,
                target=action.target.name,
                error=repr(error),
            )
            return False
        return reply.outcome is not events.LeaseOutcome.UNSEEN

    def _confirm_stop(self, lease_id: identifiers.LeaseId) -> None:
        self._runner.handle_and_log_errors(events.StopConfirmed(lease_id=lease_id))

    def _report_outcome(
        self, lease_id: identifiers.LeaseId, reply: LeaseReply, *, asked: bool = False
    ) -> None:
        self._runner.handle_and_log_errors(
            events.LeaseReported(
                lease_id=lease_id,
                outcome=reply.outcome,
                run_ms=reply.run_ms,
                result=reply.result,
                reason=reply.reason,
                busy=reply.busy,
                asked=asked,
            )
        )


def _decode_reply(body: bytes) -> LeaseReply:
    reply = _read_reply(body)
    if reply.outcome in _NODE_ONLY_OUTCOMES:
        raise InvalidOutcomeError(reply.outcome.value)
    return reply


def _lease_url(target: vms.Vm, lease_id: identifiers.LeaseId) -> str:
    return f"http://{target.address}:{target.port}/v1/leases/{lease_id}"


def register() -> None:
    """Register the adapter under the name ``http``."""
    plugins.register_factory(plugins.AdapterKind.TARGETS, "http", HttpTargets)

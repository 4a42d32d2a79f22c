"""Tracks pending starts, and checks the start limit of each before its first byte is sent."""

import asyncio
import datetime

import aiohttp
import msgspec

from chiveridge_kernel import events, identifiers
from chiveridge_node import kernel_runners


class PendingStart(msgspec.Struct):
    """A start that has no reply yet; ``sent_at`` is set when it is given a connection."""

    lease_id: identifiers.LeaseId
    start_before: datetime.datetime
    sent_at: datetime.datetime | None = None
    is_delayed: bool = False
    is_withdrawn: bool = False


class StartTooLateError(Exception):
    """Raised when the start limit passes before anything was sent."""


class PendingStarts:
    """Tracks the starts without a reply; reports those that wait for a connection to the kernel."""

    def __init__(self, runner: kernel_runners.KernelRunner):
        self._runner = runner
        self._starts_by_lease: dict[identifiers.LeaseId, PendingStart] = {}

    def add(self, lease_id: identifiers.LeaseId, start_before: datetime.datetime) -> None:
        """Track a start that must not be sent at or after ``start_before``."""
        self._starts_by_lease[lease_id] = PendingStart(lease_id, start_before)

    def find(self, lease_id: identifiers.LeaseId) -> PendingStart | None:
        """Return a start, or None if it is not tracked."""
        return self._starts_by_lease.get(lease_id)

    def remove(self, lease_id: identifiers.LeaseId) -> None:
        """Stop tracking a start."""
        self._starts_by_lease.pop(lease_id, None)

    def withdraw(self, lease_id: identifiers.LeaseId) -> bool:
        """Prevent a start from being sent; return False if it was sent or is not tracked."""
        pending_start = self._starts_by_lease.get(lease_id)
        if pending_start is None or pending_start.sent_at is not None:
            return False
        pending_start.is_withdrawn = True
        return True

    def check_start_limit(self, pending_start: PendingStart) -> None:
        """Check that a start may still be sent.

        :raises StartTooLateError: when its limit has passed.
        """
        if self._runner.clock.now() >= pending_start.start_before:
            raise StartTooLateError

    def trace_config(self) -> aiohttp.TraceConfig:
        """Return trace hooks for a session whose requests each carry a :class:`PendingStart`."""

        async def delayed(session, context, params) -> None:
            self._report_delayed(context.trace_request_ctx)

        async def connected(session, context, params) -> None:
            self._on_connected(context.trace_request_ctx)

        trace = aiohttp.TraceConfig()
        trace.on_connection_queued_start.append(delayed)
        trace.on_connection_create_start.append(delayed)
        trace.on_connection_create_end.append(connected)
        trace.on_connection_reuseconn.append(connected)
        return trace

    def _report_delayed(self, pending_start: PendingStart) -> None:
        if not pending_start.is_delayed:
            pending_start.is_delayed = True
            self._runner.handle_and_log_errors(events.StartDelayed(lease_id=pending_start.lease_id))

    def _on_connected(self, pending_start: PendingStart) -> None:
        self.check_start_limit(pending_start)
        if pending_start.is_delayed:
            # The kernel may withdraw the start in response, so report before setting sent_at.
            self._runner.handle_and_log_errors(events.StartSent(lease_id=pending_start.lease_id))
        if pending_start.is_withdrawn:
            raise asyncio.CancelledError
        pending_start.sent_at = self._runner.clock.now()

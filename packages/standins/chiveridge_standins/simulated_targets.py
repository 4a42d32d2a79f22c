"""Simulated target that runs tasks on slots and keeps their outcomes."""

import asyncio
import collections
import datetime
import enum

import msgspec

from chiveridge_standins import clocks, lagged_values, start_journals, task_counts

MAX_ENDED_LEASES = 20_000


class LeaseOutcome(enum.Enum):
    """Outcome of a lease."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    RUNNING = "running"
    NOT_STARTED = "not_started"
    UNSEEN = "unseen"


class RefusalReason(enum.Enum):
    """Why a task was not started."""

    LEAVING = "leaving"
    BUSY = "busy"
    TOO_LATE = "too_late"
    UNABLE = "unable"


class TaskBody(msgspec.Struct, frozen=True):
    """What a task does: sleep for ``run_ms``, then return ``key`` and ``result_bytes`` padding."""

    run_ms: float = 0
    fail: bool = False
    key: str = ""
    result_bytes: int = 0


class TaskResult(msgspec.Struct, frozen=True):
    """Result of a task."""

    key: str
    target: str
    padding: str


class LeaseReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to any request about a lease."""

    outcome: LeaseOutcome
    run_ms: float = 0.0
    result: TaskResult | None = None
    reason: str = ""
    busy: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Load of a target."""

    busy: int
    queued: int
    slots: int
    leaving: bool


class TargetFaults(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Faults and settings of a target.

    ``slowdown`` multiplies run times. With ``failing``, every task fails at its start. With
    ``silent``, requests about leases and usage are read but never processed or answered, and
    starts that are running get no reply. ``drop_replies`` is the number of further starts that
    run but get no reply.
    """

    slowdown: float = 1.0
    failing: bool = False
    leaving: bool = False
    refuse_busy: bool = False
    enforce_start_before: bool = True
    silent: bool = False
    drop_replies: int = 0
    max_connections: int = 64
    usage_lag_ms: float = 200


class Lease:
    """One request to start a task."""

    def __init__(self, body: TaskBody, start_before_ms: int | None):
        self.body = body
        self.start_before_ms = start_before_ms
        self.ended = asyncio.Event()
        self.reply = LeaseReply(outcome=LeaseOutcome.RUNNING)
        self.task: asyncio.Task[None] | None = None
        self.started_at: datetime.datetime | None = None


class SimulatedTarget:
    """One target with a number of slots; it does not deduplicate starts by lease id."""

    def __init__(
        self,
        name: str,
        slots: int,
        clock: clocks.Clock,
        journal: start_journals.StartJournal | None = None,
    ):
        self.faults = TargetFaults()
        self.counter = task_counts.TaskCounter()
        self._journal = journal
        self._name = name
        self._slot_count = slots
        self._clock = clock
        self._busy_slots = 0
        self._queued_tasks = 0
        self._free_slots = asyncio.Semaphore(slots)
        self._leases_by_id: dict[str, Lease] = {}
        self._ended_leases: collections.deque[tuple[str, Lease]] = collections.deque()
        lag = datetime.timedelta(milliseconds=self.faults.usage_lag_ms)
        self._lagged_usage = lagged_values.LaggedValue(Usage(0, 0, slots, False), clock, lag)

    def set_faults(self, faults: TargetFaults) -> None:
        """Replace the faults."""
        self.faults = faults
        self._lagged_usage.lag = datetime.timedelta(milliseconds=faults.usage_lag_ms)
        self._write_usage()

    def usage(self) -> Usage:
        """Return the load as of ``usage_lag_ms`` ago."""
        return self._lagged_usage.read()

    def find_latest_lease(self, lease_id: str) -> Lease | None:
        """Return the latest lease with an id."""
        return self._leases_by_id.get(lease_id)

    def current_reply(self, lease: Lease) -> LeaseReply:
        """Return the state of a lease with the current number of busy slots."""
        return msgspec.structs.replace(lease.reply, busy=self._busy_slots)

    def unseen_reply(self) -> LeaseReply:
        """Return the reply for an unknown lease id."""
        return LeaseReply(outcome=LeaseOutcome.UNSEEN, busy=self._busy_slots)

    def record_refusal(self, lease_id: str, reason: RefusalReason) -> Lease:
        """Record and return a lease whose task is not started."""
        lease = Lease(TaskBody(), None)
        self._leases_by_id[lease_id] = lease
        self._set_refusal(lease, reason)
        self._record_end(lease_id, lease)
        return lease

    def start(self, lease_id: str, body: TaskBody, start_before_ms: int | None) -> Lease:
        """Start a task, queue it until a slot is free, or refuse it."""
        if self.faults.leaving:
            return self.record_refusal(lease_id, RefusalReason.LEAVING)
        if self.faults.refuse_busy and self._busy_slots + self._queued_tasks >= self._slot_count:
            return self.record_refusal(lease_id, RefusalReason.BUSY)
        lease = Lease(body, start_before_ms)
        self._leases_by_id[lease_id] = lease
        lease.task = asyncio.create_task(self._run_lease(lease))
        lease.task.add_done_callback(lambda task: self._on_task_done(task, lease_id, lease))
        return lease

    def stop(self, lease: Lease) -> None:
        """Cancel the task of a lease, unless it has ended."""
        if lease.ended.is_set() or lease.task is None:
            return
        lease.task.cancel()

    def consume_reply_drop(self) -> bool:
        """Return whether to drop the reply to this start; if so, decrement ``drop_replies``."""
        count = self.faults.drop_replies
        if count <= 0:
            return False
        self.faults = msgspec.structs.replace(self.faults, drop_replies=count - 1)
        return True

    async def _run_lease(self, lease: Lease) -> None:
        if self.faults.failing:
            self._fail_at_start(lease)
        else:
            await self._run_on_slot(lease)

    async def _run_on_slot(self, lease: Lease) -> None:
        self._change_load(queued=1)
        try:
            await self._free_slots.acquire()
        finally:
            self._change_load(queued=-1)
        self._change_load(busy=1)
        try:
            await self._run_task(lease)
        finally:
            self._change_load(busy=-1)
            self._free_slots.release()

    async def _run_task(self, lease: Lease) -> None:
        now = self._clock.now()
        if self._is_past_start_limit(lease, now):
            self._set_refusal(lease, RefusalReason.TOO_LATE)
            return
        body = lease.body
        lease.started_at = now
        self._record_start(body.key, now)
        await asyncio.sleep(body.run_ms * self.faults.slowdown / 1000)
        self.counter.count_end(body.key)
        lease.reply = LeaseReply(
            outcome=LeaseOutcome.FAILED if body.fail else LeaseOutcome.SUCCEEDED,
            run_ms=self._elapsed_ms(lease),
            result=TaskResult(body.key, self._name, "x" * body.result_bytes),
            reason="the task asked to fail" if body.fail else "",
        )

    def _fail_at_start(self, lease: Lease) -> None:
        now = self._clock.now()
        if self._is_past_start_limit(lease, now):
            self._set_refusal(lease, RefusalReason.TOO_LATE)
            return
        self._record_start(lease.body.key, now)
        self.counter.count_end(lease.body.key)
        lease.reply = LeaseReply(outcome=LeaseOutcome.FAILED, reason="the target fails every task")

    def _record_start(self, key: str, now: datetime.datetime) -> None:
        self.counter.count_start(key, self._busy_slots, now)
        if self._journal is not None:
            self._journal.write(start_journals.Start(key, self._name, clocks.epoch_ms(now)))

    def _is_past_start_limit(self, lease: Lease, now: datetime.datetime) -> bool:
        latest_start_ms = lease.start_before_ms
        if latest_start_ms is None or not self.faults.enforce_start_before:
            return False
        return clocks.epoch_ms(now) > latest_start_ms

    def _set_refusal(self, lease: Lease, reason: RefusalReason) -> None:
        lease.reply = LeaseReply(outcome=LeaseOutcome.NOT_STARTED, reason=reason.value)

    def _elapsed_ms(self, lease: Lease) -> float:
        if lease.started_at is None:
            return 0.0
        return (self._clock.now() - lease.started_at) / datetime.timedelta(milliseconds=1)

    def _change_load(self, busy: int = 0, queued: int = 0) -> None:
        self._busy_slots += busy
        self._queued_tasks += queued
        self._write_usage()

    def _write_usage(self) -> None:
        usage = Usage(self._busy_slots, self._queued_tasks, self._slot_count, self.faults.leaving)
        self._lagged_usage.write(usage)

    def _on_task_done(self, task: asyncio.Task[None], lease_id: str, lease: Lease) -> None:
        if task.cancelled():
            self.counter.count_stop(lease.body.key)
            lease.reply = LeaseReply(outcome=LeaseOutcome.STOPPED, run_ms=self._elapsed_ms(lease))
        self._record_end(lease_id, lease)

    def _record_end(self, lease_id: str, lease: Lease) -> None:
        lease.ended.set()
        self._ended_leases.append((lease_id, lease))
        if len(self._ended_leases) > MAX_ENDED_LEASES:
            oldest_id, oldest = self._ended_leases.popleft()
            if self._leases_by_id.get(oldest_id) is oldest:
                del self._leases_by_id[oldest_id]

"""Simulated targets: capacity, leases, fencing tokens, ended runs and injected failures."""

import collections
import datetime
import functools
import random

import msgspec

from chiveridge_pool import actions, events, identifiers, resources, targets

STOP_DURATION = datetime.timedelta(milliseconds=20)
CRASH_DELAY = datetime.timedelta(milliseconds=10)
"""Time from the start of a task that crashes its target to the crash."""

MAX_LEASE_MS = 1000
_POISON = "poison"
_KIND = "kind"
_TAILS = "tails"
INITIAL_CLOCK_MS = 100_000
"""Reading of a target's clock when the target boots."""


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A target's reply to a command."""

    failure: events.Failure | None = None
    clock_ms: int = 0
    started_at_ms: int = 0
    running: tuple[events.Running, ...] = ()
    ended: tuple[events.EndedRow, ...] = ()


class _Run:
    def __init__(self, started_at: datetime.datetime, size: resources.Resources):
        self.started_at = started_at
        self.size = size
        self.duration: datetime.timedelta | None = None
        self.is_stopping = False
        self.stalled_percent = 0
        self.kind = ""

    def progress_percent(self, now: datetime.datetime) -> int:
        """Return the progress in percent; a hanging run makes none."""
        if self.duration is None:
            return self.stalled_percent
        return min(int(100 * ((now - self.started_at) / self.duration)), 99)


class TargetModel:
    """A simulated target; a task runs for the milliseconds given in its spec.

    ``speed`` divides that time; ``clock_rate`` is the speed of the target's clock. A target without
    ``guards_capacity`` starts whatever it is told. ``fails`` is the probability that a new run
    fails after 1 ms; while ``hangs`` is set, new runs never end. A target that ``is_dark`` ignores
    all commands; one that ``refuses_connections`` is behind a cut and goes on with its runs, and
    one that ``loses_replies`` executes commands, but its connections are reset before it replies.
    With ``rejects_starts_with``, it answers starts by that failure and does nothing. A
    poison task (see :func:`is_poison`) crashes the target, which then refuses connections for
    ``restart_time``, or ignores all commands if it ``crashes_silently``. ``poison_starts`` counts
    the runs of poison tasks by task, and ``crashed_runs`` the runs that a crash has ended.
    ``slowdown_beside`` has the factor by which a run takes longer beside one of another kind, by
    both kinds, which specs name after ``kind``.
    """

    def __init__(
        self,
        simulation,
        name: str,
        domain: str,
        *,
        cpu: int = 64_000,
        memory_mb: int = 131_072,
        speed: float = 1.0,
        clock_rate: float = 1.0,
        labels: tuple[str, ...] = (),
        guards_capacity: bool = True,
    ):
        self._simulation = simulation
        self.speed = speed
        self.clock_rate = clock_rate
        self.guards_capacity = guards_capacity
        self.fails = 0.0
        self.hangs = False
        self.is_dark = False
        self.is_unlisted = False
        self.restart_time = datetime.timedelta()
        self.crashes_silently = False
        self.slowdown_beside: dict[frozenset[str], float] = {}
        self.is_down = False
        self.refuses_connections = False
        self.loses_replies = False
        self.rejects_starts_with: events.Failure | None = None
        self.crashes = 0
        self.poison_starts: collections.Counter[str] = collections.Counter()
        self.crashed_runs: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(name)
        self.target = targets.Target(
            id=identifiers.TargetId(name),
            service=identifiers.ServiceName("service"),
            address=f"{name}:1",
            domain=identifiers.DomainName(domain),
            capacity=resources.Resources(cpu, memory_mb, 0),
            labels=labels,
            started_at_ms=1,
        )
        self._booted_at = simulation.now
        self._fence = 0
        self.incarnation = 1
        self._lease_until_ms = 0.0
        self._running: dict[tuple[str, int], _Run] = {}
        self._highest_run: dict[str, int] = {}
        self._ended: list[events.EndedRow] = []
        self._end_count = 0
        self._waiting_holds: list[tuple[actions.Hold, object]] = []
        self._spans: list[tuple[str, datetime.datetime, datetime.datetime]] = []
        self.starts = 0

    def crash(self) -> None:
        """Lose all runs and all state, and restart as a new instance."""
        now = self._simulation.now
        self.crashes += 1
        for (task, _), run in self._running.items():
            self._spans.append((task, run.started_at, now))
            self.crashed_runs[task] += 1
        self._running.clear()
        self._ended.clear()
        self._highest_run.clear()
        self._end_count = 0
        self._fence = 0
        self._lease_until_ms = 0.0
        self.incarnation += 1
        self._booted_at = now
        self._waiting_holds.clear()
        self.target = msgspec.structs.replace(self.target, started_at_ms=self.incarnation)

    def crash_under(self, incarnation: int) -> None:
        """Crash an incarnation unless it is over, and accept commands after the restart time."""
        if self.incarnation != incarnation:
            return
        waiting_holds = list(self._waiting_holds)
        self.crash()
        if not self.crashes_silently:
            for _, reply in waiting_holds:
                reply(Reply(failure=events.Failure.BROKEN))
        if self.restart_time:
            self.is_down = True
            self._simulation.call_later(self.restart_time, self._come_back)

    def cut_off(self) -> None:
        """Reset the connections to the target and refuse new ones, while its runs go on."""
        self.refuses_connections = True
        waiting_holds, self._waiting_holds = self._waiting_holds, []
        for _, reply in waiting_holds:
            reply(Reply(failure=events.Failure.BROKEN))

    def _come_back(self) -> None:
        self.is_down = False
        self._booted_at = self._simulation.now

    def stand_still(self) -> None:
        """Stall all runs: they make no more progress and never end."""
        now = self._simulation.now
        for key, run in list(self._running.items()):
            if run.is_stopping:
                continue
            stalled = _Run(run.started_at, run.size)
            stalled.stalled_percent = run.progress_percent(now)
            self._running[key] = stalled

    def drain(self) -> None:
        """Announce that the target is draining."""
        self.target = msgspec.structs.replace(self.target, is_draining=True)

    def clock_ms(self) -> float:
        """Return the reading of the target's own clock in milliseconds."""
        elapsed = (self._simulation.now - self._booted_at) / datetime.timedelta(milliseconds=1)
        return INITIAL_CLOCK_MS + elapsed * self.clock_rate

    def spans(
        self, now: datetime.datetime
    ) -> list[tuple[str, datetime.datetime, datetime.datetime]]:
        """Return the task, start and end of every run so far."""
        open_spans = [(task, run.started_at, now) for (task, _), run in self._running.items()]
        return self._spans + open_spans

    def carry_out(self, action, reply) -> None:
        """Execute a command and call ``reply`` once the reply is known.

        A command with a lower token than one seen before is refused as fenced.
        """
        if self.refuses_connections or (self.is_down and not self.crashes_silently):
            reply(Reply(failure=events.Failure.UNREACHABLE))
            return
        if self.is_dark or self.is_down:
            return
        if action.token < self._fence:
            reply(self._reply(failure=events.Failure.FENCED))
            return
        self._fence = action.token
        if self.loses_replies:
            reply(Reply(failure=events.Failure.BROKEN))
            reply = _ignore_reply
        _execute(action, self, reply)

    def _reply(self, failure: events.Failure | None = None) -> Reply:
        return Reply(failure=failure, clock_ms=int(self.clock_ms()), started_at_ms=self.incarnation)

    def _renew(self, until_ms: float) -> None:
        latest_ms = self.clock_ms() + MAX_LEASE_MS
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, latest_ms))
        self._schedule_lapse()

    def _schedule_lapse(self) -> None:
        remaining_ms = max(self._lease_until_ms - self.clock_ms(), 0.0) / self.clock_rate
        delay = datetime.timedelta(milliseconds=remaining_ms + 1)
        self._simulation.call_later(delay, self._end_lapsed_runs)

    def _end_lapsed_runs(self) -> None:
        if self.clock_ms() < self._lease_until_ms:
            return
        for key in list(self._running):
            self._end_run(key, "lapsed")

    def hold(self, action: actions.Hold, reply) -> None:
        """Renew the lease, forget acknowledged ends, and reply with current and ended runs.

        Without ended runs, the reply is delayed until a run ends or ``action.wait`` has passed.
        """
        if action.until_ms is not None:
            self._renew(action.until_ms)
        self._ended = [row for row in self._ended if row.number > action.acknowledged]
        if self._ended or not action.wait:
            reply(self._hold_reply())
            return
        waiting_hold = (action, reply)
        self._waiting_holds.append(waiting_hold)
        self._simulation.call_later(action.wait, lambda: self._answer_hold(waiting_hold))

    def _answer_hold(self, waiting_hold) -> None:
        if waiting_hold in self._waiting_holds:
            self._waiting_holds.remove(waiting_hold)
            waiting_hold[1](self._hold_reply())

    def _hold_reply(self) -> Reply:
        now = self._simulation.now
        running = tuple(
            events.Running(task, number, run.progress_percent(now))
            for (task, number), run in self._running.items()
        )
        return msgspec.structs.replace(self._reply(), running=running, ended=tuple(self._ended))

    def start(self, action: actions.StartRun, reply) -> None:
        """Start a run unless its number is too low, its lease has expired or it does not fit."""
        key = (action.task, action.run)
        if self.rejects_starts_with is not None:
            reply(self._reply(failure=self.rejects_starts_with))
            return
        if key in self._running:
            reply(self._reply())
            return
        failure = self._start_failure(action)
        if failure is not None:
            reply(self._reply(failure=failure))
            return
        self._renew(action.until_ms)
        self._begin_run(key, action.spec)
        reply(self._reply())

    def _start_failure(self, action: actions.StartRun) -> events.Failure | None:
        if action.run <= self._highest_run.get(action.task, 0):
            return events.Failure.OLD_RUN
        if action.until_ms <= self.clock_ms():
            return events.Failure.TOO_LATE
        size = _size_in(action.spec)
        used = resources.ZERO
        for run in self._running.values():
            used = used.plus(run.size)
        if self.guards_capacity and not size.fits_in(self.target.capacity.minus(used)):
            return events.Failure.NO_ROOM
        return None

    def _begin_run(self, key: tuple[str, int], spec: str) -> None:
        self.starts += 1
        words = spec.split()
        run = _Run(self._simulation.now, _size_in(spec))
        self._running[key] = run
        if is_poison(key[0], spec):
            self.poison_starts[key[0]] += 1
            incarnation = self.incarnation
            self._simulation.call_later(CRASH_DELAY, lambda: self.crash_under(incarnation))
            return
        if self.hangs:
            return
        run_end = "failed" if self._rng.random() < self.fails else "done"
        milliseconds = 1.0 if run_end == "failed" else float(words[0]) / self.speed
        milliseconds *= self._slowdown(key, spec) * _tail_in(key[0], spec)
        run.duration = datetime.timedelta(milliseconds=milliseconds)
        self._simulation.call_later(run.duration, lambda: self._end_if_current(key, run, run_end))

    def _slowdown(self, key: tuple[str, int], spec: str) -> float:
        """Return the factor by which a run is slowed down by those on the target as it starts."""
        run = self._running[key]
        run.kind = _kind_in(spec)
        pairs = {
            frozenset((run.kind, other.kind))
            for other in self._running.values()
            if other is not run
        }
        return max((self.slowdown_beside.get(pair, 1.0) for pair in pairs), default=1.0)

    def _end_if_current(self, key: tuple[str, int], run: _Run, run_end: str) -> None:
        if self._running.get(key) is run:
            self._end_run(key, run_end)

    def _end_run(self, key: tuple[str, int], run_end: str) -> None:
        run = self._running.pop(key)
        now = self._simulation.now
        self._spans.append((key[0], run.started_at, now))
        self._highest_run[key[0]] = max(self._highest_run.get(key[0], 0), key[1])
        self._end_count += 1
        self._ended.append(events.EndedRow(self._end_count, key[0], key[1], run_end))
        for waiting_hold in list(self._waiting_holds):
            self._answer_hold(waiting_hold)

    def stop(self, action: actions.StopRun, reply) -> None:
        """Stop a run, or prevent it from starting later."""
        key = (action.task, action.run)
        self._highest_run[action.task] = max(self._highest_run.get(action.task, 0), action.run)
        run = self._running.get(key)
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            self._simulation.call_later(
                STOP_DURATION, lambda: self._end_if_current(key, run, "stopped")
            )
        reply(self._reply())


def _ignore_reply(reply: Reply) -> None:
    """Discard a reply that does not reach its caller."""


def is_poison(task: str, spec: str) -> bool:
    """Tell whether a task crashes its target: the spec names its index after ``poison``."""
    words = spec.split()
    if _POISON not in words:
        return False
    return task.rpartition(".")[2] in words[words.index(_POISON) + 1 :]


def _kind_in(spec: str) -> str:
    """Return the word after ``kind`` in a spec, or an empty string."""
    words = spec.split()
    return words[words.index(_KIND) + 1] if _KIND in words else ""


def format_spec(run_ms: float, size: resources.Resources, kind: str, tails: list[float]) -> str:
    """Return the spec of a job's tasks; ``tails`` are the factors on the run time, by task."""
    amounts = " ".join(str(amount) for amount in size.as_tuple())
    spec = f"{run_ms} {amounts} {_KIND} {kind}"
    if any(tail != 1.0 for tail in tails):
        spec += f" {_TAILS} " + " ".join(str(tail) for tail in tails)
    return spec


def _tail_in(task: str, spec: str) -> float:
    """Return the factor on a task's run time that its spec names after ``tails``, or 1."""
    words = spec.split()
    if _TAILS not in words:
        return 1.0
    return float(words[words.index(_TAILS) + 1 + int(task.rpartition(".")[2])])


def _size_in(spec: str) -> resources.Resources:
    return resources.Resources(*(int(amount) for amount in spec.split()[1:4]))


@functools.singledispatch
def _execute(action, model: TargetModel, reply) -> None:
    raise TypeError(f"a target cannot execute {type(action).__name__}")


@_execute.register
def _(action: actions.Hold, model: TargetModel, reply) -> None:
    model.hold(action, reply)


@_execute.register
def _(action: actions.StartRun, model: TargetModel, reply) -> None:
    model.start(action, reply)


@_execute.register
def _(action: actions.StopRun, model: TargetModel, reply) -> None:
    model.stop(action, reply)


@functools.singledispatch
def reply_event(action, reply: Reply, sent_at: datetime.datetime) -> events.Event:
    """Return the event by which a kernel receives a reply."""
    raise TypeError(f"no reply event for {type(action).__name__}")


@reply_event.register
def _(action: actions.Hold, reply: Reply, sent_at: datetime.datetime) -> events.Event:
    return events.HoldReplied(
        target=action.target.id,
        token=action.token,
        number=action.number,
        sent_at=sent_at,
        failure=reply.failure,
        clock_ms=reply.clock_ms,
        started_at_ms=reply.started_at_ms,
        running=reply.running,
        ended=reply.ended,
    )


@reply_event.register
def _(action: actions.StartRun, reply: Reply, sent_at: datetime.datetime) -> events.Event:
    return events.StartReplied(
        target=action.target.id,
        grant=action.grant,
        token=action.token,
        attempt=action.attempt,
        failure=reply.failure,
        clock_ms=reply.clock_ms,
    )


@reply_event.register
def _(action: actions.StopRun, reply: Reply, sent_at: datetime.datetime) -> events.Event:
    return events.StopReplied(
        target=action.target.id,
        grant=action.grant,
        token=action.token,
        failure=reply.failure,
        clock_ms=reply.clock_ms,
    )

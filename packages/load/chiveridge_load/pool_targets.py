"""Targets of the pool's model: room, leases, fences, ends, and ways to fail."""

import datetime
import functools
import random

import msgspec

from chiveridge_pool import actions, events, identifiers, resources, targets

STOP_TIME = datetime.timedelta(milliseconds=20)
MAX_LEASE_MS = 1000
START_TIME_MS = 100_000
"""What a target's clock shows when the model starts."""


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says to an order."""

    failure: events.Failure | None = None
    clock_ms: int = 0
    started_at_ms: int = 0
    running: tuple[events.Running, ...] = ()
    ended: tuple[events.EndedRow, ...] = ()


class _Run:
    def __init__(self, started_at: datetime.datetime, size: resources.Resources):
        self.started_at = started_at
        self.size = size
        self.takes: datetime.timedelta | None = None
        self.is_stopping = False
        self.stands_at = 0

    def percent(self, now: datetime.datetime) -> int:
        """Return the progress; a run that hangs makes none."""
        if self.takes is None:
            return self.stands_at
        return min(int(100 * ((now - self.started_at) / self.takes)), 99)


class TargetModel:
    """One target. Its tasks take the time that their spec names, in milliseconds.

    ``speed`` divides that time; ``fails`` makes every task fail at once, ``hangs`` never end.
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
        drift: float = 1.0,
        labels: tuple[str, ...] = (),
    ):
        self._simulation = simulation
        self.speed = speed
        self.drift = drift
        self.fails = 0.0
        self.hangs = False
        self.is_dark = False
        self.is_gone = False
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
        self._born_at = simulation.now
        self._fence = 0
        self._lives = 1
        self._lease_until_ms = 0.0
        self._running: dict[tuple[str, int], _Run] = {}
        self._highest_run: dict[str, int] = {}
        self._ended: list[events.EndedRow] = []
        self._ends = 0
        self._waiting: list[tuple[actions.Hold, object]] = []
        self._spans: list[tuple[str, datetime.datetime, datetime.datetime]] = []
        self.starts = 0

    def crash(self) -> None:
        """Lose everything that runs, and all memory, and start anew."""
        now = self._simulation.now
        for (task, _), run in self._running.items():
            self._spans.append((task, run.started_at, now))
        self._running.clear()
        self._ended.clear()
        self._highest_run.clear()
        self._ends = 0
        self._fence = 0
        self._lease_until_ms = 0.0
        self._lives += 1
        self._born_at = now
        self._waiting.clear()
        self.target = msgspec.structs.replace(self.target, started_at_ms=self._lives)

    def stand_still(self) -> None:
        """Let what runs make no more progress, and never end."""
        now = self._simulation.now
        for key, run in list(self._running.items()):
            if run.is_stopping:
                continue
            still = _Run(run.started_at, run.size)
            still.stands_at = run.percent(now)
            self._running[key] = still

    def drain(self) -> None:
        """Announce that the target leaves."""
        self.target = msgspec.structs.replace(self.target, is_draining=True)

    def clock_ms(self) -> float:
        """Return the target's own clock."""
        elapsed = (self._simulation.now - self._born_at) / datetime.timedelta(milliseconds=1)
        return START_TIME_MS + elapsed * self.drift

    def spans(
        self, now: datetime.datetime
    ) -> list[tuple[str, datetime.datetime, datetime.datetime]]:
        """Return the task, start and end of every run so far."""
        open_spans = [(task, run.started_at, now) for (task, _), run in self._running.items()]
        return self._spans + open_spans

    def carry_out(self, action, reply) -> None:
        """Carry an order out, and pass the reply on when there is one."""
        if self.is_dark:
            return
        if action.token < self._fence:
            reply(self._reply(failure=events.Failure.FENCED))
            return
        self._fence = action.token
        _carry_out(action, self, reply)

    def _reply(self, failure: events.Failure | None = None) -> Reply:
        return Reply(failure=failure, clock_ms=int(self.clock_ms()), started_at_ms=self._lives)

    def _renew(self, until_ms: float) -> None:
        longest = self.clock_ms() + MAX_LEASE_MS
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, longest))
        self._expect_lapse()

    def _expect_lapse(self) -> None:
        left_ms = max(self._lease_until_ms - self.clock_ms(), 0.0) / self.drift
        delay = datetime.timedelta(milliseconds=left_ms + 1)
        self._simulation.call_later(delay, self._lapse)

    def _lapse(self) -> None:
        if self.clock_ms() < self._lease_until_ms:
            return
        for key in list(self._running):
            self._end(key, "lapsed")

    def hold(self, action: actions.Hold, reply) -> None:
        """Renew the lease, forget ends, and tell what runs and what has ended."""
        if action.until_ms is not None:
            self._renew(action.until_ms)
        self._ended = [row for row in self._ended if row.number > action.acknowledged]
        if self._ended or not action.wait:
            reply(self._news())
            return
        waiting = (action, reply)
        self._waiting.append(waiting)
        self._simulation.call_later(action.wait, lambda: self._answer(waiting))

    def _answer(self, waiting) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            waiting[1](self._news())

    def _news(self) -> Reply:
        now = self._simulation.now
        running = tuple(
            events.Running(task, number, run.percent(now))
            for (task, number), run in self._running.items()
        )
        return msgspec.structs.replace(self._reply(), running=running, ended=tuple(self._ended))

    def start(self, action: actions.StartRun, reply) -> None:
        """Start a run, if it is neither old nor late and fits."""
        key = (action.task, action.run)
        if key in self._running:
            reply(self._reply())
            return
        failure = self._start_failure(action)
        if failure is not None:
            reply(self._reply(failure=failure))
            return
        self._renew(action.until_ms)
        self._begin(key, action.spec)
        reply(self._reply())

    def _start_failure(self, action: actions.StartRun) -> events.Failure | None:
        if action.run <= self._highest_run.get(action.task, 0):
            return events.Failure.OLD_RUN
        if action.until_ms <= self.clock_ms():
            return events.Failure.TOO_LATE
        size = resources.Resources(*(int(amount) for amount in action.spec.split()[1:]))
        used = resources.ZERO
        for run in self._running.values():
            used = used.plus(run.size)
        if not size.fits_in(self.target.capacity.minus(used)):
            return events.Failure.NO_ROOM
        return None

    def _begin(self, key: tuple[str, int], spec: str) -> None:
        self.starts += 1
        words = spec.split()
        size = resources.Resources(*(int(amount) for amount in words[1:]))
        run = _Run(self._simulation.now, size)
        self._running[key] = run
        if self.hangs:
            return
        how = "failed" if self._rng.random() < self.fails else "done"
        milliseconds = 1.0 if how == "failed" else float(words[0]) / self.speed
        run.takes = datetime.timedelta(milliseconds=milliseconds)
        self._simulation.call_later(run.takes, lambda: self._end_if(key, run, how))

    def _end_if(self, key: tuple[str, int], run: _Run, how: str) -> None:
        if self._running.get(key) is run:
            self._end(key, how)

    def _end(self, key: tuple[str, int], how: str) -> None:
        run = self._running.pop(key)
        now = self._simulation.now
        self._spans.append((key[0], run.started_at, now))
        self._highest_run[key[0]] = max(self._highest_run.get(key[0], 0), key[1])
        self._ends += 1
        self._ended.append(events.EndedRow(self._ends, key[0], key[1], how))
        for waiting in list(self._waiting):
            self._answer(waiting)

    def stop(self, action: actions.StopRun, reply) -> None:
        """Stop a run, or keep it from starting."""
        key = (action.task, action.run)
        self._highest_run[action.task] = max(self._highest_run.get(action.task, 0), action.run)
        run = self._running.get(key)
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            self._simulation.call_later(STOP_TIME, lambda: self._end_if(key, run, "stopped"))
        reply(self._reply())


@functools.singledispatch
def _carry_out(action, model: TargetModel, reply) -> None:
    raise TypeError(f"a target cannot carry out {type(action).__name__}")


@_carry_out.register
def _(action: actions.Hold, model: TargetModel, reply) -> None:
    model.hold(action, reply)


@_carry_out.register
def _(action: actions.StartRun, model: TargetModel, reply) -> None:
    model.start(action, reply)


@_carry_out.register
def _(action: actions.StopRun, model: TargetModel, reply) -> None:
    model.stop(action, reply)


@functools.singledispatch
def event_of(action, reply: Reply, sent_at: datetime.datetime) -> events.Event:
    """Return the event that tells a kernel of a reply."""
    raise TypeError(f"no reply to {type(action).__name__}")


@event_of.register
def _(action: actions.Hold, reply: Reply, sent_at: datetime.datetime) -> events.Event:
    return events.HoldReplied(
        target=action.target.id,
        token=action.token,
        sent_at=sent_at,
        failure=reply.failure,
        clock_ms=reply.clock_ms,
        started_at_ms=reply.started_at_ms,
        running=reply.running,
        ended=reply.ended,
    )


@event_of.register
def _(action: actions.StartRun, reply: Reply, sent_at: datetime.datetime) -> events.Event:
    return events.StartReplied(
        target=action.target.id,
        grant=action.grant,
        token=action.token,
        failure=reply.failure,
        clock_ms=reply.clock_ms,
    )


@event_of.register
def _(action: actions.StopRun, reply: Reply, sent_at: datetime.datetime) -> events.Event:
    return events.StopReplied(
        target=action.target.id, grant=action.grant, token=action.token, failure=reply.failure
    )

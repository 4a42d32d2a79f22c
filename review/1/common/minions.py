"""Stand-in for a minion, as PROTOCOL.md, "Running tasks" and "Service discovery", describe it.

It guards its capacity, keeps the highest fencing token, ends runs whose lease has expired, lists
ends until they are acknowledged, and rejects runs that are not higher than one stopped or ended.
"""

import asyncio
import itertools
import time

from common import wire

HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5
CHECK_S = 0.005


class Run:
    def __init__(self, task: str, run: int, cpu: int, seconds: float, started_at: float):
        self.task = task
        self.run = run
        self.cpu = cpu
        self.seconds = seconds
        self.started_at = started_at


class Minion:
    """One minion. ``work`` maps a start's body to (seconds, thousandths of a core)."""

    def __init__(
        self,
        store,
        record,
        name: str,
        zone: str,
        work,
        *,
        cpu=64_000,
        kind="a",
        rack="r1",
        clock_rate=1.0,
        stop_s=0.0,
    ):
        self._store = store
        self._record = record
        self.name = name
        self.zone = zone
        self._work = work
        self.cpu = cpu
        self.kind = kind
        self.rack = rack
        self.clock_rate = clock_rate
        self.stop_s = stop_s
        # Returns whether an order is left unanswered, and after how many seconds it is carried out.
        self.is_late = lambda call, body: None
        self.state = "ready"
        self._server = wire.Server(self._handle)
        self.address = self._server.address
        # Where the others reach it; a link's address if one stands in front.
        self.listed_address = self.address
        self._is_up = False
        self._sequence = 0
        self._ticker: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin a life: nothing runs, and nothing is known of an earlier one."""
        self.born = time.time_ns() // 1_000_000
        self.token = 0
        self.running: dict[str, Run] = {}
        self.highest_over: dict[str, int] = {}
        self._ended: list[list] = []
        self._numbers = itertools.count(1)
        self._lease_until = 0.0
        self._clock_start = time.monotonic() - 1.0
        self._changed = asyncio.Event()
        await self._server.start()
        self._is_up = True
        self._sequence = 0
        self.register()
        self._ticker = asyncio.get_running_loop().create_task(self._tick())
        self._record("minion up", minion=self.name, kind=self.kind, born=self.born)

    def crash(self) -> None:
        """End this life at once; what runs ends with it."""
        self._is_up = False
        self._server.abort()
        self._ticker.cancel()
        for run in list(self.running.values()):
            self._record("run gone", minion=self.name, task=run.task, run=run.run)
        self.running = {}
        self._record("minion down", minion=self.name)

    def register(self) -> None:
        """Write this minion's entry into the store."""
        self._sequence += 1
        entry = {
            "service": "dispatch",
            "address": self.listed_address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self._sequence,
            "capacity": {"cpu": self.cpu, "memMb": 131_072, "gpu": 0},
            "labels": [self.kind, self.rack],
            "born": self.born,
        }
        self._store.put("keyed.servers", self.name, entry)

    def drain(self) -> None:
        """Report that this minion drains; it goes on serving until it is stopped."""
        self.state = "draining"
        self.register()
        self._record("minion draining", minion=self.name)

    def clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_start) * 1000 * self.clock_rate)

    async def _tick(self) -> None:
        next_heartbeat = time.monotonic() + HEARTBEAT_S
        while True:
            await asyncio.sleep(CHECK_S)
            now = time.monotonic()
            if now >= next_heartbeat:
                next_heartbeat = now + HEARTBEAT_S
                self.register()
            for run in list(self.running.values()):
                if now >= run.started_at + run.seconds:
                    self._end(run, "done")
                elif now >= self._lease_until:
                    self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self.highest_over[run.task] = max(self.highest_over.get(run.task, 0), run.run)
        self._ended.append([next(self._numbers), run.task, run.run, how, ""])
        self._record("end", minion=self.name, task=run.task, run=run.run, how=how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: wire.Request) -> wire.Reply:
        if request.method != "POST":
            return wire.Reply(200, {})
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.name):
            return wire.Reply(421, {})
        body = request.json()
        call = request.path.rsplit("/", 1)[-1]
        delay_s = self.is_late(call, body)
        if delay_s is not None:
            life = self.born
            asyncio.get_running_loop().call_later(delay_s, self._carry_out, call, body, life)
            return None
        return await self._carry_out_now(call, body)

    def _carry_out(self, call: str, body: dict, life: int) -> None:
        if self._is_up:
            self._record("late order", minion=self.name, call=call, task=body.get("task"))
            self._late = asyncio.get_running_loop().create_task(self._carry_out_now(call, body))

    async def _carry_out_now(self, call: str, body: dict) -> wire.Reply:
        if body.get("fencingToken", 0) < self.token:
            return self._refuse("fence")
        self.token = body.get("fencingToken", 0)
        if call == "hold":
            return await self._hold(body)
        if call == "run-start":
            return self._start(body)
        if call == "run-stop":
            return self._stop(body)
        return wire.Reply(400, {"clockMs": self.clock_ms()})

    def _refuse(self, reason: str) -> wire.Reply:
        return wire.Reply(409, {"clockMs": self.clock_ms(), "reason": reason})

    def _renew(self, until_ms: int | None) -> None:
        if until_ms is None:
            return
        left_s = min(until_ms - self.clock_ms(), HOLD_MAX_MS) / 1000 / self.clock_rate
        self._lease_until = max(self._lease_until, time.monotonic() + left_s)

    async def _hold(self, body: dict) -> wire.Reply:
        self._renew(body.get("untilMs"))
        self._ended = [row for row in self._ended if row[0] > body.get("ackOffset", 0)]
        if not self._ended and body.get("waitMs"):
            try:
                await asyncio.wait_for(self._changed.wait(), body["waitMs"] / 1000)
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [run.task, run.run, "", int(100 * (now - run.started_at) / run.seconds), run.cpu]
            for run in self.running.values()
        ]
        return wire.Reply(
            200,
            {
                "clockMs": self.clock_ms(),
                "born": self.born,
                "running": running,
                "ended": self._ended[:500],
            },
        )

    def _start(self, body: dict) -> wire.Reply:
        task, number = body["task"], body["run"]
        running = self.running.get(task)
        if running is not None and running.run == number:
            self._renew(body["untilMs"])
            return wire.Reply(200, {"clockMs": self.clock_ms()})
        if number <= self.highest_over.get(task, 0) or running is not None:
            self._renew(body["untilMs"])
            return self._refuse("old")
        if body["untilMs"] <= self.clock_ms():
            return self._refuse("late")
        self._renew(body["untilMs"])
        seconds, cpu = self._work(body)
        if sum(run.cpu for run in self.running.values()) + cpu > self.cpu:
            return self._refuse("room")
        self.running[task] = Run(task, number, cpu, seconds, time.monotonic())
        self._record(
            "start",
            minion=self.name,
            kind=self.kind,
            state=self.state,
            task=task,
            run=number,
            token=body.get("fencingToken", 0),
        )
        return wire.Reply(200, {"clockMs": self.clock_ms()})

    def _stop(self, body: dict) -> wire.Reply:
        task, number = body["task"], body["run"]
        running = self.running.get(task)
        if running is not None and running.run == number:
            if self.stop_s:
                asyncio.get_running_loop().call_later(self.stop_s, self._end_stopped, running)
            else:
                self._end(running, "stopped")
        self.highest_over[task] = max(self.highest_over.get(task, 0), number)
        return wire.Reply(200, {"clockMs": self.clock_ms()})

    def _end_stopped(self, run: Run) -> None:
        if self.running.get(run.task) is run:
            self._end(run, "stopped")

"""A start is repeated into the next life of a minion, which is of another kind."""

import asyncio
import pathlib
import random
import sys

import standins
from aiohttp import web

DOWN_SECONDS = 0.5
CRASHES = 5
"""One of six minions each time, a share of 0.17."""

SECONDS_BETWEEN_CRASHES = 3.0
JOBS_PER_SECOND = 40
DEADLINE_MS = 1500
STEP = {
    "count": 2,
    "cpu": 2000,
    "memMb": 64,
    "estimateMs": 60,
    "ms": 60,
    "requirements": "a",
}


class CrashingMinion(standins.Minion):
    """A minion that can lose power, and is back under its id as another kind.

    What was sent to it while it was down is lost.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._is_up = asyncio.Event()
        self._is_up.set()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a call, or none while the power is off."""
        await request.read()
        reply = await super().handle(request) if self._is_up.is_set() else None
        if reply is None or not self._is_up.is_set():
            await self._is_up.wait()
            return standins.reset(request)
        return reply

    async def restart_as(self, kind: str) -> None:
        """Lose power, and come back as another life of another kind."""
        self._record.add("minion loses power", minion=self.id)
        self._is_up.clear()
        self._heartbeat.cancel()
        self.crash()
        await asyncio.sleep(DOWN_SECONDS)
        self.begin_life()
        self.labels = [kind, "r1-1"]
        self._record.add("minion is back", minion=self.id, born=self.born, labels=self.labels)
        self._is_up.set()
        self._heartbeat = asyncio.create_task(self._send_heartbeats())


async def play(world: standins.World, trouble: bool) -> bool:
    """Return whether ROUTE was broken."""
    record = world.record
    await world.start(minions=6, cpu=8000)
    traffic = asyncio.create_task(_send_jobs(world, (CRASHES + 1) * SECONDS_BETWEEN_CRASHES))
    for number in range(CRASHES if trouble else 0):
        # At no particular moment of the traffic.
        await asyncio.sleep(SECONDS_BETWEEN_CRASHES * random.uniform(0.8, 1.2))
        await world.minions[number].restart_as("b")
    await traffic
    # Every job requires the kind a.
    misplaced = [row for row in record.of("start") if "a" not in row["labels"]]
    for row in misplaced:
        record.add("start on a minion without the label", **{"of": row})
    return bool(misplaced)


async def _send_jobs(world: standins.World, seconds: float) -> None:
    """Send jobs to all nodes in turn, as clients of three zones do."""
    sending = []
    for number in range(int(seconds * JOBS_PER_SECOND)):
        node = world.nodes[number % len(world.nodes)]
        job = world.post(node, standins.new_job(), [STEP], deadline_ms=DEADLINE_MS)
        sending.append(asyncio.create_task(job))
        await asyncio.sleep(random.expovariate(JOBS_PER_SECOND))
    await asyncio.gather(*sending)


if __name__ == "__main__":
    standins.Minion = CrashingMinion
    sys.exit(standins.run(play, pathlib.Path(__file__).parent))

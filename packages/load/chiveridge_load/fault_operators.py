"""Operators of a fault run: they race each other with changes of one object."""

import asyncio
import random

import aiohttp
import msgspec

from chiveridge_client import clocks, errors, platforms, publications, readers
from chiveridge_kernel import records
from chiveridge_standins import configs, fleets

CONTENDED_TEAM = "contended"
MAX_PAUSE_S = 0.6
CATCH_UP_LIMIT_S = 11
POLL_INTERVAL_S = 0.1


class Told(msgspec.Struct, frozen=True):
    """What an operator was told of a change; no verdict when its outcome stayed unknown."""

    change_id: str
    verdict: records.Verdict | None


class ConfigurationOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What operators were told, what the log holds, and how far each node came in time."""

    told: list[Told]
    verdicts_by_change_id: dict[str, records.Verdict]
    log_offset: int
    offsets_by_node: dict[str, int]


class _Status(msgspec.Struct):
    config_offset: int


class Operators:
    """Publishes changes until stopped."""

    def __init__(self, fleet: fleets.Fleet, session: aiohttp.ClientSession, rng: random.Random):
        self._fleet = fleet
        self._session = session
        self._rng = rng
        self._log = platforms.Log(fleet.platform_url, session)
        self._told: list[Told] = []
        self._stopping = False

    async def run(self, name: str) -> None:
        """Publish one change after the other under a name."""
        publisher = publications.Publisher(self._log, rng=self._rng, clock=clocks.SystemClock())
        number = 0
        while not self._stopping:
            number += 1
            await self._publish(publisher, f"{name}-{number}", name)
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    def stop(self) -> None:
        """Publish no more changes."""
        self._stopping = True

    async def outcome(self) -> ConfigurationOutcome:
        """Read the log to its end, and wait a limited time for the nodes to get there."""
        reader = readers.Reader(self._log, configs.CONFIG_STREAM)
        judged = await reader.catch_up()
        verdicts_by_change_id: dict[str, records.Verdict] = {}
        for change in judged:
            verdicts_by_change_id.setdefault(change.change_id, change.verdict)
        log_offset = reader.configuration.offset
        return ConfigurationOutcome(
            told=self._told,
            verdicts_by_change_id=verdicts_by_change_id,
            log_offset=log_offset,
            offsets_by_node=await self._wait_for_nodes(log_offset),
        )

    async def _publish(self, publisher: publications.Publisher, change_id: str, actor: str) -> None:
        team = records.TeamObject(name=CONTENDED_TEAM, labels={"by": change_id})
        write = records.ObjectWrite(kind=records.ObjectKind.TEAM, name=team.name, team=team)
        try:
            published = await publisher.publish([write], actor, change_id=change_id)
            self._told.append(Told(change_id, published.verdict))
        except errors.ClientError:
            self._told.append(Told(change_id, None))

    async def _wait_for_nodes(self, log_offset: int) -> dict[str, int]:
        until = asyncio.get_running_loop().time() + CATCH_UP_LIMIT_S
        while True:
            offsets = {name: await self._offset(name) for name in self._fleet.nodes_by_name}
            are_there = all(offset >= log_offset for offset in offsets.values())
            if are_there or asyncio.get_running_loop().time() >= until:
                return offsets
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _offset(self, name: str) -> int:
        url = f"{self._fleet.nodes_by_name[name].url}/v1/status"
        async with self._session.get(url) as reply:
            return msgspec.json.decode(await reply.read(), type=_Status).config_offset

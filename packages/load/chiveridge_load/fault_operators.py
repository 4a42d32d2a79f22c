"""Operators of a fault run, which publish concurrent changes to the same objects."""

import asyncio
import enum
import random
from collections.abc import Callable

import aiohttp
import msgspec

from chiveridge_client import clocks, errors, platform_logs, publications, readers
from chiveridge_kernel import records
from chiveridge_standins import fleets, node_configs

CONTENDED_TEAM = "contended"
APPROVAL_PROBABILITY = 0.25
CONTENDED_TARGETS_PER_SECOND = 12
CATCH_UP_TIMEOUT_S = 11
POLL_INTERVAL_S = 0.1


class Contest(enum.Enum):
    """The objects that the operators of a run change concurrently."""

    UNUSED_TEAM = "a team that has no jobs"
    APPROVALS = "the approvals of the targets that the jobs use"


_MAX_PAUSE_S_BY_CONTEST = {Contest.UNUSED_TEAM: 0.6, Contest.APPROVALS: 0.02}


class ReportedVerdict(msgspec.Struct, frozen=True):
    """The verdict on a change that its operator received; None if the outcome is unknown."""

    change_id: str
    verdict: records.Verdict | None


class ConfigurationOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The verdicts that operators received, those in the log, and the offset of each node.

    ``offsets_by_node`` holds what the nodes had applied ``CATCH_UP_TIMEOUT_S`` after the log was
    read, or earlier if all of them had applied the whole log.
    """

    told: list[ReportedVerdict]
    verdicts_by_change_id: dict[str, records.Verdict]
    log_offset: int
    offsets_by_node: dict[str, int]


class _Status(msgspec.Struct):
    config_offset: int


class Operators:
    """Publishes conflicting changes until stopped."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        session: aiohttp.ClientSession,
        rng: random.Random,
        contest: Contest,
        team: str,
    ):
        self._fleet = fleet
        self._session = session
        self._rng = rng
        self._contest = contest
        self._team = team
        self._log = platform_logs.LogClient(fleet.platform_url, session)
        self._reported: list[ReportedVerdict] = []
        self._stopping = False

    async def run(self, name: str) -> None:
        """Publish one change after the other as the operator with the given name."""
        publisher = publications.Publisher(self._log, rng=self._rng, clock=clocks.SystemClock())
        number = 0
        while not self._stopping:
            number += 1
            await self._publish(publisher, f"{name}-{number}", name)
            await asyncio.sleep(self._rng.uniform(0, _MAX_PAUSE_S_BY_CONTEST[self._contest]))

    def stop(self) -> None:
        """Publish no more changes."""
        self._stopping = True

    async def outcome(self) -> ConfigurationOutcome:
        """Read the log to its end and wait up to ``CATCH_UP_TIMEOUT_S`` for the nodes to follow."""
        reader = readers.ConfigurationReader(self._log, node_configs.CONFIG_STREAM)
        judged_changes = await reader.catch_up()
        verdicts_by_change_id: dict[str, records.Verdict] = {}
        for change in judged_changes:
            verdicts_by_change_id.setdefault(change.change_id, change.verdict)
        log_offset = reader.configuration.offset
        return ConfigurationOutcome(
            told=self._reported,
            verdicts_by_change_id=verdicts_by_change_id,
            log_offset=log_offset,
            offsets_by_node=await self._wait_for_nodes(log_offset),
        )

    async def _publish(self, publisher: publications.Publisher, change_id: str, actor: str) -> None:
        write = _WRITES_BY_CONTEST[self._contest](self, change_id)
        try:
            published = await publisher.publish([write], actor, change_id=change_id)
            self._reported.append(ReportedVerdict(change_id, published.verdict))
        except errors.ClientError:
            self._reported.append(ReportedVerdict(change_id, None))

    def _team_write(self, change_id: str) -> records.ObjectWrite:
        team = records.TeamObject(name=CONTENDED_TEAM, labels={"by": change_id})
        return records.ObjectWrite(kind=records.ObjectKind.TEAM, name=team.name, team=team)

    def _approval_write(self, change_id: str) -> records.ObjectWrite:
        """Return a write that grants or revokes the team's approval for one target."""
        names = sorted(self._fleet.targets_by_name)
        # The clock selects the target, so that all operators change the same one at a time.
        target_index = int(asyncio.get_running_loop().time() * CONTENDED_TARGETS_PER_SECOND)
        name = names[target_index % len(names)]
        is_approved = self._rng.random() < APPROVAL_PROBABILITY
        target = records.TargetObject(
            name=name,
            labels={"domain": name.partition("-")[0], "kind": "dryer", "by": change_id},
            owner="members",
            approved_teams=[self._team] if is_approved else [],
        )
        return records.ObjectWrite(kind=records.ObjectKind.TARGET, name=name, target=target)

    async def _wait_for_nodes(self, log_offset: int) -> dict[str, int]:
        give_up_at = asyncio.get_running_loop().time() + CATCH_UP_TIMEOUT_S
        while True:
            offsets = {name: await self._offset(name) for name in self._fleet.nodes_by_name}
            have_caught_up = all(offset >= log_offset for offset in offsets.values())
            if have_caught_up or asyncio.get_running_loop().time() >= give_up_at:
                return offsets
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _offset(self, name: str) -> int:
        url = f"{self._fleet.nodes_by_name[name].url}/v1/status"
        async with self._session.get(url) as reply:
            return msgspec.json.decode(await reply.read(), type=_Status).config_offset


_WRITES_BY_CONTEST: dict[Contest, Callable[[Operators, str], records.ObjectWrite]] = {
    Contest.UNUSED_TEAM: Operators._team_write,
    Contest.APPROVALS: Operators._approval_write,
}

"""The two deployments, and configurations that let every team use every target."""

import contextlib
import datetime
import hashlib
from collections.abc import AsyncIterator

import msgspec

from chiveridge_kernel import records
from chiveridge_standins import fleet_plans, fleets

ALL_TEAMS_RULE = "every-team-every-target"
READY_TIMEOUT_S = 30.0


class Deployment(msgspec.Struct, frozen=True):
    """Failure domains, number of cores per target, and one-way delay between domains."""

    domains: tuple[str, str, str]
    cores: int
    delay: datetime.timedelta


DEPLOYMENTS_BY_NAME = {
    "lagos": Deployment(("ikeja", "surulere", "lekki"), 64, datetime.timedelta(milliseconds=1)),
    "hokkaido": Deployment(
        ("sapporo-chuo", "asahikawa", "hakodate"), 32, datetime.timedelta(microseconds=500)
    ),
}


class TeamPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A team that submits jobs; ``max_starts`` limits its starts in progress."""

    name: str
    secret: str
    max_starts: int | None = None

    @property
    def credential(self) -> str:
        """Return the credential that the team's callers present."""
        return f"{self.name}.{self.secret}"

    @property
    def key_digest(self) -> str:
        """Return the digest of the secret, as stored in the configuration."""
        return hashlib.sha256(self.secret.encode()).hexdigest()


def first_change(
    teams: list[TeamPlan],
    target_names: list[str],
    changed_at: str = "2026-01-01T00:00:00Z",
    rules: int = 1,
) -> records.ChangeRecord:
    """Return the first change of a log, which lets every team use every target.

    ``rules`` is the number of rules; those after the first repeat it under other names.
    """
    team_names = [team.name for team in teams]
    writes = [_team_write(team) for team in teams]
    writes += [_target_write(name, team_names) for name in target_names]
    writes += [_rule_write(number) for number in range(rules)]
    return records.ChangeRecord(
        change_id="first-change", actor="operator", changed_at=changed_at, writes=writes
    )


@contextlib.asynccontextmanager
async def ready_fleet(
    plan: fleet_plans.FleetPlan, teams: list[TeamPlan], timeout_s: float = READY_TIMEOUT_S
) -> AsyncIterator[fleets.Fleet]:
    """Start a fleet in which every team may use every target; yield it once all nodes are ready."""
    async with fleets.Fleet(plan) as fleet:
        change = first_change(teams, list(fleet.targets_by_name))
        await fleet.append_config_record(msgspec.to_builtins(change))
        await fleet.wait_ready(timeout_s)
        yield fleet


def _team_write(team: TeamPlan) -> records.ObjectWrite:
    value = records.TeamObject(
        name=team.name, key_digests=[team.key_digest], max_starts=team.max_starts
    )
    return records.ObjectWrite(kind=records.ObjectKind.TEAM, name=team.name, team=value)


def _target_write(name: str, team_names: list[str]) -> records.ObjectWrite:
    domain = name.partition("-")[0]
    labels = {"domain": domain, "kind": "dryer"}
    value = records.TargetObject(
        name=name, labels=labels, owner="members", approved_teams=team_names
    )
    return records.ObjectWrite(kind=records.ObjectKind.TARGET, name=name, target=value)


def _rule_write(number: int) -> records.ObjectWrite:
    name = f"{ALL_TEAMS_RULE}-{number}" if number else ALL_TEAMS_RULE
    rule = records.RuleObject(name=name, targets="kind=dryer")
    return records.ObjectWrite(kind=records.ObjectKind.RULE, name=rule.name, rule=rule)


def fleet_plan(name: str, policy: str, *, proxied: bool = False) -> fleet_plans.FleetPlan:
    """Return the fleet of a deployment: 3 domains, 9 nodes and 24 targets of 8 slots.

    ``proxied`` puts a proxy in front of every node for the messages from its peers.
    """
    deployment = DEPLOYMENTS_BY_NAME[name]
    domain = fleet_plans.DomainPlan(node_count=3, target_count=8)
    nodes = [
        f"{domain_name}-e{number}" for domain_name in deployment.domains for number in (1, 2, 3)
    ]
    return fleet_plans.FleetPlan(
        domains={domain_name: domain for domain_name in deployment.domains},
        slots=8,
        cores=deployment.cores,
        proxied_names=frozenset(nodes) if proxied else frozenset(),
        settings={"placement": {"policy": policy}},
    )


def peer_delay(name: str, delayed: bool) -> datetime.timedelta:
    """Return the one-way delay between nodes of a deployment, or zero unless ``delayed``."""
    return DEPLOYMENTS_BY_NAME[name].delay if delayed else datetime.timedelta(0)


def delay_peers(fleet: fleets.Fleet, delay: datetime.timedelta) -> None:
    """Delay the messages between nodes, including those within a domain."""
    for proxy in fleet.proxies_by_name.values():
        proxy.delay = delay


def total_slots(plan: fleet_plans.FleetPlan) -> int:
    """Return the total number of slots of a fleet's targets."""
    return plan.slots * sum(domain.target_count for domain in plan.domains.values())

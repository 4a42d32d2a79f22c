"""Configurations for fleets of stand-ins: teams with keys, approved for every target."""

import hashlib

import msgspec

from chiveridge_kernel import records

ALL_TEAMS_RULE = "every-team-every-target"


class TeamPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A calling team; ``max_starts`` limits its starts in progress."""

    name: str
    secret: str
    max_starts: int | None = None

    @property
    def credential(self) -> str:
        """Return the credential that the team's callers present."""
        return f"{self.name}.{self.secret}"

    @property
    def key_digest(self) -> str:
        """Return the digest of the secret that the configuration holds."""
        return hashlib.sha256(self.secret.encode()).hexdigest()


def first_change(
    teams: list[TeamPlan], target_names: list[str], changed_at: str = "2026-01-01T00:00:00Z"
) -> records.ChangeRecord:
    """Return the first change of a log: it lets every team reach every target."""
    team_names = [team.name for team in teams]
    writes = [_team_write(team) for team in teams]
    writes += [_target_write(name, team_names) for name in target_names]
    writes.append(_rule_write())
    return records.ChangeRecord(
        change_id="first-change", actor="operator", changed_at=changed_at, writes=writes
    )


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


def _rule_write() -> records.ObjectWrite:
    rule = records.RuleObject(name=ALL_TEAMS_RULE, targets="kind=dryer")
    return records.ObjectWrite(kind=records.ObjectKind.RULE, name=rule.name, rule=rule)

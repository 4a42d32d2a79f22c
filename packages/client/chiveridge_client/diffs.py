"""Compares the writes of a change file with the configuration in force."""

import enum

import msgspec

from chiveridge_kernel import configurations, records


class Effect(enum.Enum):
    """What a write does to its object."""

    CREATE = "create"
    CHANGE = "change"
    DELETE = "delete"
    UNCHANGED = "nothing"


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """One field before and after a write; ``field`` is empty for a deleted or unchanged object."""

    kind: records.ObjectKind
    name: str
    effect: Effect
    field: str = ""
    before: object = None
    after: object = None


def differences(
    writes: list[records.ObjectWrite], configuration: configurations.Configuration
) -> list[Difference]:
    """Return each field that the writes would change, and each object deleted or left unchanged."""
    return [difference for write in writes for difference in _compare(write, configuration)]


def warnings(
    writes: list[records.ObjectWrite], configuration: configurations.Configuration
) -> list[str]:
    """Return a warning for each approval of a team that would not exist after the writes.

    Such approvals are allowed: they take effect as soon as a team of that name exists.
    """
    teams, targets = _resulting_teams_and_targets(writes, configuration)
    messages = []
    for write in writes:
        if write.target is not None:
            messages += _unknown_team_warnings(write.target, teams)
        if write.kind is records.ObjectKind.TEAM and write.is_deletion():
            messages += _remaining_approval_warnings(write.name, targets)
    return messages


def _resulting_teams_and_targets(
    writes: list[records.ObjectWrite], configuration: configurations.Configuration
) -> tuple[set[str], dict[str, records.TargetObject]]:
    """Return the names of the teams and the targets by name, as they are after the writes."""
    writes_by_key = {(write.kind, write.name): write for write in writes}
    teams = {write.name for write in writes if write.team is not None}
    teams |= {
        name
        for name in configuration.teams_by_name
        if (records.ObjectKind.TEAM, name) not in writes_by_key
    }
    targets = {write.name: write.target for write in writes if write.target is not None}
    targets |= {
        name: target
        for name, target in configuration.targets_by_name.items()
        if (records.ObjectKind.TARGET, name) not in writes_by_key
    }
    return teams, targets


def _unknown_team_warnings(target: records.TargetObject, teams: set[str]) -> list[str]:
    return [
        f"target {target.name}: approves team {team}, which does not exist"
        for team in target.approved_teams
        if team not in teams
    ]


def _remaining_approval_warnings(team: str, targets: dict[str, records.TargetObject]) -> list[str]:
    count = sum(team in target.approved_teams for target in targets.values())
    if not count:
        return []
    return [
        f"team {team}: {count} targets still approve it; a new team with this name would get "
        "these approvals"
    ]


def find_object(
    configuration: configurations.Configuration, kind: records.ObjectKind, name: str
) -> msgspec.Struct | None:
    """Return an object of the configuration, or ``None`` if it does not exist."""
    objects_by_kind = {
        records.ObjectKind.TEAM: configuration.teams_by_name,
        records.ObjectKind.TARGET: configuration.targets_by_name,
        records.ObjectKind.RULE: configuration.rules_by_name,
    }
    return objects_by_kind[kind].get(name)


def _compare(write: records.ObjectWrite, configuration: configurations.Configuration):
    current = find_object(configuration, write.kind, write.name)
    before = msgspec.to_builtins(current) if current is not None else {}
    if write.is_deletion():
        yield Difference(kind=write.kind, name=write.name, effect=Effect.DELETE, before=before)
        return
    after = msgspec.to_builtins(getattr(write, write.kind.value))
    effect = Effect.CHANGE if current is not None else Effect.CREATE
    fields = [field for field in after if before.get(field) != after[field]]
    if not fields:
        yield Difference(kind=write.kind, name=write.name, effect=Effect.UNCHANGED)
    for field in fields:
        if field != "name":
            yield Difference(
                kind=write.kind,
                name=write.name,
                effect=effect,
                field=field,
                before=before.get(field),
                after=after[field],
            )

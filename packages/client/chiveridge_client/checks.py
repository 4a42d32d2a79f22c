"""Checks what a change file would leave behind: entries without effect, contradictory limits."""

import collections
import enum
from collections.abc import Iterable, Iterator

import msgspec

from chiveridge_client import diffs
from chiveridge_kernel import configurations, records, selectors


class FindingKind(enum.Enum):
    """What is wrong with an entry."""

    NEVER_MATCHES = "never matches"
    NO_EFFECT = "no effect"
    CONTRADICTION = "contradiction"


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the resulting configuration that an operator probably did not mean."""

    kind: records.ObjectKind
    name: str
    finding: FindingKind
    message: str


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """All objects as they would be after a change, by name."""

    teams_by_name: dict[str, records.TeamObject]
    targets_by_name: dict[str, records.TargetObject]
    rules_by_name: dict[str, records.RuleObject]


def apply(
    writes: Iterable[records.ObjectWrite], configuration: configurations.Configuration
) -> Result:
    """Return the objects as they would be after the writes."""
    result = Result(
        teams_by_name=dict(configuration.teams_by_name),
        targets_by_name=dict(configuration.targets_by_name),
        rules_by_name=dict(configuration.rules_by_name),
    )
    objects_by_kind = {
        records.ObjectKind.TEAM: result.teams_by_name,
        records.ObjectKind.TARGET: result.targets_by_name,
        records.ObjectKind.RULE: result.rules_by_name,
    }
    for write in writes:
        if write.is_deletion():
            objects_by_kind[write.kind].pop(write.name, None)
        else:
            objects_by_kind[write.kind][write.name] = getattr(write, write.kind.value)
    return result


def check(
    writes: list[records.ObjectWrite], configuration: configurations.Configuration
) -> list[Finding]:
    """Return what is wrong with the entries that a change writes, and those it makes useless.

    What was wrong before the change, and is not written by it, is left out.
    """
    written = {(write.kind, write.name) for write in writes}
    before = set(_find_all(apply((), configuration)))
    after = _find_all(apply(writes, configuration))
    return [
        finding
        for finding in after
        if finding not in before or (finding.kind, finding.name) in written
    ]


def _find_all(result: Result) -> Iterator[Finding]:
    matches_by_rule = {name: _match(rule, result) for name, rule in result.rules_by_name.items()}
    for name, (teams, targets) in matches_by_rule.items():
        yield from _check_rule(name, teams, targets, result)
    yield from _check_same_rules(result)
    reached = _reached_targets_by_team(matches_by_rule.values())
    for team in result.teams_by_name.values():
        yield from _check_team(team, reached[team.name], result)
    for target in result.targets_by_name.values():
        yield from _check_approvals(target, reached, result)


def _match(rule: records.RuleObject, result: Result) -> tuple[set[str], set[str]]:
    """Return the names of the teams and of the targets that a rule's selectors match."""
    team_selector, target_selector = selectors.parse(rule.teams), selectors.parse(rule.targets)
    teams = {
        team.name for team in result.teams_by_name.values() if team_selector.matches(team.labels)
    }
    targets = {
        target.name
        for target in result.targets_by_name.values()
        if target_selector.matches(target.labels)
    }
    return teams, targets


def _reached_targets_by_team(
    matches: Iterable[tuple[set[str], set[str]]],
) -> collections.defaultdict[str, set[str]]:
    """Return the targets to which a rule leads each team, whether approved or not."""
    reached: collections.defaultdict[str, set[str]] = collections.defaultdict(set)
    for teams, targets in matches:
        for team in teams:
            reached[team] |= targets
    return reached


def _check_rule(name: str, teams: set[str], targets: set[str], result: Result) -> Iterator[Finding]:
    rule = records.ObjectKind.RULE
    for matched, what in ((teams, "team"), (targets, "target")):
        if not matched:
            message = f"no {what} matches its {what}s selector"
            yield Finding(kind=rule, name=name, finding=FindingKind.NEVER_MATCHES, message=message)
    if teams and targets and not _is_any_approved(teams, targets, result):
        message = "none of its targets approves one of its teams"
        yield Finding(kind=rule, name=name, finding=FindingKind.NO_EFFECT, message=message)


def _is_any_approved(teams: set[str], targets: set[str], result: Result) -> bool:
    return any(
        not teams.isdisjoint(result.targets_by_name[target].approved_teams) for target in targets
    )


def _check_same_rules(result: Result) -> Iterator[Finding]:
    first_by_selectors: dict[tuple[str, str], str] = {}
    for name, rule in sorted(result.rules_by_name.items()):
        first = first_by_selectors.setdefault((rule.teams, rule.targets), name)
        if first != name:
            yield Finding(
                kind=records.ObjectKind.RULE,
                name=name,
                finding=FindingKind.NO_EFFECT,
                message=f"rule {first} has the same selectors",
            )


def _check_team(team: records.TeamObject, reached: set[str], result: Result) -> Iterator[Finding]:
    usable = {
        target for target in reached if team.name in result.targets_by_name[target].approved_teams
    }
    if usable and team.max_starts == 0:
        message = f"it may use {len(usable)} targets, and its limit of starts is 0"
        yield Finding(
            kind=records.ObjectKind.TEAM,
            name=team.name,
            finding=FindingKind.CONTRADICTION,
            message=message,
        )
    if usable and not team.key_digests:
        yield Finding(
            kind=records.ObjectKind.TEAM,
            name=team.name,
            finding=FindingKind.CONTRADICTION,
            message=f"it may use {len(usable)} targets, and has no key",
        )


def _check_approvals(
    target: records.TargetObject, reached: dict[str, set[str]], result: Result
) -> Iterator[Finding]:
    for team in target.approved_teams:
        if team not in result.teams_by_name:
            message = f"it approves team {team}, which does not exist"
        elif target.name not in reached.get(team, ()):
            message = f"it approves team {team}, which no rule leads to it"
        else:
            continue
        yield Finding(
            kind=records.ObjectKind.TARGET,
            name=target.name,
            finding=FindingKind.NO_EFFECT,
            message=message,
        )


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Output of ``check``: what is wrong, and what differs from the configuration in force."""

    offset: int
    findings: list[Finding]
    differences: list[diffs.Difference]

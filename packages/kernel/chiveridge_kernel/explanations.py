"""Explains why a team may use (reaches) a target, or why it may not."""

import msgspec

from chiveridge_kernel import configurations, records, selectors


class RuleMatch(msgspec.Struct, frozen=True, kw_only=True):
    """A rule, and whether its selectors match the team and the target."""

    rule: str
    teams: str
    targets: str
    matches_team: bool
    matches_target: bool


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a team reaches a target, the matching rules, and the unmet conditions."""

    team: str
    target: str
    offset: int
    reaches: bool
    is_approved: bool
    owner: str = ""
    rules: list[RuleMatch] = []
    missing: list[str] = []


def explain(
    configuration: configurations.Configuration, team_name: str, target_name: str
) -> Explanation:
    """Explain whether a team reaches a target, with the rules that match at least one of them."""
    team = configuration.teams_by_name.get(team_name)
    target = configuration.targets_by_name.get(target_name)
    matches = [_match_rule(rule, team, target) for rule in configuration.rules_by_name.values()]
    missing = list(_find_missing(team_name, team, target_name, target, matches))
    return Explanation(
        team=team_name,
        target=target_name,
        offset=configuration.offset,
        reaches=not missing,
        is_approved=target is not None and team_name in target.approved_teams,
        owner=target.owner if target else "",
        rules=[match for match in matches if match.matches_team or match.matches_target],
        missing=missing,
    )


class Links(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration object and the objects related to it.

    A team has the rules that match it and the targets that it reaches; a target has the rules
    that match it and the teams that reach it; a rule has the teams and the targets that its
    selectors match.
    """

    kind: records.ObjectKind
    value: msgspec.Struct
    rules: list[str] = []
    teams: list[str] = []
    targets: list[str] = []


def links(
    configuration: configurations.Configuration, kind: records.ObjectKind, name: str
) -> Links:
    """Return the objects related to an existing object."""
    return _LINK_FUNCTIONS_BY_KIND[kind](configuration, name)


def _team_links(configuration: configurations.Configuration, name: str) -> Links:
    team = configuration.teams_by_name[name]
    rules = configuration.rules_by_name.values()
    matching = [r.name for r in rules if selectors.parse(r.teams).matches(team.labels)]
    targets = configuration.targets_by_name
    reached = [target for target in targets if explain(configuration, name, target).reaches]
    return Links(kind=records.ObjectKind.TEAM, value=team, rules=matching, targets=reached)


def _target_links(configuration: configurations.Configuration, name: str) -> Links:
    target = configuration.targets_by_name[name]
    rules = configuration.rules_by_name.values()
    matching = [r.name for r in rules if selectors.parse(r.targets).matches(target.labels)]
    teams = configuration.teams_by_name
    reaching = [team for team in teams if explain(configuration, team, name).reaches]
    return Links(kind=records.ObjectKind.TARGET, value=target, rules=matching, teams=reaching)


def _rule_links(configuration: configurations.Configuration, name: str) -> Links:
    rule = configuration.rules_by_name[name]
    team_selector, target_selector = selectors.parse(rule.teams), selectors.parse(rule.targets)
    return Links(
        kind=records.ObjectKind.RULE,
        value=rule,
        teams=[
            n for n, t in configuration.teams_by_name.items() if team_selector.matches(t.labels)
        ],
        targets=[
            n for n, t in configuration.targets_by_name.items() if target_selector.matches(t.labels)
        ],
    )


_LINK_FUNCTIONS_BY_KIND = {
    records.ObjectKind.TEAM: _team_links,
    records.ObjectKind.TARGET: _target_links,
    records.ObjectKind.RULE: _rule_links,
}


def _match_rule(
    rule: records.RuleObject,
    team: records.TeamObject | None,
    target: records.TargetObject | None,
) -> RuleMatch:
    return RuleMatch(
        rule=rule.name,
        teams=rule.teams,
        targets=rule.targets,
        matches_team=team is not None and selectors.parse(rule.teams).matches(team.labels),
        matches_target=target is not None and selectors.parse(rule.targets).matches(target.labels),
    )


def _find_missing(
    team_name: str,
    team: records.TeamObject | None,
    target_name: str,
    target: records.TargetObject | None,
    matches: list[RuleMatch],
):
    if team is None:
        yield f"there is no team {team_name!r}"
    elif not team.key_digests:
        yield f"team {team_name!r} has no key"
    if target is None:
        yield f"there is no target {target_name!r}"
    elif team_name not in target.approved_teams:
        yield f"target {target_name!r} does not approve team {team_name!r}"
    if team is None or target is None:
        return
    if not any(match.matches_team and match.matches_target for match in matches):
        yield "no rule matches both the team and the target"

"""An incrementally updated index of the targets that each team may use (reaches).

A team reaches a target when the target approves the team and a rule matches both. The cost of an
update depends on the kind of the changed object. A target is checked against every rule and
linked to its approved teams, a team is checked against every rule, and a rule is checked against
every team and linked to the targets that the label index finds.
"""

from collections.abc import Collection, Iterator

import msgspec

from chiveridge_kernel import configurations, records, selectors, target_indexes

MAX_INCREMENTAL_CHANGES = 64
LINKS_PER_STEP = 4096
"""Links between objects that one step of building the index makes."""

RULE_COST_LINKS = 1024
"""Fixed cost of a rule, in links: parsing it and matching it against the teams."""

RELINK_DIVISOR = 8
"""A bulk update relinks every rule when more than one in this many targets has changed."""

_BULK_ORDER = (records.ObjectKind.TARGET, records.ObjectKind.TEAM, records.ObjectKind.RULE)
_NO_NAMES: frozenset[str] = frozenset()


class TargetChange(msgspec.Struct, frozen=True):
    """A target whose labels, or the teams that reach it, may have changed."""

    name: str
    old_labels: dict[str, str]
    new_labels: dict[str, str]
    old_teams: frozenset[str]
    new_teams: frozenset[str]


class ReachChanges(msgspec.Struct):
    """Teams whose rules changed, and targets that changed; a bulk change lists no targets."""

    is_bulk: bool = False
    teams: set[str] = msgspec.field(default_factory=set)
    targets: list[TargetChange] = msgspec.field(default_factory=list)

    def affected_teams(self) -> set[str]:
        """Return every team whose reachable targets may have changed."""
        return self.teams.union(*(target.old_teams | target.new_teams for target in self.targets))


class ReachIndex:
    """The teams and targets of a configuration, linked to the rules that match them."""

    def __init__(self, configuration: configurations.Configuration):
        self.targets = target_indexes.TargetIndex()
        self._configuration = configuration
        self._selectors_by_rule: dict[str, tuple[selectors.Selector, selectors.Selector]] = {}
        self._rules_by_team: dict[str, set[str]] = {}
        self._rules_by_target: dict[str, set[str]] = {}
        self._teams_by_rule: dict[str, set[str]] = {}
        self._targets_by_rule: dict[str, set[str]] = {}
        self._approved_teams_by_target: dict[str, list[str]] = {}
        self._targets_by_approved_team: dict[str, set[str]] = {}

    def update(self, changed_keys: Collection[configurations.ObjectKey]) -> ReachChanges:
        """Apply writes and deletions of objects; return the teams and targets they may affect."""
        changes = ReachChanges()
        if len(changed_keys) > MAX_INCREMENTAL_CHANGES:
            # Listing who reached each target would cost more than invalidating every team.
            changes.teams |= self.known_teams()
            changes.is_bulk = True
            changed_keys = self._order_for_bulk_update(changed_keys)
        for kind, name in changed_keys:
            _UPDATERS_BY_KIND[kind](self, name, changes)
        return changes

    def build_in_steps(self) -> Iterator[None]:
        """Build the index in steps; it is incomplete until the iterator is exhausted."""
        link_count = 0
        for links_made in self._link_objects():
            link_count += links_made
            if link_count >= LINKS_PER_STEP:
                link_count = 0
                yield

    def _link_objects(self) -> Iterator[int]:
        """Add every object to the index, rules last; yield the number of links of each."""
        changes = ReachChanges(is_bulk=True)
        for name, target in self._configuration.targets_by_name.items():
            self._replace_target(name)
            yield 1 + len(target.approved_teams)
        for name in self._configuration.teams_by_name:
            self._update_team(name, changes)
            yield 1
        for name in self._configuration.rules_by_name:
            self._update_rule(name, changes)
            yield RULE_COST_LINKS + len(self._targets_by_rule.get(name, ()))

    def set_configuration(self, configuration: configurations.Configuration) -> None:
        """Read from another configuration object with the same contents."""
        self._configuration = configuration

    def known_teams(self) -> set[str]:
        """Return every team that exists or that a target approves."""
        return self._targets_by_approved_team.keys() | self._configuration.teams_by_name.keys()

    def _order_for_bulk_update(
        self, changed_keys: Collection[configurations.ObjectKey]
    ) -> list[configurations.ObjectKey]:
        """Return the keys to update in the cheapest order, with every rule if many targets changed.

        In that case the rules are unlinked first, and then each rule finds its targets once in
        the label index, which is cheaper than matching each rule against each target.
        """
        keys_to_update = set(changed_keys)
        target_count = sum(kind is records.ObjectKind.TARGET for kind, _ in keys_to_update)
        if target_count * RELINK_DIVISOR > len(self._configuration.targets_by_name):
            rule_names = set(self._selectors_by_rule)
            for rule in rule_names:
                del self._selectors_by_rule[rule]
                _relink(self._targets_by_rule, self._rules_by_target, rule, set())
            keys_to_update.update((records.ObjectKind.RULE, rule) for rule in rule_names)
        return sorted(keys_to_update, key=lambda key: _BULK_ORDER.index(key[0]))

    def reachable_targets(self, team: str, names: set[str]) -> set[str]:
        """Return the targets among ``names`` that a team reaches."""
        approved = self._targets_by_approved_team.get(team, _NO_NAMES)
        return {name for name in names & approved if self._is_linked(team, name)}

    def is_reachable(self, team: str, target: str) -> bool:
        """Return whether a team reaches a target."""
        approved = self._targets_by_approved_team.get(team, _NO_NAMES)
        return target in approved and self._is_linked(team, target)

    def _is_linked(self, team: str, target: str) -> bool:
        rules = self._rules_by_team.get(team, _NO_NAMES)
        return not self._rules_by_target.get(target, _NO_NAMES).isdisjoint(rules)

    def _update_target(self, name: str, changes: ReachChanges) -> None:
        if changes.is_bulk:
            self._replace_target(name)
            return
        old_labels = self.targets.labels_by_name.get(name, {})
        old_teams = self._reaching_teams(name)
        self._replace_target(name)
        new_labels = self.targets.labels_by_name.get(name, {})
        new_teams = self._reaching_teams(name)
        changes.targets.append(TargetChange(name, old_labels, new_labels, old_teams, new_teams))

    def _replace_target(self, name: str) -> None:
        target = self._configuration.targets_by_name.get(name)
        if target is None:
            self.targets.remove(name)
        else:
            self.targets.put(name, target.labels)
        self._link_target(name, target)
        self._set_approved_teams(name, target.approved_teams if target else [])

    def _link_target(self, name: str, target: records.TargetObject | None) -> None:
        rules = set()
        if target is not None:
            rules = {
                rule
                for rule, (_, selector) in self._selectors_by_rule.items()
                if selector.matches(target.labels)
            }
        _relink(self._rules_by_target, self._targets_by_rule, name, rules)

    def _set_approved_teams(self, name: str, approved_teams: list[str]) -> None:
        old_teams = set(self._approved_teams_by_target.pop(name, ()))
        for team in old_teams.difference(approved_teams):
            target_names = self._targets_by_approved_team[team]
            target_names.discard(name)
            if not target_names:
                del self._targets_by_approved_team[team]
        for team in set(approved_teams) - old_teams:
            self._targets_by_approved_team.setdefault(team, set()).add(name)
        if approved_teams:
            # The list is shared with the configuration: a separate set would double the memory.
            self._approved_teams_by_target[name] = approved_teams

    def _reaching_teams(self, name: str) -> frozenset[str]:
        approved = self._approved_teams_by_target.get(name, ())
        return frozenset(team for team in approved if self._is_linked(team, name))

    def _update_team(self, name: str, changes: ReachChanges) -> None:
        team = self._configuration.teams_by_name.get(name)
        rules = set()
        if team is not None:
            rules = {
                rule
                for rule, (selector, _) in self._selectors_by_rule.items()
                if selector.matches(team.labels)
            }
        if _relink(self._rules_by_team, self._teams_by_rule, name, rules):
            changes.teams.add(name)

    def _update_rule(self, name: str, changes: ReachChanges) -> None:
        affected = set(self._teams_by_rule.get(name, _NO_NAMES))
        rule = self._configuration.rules_by_name.get(name)
        teams: set[str] = set()
        targets: set[str] = set()
        self._selectors_by_rule.pop(name, None)
        if rule is not None:
            pair = (selectors.parse(rule.teams), selectors.parse(rule.targets))
            self._selectors_by_rule[name] = pair
            teams = self._matching_teams(pair[0])
            targets = self.targets.match(pair[1])
        _relink(self._teams_by_rule, self._rules_by_team, name, teams)
        _relink(self._targets_by_rule, self._rules_by_target, name, targets)
        changes.teams |= affected | teams

    def _matching_teams(self, selector: selectors.Selector) -> set[str]:
        teams = self._configuration.teams_by_name
        return {name for name, team in teams.items() if selector.matches(team.labels)}


_UPDATERS_BY_KIND = {
    records.ObjectKind.TEAM: ReachIndex._update_team,
    records.ObjectKind.TARGET: ReachIndex._update_target,
    records.ObjectKind.RULE: ReachIndex._update_rule,
}


def _relink(
    links: dict[str, set[str]], reverse_links: dict[str, set[str]], name: str, new: set[str]
) -> bool:
    """Replace the links of ``name`` by ``new`` in both directions; return whether they changed."""
    old = links.pop(name, _NO_NAMES)
    for other in old - new:
        reverse_links[other].discard(name)
        if not reverse_links[other]:
            del reverse_links[other]
    for other in new - old:
        reverse_links.setdefault(other, set()).add(name)
    if new:
        links[name] = new
    return old != new

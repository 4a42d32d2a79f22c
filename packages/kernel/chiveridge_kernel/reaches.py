"""Answers which targets a team may use (reaches), or why it may use none."""

import collections
import weakref
from collections.abc import Callable, Collection, Iterable, Mapping

import msgspec

from chiveridge_kernel import (
    candidate_sets,
    configurations,
    errors,
    identifiers,
    reach_indexes,
    results,
    selectors,
    vms,
)

MAX_QUERIES_PER_TEAM = 16


class _CachedQuery(msgspec.Struct, frozen=True):
    """A query and its result: candidates, or the code and the message of a refusal.

    ``stale_targets`` names changed targets that may have been added to or removed from the result.
    """

    selector: selectors.Selector
    candidates: candidate_sets.Candidates | None = None
    stale_targets: frozenset[str] = frozenset()
    code: results.ResultCode = results.ResultCode.NOT_APPROVED
    message: str = ""


class Reach:
    """Finds and caches the targets that teams may use, for one configuration and list of VMs.

    At most :data:`MAX_QUERIES_PER_TEAM` queries are cached for each team. A change of a target or
    a VM marks it as stale in the affected queries, which are refreshed on their next use. A change
    of a team or a rule drops the queries of the affected teams. Equal sets of targets share one
    object. ``version`` increases whenever a result may have changed.
    """

    def __init__(self, configuration: configurations.Configuration):
        self.version = 0
        self._index = reach_indexes.ReachIndex(configuration)
        self._vms_by_name: Mapping[str, vms.Vm] = {}
        self._queries_by_team: dict[str, collections.OrderedDict[str, _CachedQuery]] = {}
        self._candidates_by_key: weakref.WeakValueDictionary[int, candidate_sets.Candidates]
        self._candidates_by_key = weakref.WeakValueDictionary()

    def update(
        self, changed_keys: Collection[configurations.ObjectKey]
    ) -> reach_indexes.ReachChanges:
        """Apply changes of configuration objects that were written or deleted."""
        self.version += 1
        changes = self._index.update(changed_keys)
        if changes.is_bulk:
            self._queries_by_team.clear()
        for team in changes.teams:
            self._queries_by_team.pop(team, None)
        self._mark_stale(lambda team, query: _changed_members(team, query, changes))
        return changes

    def replace_index(self, index: reach_indexes.ReachIndex) -> reach_indexes.ReachChanges:
        """Replace the index by another one and drop every cached query."""
        self.version += 1
        teams = self._index.known_teams() | self._queries_by_team.keys() | index.known_teams()
        self._queries_by_team.clear()
        self._index = index
        return reach_indexes.ReachChanges(is_bulk=True, teams=teams)

    def replace_vms(self, vms_by_name: Mapping[str, vms.Vm]) -> None:
        """Replace the list of target VMs."""
        old_vms_by_name, self._vms_by_name = self._vms_by_name, vms_by_name
        names = old_vms_by_name.keys() | vms_by_name.keys()
        changed_names = [
            name for name in names if old_vms_by_name.get(name) != vms_by_name.get(name)
        ]
        if not changed_names:
            return
        self.version += 1
        self._candidates_by_key.clear()
        if len(changed_names) > reach_indexes.MAX_INCREMENTAL_CHANGES:
            self._queries_by_team.clear()
        self._mark_stale(lambda team, query: self._matching_targets(team, query, changed_names))

    def candidates(
        self, team: identifiers.TeamName, selector_text: str
    ) -> candidate_sets.Candidates:
        """Return the targets that a team may use and the selector matches.

        :raises errors.RefusedError: when there is none, with the reason.
        """
        queries = self._queries_by_team.setdefault(team, collections.OrderedDict())
        query = queries.get(selector_text)
        if query is not None and query.stale_targets:
            query = self._refresh(team, query)
            queries[selector_text] = query
        if query is None or (query.candidates and not query.candidates.vms):
            query = self._run_query(team, selector_text)
            queries[selector_text] = query
            if len(queries) > MAX_QUERIES_PER_TEAM:
                queries.popitem(last=False)
        else:
            queries.move_to_end(selector_text)
        if query.candidates is None:
            raise errors.RefusedError(query.code, query.message)
        return query.candidates

    def _run_query(self, team: identifiers.TeamName, selector_text: str) -> _CachedQuery:
        selector = _parse(selector_text)
        matching = self._index.targets.match(selector)
        names = self._index.reachable_targets(team, matching & self._vms_by_name.keys())
        if names:
            return _CachedQuery(selector, self._shared_candidates(names))
        if self._matches_any_vm(selector, matching):
            message = f"team {team!r} is not approved for any target that {selector_text!r} matches"
            return _CachedQuery(selector, code=results.ResultCode.NOT_APPROVED, message=message)
        message = f"selector {selector_text!r} matches no target"
        return _CachedQuery(selector, code=results.ResultCode.NO_SUCH_TARGET, message=message)

    def _shared_candidates(self, names: set[str]) -> candidate_sets.Candidates:
        key = candidate_sets.set_key(names)
        candidates = self._candidates_by_key.get(key)
        if candidates is None:
            candidates = candidate_sets.Candidates(self._vms_by_name[name] for name in names)
            self._candidates_by_key[key] = candidates
        return candidates

    def _mark_stale(
        self, find_stale_targets: Callable[[str, _CachedQuery], frozenset[str]]
    ) -> None:
        """Mark stale targets of cached queries; drop refusals, which must be evaluated again."""
        for team, queries in self._queries_by_team.items():
            for selector_text, query in list(queries.items()):
                if query.candidates is None:
                    del queries[selector_text]
                elif names := find_stale_targets(team, query):
                    queries[selector_text] = msgspec.structs.replace(
                        query, stale_targets=query.stale_targets | names
                    )

    def _refresh(self, team: str, query: _CachedQuery) -> _CachedQuery:
        """Return a query whose stale targets have been evaluated again."""
        old = query.candidates
        removed_names = old.filter_names(query.stale_targets)
        added_names = (
            self._matching_targets(team, query, query.stale_targets) & self._vms_by_name.keys()
        )
        key = old.key_after(removed_names, added_names)
        candidates = self._candidates_by_key.get(key)
        if candidates is None:
            candidates = old.with_changes(
                removed_names, [self._vms_by_name[name] for name in added_names]
            )
            self._candidates_by_key[key] = candidates
        return _CachedQuery(query.selector, candidates)

    def _matches_any_vm(self, selector: selectors.Selector, matching: set[str]) -> bool:
        if not matching.isdisjoint(self._vms_by_name):
            return True
        # A VM without a target object in the configuration has no labels.
        labels_by_name = self._index.targets.labels_by_name
        has_undescribed_vm = any(name not in labels_by_name for name in self._vms_by_name)
        return has_undescribed_vm and selector.matches({})

    def _matching_targets(
        self, team: str, query: _CachedQuery, names: Iterable[str]
    ) -> frozenset[str]:
        """Return the names that a query selects, whether or not they are in the list of VMs."""
        labels_by_name = self._index.targets.labels_by_name
        return frozenset(
            name
            for name in names
            if self._index.is_reachable(team, name) and query.selector.matches(labels_by_name[name])
        )


def _changed_members(
    team: str, query: _CachedQuery, changes: reach_indexes.ReachChanges
) -> frozenset[str]:
    """Return the targets that a change added to or removed from the result of a query."""
    changed_names = set()
    for target in changes.targets:
        was_included = team in target.old_teams and query.selector.matches(target.old_labels)
        is_included = team in target.new_teams and query.selector.matches(target.new_labels)
        if was_included != is_included:
            changed_names.add(target.name)
    return frozenset(changed_names)


def _parse(text: str) -> selectors.Selector:
    try:
        return selectors.parse(text)
    except errors.SelectorError as error:
        message = f"selector: {error}"
        raise errors.RefusedError(results.ResultCode.INVALID_SELECTOR, message) from error

"""Which targets a team may reach, and why not when it may not."""

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


class _Answer(msgspec.Struct, frozen=True):
    """The answer to a query: candidates, or the code and the message of a refusal.

    ``stale`` names targets that have changed since, and may belong to it or no longer.
    """

    selector: selectors.Selector
    candidates: candidate_sets.Candidates | None = None
    stale: frozenset[str] = frozenset()
    code: results.ResultCode = results.ResultCode.NOT_APPROVED
    message: str = ""


class Reach:
    """Answers for one configuration and one list of VMs.

    :data:`MAX_QUERIES_PER_TEAM` answers are kept for each team. A change of a target or a VM is
    worked into the answers that it touches when they are asked next, and one of a team or a rule
    forgets those of its teams; equal sets of targets are kept once. ``version`` grows whenever an
    answer may differ.
    """

    def __init__(self, configuration: configurations.Configuration):
        self.version = 0
        self._index = reach_indexes.ReachIndex(configuration)
        self._vms_by_name: Mapping[str, vms.Vm] = {}
        self._answers_by_team: dict[str, collections.OrderedDict[str, _Answer]] = {}
        self._candidates_by_key: weakref.WeakValueDictionary[int, candidate_sets.Candidates]
        self._candidates_by_key = weakref.WeakValueDictionary()

    def update(self, touched: Collection[configurations.ObjectKey]) -> reach_indexes.ReachChanges:
        """Take over objects of the configuration that were written or deleted."""
        self.version += 1
        changes = self._index.update(touched)
        if changes.is_bulk:
            self._answers_by_team.clear()
        for team in changes.teams:
            self._answers_by_team.pop(team, None)
        self._mark_stale(lambda team, answer: _touched(team, answer, changes))
        return changes

    def adopt(self, index: reach_indexes.ReachIndex) -> reach_indexes.ReachChanges:
        """Take over every object at once, as linked in another index."""
        self.version += 1
        teams = self._index.teams() | self._answers_by_team.keys() | index.teams()
        self._answers_by_team.clear()
        self._index = index
        return reach_indexes.ReachChanges(is_bulk=True, teams=teams)

    def replace_vms(self, vms_by_name: Mapping[str, vms.Vm]) -> None:
        """Take a new list of target VMs."""
        known, self._vms_by_name = self._vms_by_name, vms_by_name
        names = known.keys() | vms_by_name.keys()
        changed = [name for name in names if known.get(name) != vms_by_name.get(name)]
        if not changed:
            return
        self.version += 1
        self._candidates_by_key.clear()
        if len(changed) > reach_indexes.MAX_SINGLE_CHANGES:
            self._answers_by_team.clear()
        self._mark_stale(lambda team, answer: self._held(team, answer, changed))

    def candidates(
        self, team: identifiers.TeamName, selector_text: str
    ) -> candidate_sets.Candidates:
        """Return the targets that a team's submission may run on.

        :raises errors.RefusedError: when there is none, with the reason.
        """
        answers = self._answers_by_team.setdefault(team, collections.OrderedDict())
        answer = answers.get(selector_text)
        if answer is not None and answer.stale:
            answer = self._renewed(team, answer)
            answers[selector_text] = answer
        if answer is None or (answer.candidates and not answer.candidates.vms):
            answer = self._select(team, selector_text)
            answers[selector_text] = answer
            if len(answers) > MAX_QUERIES_PER_TEAM:
                answers.popitem(last=False)
        else:
            answers.move_to_end(selector_text)
        if answer.candidates is None:
            raise errors.RefusedError(answer.code, answer.message)
        return answer.candidates

    def _select(self, team: identifiers.TeamName, selector_text: str) -> _Answer:
        selector = _parse(selector_text)
        matching = self._index.targets.match(selector)
        names = self._index.reached(team, matching & self._vms_by_name.keys())
        if names:
            return _Answer(selector, self._candidates_of(names))
        if self._matches_any_vm(selector, matching):
            message = f"team {team!r} is not approved for any target that {selector_text!r} matches"
            return _Answer(selector, code=results.ResultCode.NOT_APPROVED, message=message)
        message = f"selector {selector_text!r} matches no target"
        return _Answer(selector, code=results.ResultCode.NO_SUCH_TARGET, message=message)

    def _candidates_of(self, names: set[str]) -> candidate_sets.Candidates:
        key = candidate_sets.key_of(names)
        found = self._candidates_by_key.get(key)
        if found is None:
            found = candidate_sets.Candidates(self._vms_by_name[name] for name in names)
            self._candidates_by_key[key] = found
        return found

    def _mark_stale(self, stale_names: Callable[[str, _Answer], frozenset[str]]) -> None:
        """Note what has changed of each answer; a refusal has to be worked out again."""
        for team, answers in self._answers_by_team.items():
            for text, answer in list(answers.items()):
                if answer.candidates is None:
                    del answers[text]
                elif names := stale_names(team, answer):
                    answers[text] = msgspec.structs.replace(answer, stale=answer.stale | names)

    def _renewed(self, team: str, answer: _Answer) -> _Answer:
        """Return an answer in which the targets that have changed are chosen anew."""
        known = answer.candidates
        left = known.among(answer.stale)
        held = self._held(team, answer, answer.stale) & self._vms_by_name.keys()
        key = known.key_with(left, held)
        found = self._candidates_by_key.get(key)
        if found is None:
            found = known.replaced(left, [self._vms_by_name[name] for name in held])
            self._candidates_by_key[key] = found
        return _Answer(answer.selector, found)

    def _matches_any_vm(self, selector: selectors.Selector, matching: set[str]) -> bool:
        if not matching.isdisjoint(self._vms_by_name):
            return True
        # A VM that no operator has described has no labels.
        labels_by_name = self._index.targets.labels_by_name
        has_plain_vm = any(name not in labels_by_name for name in self._vms_by_name)
        return has_plain_vm and selector.matches({})

    def _held(self, team: str, answer: _Answer, names: Iterable[str]) -> frozenset[str]:
        """Return those of some targets that belong to an answer, listed or not."""
        labels_by_name = self._index.targets.labels_by_name
        return frozenset(
            name
            for name in names
            if self._index.reaches(team, name) and answer.selector.matches(labels_by_name[name])
        )


def _touched(team: str, answer: _Answer, changes: reach_indexes.ReachChanges) -> frozenset[str]:
    """Return the targets that a change added to an answer or took from it."""
    found = set()
    for target in changes.targets:
        was_in = team in target.old_teams and answer.selector.matches(target.old_labels)
        is_in = team in target.new_teams and answer.selector.matches(target.new_labels)
        if was_in != is_in:
            found.add(target.name)
    return frozenset(found)


def _parse(text: str) -> selectors.Selector:
    try:
        return selectors.parse(text)
    except errors.SelectorError as error:
        message = f"selector: {error}"
        raise errors.RefusedError(results.ResultCode.INVALID_SELECTOR, message) from error

"""Targets indexed by their labels, so that a selector reads only what it names."""

from collections.abc import Iterable, Mapping

from chiveridge_kernel import selectors

_NO_NAMES: frozenset[str] = frozenset()


class TargetIndex:
    """Names of targets by label and by pair of label and value."""

    def __init__(self):
        self.labels_by_name: dict[str, Mapping[str, str]] = {}
        self._names_by_key: dict[str, set[str]] = {}
        self._names_by_pair: dict[tuple[str, str], set[str]] = {}

    def put(self, name: str, labels: Mapping[str, str]) -> None:
        """Add a target or replace its labels."""
        self.remove(name)
        self.labels_by_name[name] = labels
        for key, value in labels.items():
            self._names_by_key.setdefault(key, set()).add(name)
            self._names_by_pair.setdefault((key, value), set()).add(name)

    def remove(self, name: str) -> None:
        """Remove a target if it is there."""
        for key, value in self.labels_by_name.pop(name, {}).items():
            _discard(self._names_by_key, key, name)
            _discard(self._names_by_pair, (key, value), name)

    def match(self, selector: selectors.Selector) -> set[str]:
        """Return the names of the targets that a selector matches."""
        included = [
            self._names_of(requirement)
            for requirement in selector.requirements
            if requirement.operator in _INCLUDING
        ]
        included.sort(key=len)
        found = set(included[0]) if included else set(self.labels_by_name)
        for names in included[1:]:
            found &= names
        for requirement in selector.requirements:
            if requirement.operator not in _INCLUDING:
                found -= self._names_of(requirement)
        return found

    def _names_of(self, requirement: selectors.Requirement) -> Iterable[str]:
        """Return the targets that have the label, with one of the values where values count."""
        if requirement.operator in _BY_KEY:
            return self._names_by_key.get(requirement.key, _NO_NAMES)
        pairs = [(requirement.key, value) for value in requirement.values]
        return _NO_NAMES.union(*(self._names_by_pair.get(pair, _NO_NAMES) for pair in pairs))


_INCLUDING = {selectors.Operator.IN, selectors.Operator.EXISTS}
_BY_KEY = {selectors.Operator.EXISTS, selectors.Operator.MISSING}


def _discard(names_by_key: dict, key: object, name: str) -> None:
    names = names_by_key[key]
    names.discard(name)
    if not names:
        del names_by_key[key]

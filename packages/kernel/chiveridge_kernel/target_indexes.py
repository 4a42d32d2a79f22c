"""An index of targets by label, so that a selector visits only the labels that it names."""

from collections.abc import Iterable, Mapping

from chiveridge_kernel import selectors

_NO_NAMES: frozenset[str] = frozenset()


class TargetIndex:
    """Names of targets by label key and by label (key and value)."""

    def __init__(self):
        self.labels_by_name: dict[str, Mapping[str, str]] = {}
        self._names_by_key: dict[str, set[str]] = {}
        self._names_by_label: dict[tuple[str, str], set[str]] = {}

    def put(self, name: str, labels: Mapping[str, str]) -> None:
        """Add a target or replace its labels."""
        self.remove(name)
        self.labels_by_name[name] = labels
        for key, value in labels.items():
            self._names_by_key.setdefault(key, set()).add(name)
            self._names_by_label.setdefault((key, value), set()).add(name)

    def remove(self, name: str) -> None:
        """Remove a target if it is present."""
        for key, value in self.labels_by_name.pop(name, {}).items():
            _discard(self._names_by_key, key, name)
            _discard(self._names_by_label, (key, value), name)

    def match(self, selector: selectors.Selector) -> set[str]:
        """Return the names of the targets that a selector matches."""
        name_sets = [
            self._names_with_label(requirement)
            for requirement in selector.requirements
            if requirement.operator in _INTERSECTING_OPERATORS
        ]
        name_sets.sort(key=len)
        found = set(name_sets[0]) if name_sets else set(self.labels_by_name)
        for names in name_sets[1:]:
            found &= names
        for requirement in selector.requirements:
            if requirement.operator not in _INTERSECTING_OPERATORS:
                found -= self._names_with_label(requirement)
        return found

    def _names_with_label(self, requirement: selectors.Requirement) -> Iterable[str]:
        """Return the targets with the key and, if the operator compares values, one of them."""
        if requirement.operator in _KEY_ONLY_OPERATORS:
            return self._names_by_key.get(requirement.key, _NO_NAMES)
        label_pairs = [(requirement.key, value) for value in requirement.values]
        return _NO_NAMES.union(*(self._names_by_label.get(pair, _NO_NAMES) for pair in label_pairs))


_INTERSECTING_OPERATORS = {selectors.Operator.IN, selectors.Operator.EXISTS}
_KEY_ONLY_OPERATORS = {selectors.Operator.EXISTS, selectors.Operator.MISSING}


def _discard(names_by_key: dict, key: object, name: str) -> None:
    names = names_by_key[key]
    names.discard(name)
    if not names:
        del names_by_key[key]

"""Label selectors: ``kind=dryer, zone in (ikeja, lekki), !retired``.

Operators are ``=``, ``==``, ``!=``, ``in``, ``notin``, ``key`` (exists) and ``!key`` (does
not exist). Requirements are separated by commas, and all of them must match. As in Kubernetes
label selectors, ``!=`` and ``notin`` also match when the key is missing.
"""

import enum
import re
from collections.abc import Mapping

import msgspec

from chiveridge_kernel import errors

_KEY = r"[A-Za-z0-9][A-Za-z0-9_./-]*"
_VALUE = r"[A-Za-z0-9_.-]*"
_EQUALITY = re.compile(rf"^({_KEY})\s*(==|=|!=)\s*({_VALUE})$")
_MEMBERSHIP = re.compile(rf"^({_KEY})\s+(in|notin)\s*\(([^()]*)\)$")
_EXISTENCE = re.compile(rf"^(!?)\s*({_KEY})$")
_WHOLE_VALUE = re.compile(rf"^{_VALUE}$")
_WHOLE_KEY = re.compile(rf"^{_KEY}$")
_SEPARATOR = re.compile(r",(?![^(]*\))")


class Operator(enum.Enum):
    """How a requirement compares the value of a label."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    MISSING = "missing"


class Requirement(msgspec.Struct, frozen=True):
    """One condition on the label with a given key."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet the condition."""
        return _MATCHERS_BY_OPERATOR[self.operator](self, labels)


class Selector(msgspec.Struct, frozen=True):
    """Requirements that must all match; an empty selector matches everything."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet every requirement."""
        return all(requirement.matches(labels) for requirement in self.requirements)


_MATCHERS_BY_OPERATOR = {
    Operator.IN: lambda requirement, labels: labels.get(requirement.key) in requirement.values,
    Operator.NOT_IN: lambda requirement, labels: labels.get(requirement.key)
    not in requirement.values,
    Operator.EXISTS: lambda requirement, labels: requirement.key in labels,
    Operator.MISSING: lambda requirement, labels: requirement.key not in labels,
}

_EQUALITY_OPERATORS = {"=": Operator.IN, "==": Operator.IN, "!=": Operator.NOT_IN}
_EXISTENCE_OPERATORS = {"": Operator.EXISTS, "!": Operator.MISSING}


def parse(text: str) -> Selector:
    """Parse a selector; blank text matches everything.

    :raises errors.SelectorError: naming the requirement that cannot be parsed.
    """
    if not text.strip():
        return Selector()
    parts = [part.strip() for part in _SEPARATOR.split(text)]
    return Selector(tuple(_parse_requirement(part) for part in parts))


def check_label(key: str, value: str) -> None:
    """Check that the key and the value of a label have the syntax that selectors accept.

    :raises errors.SelectorError: naming the invalid part.
    """
    if not _WHOLE_KEY.match(key):
        raise errors.SelectorError(f"label key {key!r} is invalid")
    if not _WHOLE_VALUE.match(value):
        raise errors.SelectorError(f"label value {value!r} is invalid")


def _parse_requirement(text: str) -> Requirement:
    if match := _EQUALITY.match(text):
        key, symbol, value = match.groups()
        return Requirement(key, _EQUALITY_OPERATORS[symbol], frozenset([value]))
    if match := _MEMBERSHIP.match(text):
        key, operator_text, values_text = match.groups()
        return Requirement(key, Operator(operator_text), _parse_values(values_text, text))
    if match := _EXISTENCE.match(text):
        symbol, key = match.groups()
        return Requirement(key, _EXISTENCE_OPERATORS[symbol])
    raise errors.SelectorError(f"requirement {text!r} is not a label selector")


def _parse_values(values_text: str, text: str) -> frozenset[str]:
    values = [value.strip() for value in values_text.split(",")]
    for value in values:
        if not _WHOLE_VALUE.match(value):
            raise errors.SelectorError(f"value {value!r} in {text!r} is not a label value")
    return frozenset(values)

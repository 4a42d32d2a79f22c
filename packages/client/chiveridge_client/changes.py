"""Parses an INI file of configuration objects into the writes of a change.

A section ``[KIND NAME]`` writes an object, ``[delete KIND NAME]`` deletes it.
"""

import collections
import configparser
from collections.abc import Callable

import msgspec

from chiveridge_client import errors
from chiveridge_kernel import errors as kernel_errors
from chiveridge_kernel import records, selectors

DELETE = "delete"

Section = configparser.SectionProxy


class SectionSchema(msgspec.Struct, frozen=True):
    """Format of the sections of one kind: the type of the object and a parser for each key."""

    kind: records.ObjectKind
    object_type: type[msgspec.Struct]
    parsers_by_key: dict[str, Callable[[str], object]]


def parse(text: str) -> list[records.ObjectWrite]:
    """Return the writes of an INI text, in the order of its sections.

    :raises errors.InvalidInputError: listing every error with its section and key.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="", delimiters=("=",))
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise errors.InvalidInputError([str(error).replace("\n", " ")]) from error
    problems: list[str] = []
    writes = [_read_section(parser[title], problems) for title in parser.sections()]
    problems.extend(_duplicate_problems(writes))
    if not writes:
        problems.append("the file has no sections")
    if problems:
        raise errors.InvalidInputError(problems)
    return writes


def _duplicate_problems(writes: list[records.ObjectWrite | None]) -> list[str]:
    counts_by_key = collections.Counter(
        (write.kind.value, write.name) for write in writes if write is not None
    )
    return [
        f"[{kind} {name}]: the section is given {count} times"
        for (kind, name), count in counts_by_key.items()
        if count > 1
    ]


def _read_section(section: Section, problems: list[str]) -> records.ObjectWrite | None:
    words = section.name.split()
    is_deletion = words[:1] == [DELETE]
    kind_name, name = (words[is_deletion:] + ["", ""])[:2]
    if len(words) > 2 + is_deletion:
        name = ""
    schema = _schemas_by_kind_name.get(kind_name)
    if schema is None or not name:
        known = ", ".join(f"[{kind} NAME]" for kind in [*_schemas_by_kind_name, f"{DELETE} KIND"])
        problems.append(f"[{section.name}]: the section must be one of {known}")
        return None
    if is_deletion:
        problems.extend(
            f"[{section.name}] {key}: a delete section takes no keys" for key in section
        )
        return records.ObjectWrite(kind=schema.kind, name=name)
    fields = {"name": name} | _read_keys(section, schema, problems)
    return _build_write(section, schema, fields, problems)


def _read_keys(section: Section, schema: SectionSchema, problems: list[str]) -> dict[str, object]:
    fields = {}
    for key, text in section.items():
        parse_value = schema.parsers_by_key.get(key)
        if parse_value is None:
            known = ", ".join(schema.parsers_by_key)
            problems.append(f"[{section.name}] {key}: unknown key; the keys are {known}")
            continue
        try:
            fields[key] = parse_value(text)
        except (ValueError, kernel_errors.SelectorError) as error:
            problems.append(f"[{section.name}] {key}: {error}")
    return fields


def _build_write(
    section: Section, schema: SectionSchema, fields: dict[str, object], problems: list[str]
) -> records.ObjectWrite | None:
    try:
        built_object = msgspec.convert(fields, schema.object_type)
        return records.ObjectWrite(
            kind=schema.kind, name=fields["name"], **{schema.kind.value: built_object}
        )
    except msgspec.ValidationError as error:
        problems.append(f"[{section.name}]: {error}")
        return None


def _parse_labels(text: str) -> dict[str, str]:
    labels: dict[str, str] = {}
    for item in _parse_list(text):
        key, equals, value = (part.strip() for part in item.partition("="))
        if not key or not equals:
            raise ValueError(f"{item!r} is not of the form key=value")
        if key in labels:
            raise ValueError(f"label {key!r} is given twice")
        selectors.check_label(key, value)
        labels[key] = value
    return labels


def _parse_selector(text: str) -> str:
    selectors.parse(text)
    return text


def _parse_list(text: str) -> list[str]:
    items = text.replace("\n", ",").split(",")
    return [item.strip() for item in items if item.strip()]


def _parse_digests(text: str) -> list[str]:
    digests = _parse_list(text)
    for digest in digests:
        if len(digest) != 64 or set(digest) - set("0123456789abcdef"):
            raise ValueError(f"{digest!r} is not a SHA-256 digest of 64 lower-case hex digits")
    return digests


def _parse_count(text: str) -> int:
    if not text.isascii() or not text.isdigit():
        raise ValueError(f"{text!r} is not an integer of 0 or more")
    return int(text)


_schemas_by_kind_name = {
    "team": SectionSchema(
        records.ObjectKind.TEAM,
        records.TeamObject,
        {"labels": _parse_labels, "key_digests": _parse_digests, "max_starts": _parse_count},
    ),
    "target": SectionSchema(
        records.ObjectKind.TARGET,
        records.TargetObject,
        {"labels": _parse_labels, "owner": str, "approved_teams": _parse_list},
    ),
    "rule": SectionSchema(
        records.ObjectKind.RULE,
        records.RuleObject,
        {"teams": _parse_selector, "targets": _parse_selector},
    ),
}

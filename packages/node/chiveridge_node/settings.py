"""Settings of a node: their defaults, and the checks made at start.

Settings files are INI files; :func:`read` reports all problems of a file at once.
"""

import configparser
import functools
import ipaddress
import urllib.parse
from typing import Annotated

import msgspec

from chiveridge_kernel import errors, policies
from chiveridge_node import plugins, setting_relations

_Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
_Name = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9][A-Za-z0-9-]{0,62}$")]
_Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]


class NodeSection(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and addresses of this node; for port 0 the operating system chooses one.

    ``seeds`` lists peers as ``IP:PEER_PORT,...`` that are asked at start if the list of VMs is
    unavailable. ``drain_linger_ms`` limits how long a stopping node waits until its peers have
    stored its answers.
    """

    name: _Name
    domain: _Name
    address: str = "127.0.0.1"
    caller_port: _Port = 0
    peer_port: _Port = 0
    seeds: str = ""
    drain_linger_ms: _Milliseconds = 3000


class PlatformSection(msgspec.Struct, frozen=True, kw_only=True):
    """Access to the platform's log and to its list of VMs."""

    log_url: str
    vms_url: str
    config_stream: _Name = "configuration"
    poll_wait_ms: _Milliseconds = 3000
    vms_interval_ms: Annotated[int, msgspec.Meta(ge=1, le=2500)] = 500
    request_timeout_ms: _Milliseconds = 10_000


class SnapshotsSection(msgspec.Struct, frozen=True, kw_only=True):
    """When a snapshot of the configuration is written to the log.

    It is due after ``records`` records or, once there was a change, after ``max_age_ms``. Each
    node delays it randomly by up to ``delay_ms_per_node`` times the number of nodes, and waits
    ``min_interval_ms`` between its own attempts.
    """

    records: Annotated[int, msgspec.Meta(ge=10, le=100_000)] = 500
    max_age_ms: Annotated[int, msgspec.Meta(ge=1000, le=86_400_000)] = 21_600_000
    min_interval_ms: _Milliseconds = 30_000
    delay_ms_per_node: _Milliseconds = 500


class PlacementSection(msgspec.Struct, frozen=True, kw_only=True):
    """Policy by which targets are chosen."""

    policy: str = policies.DEFAULT


class MembershipSection(msgspec.Struct, frozen=True, kw_only=True):
    """Heartbeats between nodes; see ``docs/membership.md``."""

    heartbeat_ms: Annotated[int, msgspec.Meta(ge=50, le=60_000)] = 1000
    bytes_per_second: Annotated[int, msgspec.Meta(ge=200)] = 2600
    suspect_heartbeats: Annotated[int, msgspec.Meta(ge=2, le=100)] = 3
    dead_heartbeats: Annotated[int, msgspec.Meta(ge=3, le=1000)] = 10


class TargetsSection(msgspec.Struct, frozen=True, kw_only=True):
    """Connections to targets, and limits of the time without a reply until a target is probed.

    At most ``kept_connections_per_target`` unused connections to one target stay open.
    """

    connections_per_target: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 8
    kept_connections_per_target: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 6
    connect_timeout_ms: _Milliseconds = 1000
    idle_timeout_ms: _Milliseconds = 10_000
    probe_min_ms: _Milliseconds = 1000
    probe_max_ms: _Milliseconds = 10_000


class AnswersSection(msgspec.Struct, frozen=True, kw_only=True):
    """Memory for the answers kept for callers that fetch them later or again, in megabytes."""

    keep_mb: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64


class PluginsSection(msgspec.Struct, frozen=True, kw_only=True):
    """Name of the adapter that serves each interface."""

    targets: str = "http"
    log: str = "http"
    vms: str = "http"
    callers: str = "http"
    peers: str = "zmq"


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of a node."""

    node: NodeSection
    platform: PlatformSection
    snapshots: SnapshotsSection = SnapshotsSection()
    placement: PlacementSection = PlacementSection()
    membership: MembershipSection = MembershipSection()
    targets: TargetsSection = TargetsSection()
    answers: AnswersSection = AnswersSection()
    plugins: PluginsSection = PluginsSection()


class SettingsError(errors.ChiveridgeError):
    """Raised for invalid settings; each entry of ``problems`` names a section and a key."""

    def __init__(self, problems: list[str]):
        super().__init__("\n".join(problems))
        self.problems = problems


_SECTIONS_BY_NAME = {
    "node": NodeSection,
    "platform": PlatformSection,
    "snapshots": SnapshotsSection,
    "placement": PlacementSection,
    "membership": MembershipSection,
    "targets": TargetsSection,
    "answers": AnswersSection,
    "plugins": PluginsSection,
}


def read(path: str) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: with all problems found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    return parse({name: dict(parser[name]) for name in parser.sections()})


def parse(text_by_section: dict[str, dict[str, str]]) -> Settings:
    """Check settings given as text by section and key.

    :raises SettingsError: with all problems found.
    """
    problems = [f"[{name}]: no such section" for name in text_by_section.keys() - _SECTIONS_BY_NAME]
    values_by_section = {
        name: _parse_section(name, section_type, text_by_section.get(name, {}), problems)
        for name, section_type in _SECTIONS_BY_NAME.items()
    }
    problems.extend(setting_relations.problems(values_by_section))
    if problems:
        raise SettingsError(sorted(problems))
    return Settings(
        **{name: _SECTIONS_BY_NAME[name](**values) for name, values in values_by_section.items()}
    )


def parse_seeds(value: str) -> list[tuple[str, int]]:
    """Return the addresses and peer ports of a list ``IP:PEER_PORT,...``.

    :raises ValueError: if an entry does not have this form.
    """
    return [_parse_endpoint(text.strip()) for text in value.split(",") if text.strip()]


def _parse_endpoint(text: str) -> tuple[str, int]:
    parts = urllib.parse.urlsplit(f"//{text}")
    if not parts.hostname or not parts.port:
        raise ValueError(f"{text!r} is not of the form IP:PEER_PORT")
    ipaddress.ip_address(parts.hostname)
    return parts.hostname, parts.port


def _parse_section(
    name: str, section_type: type, text_by_key: dict[str, str], problems: list[str]
) -> dict[str, object]:
    """Return the values and defaults of a section by key; an invalid value becomes None."""
    values = {}
    fields_by_name = {field.name: field for field in msgspec.structs.fields(section_type)}
    for key in text_by_key.keys() - fields_by_name.keys():
        problems.append(f"[{name}] {key}: no such key")
    for key, field in fields_by_name.items():
        if key in text_by_key:
            values[key] = _parse_value(name, field, text_by_key[key], problems)
        elif field.required:
            problems.append(f"[{name}] {key}: missing")
        else:
            values[key] = field.default
    return values


def _parse_value(
    section: str, field: msgspec.structs.FieldInfo, text: str, problems: list[str]
) -> object:
    try:
        value = msgspec.convert(text, field.type, strict=False)
        check = _CHECKS_BY_KEY.get((section, field.name))
        if check is not None:
            check(value)
    except (msgspec.ValidationError, ValueError) as error:
        problems.append(f"[{section}] {field.name}: {error}")
        return None
    return value


def _check_address(value: str) -> None:
    ipaddress.ip_address(value)


def _check_url(value: str) -> None:
    parts = urllib.parse.urlsplit(value)
    if parts.scheme != "http" or parts.path not in ("", "/") or not parts.port:
        raise ValueError(f"{value!r} is not of the form http://ADDRESS:PORT")
    ipaddress.ip_address(parts.hostname or "")


def _check_seeds(value: str) -> None:
    parse_seeds(value)


def _check_policy(value: str) -> None:
    if value not in policies.names():
        raise ValueError(f"{value!r} is not one of {', '.join(policies.names())}")


def _check_plugin(kind: plugins.AdapterKind, value: str) -> None:
    if value not in plugins.names(kind):
        raise ValueError(f"{value!r} is not one of {', '.join(plugins.names(kind))}")


_CHECKS_BY_KEY = {
    ("node", "address"): _check_address,
    ("node", "seeds"): _check_seeds,
    ("platform", "log_url"): _check_url,
    ("platform", "vms_url"): _check_url,
    ("placement", "policy"): _check_policy,
}
_CHECKS_BY_KEY |= {
    ("plugins", kind.value): functools.partial(_check_plugin, kind) for kind in plugins.AdapterKind
}

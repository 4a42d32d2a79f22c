import subprocess
import sys

import msgspec
import pytest

from chiveridge_node import mains, settings

NODE = {"name": "ikeja-e1", "domain": "ikeja", "address": "10.0.0.1", "caller_port": "7001"}
PLATFORM = {"log_url": "http://10.0.0.9:80", "vms_url": "http://[fd00::9]:80"}
VALID = {"node": NODE, "platform": PLATFORM}


@pytest.fixture(autouse=True, scope="module")
def _built_in_plugins():
    for plugin in mains.BUILT_IN_PLUGINS:
        plugin.register()


def problems(**changes):
    """Return the problems of valid settings with some keys changed, by section."""
    text = {name: dict(section) for name, section in VALID.items()}
    for section, keys in changes.items():
        text[section] = {**text.get(section, {}), **keys}
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse(text)
    return caught.value.problems


def run_node(tmp_path, text, *arguments):
    path = tmp_path / "node.ini"
    path.write_text(text)
    command = [sys.executable, "-m", "chiveridge_node", f"--config={path}", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


def test_missing_keys_have_defaults():
    found = settings.parse(VALID)
    assert found.node.caller_port == 7001
    assert found.platform.config_stream == "configuration"
    assert found.targets == settings.TargetsSection()


@pytest.mark.parametrize(
    ("section", "key", "value"),
    [
        ("node", "name", "with space"),
        ("node", "address", "ikeja-e1.example.org"),
        ("node", "address", ""),
        ("node", "caller_port", "65536"),
        ("node", "caller_port", "-1"),
        ("node", "peer_port", "seven"),
        ("platform", "log_url", "http://log.example.org:80"),
        ("platform", "log_url", "https://10.0.0.9:80"),
        ("platform", "log_url", "http://10.0.0.9"),
        ("platform", "log_url", "http://10.0.0.9:99999"),
        ("platform", "log_url", "http://10.0.0.9:80/path"),
        ("platform", "vms_url", "10.0.0.9:80"),
        ("platform", "vms_interval_ms", "0"),
        ("platform", "vms_interval_ms", "3000"),
        ("platform", "poll_wait_ms", "1.5"),
        ("placement", "policy", "no_such"),
        ("plugins", "targets", "no_such"),
        ("plugins", "peers", "http"),
        ("targets", "connections_per_target", "2000"),
        ("node", "no_such_key", "1"),
        ("no_such_section", "key", "1"),
    ],
)
def test_a_bad_value_is_named_by_section_and_key(section, key, value):
    found = problems(**{section: {key: value}})
    assert len(found) == 1
    assert found[0].startswith(f"[{section}]")
    assert key in found[0] or section == "no_such_section"


def test_every_problem_is_listed_at_once():
    found = problems(
        node={"address": "localhost", "peer_port": "x", "typo": "1"},
        platform={"log_url": "http://log:80"},
        typo={"a": "b"},
    )
    assert [problem.partition(":")[0] for problem in found] == [
        "[node] address",
        "[node] peer_port",
        "[node] typo",
        "[platform] log_url",
        "[typo]",
    ]


BROKEN_RELATIONS = [
    ("platform", {"poll_wait_ms": "5000", "request_timeout_ms": "5000"}, "request_timeout_ms"),
    ("platform", {"poll_wait_ms": "10000"}, "request_timeout_ms"),
    ("membership", {"suspect_heartbeats": "10"}, "dead_heartbeats"),
    ("membership", {"heartbeat_ms": "60000"}, "dead_heartbeats"),
    ("targets", {"probe_min_ms": "10001"}, "probe_max_ms"),
    ("targets", {"idle_timeout_ms": "10001"}, "idle_timeout_ms"),
    ("targets", {"connect_timeout_ms": "2000"}, "connect_timeout_ms"),
    ("node", {"peer_port": "7001"}, "peer_port"),
    ("node", {"drain_linger_ms": "299"}, "drain_linger_ms"),
    ("snapshots", {"max_age_ms": "29999"}, "max_age_ms"),
]


@pytest.mark.parametrize(("section", "values", "key"), BROKEN_RELATIONS)
def test_conflicting_values_are_named_by_section_and_key(section, values, key):
    (found,) = problems(**{section: values})
    assert found.startswith(f"[{section}] {key}: ")
    assert all(name in found for name in values)


def test_conflicts_are_listed_with_all_other_problems():
    found = problems(
        node={"address": "localhost", "peer_port": "7001"},
        platform={"request_timeout_ms": "1", "poll_wait_ms": "x"},
        membership={"suspect_heartbeats": "10"},
        targets={"probe_min_ms": "10001", "typo": "1"},
    )
    assert [problem.partition(":")[0] for problem in found] == [
        "[membership] dead_heartbeats",
        "[node] address",
        "[node] peer_port",
        "[platform] poll_wait_ms",
        "[targets] probe_max_ms",
        "[targets] typo",
    ]


@pytest.mark.parametrize("port", ["0", "7002"])
def test_ports_may_differ_or_be_assigned_by_the_system(port):
    node = {**NODE, "peer_port": port}
    assert settings.parse({**VALID, "node": node}).node.peer_port == int(port)
    assert settings.parse({**VALID, "node": {**node, "caller_port": "0", "peer_port": "0"}})


def test_keys_without_default_are_required():
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse({})
    assert caught.value.problems == [
        "[node] domain: missing",
        "[node] name: missing",
        "[platform] log_url: missing",
        "[platform] vms_url: missing",
    ]


def test_the_node_exits_with_2_and_lists_all_problems(tmp_path):
    text = "[node]\nname = e1\ndomain = a b\naddress = localhost\n[platform]\nlog_url = x\n"
    completed = run_node(tmp_path, text)
    assert completed.returncode == 2
    lines = [line.partition(":")[0] for line in completed.stderr.splitlines()]
    assert lines == [
        "[node] address",
        "[node] domain",
        "[platform] log_url",
        "[platform] vms_url",
    ]


@pytest.mark.parametrize("text", ["", "not an ini file", "[node\n", "[node]\na=1\na=2\n"])
def test_an_unreadable_file_exits_with_2(tmp_path, text):
    assert run_node(tmp_path, text, "--check").returncode == 2


def test_a_file_that_does_not_exist_is_a_problem(tmp_path):
    with pytest.raises(settings.SettingsError, match="no-such"):
        settings.read(str(tmp_path / "no-such.ini"))


def test_check_accepts_valid_settings_without_serving(tmp_path):
    sections = [
        f"[{name}]\n" + "\n".join(f"{key} = {value}" for key, value in section.items())
        for name, section in VALID.items()
    ]
    completed = run_node(tmp_path, "\n".join(sections), "--check")
    assert completed.returncode == 0
    assert completed.stdout == ""


def test_defaults_pass_their_own_checks():
    """A default that fails its own check could not be set explicitly in a file."""
    for name, section_type in settings._SECTIONS_BY_NAME.items():
        for field in msgspec.structs.fields(section_type):
            check = settings._CHECKS_BY_KEY.get((name, field.name))
            if check is not None and not field.required:
                check(field.default)

import datetime

import msgspec

from chiveridge_client import statuses
from chiveridge_load import pool_models
from chiveridge_node import pool_statuses
from chiveridge_pool import events, timings

SECOND = datetime.timedelta(seconds=1)

SILENT_MS = 3000 - pool_models.CROSS_DOMAIN_LATENCY / SECOND * 1000
"""Time since a message that was on its way when its sender was killed, 3 s ago."""

HEARTBEAT_MS = timings.ROUNDS_PER_REMOTE_HEARTBEAT * timings.ROUND_INTERVAL / SECOND * 1000
"""Time between two heartbeats of nodes of different failure domains."""


def status_of_first_node(silent_seconds: float = 0.0, evacuated: tuple[str, ...] = ()):
    """Return the status of the first of two nodes after the second was dead for a while.

    The domains that are ``evacuated`` have been so for a second.
    """
    model = pool_models.PoolModel()
    for domain in "ab":
        model.add_node(domain)
        model.add_target(domain)
    model.boot_all()
    first, second = model.nodes_by_name.values()
    if silent_seconds:
        second.kill()
        model.run(seconds=silent_seconds)
    if evacuated:
        first.handle(events.EvacuationsRead(version=7, domains=evacuated))
        model.run(seconds=1)
    return pool_statuses.make_status(
        first.kernel,
        "edge-a-1",
        is_ready=True,
        config_age=2 * SECOND,
        list_age=None,
        now=model.simulation.now,
    )


def test_a_status_lists_held_targets_and_members():
    status = status_of_first_node()
    assert (status.name, status.domain, status.ready) == ("edge-a-1", "a", True)
    assert (status.config_offset, status.config_staleness_s) == (1, 2.0)
    assert status.target_states == {"t001": "usable"}
    assert status.targets_listed == 2
    assert [(member.domain, member.state) for member in status.members] == [("b", "live")]


def test_a_silent_member_is_shown_as_dead_with_its_silent_time():
    (member,) = status_of_first_node(silent_seconds=3).members
    assert member.state == "dead"
    assert SILENT_MS <= member.silent_ms < SILENT_MS + HEARTBEAT_MS


def test_evacuated_domains_are_shown_with_their_time_and_the_runs_left():
    status = status_of_first_node(evacuated=("a",))
    assert status.evacuations_version == 7
    (evacuation,) = status.evacuations
    assert (evacuation.domain, evacuation.since_s, evacuation.runs) == ("a", 1.0, 0)
    payload = msgspec.json.decode(msgspec.json.encode(status))
    text = statuses.render([statuses.NodeStatus("http://127.0.0.1:9464", payload)])
    assert "EVACUATED" in text


def test_the_status_command_renders_a_pool_status():
    payload = msgspec.json.decode(msgspec.json.encode(status_of_first_node()))
    text = statuses.render([statuses.NodeStatus("http://127.0.0.1:9464", payload)])
    for shown in ("edge-a-1", "ready", "t001", "usable", "10.0.0.2:7000", "live", "never"):
        assert shown in text

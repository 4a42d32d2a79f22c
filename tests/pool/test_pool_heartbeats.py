"""Contents of heartbeats, and membership state when some heartbeats are lost."""

import pools
import pytest

from chiveridge_pool import events, grants, messages

MAX_IDLE_HEARTBEAT_BYTES = 100
"""Upper bound of the mean size between idle nodes; a third of the 302 bytes with state."""


def _record_heartbeats(model, seconds):
    """Run the model; return the heartbeats sent."""
    seen = []

    def drops(sender, receiver, message):
        if isinstance(message, messages.Heartbeat):
            seen.append((sender, receiver, message))
        return False

    model.drops = drops
    model.run(seconds=seconds)
    return seen


def _owned_tokens_seen_by(model, viewer, node):
    member = viewer.kernel.members.by_endpoint[node.endpoint]
    return member.owned_tokens


def test_an_idle_heartbeat_omits_state_that_the_recipient_has_confirmed():
    model = pools.pool()
    heartbeats = [heartbeat for _, _, heartbeat in _record_heartbeats(model, 1)]
    assert heartbeats
    assert not any(heartbeat.state for heartbeat in heartbeats)
    assert (
        sum(len(messages.encode(heartbeat)) for heartbeat in heartbeats) / len(heartbeats)
        < MAX_IDLE_HEARTBEAT_BYTES
    )
    nodes = list(model.nodes_by_name.values())
    for viewer in nodes:
        for node in nodes:
            if node is not viewer:
                assert (
                    _owned_tokens_seen_by(model, viewer, node)
                    == node.kernel.target_owner.owned_tokens()
                )


@pytest.mark.promise("at_most_once", failures=["lost_reply"])
def test_a_state_change_is_sent_until_it_is_confirmed():
    model = pools.pool()
    viewer, node = pools.node(model, 3), pools.node(model, 1)
    lost = []

    def drops(sender, receiver, message):
        is_lost = (sender, receiver) == (node, viewer) and len(lost) < 4
        if is_lost and isinstance(message, messages.Heartbeat) and message.state:
            lost.append(message)
            return True
        return False

    model.drops = drops
    node.handle(events.ConfigurationRead(version=7, text=b"seventh"))
    model.run(seconds=0.35)
    assert len(lost) >= 3
    assert viewer.kernel.members.by_endpoint[node.endpoint].version == 1
    model.run(seconds=0.5)
    assert viewer.kernel.members.by_endpoint[node.endpoint].version == 7
    assert not any(heartbeat.state for _, _, heartbeat in _record_heartbeats(model, 0.5))


def test_a_node_that_forgot_a_member_learns_its_state_again():
    model = pools.pool()
    viewer, node = pools.node(model, 3), pools.node(model, 1)
    viewer.kernel.members.handle_goodbye(
        messages.Goodbye(sender=node.kernel.settings.node, endpoint=node.endpoint)
    )
    assert node.endpoint not in viewer.kernel.members.by_endpoint
    model.run(seconds=1)
    assert _owned_tokens_seen_by(model, viewer, node) == node.kernel.target_owner.owned_tokens()


@pytest.mark.promise("at_most_once", failures=["replaced_vm"])
def test_a_goodbye_of_a_former_incarnation_removes_no_member():
    model = pools.pool()
    viewer, node = pools.node(model, 3), pools.node(model, 1)
    former = messages.Goodbye(sender="former-life", endpoint=node.endpoint)
    viewer.handle(events.MessageReceived(message=former))
    assert viewer.kernel.members.find_live(node.kernel.settings.node, model.simulation.now)


def test_an_older_state_replaces_no_newer_one():
    model = pools.pool()
    viewer, node = pools.node(model, 3), pools.node(model, 1)
    state = messages.NodeState(domain="a", endpoint=node.endpoint, version=0)
    late = messages.Heartbeat(sender=node.kernel.settings.node, state_number=0, state=state)
    viewer.handle(events.MessageReceived(message=late))
    assert _owned_tokens_seen_by(model, viewer, node) == node.kernel.target_owner.owned_tokens()


@pytest.mark.parametrize(
    ("grant", "short"),
    [("0a1b-17", 17), ("ffff-17", "ffff-17"), ("0a1b-2-17", "0a1b-2-17")],
)
def test_the_id_of_a_nodes_own_grant_is_shortened_to_its_number(grant, short):
    assert grants.short_id("0a1b", grant) == short
    assert grants.full_id("0a1b", short) == grant

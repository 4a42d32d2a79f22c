import collections

import pytest

from chiveridge_kernel import actions, events, peers, slot_messages, start_counts, vms

SILENCE_MS = start_counts.SILENCE_LIMIT.total_seconds() * 1000


def entry(name: str) -> vms.Vm:
    return vms.Vm(
        name=name, role=vms.VmRole.ENTRY, domain="ikeja", address="127.0.0.1", port=1, peer_port=2
    )


@pytest.fixture
def counting_node(drive):
    """Return a node with the ``shared_counts`` policy that knows one other node, ikeja-e2."""
    driven = drive(policy="shared_counts")
    driven.list_targets([*driven.targets_by_name.values(), entry("ikeja-e1"), entry("ikeja-e2")])
    driven.advance(0)
    return driven


def receive_counts(
    driven, sent_at_ms: int, sender: str = "ikeja-e2", is_full: bool = False, **counts
) -> None:
    count_by_target = {f"ikeja-{name}": count for name, count in counts.items()}
    message = slot_messages.StartCounts(
        sender=sender, sent_at_ms=sent_at_ms, is_full=is_full, count_by_target=count_by_target
    )
    driven.handle(events.PeerMessageReceived(message=message))


def starts_by_target(driven) -> dict[str, int]:
    return dict(collections.Counter(start.target.name[-2:] for start in driven.starts()))


def sent_counts(driven) -> list[slot_messages.StartCounts]:
    sent = [action.message for action in driven.of(actions.SendToPeer)]
    return [message for message in sent if isinstance(message, slot_messages.StartCounts)]


def test_tasks_go_to_the_targets_with_the_fewest_starts_of_all_nodes(counting_node):
    receive_counts(counting_node, 1, t1=5, t2=4)
    counting_node.submit(count=6)
    assert starts_by_target(counting_node) == {"t2": 1, "t3": 5}


def test_later_counts_replace_earlier_ones_and_reordered_messages_are_ignored(counting_node):
    receive_counts(counting_node, 2, t1=5, t2=5)
    receive_counts(counting_node, 1, t1=0)
    receive_counts(counting_node, 3, t2=0, t3=5)
    receive_counts(counting_node, 4, is_full=True, t1=3, t3=3)
    counting_node.submit(count=3)
    assert starts_by_target(counting_node) == {"t2": 3}


def test_counts_of_silent_and_unknown_nodes_are_ignored(counting_node):
    receive_counts(counting_node, 1, t1=5, t2=5)
    receive_counts(counting_node, 1, sender="stranger", t3=5)
    counting_node.advance(SILENCE_MS + 1)
    counting_node.submit(count=3)
    assert starts_by_target(counting_node) == {"t1": 1, "t2": 1, "t3": 1}


def test_a_node_sends_changed_counts_and_periodically_all_counts(counting_node):
    counting_node.submit(count=2)
    counting_node.advance(50)
    lease_id = counting_node.starts()[0].lease_id
    counting_node.report(lease_id, events.LeaseOutcome.SUCCEEDED)
    ended = counting_node.starts()[0].target.name
    counting_node.advance(50)
    counting_node.advance(50)
    counting_node.advance(900)
    is_full, first, second, again = sent_counts(counting_node)
    assert (is_full.is_full, is_full.count_by_target) == (True, {})
    assert sum(first.count_by_target.values()) == 2
    assert second.count_by_target == {ended: 0}
    assert (again.is_full, len(again.count_by_target)) == (True, 1)


def test_a_node_stays_within_its_byte_rate_limit(counting_node):
    others = [entry(f"ikeja-e{number}") for number in range(2, 30)]
    counting_node.list_targets([*counting_node.targets_by_name.values(), *others])
    before = len(sent_counts(counting_node))
    for _ in range(80):
        lease_id = counting_node.starts()[-1].lease_id if counting_node.submit() else ""
        counting_node.advance(25)
        counting_node.report(lease_id, events.LeaseOutcome.SUCCEEDED)
    sent = sent_counts(counting_node)[before:]
    sizes = [len(peers.encode(message)) + start_counts.WIRE_BYTES_PER_MESSAGE for message in sent]
    assert 0 < sum(sizes) <= start_counts.BYTES_PER_SECOND * 2.2

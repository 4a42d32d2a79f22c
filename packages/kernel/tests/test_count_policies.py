import collections

import pytest

from chiveridge_kernel import actions, events, peers, slot_messages, startcounts, vms

SILENCE_MS = startcounts.SILENCE_LIMIT.total_seconds() * 1000


def entry(name: str) -> vms.Vm:
    return vms.Vm(
        name=name, role=vms.VmRole.ENTRY, domain="ikeja", address="127.0.0.1", port=1, peer_port=2
    )


@pytest.fixture
def counting(drive):
    """Return a node of the policy that knows another node, ikeja-e2."""
    driven = drive(policy="shared_counts")
    driven.list_targets([*driven.targets_by_name.values(), entry("ikeja-e1"), entry("ikeja-e2")])
    driven.advance(0)
    return driven


def hear(driven, sent_at_ms: int, sender: str = "ikeja-e2", whole: bool = False, **counts) -> None:
    count_by_target = {f"ikeja-{name}": count for name, count in counts.items()}
    message = slot_messages.StartCounts(
        sender=sender, sent_at_ms=sent_at_ms, whole=whole, count_by_target=count_by_target
    )
    driven.handle(events.PeerMessageReceived(message=message))


def starts_by_target(driven) -> dict[str, int]:
    return dict(collections.Counter(start.target.name[-2:] for start in driven.starts()))


def told(driven) -> list[slot_messages.StartCounts]:
    sent = [action.message for action in driven.of(actions.SendToPeer)]
    return [message for message in sent if isinstance(message, slot_messages.StartCounts)]


def test_tasks_go_where_all_nodes_together_run_the_fewest(counting):
    hear(counting, 1, t1=5, t2=4)
    counting.submit(count=6)
    assert starts_by_target(counting) == {"t2": 1, "t3": 5}


def test_what_is_told_replaces_what_was_told_and_an_overtaken_message_changes_nothing(counting):
    hear(counting, 2, t1=5, t2=5)
    hear(counting, 1, t1=0)
    hear(counting, 3, t2=0, t3=5)
    hear(counting, 4, whole=True, t1=3, t3=3)
    counting.submit(count=3)
    assert starts_by_target(counting) == {"t2": 3}


def test_counts_of_silent_and_of_unknown_nodes_do_not_matter(counting):
    hear(counting, 1, t1=5, t2=5)
    hear(counting, 1, sender="stranger", t3=5)
    counting.advance(SILENCE_MS + 1)
    counting.submit(count=3)
    assert starts_by_target(counting) == {"t1": 1, "t2": 1, "t3": 1}


def test_a_node_tells_what_has_changed_and_now_and_then_everything(counting):
    counting.submit(count=2)
    counting.advance(50)
    lease_id = counting.starts()[0].lease_id
    counting.report(lease_id, events.LeaseOutcome.SUCCEEDED)
    ended = counting.starts()[0].target.name
    counting.advance(50)
    counting.advance(50)
    counting.advance(900)
    whole, first, second, again = told(counting)
    assert (whole.whole, whole.count_by_target) == (True, {})
    assert sum(first.count_by_target.values()) == 2
    assert second.count_by_target == {ended: 0}
    assert (again.whole, len(again.count_by_target)) == (True, 1)


def test_a_node_keeps_to_its_bytes_per_second(counting):
    others = [entry(f"ikeja-e{number}") for number in range(2, 30)]
    counting.list_targets([*counting.targets_by_name.values(), *others])
    before = len(told(counting))
    for _ in range(80):
        lease_id = counting.starts()[-1].lease_id if counting.submit() else ""
        counting.advance(25)
        counting.report(lease_id, events.LeaseOutcome.SUCCEEDED)
    sent = told(counting)[before:]
    sizes = [len(peers.encode(message)) + startcounts.WIRE_BYTES_PER_MESSAGE for message in sent]
    assert 0 < sum(sizes) <= startcounts.BYTES_PER_SECOND * 2.2

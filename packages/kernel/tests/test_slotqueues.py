import collections

from chiveridge_kernel import slotqueues


def waiting(demand_id: int, due_ms: int, team: str = "desk", wanted: int = 1):
    return slotqueues.Waiting(
        node="e1",
        demand_id=demand_id,
        query=slotqueues.Query(team, ""),
        arrived_at_ms=due_ms,
        due_ms=due_ms,
        wanted=wanted,
    )


def test_the_request_due_first_is_the_head():
    queue = slotqueues.SlotQueue()
    for demand_id, due_ms in ((1, 30), (2, 10), (3, 20)):
        queue.put(waiting(demand_id, due_ms))
    served = []
    while queue.heads():
        head = queue.heads()[0]
        served.append(head.demand_id)
        queue.take(head, 1)
    assert served == [2, 3, 1]
    assert len(queue) == 0


def test_a_later_request_replaces_that_of_the_same_demand():
    queue = slotqueues.SlotQueue()
    queue.put(waiting(1, 10, wanted=5))
    queue.put(waiting(1, 10, wanted=2))
    assert [head.wanted for head in queue.heads()] == [2]
    queue.cancel("e1", 1)
    assert queue.heads() == []


def test_a_team_over_its_share_is_served_last():
    heads = [waiting(1, 10, "greedy"), waiting(2, 20, "modest")]
    lent_by_team = collections.Counter(greedy=6, modest=1)
    ordered = slotqueues.fair_order(heads, lent_by_team, 8)
    assert [head.query.team for head in ordered] == ["modest", "greedy"]
    ordered = slotqueues.fair_order(heads, collections.Counter(greedy=3, modest=1), 8)
    assert [head.query.team for head in ordered] == ["greedy", "modest"]

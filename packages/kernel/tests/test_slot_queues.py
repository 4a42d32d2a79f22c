from chiveridge_kernel import clocks, fair_shares, slot_queues


def new_request(demand_id: int, due_ms: int, team: str = "desk", wanted: int = 1):
    return slot_queues.WaitingRequest(
        node="e1",
        demand_id=demand_id,
        query=slot_queues.TargetQuery(team, ""),
        arrived_at_ms=due_ms,
        due_ms=due_ms,
        wanted=wanted,
    )


def test_the_request_with_the_earliest_due_time_is_the_head():
    queue = slot_queues.SlotQueue()
    for demand_id, due_ms in ((1, 30), (2, 10), (3, 20)):
        queue.put(new_request(demand_id, due_ms))
    served = []
    while queue.heads():
        head = queue.heads()[0]
        served.append(head.demand_id)
        queue.record_grant(head, 1)
    assert served == [2, 3, 1]
    assert len(queue) == 0


def test_a_later_request_replaces_the_earlier_one_of_the_same_demand():
    queue = slot_queues.SlotQueue()
    queue.put(new_request(1, 10, wanted=5))
    queue.put(new_request(1, 10, wanted=2))
    assert [head.wanted for head in queue.heads()] == [2]
    queue.cancel("e1", 1)
    assert queue.heads() == []


def test_a_team_over_its_share_is_served_last():
    heads = [new_request(1, 10, "greedy"), new_request(2, 20, "modest")]
    assert teams_in_order(heads, {"greedy": 6, "modest": 1}) == ["modest", "greedy"]
    assert teams_in_order(heads, {"greedy": 3, "modest": 1}) == ["greedy", "modest"]


def teams_in_order(
    heads: list[slot_queues.WaitingRequest], held_by_team: dict[str, int]
) -> list[str]:
    """Return the teams in the order in which an owner of 8 slots serves them without credit."""
    team_shares = fair_shares.FairShares()
    team_shares.divide(8, (), held_by_team)
    ordered = slot_queues.order_by_rank(
        heads, lambda team: team_shares.rank(team, held_by_team[team], clocks.EPOCH)
    )
    return [head.query.team for head in ordered]

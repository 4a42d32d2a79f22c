"""Targets that are handed from one owner to another while their runs are stopped."""

import pools
import pytest

from chiveridge_pool import messages


@pytest.mark.promise("at_most_once", failures=["replaced_vm"])
def test_a_stop_that_crosses_a_handover_to_the_jobs_own_node_stops_the_run():
    """Otherwise the run outlives its cancelled job, as a node sends itself no heartbeats."""
    model = pools.pool(nodes_per_domain=2, targets_per_domain=4, domains="a")
    old_owner, jobs_node = (
        node
        for node in sorted(
            model.nodes_by_name.values(),
            key=lambda node: -len(node.kernel.target_owner.owned_tokens()),
        )
    )
    caller = model.submit(jobs_node, pools.job("a" * 16, 8, 4000.0))
    model.run(seconds=0.3)
    held = [
        grant
        for owned in old_owner.kernel.target_owner.owned_by_target.values()
        for grant in owned.sent_grants()
    ]
    assert held
    # The job's node has become the owner, and neither message has told its job so.
    model.drops = lambda sender, receiver, message: isinstance(message, messages.OwnerChanged)
    pools.hand_over_all(old_owner, jobs_node)
    model.leave(caller)
    model.run(seconds=0.02)
    model.drops = lambda sender, receiver, message: False
    model.run(seconds=1.0)
    running = [task for target in model.targets_by_id.values() for task, _ in target._running]
    assert running == []


def test_grants_that_are_handed_back_are_answered_by_the_owner_that_ended_them():
    """Guards against two owners that refer a job's node to each other for ever."""
    model = pools.pool(nodes_per_domain=3, targets_per_domain=6, domains="a")
    first, second, jobs_node = model.nodes_by_name.values()
    caller = model.submit(jobs_node, pools.job("a" * 16, 12, 4000.0))
    model.run(seconds=0.3)
    for old_owner, new_owner in ((first, second), (second, first)):
        pools.hand_over_all(old_owner, new_owner)
        model.run(seconds=0.1)
    placements = jobs_node.kernel.coordinator.placements
    assert placements._runs_by_grant
    model.leave(caller)
    model.run(seconds=1.0)
    assert not placements._runs_by_grant
    assert all(not target._running for target in model.targets_by_id.values())

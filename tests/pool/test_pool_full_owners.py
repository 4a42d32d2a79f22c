"""What an owner without free capacity does for each request that waits there."""

import datetime
import random

import pools
import pytest

from chiveridge_pool import actions, capacity_queues

TARGETS = 12
REQUESTS = 300
PATIENCE = datetime.timedelta(seconds=30)
MAX_TARGETS_TRIED = TARGETS * 30
"""A tenth of what trying each target for each request takes."""


@pytest.fixture
def full_pool():
    """Return a pool of one node whose targets are full, with many jobs of random sizes."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=TARGETS, domains="a")
    filling = pools.job("f" * 16, 2 * TARGETS, 5000.0, caller_timeout=PATIENCE)
    model.submit(pools.node(model, 1), filling)
    model.run(seconds=0.1)
    rng = random.Random(1)
    for number in range(REQUESTS):
        cpu = rng.randrange(15_000, 60_000)
        request = pools.job(f"{number:016x}", 1, 2000.0, cpu=cpu, caller_timeout=PATIENCE)
        model.submit(pools.node(model, 1), request)
    return model


def test_a_full_owner_does_not_try_each_target_for_each_request(full_pool, monkeypatch):
    tried = []
    is_eligible = capacity_queues._is_eligible

    def count_and_check(message, owned):
        tried.append(owned)
        return is_eligible(message, owned)

    monkeypatch.setattr(capacity_queues, "_is_eligible", count_and_check)
    owner = pools.node(full_pool, 1).kernel.target_owner
    assert len(owner.allocator.capacity_queue) == REQUESTS
    freed = next(iter(owner.owned_by_target.values()))
    freed.remove(next(iter(freed.grants_by_id.values())))
    owner.serve_requests(full_pool.simulation.now)
    assert 0 < len(tried) <= MAX_TARGETS_TRIED


def test_a_smaller_request_behind_one_that_does_not_fit_is_served():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    node = pools.node(model, 1)
    model.submit(node, pools.job("f" * 16, 1, 900.0, cpu=40_000, caller_timeout=PATIENCE))
    model.run(seconds=0.1)
    model.submit(node, pools.job("a" * 16, 1, 100.0, cpu=30_000, caller_timeout=PATIENCE))
    small = model.submit(node, pools.job("b" * 16, 1, 100.0, cpu=20_000, caller_timeout=PATIENCE))
    model.run(seconds=0.3)
    assert model.answers_by_caller[small].verdict is actions.Verdict.COMPLETE


def test_requests_that_wait_are_not_looked_at_while_no_target_has_room(full_pool, monkeypatch):
    looked_at = []
    monkeypatch.setattr(
        capacity_queues.CapacityQueue, "by_rank", lambda queue: looked_at.append(queue) or []
    )
    owner = pools.node(full_pool, 1).kernel.target_owner
    smallest = owner.allocator.capacity_queue.min_cpu()
    assert owner.usable_targets(full_pool.simulation.now)
    assert all(owned.free_cpu() < smallest for owned in owner.owned_by_target.values())
    owner.serve_requests(full_pool.simulation.now)
    assert looked_at == []

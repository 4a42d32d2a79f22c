import contextlib
import random

import hypothesis
import hypothesis.strategies as st
import limited_domains
import pytest

from chiveridge_kernel import errors, limit_allocators


@pytest.fixture
def domain() -> limited_domains.Domain:
    return limited_domains.Domain()


def test_the_share_of_a_dead_node_is_reclaimed(domain):
    first, second, third = domain.nodes_by_name.values()
    allocator = next(
        node for node in (first, second, third) if node.limiter._allocators_by_team == {}
    )
    allocator_name = allocator.limiter._allocator_selector.allocator_for(limited_domains.TEAM)
    dead, alive = [n for n in domain.nodes_by_name.values() if n.name != allocator_name]
    dead.submit(limited_domains.LIMIT)
    domain.advance(60)
    assert len(dead.running) == limited_domains.LIMIT
    dead.is_paused = True
    alive.submit(limited_domains.LIMIT)
    domain.advance(60)
    assert len(alive.running) == 0
    domain.advance(60)
    assert len(alive.running) == limited_domains.LIMIT


def test_a_partition_allows_one_limit_per_side_until_it_heals(domain):
    for node in domain.nodes_by_name.values():
        node.submit(limited_domains.LIMIT * 8)
    domain.advance(60)
    domain.partition(["e1"], ["e2", "e3"])
    for _ in range(100):
        domain.advance(1)
        assert len(domain.nodes_by_name["e1"].running) <= limited_domains.LIMIT
        assert domain.running_count() <= 2 * limited_domains.LIMIT
    assert domain.running_count() == 2 * limited_domains.LIMIT
    domain.partition(limited_domains.NAMES)
    for _ in range(100):
        domain.advance(1)
        for node in domain.nodes_by_name.values():
            if len(node.running) > 1:
                node.end_task(0)
    domain.advance(100)
    assert domain.running_count() <= limited_domains.LIMIT


class RandomRun:
    """Applies random operations; tasks of holders that an allocator does not know are exempt."""

    OPERATIONS = (
        "submit",
        "end",
        "tick",
        "tick",
        "deliver",
        "deliver",
        "drop",
        "freeze",
        "restart",
    )

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.domain = limited_domains.Domain()
        self.exempt_task_ids: set[int] = set()
        self.restarts = 0

    def step(self) -> None:
        self.domain.clock.advance(limited_domains.STEP * self.rng.choice([0, 1, 1, 5]))
        self.exempt_unknown_holders()
        node = self.domain.nodes_by_name[self.rng.choice(limited_domains.NAMES)]
        getattr(self, self.rng.choice(self.OPERATIONS))(node)

    def exempt_unknown_holders(self) -> None:
        for node in self.domain.nodes_by_name.values():
            allocator = node.limiter._allocators_by_team.get(limited_domains.TEAM)
            if allocator is not None and self.domain.now() >= allocator.grace_ends_at:
                self.exempt_holders_unknown_to(allocator)

    def exempt_holders_unknown_to(self, allocator: limit_allocators.LimitAllocator) -> None:
        for node in self.domain.nodes_by_name.values():
            holder_state = allocator._states_by_holder.get((node.name, node.limiter._incarnation))
            max_silence = limit_allocators.LEASE * limit_allocators.RECLAIM_LEASES
            if (
                holder_state is None
                or self.domain.now() - holder_state.last_report_at >= max_silence
            ):
                self.exempt_task_ids.update(map(id, node.running))

    def limited_task_count(self) -> int:
        running = [task for node in self.domain.nodes_by_name.values() for task in node.running]
        return sum(id(task) not in self.exempt_task_ids for task in running)

    def submit(self, node: limited_domains.Node) -> None:
        if not node.is_paused:
            with contextlib.suppress(errors.RefusedError):
                node.submit(self.rng.randint(1, 8))

    def end(self, node: limited_domains.Node) -> None:
        if node.running and not node.is_paused:
            index = self.rng.randrange(len(node.running))
            self.exempt_task_ids.discard(id(node.running[index]))
            node.end_task(index)

    def tick(self, node: limited_domains.Node) -> None:
        if not node.is_paused:
            node.tick()

    def deliver(self, node: limited_domains.Node) -> None:
        if self.domain.network:
            self.domain.deliver(self.rng.randrange(len(self.domain.network)))

    def drop(self, node: limited_domains.Node) -> None:
        if self.domain.network:
            self.domain.network.pop()

    def freeze(self, node: limited_domains.Node) -> None:
        node.is_paused = not node.is_paused

    def restart(self, node: limited_domains.Node) -> None:
        if self.rng.random() < 0.2:
            self.restarts += 1
            self.domain.restart(node.name, f"b{self.restarts:04}")


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None, database=None)
@hypothesis.example(seed=93)
@hypothesis.example(seed=35360)
@hypothesis.given(seed=st.integers(0, 2**32))
def test_the_limit_holds_under_loss_reordering_freezes_and_restarts(seed):
    run = RandomRun(seed)
    for _ in range(400):
        run.step()
        assert run.limited_task_count() <= limited_domains.LIMIT

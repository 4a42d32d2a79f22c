"""Random changes of the allocator of a limit: nodes exit, pause, restart and lose connections."""

import contextlib

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st
import limited_domains
import member_domains

from chiveridge_kernel import errors, limit_allocators

NAMES = st.sampled_from(limited_domains.NAMES)
LIMIT = limited_domains.LIMIT


class AllocatorChanges(hypothesis.stateful.RuleBasedStateMachine):
    """Checks the limit in a domain whose nodes exit, pause, drain and restart at random.

    Tasks of nodes that an allocator granting starts does not know, or has reclaimed as silent, are
    exempt.
    """

    lease_scale: float | None = None

    def __init__(self):
        super().__init__()
        self.domain = member_domains.Domain(lease_scale=self.lease_scale)
        self.exempt_tasks: dict[int, object] = {}
        self.advance(10)
        for name in limited_domains.NAMES:
            self.submit(name, LIMIT * 4)
        self.advance(30)

    def running_node(self, name: str) -> member_domains.Node | None:
        node = self.domain.nodes_by_name.get(name)
        return None if node is None or node.is_paused else node

    @hypothesis.stateful.rule(name=NAMES, count=st.integers(1, 8))
    def submit(self, name, count):
        node = self.running_node(name)
        if node is not None and not node.is_draining:
            with contextlib.suppress(errors.RefusedError):
                node.submit(count)

    @hypothesis.stateful.rule(name=NAMES, count=st.integers(1, 5))
    def end(self, name, count):
        node = self.running_node(name)
        for _ in range(min(count, len(node.running)) if node else 0):
            node.end_task(0)

    @hypothesis.stateful.rule(steps=st.sampled_from([1, 3, 10, 40, 100]))
    def advance(self, steps):
        for step in range(steps):
            name = limited_domains.NAMES[step % len(limited_domains.NAMES)]
            self.end(name, 1)
            self.submit(name, 1)
            self.domain.advance(1)
            self.exempt_silent_holders()
            self.check_limit()

    @hypothesis.stateful.rule(
        name=NAMES, steps=st.sampled_from([3, 15, 45, 120]), loses_messages=st.booleans()
    )
    def pause(self, name, steps, loses_messages):
        if self.running_node(name) is not None:
            self.domain.nodes_by_name[name].pause(steps, loses_messages=loses_messages)

    @hypothesis.stateful.rule(name=NAMES)
    def kill(self, name):
        if name in self.domain.nodes_by_name and len(self.domain.nodes_by_name) > 1:
            self.domain.kill_node(name)

    @hypothesis.stateful.rule(name=NAMES)
    def boot(self, name):
        if name not in self.domain.nodes_by_name:
            self.domain.start_node(name)

    @hypothesis.stateful.rule(name=NAMES)
    def drain(self, name):
        node = self.running_node(name)
        if node is not None and not node.is_draining and len(self.domain.nodes_by_name) > 1:
            node.drain()

    def exempt_silent_holders(self) -> None:
        for node in self.domain.nodes_by_name.values():
            allocator = node.limiter._allocators_by_team.get(limited_domains.TEAM)
            if (
                allocator is not None
                and not node.is_paused
                and not allocator.is_in_grace_period(self.domain.now())
            ):
                self.exempt_holders_silent_to(allocator)

    def exempt_holders_silent_to(self, allocator: limit_allocators.LimitAllocator) -> None:
        for node in self.domain.nodes_by_name.values():
            holder_state = allocator._states_by_holder.get((node.name, node.incarnation))
            if holder_state is None or self.is_silent(holder_state):
                self.exempt_tasks.update((id(task), task) for task in node.running)

    def is_silent(self, holder_state: limit_allocators.HolderState) -> bool:
        silence = self.domain.now() - holder_state.last_report_at
        return silence >= holder_state.lease * limit_allocators.RECLAIM_LEASES

    def limited_task_count(self) -> int:
        running = [task for node in self.domain.nodes_by_name.values() for task in node.running]
        return sum(id(task) not in self.exempt_tasks for task in running)

    def check_limit(self) -> None:
        assert self.limited_task_count() <= LIMIT


class AllocatorChangesWithLongLeases(AllocatorChanges):
    """The same with leases longer than the time after which a silent node is declared dead."""

    lease_scale = 10.0


class AllocatorChangesWithPartitions(AllocatorChanges):
    """The same with partitions, in which nodes may disagree on the allocator.

    Allows one limit for each node that was allocator since the limit was last met.
    """

    def __init__(self):
        self.believed_allocators: set[str] = set()
        super().__init__()

    @hypothesis.stateful.rule(one=NAMES, other=NAMES)
    def cut_link(self, one, other):
        if one != other:
            self.domain.blocked_links.add(frozenset((one, other)))

    @hypothesis.stateful.rule()
    def heal_links(self):
        self.domain.blocked_links.clear()

    def check_limit(self) -> None:
        if self.limited_task_count() <= LIMIT:
            self.believed_allocators.clear()
        for node in self.domain.nodes_by_name.values():
            if limited_domains.TEAM in node.limiter._allocators_by_team:
                self.believed_allocators.add(node.name)
        assert self.limited_task_count() <= LIMIT * max(1, len(self.believed_allocators))


SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=60, deadline=None, database=None
)


class TestAllocatorChanges(AllocatorChanges.TestCase):
    settings = SETTINGS


class TestAllocatorChangesWithLongLeases(AllocatorChangesWithLongLeases.TestCase):
    settings = SETTINGS


class TestAllocatorChangesWithPartitions(AllocatorChangesWithPartitions.TestCase):
    settings = SETTINGS

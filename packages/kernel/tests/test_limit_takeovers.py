"""Takeovers of a team's limit by another allocator."""

import contextlib

import limited_domains
import member_domains
import pytest

from chiveridge_kernel import errors

MAX_HEARTBEATS = 2
STEPS_PER_HEARTBEAT = 12
LIMIT = limited_domains.LIMIT


@pytest.fixture
def domain() -> member_domains.Domain:
    domain = member_domains.Domain()
    domain.advance(5)
    for node in domain.nodes_by_name.values():
        node.submit(LIMIT * 4)
    domain.advance(60)
    assert domain.running_count() == LIMIT
    return domain


def run_under_load(domain: member_domains.Domain, steps: int) -> int:
    """Replace one task in each step; return the number of steps that ended below the limit."""
    steps_below_limit = 0
    for step in range(steps):
        nodes = list(domain.nodes_by_name.values())
        replace_task(nodes[step % len(nodes)])
        domain.advance(1)
        assert domain.running_count() <= LIMIT
        steps_below_limit += domain.running_count() < LIMIT
    return steps_below_limit


def replace_task(node: member_domains.Node) -> None:
    if node.running and not node.is_paused:
        node.end_task(0)
    if not node.is_draining and not node.is_paused:
        with contextlib.suppress(errors.RefusedError):
            node.submit(1)


def test_a_draining_allocator_is_replaced_within_two_heartbeats(domain):
    allocator = domain.nodes_by_name[domain.allocator_name()]
    allocator.drain()
    assert run_under_load(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * MAX_HEARTBEATS


def test_a_takeover_does_not_wait_for_an_allocator_that_has_exited(domain):
    allocator = domain.nodes_by_name[domain.allocator_name()]
    for job in list(allocator.limiter._jobs_by_team["desk"]):
        allocator.limiter.remove_held_tasks(job)
    allocator.limiter._jobs_by_team.clear()
    while allocator.running:
        allocator.end_task(0)
    allocator.drain()
    assert run_under_load(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * MAX_HEARTBEATS
    assert allocator.name not in domain.nodes_by_name


def test_a_takeover_does_not_wait_for_an_allocator_that_has_restarted(domain):
    name = domain.allocator_name()
    domain.kill_node(name)
    domain.start_node(name)
    assert run_under_load(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * MAX_HEARTBEATS


def test_a_node_that_joins_takes_over_a_team_within_two_heartbeats(domain):
    name = domain.allocator_name()
    domain.kill_node(name)
    run_under_load(domain, 100)
    domain.start_node(name)
    assert run_under_load(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * MAX_HEARTBEATS
    assert domain.allocator_name() == name


def test_a_takeover_waits_for_a_silent_node_until_its_lease_ends(domain):
    domain.kill_node(domain.allocator_name())
    assert run_under_load(domain, 38) >= 30
    assert run_under_load(domain, 20) <= 10


def test_a_paused_allocator_starts_nothing_on_its_earlier_grant(domain):
    allocator = domain.nodes_by_name[domain.allocator_name()]
    running_before = len(allocator.running)
    allocator.pause(200)
    domain.advance(195)
    assert domain.running_count() == LIMIT + running_before
    domain.advance(10)
    assert not allocator.is_paused
    assert len(allocator.running) <= running_before
    for _ in range(running_before):
        allocator.end_task(0)
    assert domain.running_count() <= LIMIT
    assert run_under_load(domain, 100) <= 40


@pytest.mark.parametrize("loses_messages", [False, True])
def test_a_resumed_allocator_grants_nothing_from_earlier_reports(domain, loses_messages):
    allocator = domain.nodes_by_name[domain.allocator_name()]
    while allocator.running:
        allocator.end_task(0)
    allocator.pause(200, loses_messages=loses_messages)
    domain.advance(190)
    excess = domain.running_count() - LIMIT
    for _ in range(60):
        domain.advance(1)
        assert domain.running_count() <= LIMIT + excess


def test_a_resumed_holder_starts_nothing_on_a_lease_that_outlasts_its_allocator(domain):
    holder = next(n for n in domain.nodes_by_name.values() if n.name != domain.allocator_name())
    holder.limiter._sender.update_scale = lambda grants_by_team: None
    holder.limiter._sender.interval_scale = 20.0
    domain.advance(30)
    jobs = holder.limiter._jobs_by_team[limited_domains.TEAM]
    for job in list(jobs):
        holder.limiter.remove_held_tasks(job)
    jobs.clear()
    holder.pause(150, loses_messages=True)
    while holder.running:
        holder.end_task(0)
    domain.kill_node(domain.allocator_name())
    domain.advance(149)
    assert domain.running_count() == LIMIT
    domain.advance(1)
    holder.resume()
    holder.submit(LIMIT)
    assert domain.running_count() == LIMIT


def test_a_holder_drops_grants_of_an_earlier_term_of_its_allocator(domain):
    allocator = domain.nodes_by_name[domain.allocator_name()]
    holder = next(n for n in domain.nodes_by_name.values() if n is not allocator)
    jobs = holder.limiter._jobs_by_team[limited_domains.TEAM]
    for job in list(jobs):
        holder.limiter.remove_held_tasks(job)
    jobs.clear()
    while holder.running:
        holder.end_task(0)
    allocator.limiter.reset_after_pause()
    domain.advance(2)
    holder.submit(LIMIT)
    for _ in range(20):
        domain.advance(1)
        assert domain.running_count() <= LIMIT


def test_an_idle_allocator_ends_when_another_node_becomes_allocator(domain):
    name = domain.allocator_name()
    domain.kill_node(name)
    domain.advance(60)
    second = domain.nodes_by_name[domain.allocator_name()]
    for job in list(second.limiter._jobs_by_team[limited_domains.TEAM]):
        second.limiter.remove_held_tasks(job)
    while second.running:
        second.end_task(0)
    domain.advance(100)
    assert limited_domains.TEAM in second.limiter._allocators_by_team
    domain.start_node(name)
    domain.advance(5)
    assert domain.allocator_name() == name
    assert limited_domains.TEAM not in second.limiter._allocators_by_team


def test_a_takeover_waits_for_a_silent_node_until_it_is_declared_dead():
    domain = member_domains.Domain(lease_scale=20.0)
    domain.advance(5)
    for node in domain.nodes_by_name.values():
        node.submit(LIMIT * 4)
    domain.advance(300)
    name = domain.allocator_name()
    dead_after = domain.nodes_by_name[name].heartbeats.timeouts().dead_after
    domain.kill_node(name)
    steps = int(dead_after / limited_domains.STEP)
    assert run_under_load(domain, steps - 5) >= steps - 15
    run_under_load(domain, 5 + STEPS_PER_HEARTBEAT * MAX_HEARTBEATS)
    assert domain.running_count() == LIMIT

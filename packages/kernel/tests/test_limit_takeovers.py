"""Takeovers of a team's limit by another keeper."""

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
    assert domain.running() == LIMIT
    return domain


def run_under_load(domain: member_domains.Domain, steps: int) -> int:
    """Replace one task in each step; return the number of steps that ended below the limit."""
    steps_below_limit = 0
    for step in range(steps):
        nodes = list(domain.nodes_by_name.values())
        replace_task(nodes[step % len(nodes)])
        domain.advance(1)
        assert domain.running() <= LIMIT
        steps_below_limit += domain.running() < LIMIT
    return steps_below_limit


def replace_task(node: member_domains.Node) -> None:
    if node.running and not node.frozen:
        node.end(0)
    if not node.is_draining and not node.frozen:
        with contextlib.suppress(errors.RefusedError):
            node.submit(1)


def test_a_draining_keeper_is_replaced_within_two_heartbeats(domain):
    keeper = domain.nodes_by_name[domain.keeper_name()]
    keeper.drain()
    assert run_under_load(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * MAX_HEARTBEATS


def test_a_takeover_does_not_wait_for_a_keeper_that_has_exited(domain):
    keeper = domain.nodes_by_name[domain.keeper_name()]
    for job in list(keeper.limiter._jobs_by_team["desk"]):
        keeper.limiter.give_up(job)
    keeper.limiter._jobs_by_team.clear()
    while keeper.running:
        keeper.end(0)
    keeper.drain()
    assert run_under_load(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * MAX_HEARTBEATS
    assert keeper.name not in domain.nodes_by_name


def test_a_takeover_does_not_wait_for_a_keeper_that_has_restarted(domain):
    name = domain.keeper_name()
    domain.kill(name)
    domain.boot(name)
    assert run_under_load(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * MAX_HEARTBEATS


def test_a_node_that_joins_takes_over_a_team_within_two_heartbeats(domain):
    name = domain.keeper_name()
    domain.kill(name)
    run_under_load(domain, 100)
    domain.boot(name)
    assert run_under_load(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * MAX_HEARTBEATS
    assert domain.keeper_name() == name


def test_a_takeover_waits_for_a_silent_node_until_its_lease_ends(domain):
    domain.kill(domain.keeper_name())
    assert run_under_load(domain, 38) >= 30
    assert run_under_load(domain, 20) <= 10


def test_a_paused_keeper_starts_nothing_on_its_earlier_grant(domain):
    keeper = domain.nodes_by_name[domain.keeper_name()]
    running_before = len(keeper.running)
    keeper.sleep(200)
    domain.advance(195)
    assert domain.running() == LIMIT + running_before
    domain.advance(10)
    assert not keeper.frozen
    assert len(keeper.running) <= running_before
    for _ in range(running_before):
        keeper.end(0)
    assert domain.running() <= LIMIT
    assert run_under_load(domain, 100) <= 40


@pytest.mark.parametrize("loses_messages", [False, True])
def test_a_resumed_keeper_grants_nothing_from_earlier_reports(domain, loses_messages):
    keeper = domain.nodes_by_name[domain.keeper_name()]
    while keeper.running:
        keeper.end(0)
    keeper.sleep(200, loses_messages=loses_messages)
    domain.advance(190)
    excess = domain.running() - LIMIT
    for _ in range(60):
        domain.advance(1)
        assert domain.running() <= LIMIT + excess


def test_a_resumed_holder_starts_nothing_on_a_lease_that_outlasts_its_keeper(domain):
    holder = next(n for n in domain.nodes_by_name.values() if n.name != domain.keeper_name())
    holder.limiter._exchange.pace = lambda grants_by_team: None
    holder.limiter._exchange.scale = 20.0
    domain.advance(30)
    jobs = holder.limiter._jobs_by_team[limited_domains.TEAM]
    for job in list(jobs):
        holder.limiter.give_up(job)
    jobs.clear()
    holder.sleep(150, loses_messages=True)
    while holder.running:
        holder.end(0)
    domain.kill(domain.keeper_name())
    domain.advance(149)
    assert domain.running() == LIMIT
    domain.advance(1)
    holder.wake()
    holder.submit(LIMIT)
    assert domain.running() == LIMIT


def test_a_holder_drops_grants_of_an_earlier_term_of_its_keeper(domain):
    keeper = domain.nodes_by_name[domain.keeper_name()]
    holder = next(n for n in domain.nodes_by_name.values() if n is not keeper)
    jobs = holder.limiter._jobs_by_team[limited_domains.TEAM]
    for job in list(jobs):
        holder.limiter.give_up(job)
    jobs.clear()
    while holder.running:
        holder.end(0)
    keeper.limiter.give_up_grants()
    domain.advance(2)
    holder.submit(LIMIT)
    for _ in range(20):
        domain.advance(1)
        assert domain.running() <= LIMIT


def test_an_idle_keeper_ends_when_another_node_becomes_keeper(domain):
    name = domain.keeper_name()
    domain.kill(name)
    domain.advance(60)
    second = domain.nodes_by_name[domain.keeper_name()]
    for job in list(second.limiter._jobs_by_team[limited_domains.TEAM]):
        second.limiter.give_up(job)
    while second.running:
        second.end(0)
    domain.advance(100)
    assert limited_domains.TEAM in second.limiter._keepers_by_team
    domain.boot(name)
    domain.advance(5)
    assert domain.keeper_name() == name
    assert limited_domains.TEAM not in second.limiter._keepers_by_team


def test_a_takeover_waits_for_a_silent_node_until_it_is_declared_dead():
    domain = member_domains.Domain(lease_scale=20.0)
    domain.advance(5)
    for node in domain.nodes_by_name.values():
        node.submit(LIMIT * 4)
    domain.advance(300)
    name = domain.keeper_name()
    dead_after = domain.nodes_by_name[name].heartbeats.times().dead_after
    domain.kill(name)
    steps = int(dead_after / limited_domains.STEP)
    assert run_under_load(domain, steps - 5) >= steps - 15
    run_under_load(domain, 5 + STEPS_PER_HEARTBEAT * MAX_HEARTBEATS)
    assert domain.running() == LIMIT

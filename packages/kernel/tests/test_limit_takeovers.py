"""Changes of the node that keeps a team's limit."""

import contextlib

import limited_domains
import member_domains
import pytest

from chiveridge_kernel import errors

HEARTBEATS = 2
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


def run(domain: member_domains.Domain, steps: int) -> int:
    """Replace tasks by others all the time; return how many steps ran below the limit."""
    short = 0
    for step in range(steps):
        nodes = list(domain.nodes_by_name.values())
        replace_one(nodes[step % len(nodes)])
        domain.advance(1)
        assert domain.running() <= LIMIT
        short += domain.running() < LIMIT
    return short


def replace_one(node: member_domains.Node) -> None:
    if node.running and not node.frozen:
        node.end(0)
    if not node.is_draining and not node.frozen:
        with contextlib.suppress(errors.RefusedError):
            node.submit(1)


def test_a_keeper_that_drains_costs_its_team_nothing_but_a_heartbeat(domain):
    keeper = domain.nodes_by_name[domain.keeper_name()]
    keeper.drain()
    assert run(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * HEARTBEATS


def test_a_keeper_that_has_exited_is_not_waited_for(domain):
    keeper = domain.nodes_by_name[domain.keeper_name()]
    for job in list(keeper.limiter._jobs_by_team["desk"]):
        keeper.limiter.give_up(job)
    keeper.limiter._jobs_by_team.clear()
    while keeper.running:
        keeper.end(0)
    keeper.drain()
    assert run(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * HEARTBEATS
    assert keeper.name not in domain.nodes_by_name


def test_a_keeper_that_is_replaced_is_not_waited_for(domain):
    name = domain.keeper_name()
    domain.kill(name)
    domain.boot(name)
    assert run(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * HEARTBEATS


def test_a_node_that_joins_takes_a_team_over_within_a_heartbeat(domain):
    name = domain.keeper_name()
    domain.kill(name)
    run(domain, 100)
    domain.boot(name)
    assert run(domain, STEPS_PER_HEARTBEAT * 8) <= STEPS_PER_HEARTBEAT * HEARTBEATS
    assert domain.keeper_name() == name


def test_a_silent_node_is_waited_for_as_long_as_it_may_start(domain):
    domain.kill(domain.keeper_name())
    assert run(domain, 38) >= 30
    assert run(domain, 20) <= 10


def test_a_paused_keeper_starts_nothing_on_what_it_had_before(domain):
    keeper = domain.nodes_by_name[domain.keeper_name()]
    in_use = len(keeper.running)
    keeper.sleep(200)
    domain.advance(195)
    assert domain.running() == LIMIT + in_use
    domain.advance(10)
    assert not keeper.frozen
    assert len(keeper.running) <= in_use
    for _ in range(in_use):
        keeper.end(0)
    assert domain.running() <= LIMIT
    assert run(domain, 100) <= 40

import limited_domains
import pytest

from chiveridge_kernel import errors, limits, results


@pytest.fixture
def domain() -> limited_domains.Domain:
    return limited_domains.Domain()


def test_one_node_may_use_the_whole_limit_and_runs_a_large_job_in_parts(domain):
    node = domain.nodes_by_name["e1"]
    node.submit(limited_domains.LIMIT * 4)
    ended_count = 0
    for _ in range(200):
        domain.advance(1)
        assert domain.running_count() <= limited_domains.LIMIT
        if len(node.running) == limited_domains.LIMIT:
            ended_count += 1
            node.end_task(0)
    assert ended_count == limited_domains.LIMIT * 4 - (limited_domains.LIMIT - 1)


def test_nodes_that_want_more_than_the_limit_get_even_shares(domain):
    for node in domain.nodes_by_name.values():
        node.submit(limited_domains.LIMIT * 4)
    domain.advance(100)
    assert sorted(len(node.running) for node in domain.nodes_by_name.values()) == [1, 2, 2]


def test_the_share_of_an_idle_node_moves_to_one_that_wants_it(domain):
    first, second, _ = domain.nodes_by_name.values()
    first.submit(limited_domains.LIMIT)
    domain.advance(60)
    second.submit(limited_domains.LIMIT)
    domain.advance(10)
    assert len(second.running) < limited_domains.LIMIT
    while first.running:
        first.end_task(0)
    domain.advance(10)
    assert len(second.running) == limited_domains.LIMIT


def test_a_team_with_a_long_queue_is_refused_at_once(domain):
    node = domain.nodes_by_name["e1"]
    node.submit(limited_domains.LIMIT * limits.MAX_QUEUED_PER_START)
    with pytest.raises(errors.RefusedError) as caught:
        node.submit(1)
    assert caught.value.code is results.ResultCode.QUOTA_EXCEEDED
    assert caught.value.retry_after_ms == limits.RETRY_AFTER_MS


def test_a_team_without_a_limit_is_never_held(domain):
    domain.limit = None
    node = domain.nodes_by_name["e1"]
    node.submit(1000)
    assert len(node.running) == 1000
    assert not domain.network


def test_removing_a_limit_starts_all_held_tasks(domain):
    node = domain.nodes_by_name["e1"]
    node.submit(limited_domains.LIMIT * 3)
    domain.limit = None
    domain.advance(60)
    assert len(node.running) == limited_domains.LIMIT * 3

"""Bytes per second of limit messages at the target number of nodes and teams."""

import datetime
import random

import busy_domains
import limited_domains
import member_domains
import pytest

from chiveridge_kernel import clocks, events, kernel_parts, kernels, limit_outboxes, vms

CONTROL_BYTES_PER_SECOND = 3000
HEARTBEAT_BYTES_PER_SECOND = 2600
NODE_COUNT = 18
WARM_UP_STEPS = 600
MEASURED_STEPS = 600
JOBS_SUBMITTED_PER_STEP = 6


@pytest.fixture
def names() -> tuple[str, ...]:
    return tuple(f"ikeja-e{number:02}" for number in range(1, NODE_COUNT + 1))


def test_limits_of_160_busy_teams_stay_within_the_control_budget(names):
    busy = busy_domains.BusyDomain(limited_domains.Domain(names))
    busy.run(WARM_UP_STEPS, JOBS_SUBMITTED_PER_STEP)
    busy.domain.sent_bytes_by_name.clear()
    busy.started_count = 0
    busy.run(MEASURED_STEPS, JOBS_SUBMITTED_PER_STEP)
    seconds = MEASURED_STEPS * limited_domains.STEP.total_seconds()
    max_bytes_per_second = max(busy.domain.sent_bytes_by_name.values()) / seconds
    assert max_bytes_per_second + HEARTBEAT_BYTES_PER_SECOND <= CONTROL_BYTES_PER_SECOND
    # The budget must not keep the teams from using their limits.
    assert busy.domain.running_count() >= 0.95 * busy_domains.TEAMS * limited_domains.LIMIT
    assert busy.started_count > MEASURED_STEPS * JOBS_SUBMITTED_PER_STEP / 2


def test_a_kernel_gives_limits_the_bytes_that_heartbeats_leave(names):
    settings = kernel_parts.KernelSettings(
        node=names[0], domain="ikeja", incarnation="a", secret=b"s" * 32
    )
    kernel = kernels.Kernel(settings, random.Random(1))
    listing = vms.VmList(1, [limited_domains.listed_vm(name) for name in names])
    kernel.handle(events.VmsListed(listing=listing), clocks.EPOCH)
    limit_bytes_per_second = kernel.dispatcher.limiter.bytes_per_second
    assert 0 < limit_bytes_per_second <= CONTROL_BYTES_PER_SECOND - HEARTBEAT_BYTES_PER_SECOND


def test_peers_are_served_in_order_when_the_budget_is_short():
    outbox = limit_outboxes.Outbox()
    outbox.bytes_per_second = 100
    for name in ("e1", "e2", "e1"):
        outbox.add_report(name, limited_domains.TEAM)
    assert outbox.pop_next(clocks.EPOCH)[0] == "e1"
    outbox.spend(limit_outboxes.BURST_BYTES + 100)
    outbox.add_report("e1", limited_domains.TEAM)
    assert outbox.pop_next(clocks.EPOCH) is None
    due = outbox.next_send_at()
    assert due - clocks.EPOCH >= datetime.timedelta(seconds=1)
    assert [outbox.pop_next(due)[0], outbox.pop_next(due)[0]] == ["e2", "e1"]
    assert outbox.next_send_at() is None


def total_allowance(domain: limited_domains.Domain, team: str) -> int:
    shares = [node.limiter._shares_by_team.get(team) for node in domain.nodes_by_name.values()]
    now = domain.now()
    return sum(share.allowed for share in shares if share is not None and now < share.valid_until)


def test_an_allocator_that_drains_at_the_target_size_is_replaced_within_two_heartbeats(names):
    domain = member_domains.Domain(names)
    busy = busy_domains.BusyDomain(domain)
    busy.run(WARM_UP_STEPS, JOBS_SUBMITTED_PER_STEP)
    allocator = domain.nodes_by_name[names[1]]
    allocator_selector = domain.nodes_by_name[names[0]].limiter._allocator_selector
    moved_teams = [
        team
        for team in busy_domains.team_names()
        if allocator_selector.allocator_for(team) == allocator.name
    ]
    assert moved_teams
    allocator.drain()
    domain.advance(int(2 * domain.heartbeat_interval() / limited_domains.STEP))
    allowances = [total_allowance(domain, team) for team in moved_teams]
    assert min(allowances) > 0
    assert sum(allowances) >= 0.95 * len(moved_teams) * limited_domains.LIMIT

import datetime
import random

import msgspec
import pytest

from chiveridge_kernel import (
    clocks,
    events,
    fair_shares,
    kernel_parts,
    kernels,
    lenders,
    records,
    slot_messages,
    slot_queues,
    vms,
)

LOUD = "loud"
QUIET = "quiet"
TEAMS = (LOUD, QUIET, "other")
TARGET = "t1"
SLOTS = 12
NODE = "e1"


def time_at(seconds: float) -> datetime.datetime:
    return clocks.EPOCH + datetime.timedelta(seconds=seconds)


def shares_of_eight() -> fair_shares.FairShares:
    """Return shares of 8 slots for each of two teams that hold none."""
    team_shares = fair_shares.FairShares()
    team_shares.divide(16, (LOUD, QUIET), {})
    for team in (LOUD, QUIET):
        team_shares.update_credit(team, 0, time_at(0))
    return team_shares


def excess_slots(
    team_shares: fair_shares.FairShares, team: str, held: int, seconds: float
) -> float:
    return team_shares.rank(team, held, time_at(seconds))[0]


def test_slots_are_divided_among_teams_that_wait_or_hold_slots():
    team_shares = fair_shares.FairShares()
    team_shares.divide(12, (LOUD,), {QUIET: 3, "absent": 0})
    assert excess_slots(team_shares, LOUD, 8, 0) == 2
    assert excess_slots(team_shares, QUIET, 6, 0) == 0


def test_a_team_that_left_part_of_its_share_unused_may_exceed_it_temporarily():
    team_shares = shares_of_eight()
    team_shares.update_credit(QUIET, 4, time_at(0.25))
    # Leaving 4 slots unused for 250 ms allows 2 slots over the share for 500 ms.
    assert excess_slots(team_shares, QUIET, 10, 0.74) == 0
    assert excess_slots(team_shares, QUIET, 10, 0.76) == 2
    assert excess_slots(team_shares, LOUD, 12, 0.76) == 4


def test_the_team_with_most_credit_ranks_first_among_teams_within_their_share():
    team_shares = shares_of_eight()
    team_shares.update_credit(QUIET, 4, time_at(0.25))
    team_shares.update_credit(LOUD, 7, time_at(0.25))
    now = time_at(0.25)
    assert team_shares.rank(QUIET, 10, now) < team_shares.rank(LOUD, 7, now)
    assert team_shares.rank("new", 0, now) < team_shares.rank("other", 9, now)


def test_teams_that_reach_the_credit_limit_rank_equal():
    team_shares = shares_of_eight()
    for team, held in ((QUIET, 1), (LOUD, 4)):
        team_shares.update_credit(team, held, time_at(10))
    assert team_shares.rank(QUIET, 1, time_at(10)) == team_shares.rank(LOUD, 4, time_at(10))


def test_credit_is_limited_to_one_second_of_the_share():
    team_shares = shares_of_eight()
    team_shares.update_credit(QUIET, 4, time_at(100))
    assert excess_slots(team_shares, QUIET, 16, 100.99) == 0
    assert excess_slots(team_shares, QUIET, 16, 101.01) == 8


def test_a_new_team_has_no_credit():
    team_shares = shares_of_eight()
    team_shares.update_credit("new", 0, time_at(5))
    assert excess_slots(team_shares, "new", 9, 5) == 1


def test_a_team_that_held_no_slots_past_the_expiry_time_loses_its_credit():
    team_shares = shares_of_eight()
    team_shares.update_credit(QUIET, 1, time_at(5))
    team_shares.update_credit(QUIET, 0, time_at(7))
    assert excess_slots(team_shares, QUIET, 9, 7) == 1


def test_a_team_that_held_no_slots_only_briefly_keeps_its_credit():
    team_shares = shares_of_eight()
    team_shares.update_credit(QUIET, 1, time_at(5))
    team_shares.update_credit(QUIET, 0, time_at(5.9))
    assert excess_slots(team_shares, QUIET, 9, 5.9) == 0


def configuration() -> dict:
    writes = [
        records.ObjectWrite(
            kind=records.ObjectKind.TEAM, name=team, team=records.TeamObject(name=team)
        )
        for team in TEAMS
    ]
    rule = records.RuleObject(name="all")
    writes.append(records.ObjectWrite(kind=records.ObjectKind.RULE, name="all", rule=rule))
    value = records.TargetObject(name=TARGET, approved_teams=list(TEAMS))
    writes.append(records.ObjectWrite(kind=records.ObjectKind.TARGET, name=TARGET, target=value))
    change = records.ChangeRecord(change_id="1", actor="op", changed_at="now", writes=writes)
    return msgspec.to_builtins(change)


def listing() -> vms.VmList:
    address = {"domain": "ikeja", "address": "127.0.0.1"}
    node = vms.Vm(name=NODE, role=vms.VmRole.ENTRY, port=1, peer_port=2, **address)
    target = vms.Vm(
        name=TARGET,
        role=vms.VmRole.TARGET,
        port=3,
        slots=SLOTS,
        memory_mb=1024,
        cores=8,
        **address,
    )
    return vms.VmList(1, [node, target])


class Owner:
    """The lender of a node that owns every target, called in the same way as by its policy."""

    def __init__(self):
        settings = kernel_parts.KernelSettings(
            node=NODE, domain="ikeja", incarnation="a", secret=b"k", policy="owners"
        )
        self.clock = clocks.ManualClock()
        kernel = kernels.Kernel(settings, random.Random(1))
        kernel.handle(events.RecordsRead(records=[(0, configuration())]), self.clock.now())
        kernel.handle(events.VmsListed(listing=listing()), self.clock.now())
        self.advance(1.0)
        kernel.handle(events.Ticked(), self.clock.now())
        self.lender: lenders.Lender = kernel.dispatcher.policy.lender

    def advance(self, seconds: float) -> None:
        self.clock.advance(datetime.timedelta(seconds=seconds))

    def lend(self, team: str, count: int) -> None:
        query = slot_queues.TargetQuery(team, "")
        loan = self.lender.lend(NODE, query, count, 0.0, self.clock.now())
        assert len(loan.names) == count

    def release(self, team: str) -> None:
        self.lender.release(
            NODE, slot_messages.SlotEnd(TARGET, team, "succeeded"), self.clock.now()
        )

    def queue_request(self, team: str, due_ms: int) -> None:
        request = slot_queues.WaitingRequest(
            node=NODE,
            demand_id=due_ms,
            query=slot_queues.TargetQuery(team, ""),
            arrived_at_ms=due_ms,
            due_ms=due_ms,
            wanted=1,
        )
        self.lender.queue_request(request, self.clock.now())

    def serve_queue(self) -> list[str]:
        """Lend free slots to queued requests; return the teams that were granted any."""
        return [request.query.team for request, _ in self.lender.serve_queue(self.clock.now())]


@pytest.fixture
def owner() -> Owner:
    return Owner()


def test_a_burst_of_a_team_with_credit_is_served_before_a_team_always_over_its_share(owner):
    owner.lend("loud", 5)
    owner.lend("quiet", 1)
    owner.advance(1.0)
    owner.lend("quiet", 4)
    owner.lend("other", 2)
    owner.queue_request("loud", due_ms=1)
    owner.queue_request("quiet", due_ms=2)
    owner.advance(0.1)
    owner.release("other")
    assert owner.serve_queue() == ["quiet"]


def test_a_lasting_burst_is_served_like_any_team_over_its_share(owner):
    owner.lend("loud", 5)
    owner.lend("quiet", 5)
    owner.lend("other", 2)
    owner.queue_request("loud", due_ms=1)
    owner.queue_request("quiet", due_ms=2)
    owner.serve_queue()
    owner.advance(5.0)
    owner.release("other")
    assert owner.serve_queue() == ["loud"]

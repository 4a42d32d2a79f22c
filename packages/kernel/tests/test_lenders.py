"""The lender of a node that owns every target, called as its policy calls it."""

import datetime
import random

import msgspec
import pytest

from chiveridge_kernel import clocks, events, kernels, lenders, peers, records, slotqueues, vms

TEAMS = ("loud", "quiet", "other")
TARGET = "t1"
SLOTS = 12
NODE = "e1"


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
    """A lender with its clock."""

    def __init__(self):
        settings = kernels.KernelSettings(
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
        query = slotqueues.Query(team, "")
        loan = self.lender.lend(NODE, query, count, 0.0, self.clock.now())
        assert len(loan.names) == count

    def end(self, team: str) -> None:
        self.lender.ended(NODE, peers.SlotEnd(TARGET, team, "succeeded"), self.clock.now())

    def wait(self, team: str, due_ms: int) -> None:
        waiting = slotqueues.Waiting(
            node=NODE,
            demand_id=due_ms,
            query=slotqueues.Query(team, ""),
            arrived_at_ms=due_ms,
            due_ms=due_ms,
            wanted=1,
        )
        self.lender.queue_request(waiting, self.clock.now())

    def serve(self) -> list[str]:
        """Return the teams that were granted a slot."""
        return [waiting.query.team for waiting, _ in self.lender.serve_queue(self.clock.now())]


@pytest.fixture
def owner() -> Owner:
    return Owner()


def test_a_surge_of_a_team_within_its_share_goes_before_a_team_that_is_always_over(owner):
    owner.lend("loud", 5)
    owner.lend("quiet", 1)
    owner.advance(1.0)
    owner.lend("quiet", 4)
    owner.lend("other", 2)
    owner.wait("loud", due_ms=1)
    owner.wait("quiet", due_ms=2)
    owner.advance(0.1)
    owner.end("other")
    assert owner.serve() == ["quiet"]


def test_a_surge_that_lasts_is_served_like_any_team_over_its_share(owner):
    owner.lend("loud", 5)
    owner.lend("quiet", 5)
    owner.lend("other", 2)
    owner.wait("loud", due_ms=1)
    owner.wait("quiet", due_ms=2)
    owner.serve()
    owner.advance(5.0)
    owner.end("other")
    assert owner.serve() == ["loud"]

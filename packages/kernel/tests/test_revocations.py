import datetime
import random

import pytest

from chiveridge_kernel import (
    actions,
    clocks,
    configurations,
    errors,
    events,
    identifiers,
    kernel_parts,
    kernels,
    messages,
    placements,
    records,
    results,
    slot_messages,
    vms,
)

LeaseOutcome = events.LeaseOutcome
TaskOutcome = results.TaskOutcome
TEAM = identifiers.TeamName("ikeja")
DIGEST = "0" * 64
MAX_RUNNING = 2


class TwoAtOncePolicy(placements.Policy):
    """Starts at most two tasks of a job at a time, so that the others wait."""

    def place_tasks(self, job, now):
        while job.waiting and len(job.running_tasks()) < MAX_RUNNING:
            task = job.waiting[0]
            found = self.starter.usable_targets(job, task)
            if not found:
                return
            self.starter.start(task, found[0], now)


placements.register("two_at_once")(TwoAtOncePolicy)


class System:
    """A kernel with two targets of one team, and a job of four tasks."""

    def __init__(self, policy="two_at_once", slots=8):
        self.clock = clocks.ManualClock()
        settings = kernel_parts.KernelSettings(
            node="e1", domain="d", incarnation="i1", secret=b"s", policy=policy
        )
        self.kernel = kernels.Kernel(settings, random.Random(4))
        self.performed = []
        found = [
            vms.Vm(
                name=name,
                role=vms.VmRole.TARGET,
                domain="d",
                address="127.0.0.1",
                port=1,
                slots=slots,
                cores=cores,
            )
            for name, cores in (("t1", 64), ("t2", 16))
        ]
        self.handle(events.VmsListed(listing=vms.VmList(1, found)))
        self.write_object(records.TeamObject(name=TEAM, key_digests=[DIGEST]))
        self.write_object(records.TargetObject(name="t1", approved_teams=[TEAM]))
        self.write_object(records.TargetObject(name="t2", approved_teams=[TEAM]))
        self.write_object(records.RuleObject(name="all"))

    def handle(self, event):
        self.performed += self.kernel.handle(event, self.clock.now())

    def write_object(self, value, kind=None, name=None):
        kind = kind or records.ObjectKind(type(value).__name__.removesuffix("Object").lower())
        name = name or value.name
        configuration = self.kernel.configuration
        write = records.ObjectWrite(
            kind=kind,
            name=name,
            based_on=configuration.revision_of(kind, name),
            **{kind.value: value},
        )
        offset = configuration.offset
        change = records.ChangeRecord(
            change_id=str(offset), actor="ada", changed_at="", writes=[write]
        )
        pairs = [(offset, configurations.encode_change(change))]
        self.handle(events.RecordsRead(records=pairs))

    def submit(self):
        submission_id = self.kernel.admissions.issue(TEAM, 1, self.clock.now()).submission_ids[0]
        submission = messages.Submission(
            submission_id=submission_id, tasks=[messages.TaskSpec()] * 4, deadline_ms=60_000
        )
        self.handle(events.SubmissionReceived(team=TEAM, submission=submission, digest=b"d"))

    def starts(self):
        return [action for action in self.performed if isinstance(action, actions.StartTask)]

    def withdrawn(self):
        found = [action for action in self.performed if isinstance(action, actions.WithdrawStart)]
        return {action.lease_id for action in found}

    def report(self, start, outcome, reason=""):
        self.handle(events.LeaseReported(lease_id=start.lease_id, outcome=outcome, reason=reason))

    def demand(self):
        """Return the one demand for slots of the owners policy."""
        demands = self.kernel.dispatcher.policy.borrower.table.demands_by_id.values()
        [found] = [demand for demand in demands if demand.wanted]
        return found

    def answers(self):
        return [action.answer for action in self.performed if isinstance(action, actions.AnswerJob)]


@pytest.fixture
def system():
    new_system = System()
    new_system.submit()
    assert [start.target.name for start in new_system.starts()] == ["t1", "t1"]
    return new_system


def remove_all_approvals(system):
    system.write_object(records.TargetObject(name="t2"))
    system.write_object(records.TargetObject(name="t1"))


REVOCATIONS = [
    remove_all_approvals,
    lambda system: system.write_object(records.TeamObject(name=TEAM)),
    lambda system: system.write_object(None, records.ObjectKind.TEAM, TEAM),
    lambda system: system.write_object(None, records.ObjectKind.RULE, "all"),
]


@pytest.mark.promise("configuration_in_force")
@pytest.mark.parametrize("revoke", REVOCATIONS)
def test_no_further_task_starts_and_running_tasks_end(system, revoke):
    first, second = system.starts()
    revoke(system)
    assert system.withdrawn() == {first.lease_id, second.lease_id}
    assert system.answers() == []
    system.report(first, LeaseOutcome.SUCCEEDED)
    system.report(second, LeaseOutcome.REFUSED, actions.WITHDRAWN)
    system.clock.advance(datetime.timedelta(seconds=5))
    system.handle(events.Ticked())
    assert len(system.starts()) == 2
    [answer] = system.answers()
    assert (answer.state, answer.code) == (
        results.JobState.FAILED,
        results.ResultCode.APPROVAL_REVOKED,
    )
    assert "nothing more of this job was started" in answer.message
    outcomes = [task.outcome for task in answer.tasks]
    assert outcomes == [
        TaskOutcome.SUCCEEDED,
        TaskOutcome.NOT_RUN,
        TaskOutcome.NOT_RUN,
        TaskOutcome.NOT_RUN,
    ]
    assert not answer.may_resubmit


@pytest.mark.promise("configuration_in_force")
def test_a_job_continues_on_another_approved_target(system):
    first, second = system.starts()
    system.write_object(records.TargetObject(name="t1"))
    system.report(first, LeaseOutcome.REFUSED, actions.WITHDRAWN)
    for start in (second, *system.starts()[2:]):
        system.report(start, LeaseOutcome.SUCCEEDED)
    while not system.answers():
        system.handle(events.VmsListed(listing=system.kernel.catch_up.vm_list))
        pending = [s for s in system.starts() if s.lease_id in running_lease_ids(system)]
        system.report(pending[0], LeaseOutcome.SUCCEEDED)
    later = [start.target.name for start in system.starts()[2:]]
    assert later == ["t2", "t2", "t2"]
    assert system.answers()[0].code is results.ResultCode.COMPLETE


def running_lease_ids(system):
    [job] = system.kernel.dispatcher.jobs_by_id.values()
    return {task.lease_id for task in job.running_tasks()}


def test_a_job_whose_tasks_are_all_running_completes_after_a_revocation(system):
    starts = system.starts()
    system.report(starts[0], LeaseOutcome.SUCCEEDED)
    system.report(starts[1], LeaseOutcome.SUCCEEDED)
    system.handle(events.VmsListed(listing=system.kernel.catch_up.vm_list))
    assert len(system.starts()) == 4
    remove_all_approvals(system)
    for start in system.starts()[2:]:
        system.report(start, LeaseOutcome.SUCCEEDED)
    assert system.answers()[0].state is results.JobState.COMPLETE


def test_a_change_of_another_team_does_not_affect_the_job(system):
    system.write_object(records.TeamObject(name="lekki"))
    system.write_object(records.TargetObject(name="t3", approved_teams=["lekki"]))
    assert system.withdrawn() == set()
    [job] = system.kernel.dispatcher.jobs_by_id.values()
    assert not job.revocation_reason


def test_new_submissions_of_a_revoked_team_are_refused(system):
    remove_all_approvals(system)
    with pytest.raises(errors.RefusedError, match="not approved") as caught:
        system.submit()
    assert caught.value.code is results.ResultCode.NOT_APPROVED


@pytest.fixture
def lending_system():
    new_system = System("owners", slots=1)
    new_system.submit()
    assert {start.target.name for start in new_system.starts()} == {"t1", "t2"}
    return new_system


@pytest.mark.promise("configuration_in_force")
def test_waiting_tasks_are_not_started_after_a_revocation(lending_system):
    system = lending_system
    remove_all_approvals(system)
    for start in list(system.starts()):
        system.report(start, LeaseOutcome.SUCCEEDED)
    assert len(system.starts()) == 2
    [answer] = system.answers()
    assert answer.code is results.ResultCode.APPROVAL_REVOKED
    assert [task.outcome for task in answer.tasks].count(TaskOutcome.NOT_RUN) == 2


@pytest.mark.promise("configuration_in_force")
def test_a_slot_from_an_owner_unaware_of_the_revocation_is_not_used(lending_system):
    system = lending_system
    system.write_object(records.TargetObject(name="t2"))
    demand = system.demand()
    for name, count in (("t2", 2), ("t1", 3)):
        grant = slot_messages.SlotGrant(
            sender="e2", team=TEAM, demand_id=demand.demand_id, serial=1, targets=[name], free=0
        )
        system.handle(events.PeerMessageReceived(message=grant))
        assert len(system.starts()) == count


def test_a_slot_granted_after_the_revocation_is_not_used(lending_system):
    system = lending_system
    system.write_object(records.TargetObject(name="t2"))
    demand = system.demand()
    system.write_object(records.TargetObject(name="t1"))
    grant = slot_messages.SlotGrant(
        sender="e2", team=TEAM, demand_id=demand.demand_id, serial=1, targets=["t1"], free=0
    )
    system.handle(events.PeerMessageReceived(message=grant))
    assert len(system.starts()) == 2


def test_waiting_tasks_use_a_smaller_target_that_is_approved_later():
    system = System("owners", slots=1)
    system.write_object(records.TargetObject(name="t2"))
    system.submit()
    assert [start.target.name for start in system.starts()] == ["t1"]
    system.write_object(records.TargetObject(name="t2", approved_teams=[TEAM]))
    assert [start.target.name for start in system.starts()] == ["t1", "t2"]

import collections
import math

import pytest

from chiveridge_kernel import candidate_sets, clocks, demands, messages, slot_queues, vms
from chiveridge_kernel import jobs as jobs_module

TARGET = vms.Vm(
    name="t1", role=vms.VmRole.TARGET, domain="ikeja", address="127.0.0.1", port=1, memory_mb=64
)
MEAN_RUN_MS = 100.0


@pytest.fixture
def table() -> demands.DemandTable:
    return demands.DemandTable()


def new_job(team: str, memory_mb: tuple[int, ...] = (1,)) -> jobs_module.Job:
    submission = messages.Submission(
        submission_id="id", tasks=[messages.TaskSpec(memory_mb=amount) for amount in memory_mb]
    )
    return jobs_module.Job(team, submission, candidate_sets.Candidates((TARGET,)), clocks.EPOCH)


def test_tasks_that_fit_the_same_targets_form_one_demand(table):
    (demand,) = table.add(new_job("desk", (1, 20, 64)), MEAN_RUN_MS)
    assert demand.wanted == 3
    assert demand.query == slot_queues.TargetQuery("desk", "", 64, 0, 0)


def test_the_active_demands_of_a_team_are_limited(table):
    window = demands.RequestWindow()
    found = [
        table.add(new_job("burst"), MEAN_RUN_MS)[0]
        for _ in range(demands.MAX_ACTIVE_DEMANDS_PER_TEAM + 2)
    ]
    admitted = [demand for demand in found if window.admit(demand)]
    assert admitted == found[: demands.MAX_ACTIVE_DEMANDS_PER_TEAM]
    assert window.admit(table.add(new_job("quiet"), MEAN_RUN_MS)[0])
    assert window.admit(admitted[0])
    assert window.release(admitted[0]) is found[-2]
    assert window.release(admitted[0]) is None


def test_a_demand_whose_job_ended_in_the_backlog_is_skipped(table):
    window = demands.RequestWindow()
    found = [
        table.add(new_job("burst"), MEAN_RUN_MS)[0]
        for _ in range(demands.MAX_ACTIVE_DEMANDS_PER_TEAM + 2)
    ]
    admitted = collections.deque(demand for demand in found if window.admit(demand))
    found[-2].job.has_ended = True
    assert window.release(admitted[0]) is found[-1]


def test_the_smaller_of_two_jobs_that_arrive_together_is_due_first(table):
    (small,) = table.add(new_job("desk", (1,)), MEAN_RUN_MS)
    (large,) = table.add(new_job("desk", (1,) * 8), MEAN_RUN_MS)
    assert small.due_ms == small.arrived_at_ms
    assert large.due_ms - small.due_ms == int(demands.LENGTH_WEIGHT * MEAN_RUN_MS * math.log(8))


class CountingCandidates(candidate_sets.Candidates):
    """Counts the calls of ``minimum_capacity``, one for each task that is put into a demand."""

    def __init__(self, found):
        super().__init__(found)
        self.minimum_capacity_calls = 0

    def minimum_capacity(self, task):
        self.minimum_capacity_calls += 1
        return super().minimum_capacity(task)


def test_a_requeued_task_is_added_without_regrouping_the_others(table):
    job = new_job("desk", (1,) * 740)
    job.candidates = CountingCandidates((TARGET,))
    (demand,) = table.add(job, MEAN_RUN_MS)
    for _ in range(10):
        task = demand.tasks.popleft()
        job.waiting.remove(task)
        job.waiting.append(task)
        assert table.add(job, MEAN_RUN_MS) == [demand]
    assert list(demand.tasks) == list(job.waiting)
    assert job.candidates.minimum_capacity_calls == 740 + 10


def test_waiting_tasks_are_regrouped_when_the_candidate_targets_change(table):
    job = new_job("desk", (1, 20))
    (before,) = table.add(job, MEAN_RUN_MS)
    smaller = vms.Vm(
        name="t2", role=vms.VmRole.TARGET, domain="ikeja", address="127.0.0.1", port=2, memory_mb=16
    )
    job.candidates = candidate_sets.Candidates((TARGET, smaller))
    small, large = sorted(table.add(job, MEAN_RUN_MS), key=lambda demand: demand.query.memory_mb)
    assert (small.wanted, large.wanted) == (1, 1)
    assert before is large

"""Job requests as submitted, and the state of jobs, steps, tasks and runs in progress."""

import datetime
import functools

import msgspec

from chiveridge_pool import end_proofs, identifiers, resources

MAX_TASKS = 4096
"""Maximum number of tasks in a job; the design size is 740."""

ISOLATED_PROBATION = datetime.timedelta(milliseconds=150)
"""Time after the start of an isolated task before the next one of its job; crashes show sooner."""

_CORES_PER_ACCELERATOR = 8
_MIN_SECONDS = 0.001
_MIN_CORES = 0.001
_ZERO_DURATION = datetime.timedelta()


class StepRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Identical tasks, which may start once all tasks of the steps in ``depends_on`` are done.

    ``label`` is a label that the target must have. ``rack`` is the label of the racks near the
    data; on other racks a task takes ``remote_factor`` times as long. ``per_target`` limits how
    many tasks of the step run on one target at a time; 0 means no limit.
    """

    count: int
    size: resources.Resources
    estimate: datetime.timedelta
    depends_on: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    remote_factor: float = 1.0
    per_target: int = 0

    def work(self) -> float:
        """Return the declared work in core-seconds; an accelerator counts as 8 cores."""
        cores = self.size.cpu / 1000 + _CORES_PER_ACCELERATOR * self.size.accelerators
        seconds = max(self.estimate.total_seconds(), _MIN_SECONDS)
        return self.count * max(cores, _MIN_CORES) * seconds


class JobRequest(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """A job as submitted; each of its steps depends on earlier steps only.

    The response time objective is ``objective_base`` plus ``objective_factor`` times the declared
    time of the longest chain of steps. ``caller_timeout`` is how long the caller waits for the
    answer.
    """

    id: identifiers.JobId
    queue: identifiers.QueueName
    service: identifiers.ServiceName
    spec: str
    steps: tuple[StepRequest, ...]
    caller_timeout: datetime.timedelta
    priority: int = 0
    max_attempts: int = 1
    objective_factor: float = 1.0
    objective_base: datetime.timedelta = _ZERO_DURATION

    @functools.cached_property
    def count(self) -> int:
        """Number of tasks in all steps."""
        return sum(step.count for step in self.steps)

    @functools.cached_property
    def work(self) -> float:
        """Declared work of all steps, in core-seconds."""
        return sum(step.work() for step in self.steps)

    @functools.cached_property
    def remaining_times_by_step(self) -> tuple[datetime.timedelta, ...]:
        """Declared time from the start of each step to the end of all steps that depend on it."""
        time_after_step = [_ZERO_DURATION] * len(self.steps)
        remaining_times_by_step = list(time_after_step)
        for number in range(len(self.steps) - 1, -1, -1):
            remaining_times_by_step[number] = self.steps[number].estimate + time_after_step[number]
            for earlier in self.steps[number].depends_on:
                time_after_step[earlier] = max(
                    time_after_step[earlier], remaining_times_by_step[number]
                )
        return tuple(remaining_times_by_step)

    @functools.cached_property
    def estimate(self) -> datetime.timedelta:
        """Declared time of the longest chain of dependent steps."""
        return max(self.remaining_times_by_step)

    def objective(self) -> datetime.timedelta:
        """Return the response time objective."""
        return self.objective_base + self.objective_factor * self.estimate


class Task:
    """One task of a job in progress."""

    __slots__ = ("attempts", "avoided_targets", "index", "isolated_since", "run_number", "step")

    def __init__(self, step: "Step", index: int):
        self.step = step
        self.index = index
        self.attempts = 0
        self.run_number = 0
        self.avoided_targets: set[identifiers.TargetId] = set()
        # Since when it waits for a target on which nothing else runs; None otherwise.
        self.isolated_since: datetime.datetime | None = None


class Run:
    """One attempt to run a task, under one grant."""

    __slots__ = (
        "end_proof",
        "executable_until",
        "grant",
        "is_isolated",
        "job",
        "listed_at",
        "moved_at",
        "number",
        "owner",
        "sequence",
        "started_at",
        "stopped_at",
        "target",
        "task",
        "token",
    )

    def __init__(
        self,
        job: "Job",
        task: Task,
        grant: identifiers.GrantId,
        owner: identifiers.NodeId,
        target: identifiers.TargetId,
        token: identifiers.FencingToken,
        sequence: int,
        started_at: datetime.datetime,
        *,
        is_isolated: bool = False,
    ):
        self.job = job
        self.task = task
        self.number = task.run_number
        self.grant = grant
        self.owner = owner
        self.target = target
        self.token = token
        self.sequence = sequence
        self.started_at = started_at
        # When an owner last listed the run in a heartbeat, or was asked to start it.
        self.listed_at = started_at
        self.is_isolated = is_isolated
        # When the target was handed over, or its owner no longer had it; None while an owner
        # lists the run.
        self.moved_at: datetime.datetime | None = None
        # Until when the target may execute an attempt of its start that got no reply, if any.
        self.executable_until: datetime.datetime | None = None
        # When the owner was last asked to stop the run.
        self.stopped_at: datetime.datetime | None = None
        # Why it counts as ended; None while it has not, or if its owner did not tell.
        self.end_proof: end_proofs.EndProof | None = None


class CapacityDemand:
    """Waiting tasks of a step, with the capacity requested from each owner of targets.

    Those of an isolated demand start only where nothing else runs.
    """

    def __init__(self, number: int, request: StepRequest, *, is_isolated: bool = False):
        self.number = number
        self.request = request
        self.is_isolated = is_isolated
        # In reverse order, as tasks are taken from the end.
        self.waiting_tasks: list[Task] = []
        # Number of tasks for which each owner was asked for capacity and has not granted it yet.
        self.requested_by_owner: dict[identifiers.NodeId, int] = {}
        # Owners that had less free capacity than requested when they were last asked.
        self.short_owners: set[identifiers.NodeId] = set()
        # When all owners are to be asked; None after that.
        self.request_all_at: datetime.datetime | None = None
        # The priority group of the job in the last request.
        self.priority_group: int | None = None

    def avoided_targets(self) -> tuple[identifiers.TargetId, ...]:
        """Return the targets on which none of the waiting tasks may run."""
        avoided = [task.avoided_targets for task in self.waiting_tasks]
        return tuple(sorted(set.intersection(*avoided))) if avoided and all(avoided) else ()


class Step(CapacityDemand):
    """A step of a job in progress.

    Tasks that may crash their targets wait in ``isolated``; those in ``held_tasks`` wait until it
    is known whether they have.
    """

    def __init__(self, number: int, request: StepRequest):
        super().__init__(number, request)
        self.waiting_tasks = [Task(self, index) for index in range(request.count - 1, -1, -1)]
        self.done_count = 0
        self.isolated = CapacityDemand(number, request, is_isolated=True)
        self.held_tasks: list[Task] = []

    def isolate(self, task: Task, now: datetime.datetime, *, is_last: bool) -> None:
        """Let a task wait for a target on which nothing else runs, ``is_last`` after others."""
        task.isolated_since = now
        position = 0 if is_last else len(self.isolated.waiting_tasks)
        self.isolated.waiting_tasks.insert(position, task)

    def is_done(self) -> bool:
        """Tell whether all tasks of the step are done."""
        return self.done_count == self.request.count


class Job:
    """A job in progress; ``followers`` are other nodes with callers that wait for its answer."""

    def __init__(self, request: JobRequest, caller: identifiers.CallerId, now: datetime.datetime):
        self.request = request
        self.callers = {caller}
        self.followers: set[identifiers.NodeId] = set()
        self.arrived_at = now
        self.deadline = now + request.caller_timeout
        self.steps = [Step(number, step) for number, step in enumerate(request.steps)]
        self.runs_by_grant: dict[identifiers.GrantId, Run] = {}
        self.has_started = False
        self.has_ended = False
        # A node that had the job before and has confirmed that it does not have it any more.
        self.former_leader: identifiers.NodeId | None = None

    def task_name(self, task: Task) -> identifiers.TaskName:
        """Return the name that identifies the task on targets."""
        return identifiers.TaskName(f"{self.request.id}.0.{task.step.number}.{task.index}")

    def objective(self) -> datetime.timedelta:
        """Return the response time objective."""
        return self.request.objective()

    def find_demand(self, step: int, *, is_isolated: bool) -> CapacityDemand:
        """Return the demand of a step for its ordinary or its isolated tasks."""
        return self.steps[step].isolated if is_isolated else self.steps[step]

    def demands(self) -> list[CapacityDemand]:
        """Return the demands of all steps."""
        return [demand for step in self.steps for demand in (step, step.isolated)]

    def startable_demands(self) -> list[CapacityDemand]:
        """Return the demands with waiting tasks whose steps' dependencies are all done."""
        return [
            demand
            for step in self.steps
            for demand in (step, step.isolated)
            if demand.waiting_tasks and self._may_start(step)
        ]

    def _may_start(self, step: Step) -> bool:
        return all(self.steps[earlier].is_done() for earlier in step.request.depends_on)

    def done_count(self) -> int:
        """Return the number of tasks that are done."""
        return sum(step.done_count for step in self.steps)

    def is_done(self) -> bool:
        """Tell whether all tasks are done."""
        return all(step.is_done() for step in self.steps)

    def probation_ends_at(self, now: datetime.datetime) -> datetime.datetime | None:
        """Return until when another isolated task has to wait, or None if one may start.

        One after the other, tasks of a job that crash their targets crash fewer of them.
        """
        ends = (
            run.started_at + ISOLATED_PROBATION
            for run in self.runs_by_grant.values()
            if run.is_isolated
        )
        latest = max(ends, default=now)
        return latest if latest > now else None

    def waiting_count(self) -> int:
        """Return the number of tasks that are neither running nor done."""
        return sum(len(demand.waiting_tasks) for demand in self.demands()) + self.held_count()

    def held_count(self) -> int:
        """Return the number of tasks that are held until it is known whether they may start."""
        return sum(len(step.held_tasks) for step in self.steps)

    def remaining_time(self) -> datetime.timedelta:
        """Return the declared time from starting the waiting tasks to the end of the job."""
        remaining_times_by_step = self.request.remaining_times_by_step
        waiting = [
            remaining_times_by_step[demand.number]
            for demand in self.demands()
            if demand.waiting_tasks
        ]
        waiting += [remaining_times_by_step[s.number] for s in self.steps if s.held_tasks]
        return max(waiting, default=_ZERO_DURATION)

"""Jobs as callers hand them in, and their tasks while they run."""

import datetime

import msgspec

from chiveridge_pool import identifiers, resources

MAX_TASKS = 4096
"""Most tasks of a job; the target size has 740."""

_CORES_PER_ACCELERATOR = 8
_SHORTEST_SECONDS = 0.001
_SMALLEST_CORES = 0.001


class JobRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One job of equal tasks.

    ``objective_base`` and ``stretch`` give the response time asked for: the base plus the
    stretch times the work. ``patience`` is how long the caller waits.
    """

    id: identifiers.JobId
    queue: identifiers.QueueName
    service: identifiers.ServiceName
    spec: str
    count: int
    size: resources.Resources
    estimate: datetime.timedelta
    patience: datetime.timedelta
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_base: datetime.timedelta = datetime.timedelta()
    label: str = ""
    rack: str = ""
    per_target: int = 0

    def work(self) -> float:
        """Return the declared work, in seconds of a core; an accelerator counts as 8 cores."""
        cores = self.size.cpu / 1000 + _CORES_PER_ACCELERATOR * self.size.accelerators
        seconds = max(self.estimate.total_seconds(), _SHORTEST_SECONDS)
        return self.count * max(cores, _SMALLEST_CORES) * seconds


class Task:
    """One task of a job in progress."""

    __slots__ = ("attempts", "avoided", "index", "run")

    def __init__(self, index: int):
        self.index = index
        self.attempts = 0
        self.run = 0
        self.avoided: set[identifiers.TargetId] = set()


class Run:
    """One start of a task, under one grant."""

    __slots__ = (
        "grant",
        "job",
        "moved_at",
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
    ):
        self.job = job
        self.task = task
        self.grant = grant
        self.owner = owner
        self.target = target
        self.token = token
        self.sequence = sequence
        self.started_at = started_at
        self.moved_at: datetime.datetime | None = None
        self.stopped_at: datetime.datetime | None = None


class Job:
    """One job in progress."""

    def __init__(self, request: JobRequest, caller: identifiers.CallerId, now: datetime.datetime):
        self.request = request
        self.callers = {caller}
        self.arrived_at = now
        self.deadline = now + request.patience
        self.tasks = [Task(index) for index in range(request.count)]
        self.waiting = list(reversed(self.tasks))
        self.runs_by_grant: dict[identifiers.GrantId, Run] = {}
        self.done = 0
        self.has_started = False
        self.is_over = False
        self.asked: dict[identifiers.NodeId, int] = {}
        self.widen_at: datetime.datetime | None = None
        self.standing: int | None = None

    def name_of(self, task: Task) -> identifiers.TaskName:
        """Return the name under which a target knows the task."""
        return identifiers.TaskName(f"{self.request.id}.0.0.{task.index}")

    def objective(self) -> datetime.timedelta:
        """Return the response time that is asked for."""
        return self.request.objective_base + self.request.stretch * self.request.estimate

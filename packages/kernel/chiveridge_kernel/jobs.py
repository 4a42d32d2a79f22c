"""Jobs and their tasks, with the state table that every task follows."""

import collections
import datetime
import enum

import msgspec

from chiveridge_kernel import candidate_sets, clocks, errors, identifiers, messages, results, vms


class TaskState(enum.Enum):
    """Life of a task; a task is started at most once, unless its start is proved not to be."""

    WAITING = "waiting"
    STARTED = "started"
    SUCCEEDED = "succeeded"
    RAN = "ran"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class TaskSignal(enum.Enum):
    """What can happen to a task."""

    START = "start"
    NOT_STARTED = "not_started"
    SUCCEED = "succeed"
    FAIL = "fail"
    LOSE = "lose"
    GIVE_UP = "give_up"


_TRANSITIONS = {
    (TaskState.WAITING, TaskSignal.START): TaskState.STARTED,
    (TaskState.WAITING, TaskSignal.GIVE_UP): TaskState.NOT_RUN,
    (TaskState.STARTED, TaskSignal.NOT_STARTED): TaskState.WAITING,
    (TaskState.STARTED, TaskSignal.SUCCEED): TaskState.SUCCEEDED,
    (TaskState.STARTED, TaskSignal.FAIL): TaskState.RAN,
    (TaskState.STARTED, TaskSignal.LOSE): TaskState.UNKNOWN,
    (TaskState.STARTED, TaskSignal.GIVE_UP): TaskState.UNKNOWN,
}

OUTCOMES_BY_STATE = {
    TaskState.SUCCEEDED: results.TaskOutcome.SUCCEEDED,
    TaskState.RAN: results.TaskOutcome.RAN,
    TaskState.UNKNOWN: results.TaskOutcome.UNKNOWN,
    TaskState.NOT_RUN: results.TaskOutcome.NOT_RUN,
}


class TransitionError(errors.ChiveridgeError):
    """A task was told something that cannot happen in its state."""


class Task:
    """One task of a job and the start it holds.

    ``is_unsent`` tells that the start is known to wait for a connection,
    ``is_connection_lost`` that its connection was lost, ``is_query_pending`` that a question
    about it is on its way.
    """

    __slots__ = (
        "attempts",
        "index",
        "is_counted",
        "is_query_pending",
        "is_connection_lost",
        "is_unsent",
        "job",
        "lease_id",
        "lost_reports",
        "probe_delay",
        "reason",
        "result",
        "run_ms",
        "spec",
        "start_before",
        "started_at",
        "state",
        "target",
    )

    def __init__(self, job: "Job", index: int, spec: messages.TaskSpec):
        self.job = job
        self.index = index
        self.spec = spec
        self.state = TaskState.WAITING
        self.attempts = 0
        self.is_counted = False
        self.lost_reports = 0
        self.is_query_pending = False
        self.is_connection_lost = False
        self.is_unsent = False
        self.probe_delay = datetime.timedelta()
        self.lease_id: identifiers.LeaseId | None = None
        self.target: vms.Vm | None = None
        self.started_at: datetime.datetime | None = None
        self.start_before: datetime.datetime | None = None
        self.run_ms = 0.0
        self.result = msgspec.Raw(b"null")
        self.reason = ""

    def signal(self, signal: TaskSignal) -> None:
        """Move to the next state.

        :raises TransitionError: when the state table has no such move.
        """
        next_state = _TRANSITIONS.get((self.state, signal))
        if next_state is None:
            raise TransitionError(
                f"task {self.index} cannot {signal.value} when {self.state.value}"
            )
        self.state = next_state

    def answer(self) -> messages.TaskAnswer:
        """Return what the caller is told of an ended task."""
        return messages.TaskAnswer(
            index=self.index,
            outcome=OUTCOMES_BY_STATE[self.state],
            target=self.target.name if self.target else "",
            run_ms=self.run_ms,
            result=self.result,
            reason=self.reason,
        )


class Job:
    """One submission while it runs; ``answer`` is set once and never changes.

    ``waiting`` are tasks to be placed, ``held`` those that its team's limit holds back.

    ``revocation`` says why nothing more of it may start; what runs then still ends by itself,
    and the job fails only if it ``was_cut_short``, that is, a task of it was never started.
    """

    def __init__(
        self,
        team: identifiers.TeamName,
        submission: messages.Submission,
        candidates: candidate_sets.Candidates,
        arrived_at: datetime.datetime,
    ):
        self.submission_id = identifiers.SubmissionId(submission.submission_id)
        self.team = team
        self.selector = submission.selector
        self.idempotent = submission.idempotent
        self.candidates = candidates
        self.arrived_at = arrived_at
        self.deadline = arrived_at + datetime.timedelta(milliseconds=submission.deadline_ms)
        self.tasks = [Task(self, index, spec) for index, spec in enumerate(submission.tasks)]
        self.waiting = collections.deque(self.tasks)
        self.held: collections.deque[Task] = collections.deque()
        self.unfinished_count = len(self.tasks)
        self.first_start_at: datetime.datetime | None = None
        self.ended = False
        self.revocation = ""
        self.was_cut_short = False

    def give_up_waiting(self) -> None:
        """Let no task be started any more."""
        for task in self.waiting:
            task.signal(TaskSignal.GIVE_UP)
        self.waiting.clear()

    def running_tasks(self) -> list[Task]:
        """Return the tasks that are started and have not ended."""
        return [task for task in self.tasks if task.state is TaskState.STARTED]

    def nothing_ran(self) -> bool:
        """Tell whether every task is proved not to have run."""
        return all(task.state is TaskState.NOT_RUN for task in self.tasks)

    def answer(
        self,
        state: results.JobState,
        code: results.ResultCode,
        message: str,
        now: datetime.datetime,
    ) -> messages.JobAnswer:
        """Return what the caller is told once every task has ended."""
        has_failed = state is results.JobState.FAILED
        queued = (self.first_start_at or now) - self.arrived_at
        return messages.JobAnswer(
            submission_id=self.submission_id,
            state=state,
            code=code,
            name=code.name,
            message=message,
            may_resubmit=has_failed and (self.idempotent or self.nothing_ran()),
            queued_ms=clocks.to_ms(queued),
            elapsed_ms=clocks.to_ms(now - self.arrived_at),
            tasks=[task.answer() for task in self.tasks],
        )

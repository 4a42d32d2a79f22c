"""Jobs, their tasks, and the state machine of a task."""

import collections
import datetime
import enum

import msgspec

from chiveridge_kernel import candidate_sets, clocks, errors, identifiers, messages, results, vms


class TaskState(enum.Enum):
    """State of a task.

    A task is started again only when its previous start is known not to have run.
    """

    WAITING = "waiting"
    STARTED = "started"
    SUCCEEDED = "succeeded"
    RAN = "ran"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class TaskSignal(enum.Enum):
    """Event that moves a task to another state."""

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
    """A signal is not valid in the current state of the task."""


class Task:
    """One task of a job, with its current start.

    ``is_unsent`` is set while the start is known to wait for a connection,
    ``is_connection_lost`` once its connection has failed, and ``is_query_pending`` while a query
    for its outcome is in flight. ``lost_reports`` counts connection failures since a target last
    reported the task as running.
    """

    __slots__ = (
        "attempts",
        "index",
        "counts_toward_limit",
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
        self.counts_toward_limit = False
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

        :raises TransitionError: when the signal is not valid in the current state.
        """
        next_state = _TRANSITIONS.get((self.state, signal))
        if next_state is None:
            raise TransitionError(
                f"task {self.index} cannot {signal.value} when {self.state.value}"
            )
        self.state = next_state

    def answer(self) -> messages.TaskAnswer:
        """Return the answer for this task, which must have ended."""
        return messages.TaskAnswer(
            index=self.index,
            outcome=OUTCOMES_BY_STATE[self.state],
            target=self.target.name if self.target else "",
            run_ms=self.run_ms,
            result=self.result,
            reason=self.reason,
        )


class Job:
    """A submission in progress; it gets exactly one final answer.

    ``waiting`` contains the tasks to be placed, ``held_tasks`` those that its team's limit holds
    back.

    ``revocation_reason`` is the reason why no further task may start, or empty. Running tasks of
    a revoked job run to their end; the job fails only if it ``was_cut_short``, that is, if a task
    was given up before it ran.
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
        self.held_tasks: collections.deque[Task] = collections.deque()
        self.unfinished_count = len(self.tasks)
        self.first_start_at: datetime.datetime | None = None
        self.has_ended = False
        self.revocation_reason = ""
        self.was_cut_short = False

    def give_up_waiting(self) -> None:
        """Give up the waiting tasks."""
        for task in self.waiting:
            task.signal(TaskSignal.GIVE_UP)
        self.waiting.clear()

    def running_tasks(self) -> list[Task]:
        """Return the tasks that were started and have not ended."""
        return [task for task in self.tasks if task.state is TaskState.STARTED]

    def nothing_ran(self) -> bool:
        """Return whether every task is known not to have run."""
        return all(task.state is TaskState.NOT_RUN for task in self.tasks)

    def answer(
        self,
        state: results.JobState,
        code: results.ResultCode,
        message: str,
        now: datetime.datetime,
    ) -> messages.JobAnswer:
        """Return the answer to the job, every task of which must have ended."""
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

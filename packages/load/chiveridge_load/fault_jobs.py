"""Seeded jobs of a fault run, and records of the replies that their callers received."""

import enum
import random

import msgspec

from chiveridge_kernel import messages, results

MAX_TASKS = 20
MIN_RUN_MS = 5
MAX_RUN_MS = 60
DEADLINE_MS = 6000


class Behaviour(enum.Enum):
    """What the caller does after submitting a job."""

    PLAIN = "plain"
    CANCELLED = "cancelled"
    RESUBMITTED = "resubmitted"
    TWICE_AT_ONCE = "twice_at_once"


_WEIGHTS_BY_BEHAVIOUR = {
    Behaviour.PLAIN: 5,
    Behaviour.CANCELLED: 1,
    Behaviour.RESUBMITTED: 2,
    Behaviour.TWICE_AT_ONCE: 2,
}


class JobPlan(msgspec.Struct, frozen=True):
    """One job to submit; the keys of its tasks are unique in the run."""

    behaviour: Behaviour
    idempotent: bool
    run_ms_by_key: dict[str, int]
    deadline_ms: int = DEADLINE_MS


class Attempt(msgspec.Struct, kw_only=True):
    """A request about a job and its reply: an answer, a refusal, or neither when it was lost."""

    method: str
    url: str
    answer: messages.JobAnswer | None = None
    refusal: messages.Refusal | None = None

    def is_final(self) -> bool:
        """Tell whether the reply is a final answer, or a refusal after which none is expected.

        That holds for every refusal but ``ISSUER_UNREACHABLE``, which is temporary.
        """
        if self.answer is not None:
            return self.answer.state is not results.JobState.RUNNING
        unreachable = results.ResultCode.ISSUER_UNREACHABLE
        return self.refusal is not None and self.refusal.code is not unreachable


class JobRecord(msgspec.Struct):
    """A job with all attempts of its caller, in the order in which they ended."""

    plan: JobPlan
    submission_id: str = ""
    attempts: list[Attempt] = []

    @property
    def keys(self) -> list[str]:
        """Return the keys of the tasks in order."""
        return list(self.plan.run_ms_by_key)

    def final_answers(self) -> list[messages.JobAnswer]:
        """Return the answers that contain the outcome of the job."""
        answers = [attempt.answer for attempt in self.attempts if attempt.answer is not None]
        return [answer for answer in answers if answer.state is not results.JobState.RUNNING]

    def refusals(self, method: str) -> list[messages.Refusal]:
        """Return the refusals of requests with an HTTP method."""
        refusals = [attempt.refusal for attempt in self.attempts if attempt.method == method]
        return [refusal for refusal in refusals if refusal is not None]


def generate_plans(rng: random.Random, count: int, deadline_ms: int = DEADLINE_MS) -> list[JobPlan]:
    """Return random plans for a number of jobs."""
    return [_generate_plan(rng, index, deadline_ms) for index in range(count)]


def _generate_plan(rng: random.Random, index: int, deadline_ms: int) -> JobPlan:
    behaviours = list(_WEIGHTS_BY_BEHAVIOUR)
    behaviour = rng.choices(behaviours, list(_WEIGHTS_BY_BEHAVIOUR.values()))[0]
    task_count = rng.randint(1, MAX_TASKS)
    run_ms_by_key = {
        f"job-{index}-task-{task}": rng.randint(MIN_RUN_MS, MAX_RUN_MS)
        for task in range(task_count)
    }
    return JobPlan(behaviour, rng.random() < 0.5, run_ms_by_key, deadline_ms)

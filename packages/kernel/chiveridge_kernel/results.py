"""Numbered result codes; ``docs/result-codes.md`` holds the table for users."""

import enum


class ResultCode(enum.IntEnum):
    """Outcome of a request or a job as reported to the caller.

    The thousands give the class: 0 success, 1 bad request, 2 refused by policy,
    3 temporarily refused, 4 failed after it was accepted.
    """

    COMPLETE = 0
    ACCEPTED = 1

    MALFORMED = 1001
    INVALID_FIELD = 1002
    TOO_LARGE = 1003
    TOO_MANY_TASKS = 1004
    BAD_CREDENTIALS = 1005
    UNKNOWN_SUBMISSION = 1006
    SUBMISSION_ID_EXPIRED = 1007
    SUBMISSION_ID_REUSED = 1008
    DEADLINE_TOO_LATE = 1009
    INVALID_SELECTOR = 1010
    NO_SUCH_PAGE = 1011

    NOT_APPROVED = 2001
    NO_SUCH_TARGET = 2002
    NEVER_RUNNABLE = 2003

    OVERLOADED = 3001
    QUOTA_EXCEEDED = 3002
    DRAINING = 3003
    NOT_READY = 3004
    ISSUER_UNREACHABLE = 3005
    DEADLINE_UNREACHABLE = 3006

    TASK_FAILED = 4001
    DEADLINE_EXCEEDED = 4002
    CANCELLED = 4003
    OUTCOME_UNKNOWN = 4004
    ISSUER_GONE = 4005
    APPROVAL_REVOKED = 4006
    ANSWER_NOT_KEPT = 4007
    NODE_STOPPED = 4008
    INTERNAL_ERROR = 4999


class TaskOutcome(enum.Enum):
    """Known outcome of a task when its job has ended."""

    SUCCEEDED = "succeeded"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class JobState(enum.Enum):
    """State of a job."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"

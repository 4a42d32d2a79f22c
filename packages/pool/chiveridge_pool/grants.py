"""Capacity granted to a job's node for one task, from reservation to end."""

import datetime

from chiveridge_pool import attempts, identifiers, resources, runs


class Grant:
    """A grant, as tracked by the owner of its target."""

    __slots__ = (
        "attempts",
        "beside_at_start",
        "state_changed_at",
        "estimate",
        "expires_at",
        "first_sent_at",
        "id",
        "is_confirmed_stopped",
        "is_isolated",
        "is_outdated",
        "is_start_confirmed",
        "job",
        "node",
        "percent",
        "progressed_at",
        "queue",
        "retry_by",
        "run",
        "running_since",
        "size",
        "spec",
        "state",
        "step",
        "stop_answer",
        "stop_sent_at",
        "stops_sent",
        "task",
        "token",
        "until_ms",
        "unanswered_told_at",
    )

    def __init__(
        self,
        grant: identifiers.GrantId,
        node: identifiers.NodeId,
        job: identifiers.JobId,
        step: int,
        queue: identifiers.QueueName,
        size: resources.Resources,
        estimate: datetime.timedelta,
        expires_at: datetime.datetime,
    ):
        self.id = grant
        self.node = node
        self.job = job
        self.step = step
        self.queue = queue
        self.size = size
        self.estimate = estimate
        self.running_since: datetime.datetime | None = None
        self.percent = 0
        self.progressed_at: datetime.datetime | None = None
        self.expires_at = expires_at
        self.state = runs.GrantState.RESERVED
        self.task = identifiers.TaskName("")
        self.run = identifiers.RunNumber(0)
        self.spec = ""
        self.until_ms = 0
        self.attempts = attempts.StartAttempts()
        self.first_sent_at = expires_at
        self.state_changed_at = expires_at
        # When its task is retried although the run may not have ended.
        self.retry_by = expires_at
        self.token = identifiers.FencingToken(0)
        # When the job's node was last told that an attempt is unanswered.
        self.unanswered_told_at: datetime.datetime | None = None
        self.stop_sent_at: datetime.datetime | None = None
        self.stops_sent = 0
        self.stop_answer: str | None = None
        self.is_confirmed_stopped = False
        # Whether the target rejects its run number, and so all further attempts.
        self.is_outdated = False
        # Whether the present incarnation of the target has certainly started it.
        self.is_start_confirmed = False
        self.is_isolated = False
        # Queues of the other runs on the target as it was granted.
        self.beside_at_start: frozenset[identifiers.QueueName] = frozenset()

    @property
    def key(self) -> tuple[identifiers.TaskName, identifiers.RunNumber]:
        """The task name and run number by which the target identifies the run."""
        return self.task, self.run

    def record_progress(self, percent: int, now: datetime.datetime) -> None:
        """Record that the target is running it, and its progress in percent."""
        self.running_since = self.running_since or now
        if self.progressed_at is None or percent != self.percent:
            self.percent = percent
            self.progressed_at = now

    def was_certainly_running(self) -> bool:
        """Return whether this incarnation of the target has started it, and no stop was sent."""
        return self.is_start_confirmed and self.state is runs.GrantState.RUNNING

    def is_sent(self) -> bool:
        """Return whether its start was sent to the target."""
        return self.state is not runs.GrantState.RESERVED


def full_id(node: identifiers.NodeId, short: int | identifiers.GrantId) -> identifiers.GrantId:
    """Return the full id of a grant from the short form that ``node`` uses in heartbeats."""
    return identifiers.GrantId(f"{node}-{short}") if isinstance(short, int) else short


def is_issued_by(node: identifiers.NodeId, grant: identifiers.GrantId) -> bool:
    """Return whether a node has issued a grant."""
    return grant.rpartition("-")[0] == node


def short_id(node: identifiers.NodeId, grant: identifiers.GrantId) -> int | identifiers.GrantId:
    """Return the number of a grant that ``node`` issued itself, or else the full id."""
    issuer, _, number = grant.rpartition("-")
    return int(number) if issuer == node else grant

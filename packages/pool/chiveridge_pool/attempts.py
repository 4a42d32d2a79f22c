"""Attempts of a run's start: which are unanswered, and what the latest reply proves.

A start is sent again if it gets no reply, and each attempt can be executed by itself, also seconds
later. The reply to one attempt says nothing of the others.
"""

import datetime
import enum

from chiveridge_pool import events, identifiers, notes, timings

MAX_LOGGED_ATTEMPTS = 8
ACCEPTED = "accepted"

AttemptRow = tuple[identifiers.AttemptNumber, float, str | None, float | None]
"""Number, time of sending in ms since the first one, answer, and ms until the answer."""


class AttemptResult(enum.Enum):
    """What a reply says of the attempt that it answers.

    ``UNKNOWN``: nothing, as there was no reply. ``UNREADABLE``: nothing, and a further attempt
    would hardly get a better reply. ``EXECUTED``: the target runs the task.
    ``REJECTED``: this attempt did nothing and never will. ``UNSENT``: the same, and the target
    knows nothing of it. ``OLD``: the target has seen this run or
    a higher one and rejects all attempts from now on.
    """

    UNKNOWN = "unknown"
    UNREADABLE = "unreadable"
    EXECUTED = "executed"
    REJECTED = "rejected"
    UNSENT = "unsent"
    OLD = "old"


class Verdict(enum.Enum):
    """What the owner does with a run after a reply to an attempt of its start.

    ``NOT_RUN``, ``SUPERSEDED``: the run has not started and never will; its grant ends at once.
    ``STOP``: another attempt may still be executed, so the run is stopped before its grant ends.
    ``AWAIT_END``: another attempt may have been executed, but no further one will be.
    """

    RUNNING = "running"
    RETRY = "retry"
    NOT_RUN = "not_run"
    SUPERSEDED = "superseded"
    STOP = "stop"
    AWAIT_END = "await_end"


_RESULT_BY_FAILURE = {
    None: AttemptResult.EXECUTED,
    events.Failure.TIMEOUT: AttemptResult.UNKNOWN,
    events.Failure.BROKEN: AttemptResult.UNKNOWN,
    events.Failure.UNREADABLE: AttemptResult.UNREADABLE,
    events.Failure.UNREACHABLE: AttemptResult.REJECTED,
    events.Failure.FENCED: AttemptResult.REJECTED,
    events.Failure.WRONG_INSTANCE: AttemptResult.REJECTED,
    events.Failure.OLD_RUN: AttemptResult.OLD,
    events.Failure.TOO_LATE: AttemptResult.REJECTED,
    events.Failure.NO_ROOM: AttemptResult.REJECTED,
    events.Failure.UNHEALTHY: AttemptResult.REJECTED,
    events.Failure.INVALID: AttemptResult.REJECTED,
    events.Failure.NOT_SENT: AttemptResult.UNSENT,
}

_LEAVES_UNANSWERED = frozenset({AttemptResult.UNKNOWN, AttemptResult.UNREADABLE})

_VERDICTS = {
    (AttemptResult.EXECUTED, False): Verdict.RUNNING,
    (AttemptResult.EXECUTED, True): Verdict.RUNNING,
    (AttemptResult.UNKNOWN, True): Verdict.RETRY,
    (AttemptResult.UNREADABLE, True): Verdict.STOP,
    (AttemptResult.UNSENT, False): Verdict.NOT_RUN,
    (AttemptResult.UNSENT, True): Verdict.RETRY,
    (AttemptResult.REJECTED, False): Verdict.NOT_RUN,
    (AttemptResult.REJECTED, True): Verdict.STOP,
    (AttemptResult.OLD, False): Verdict.SUPERSEDED,
    (AttemptResult.OLD, True): Verdict.AWAIT_END,
}
"""Verdict by the result of the latest attempt and whether any attempt is unanswered after it."""


class _LoggedAttempt:
    """When one attempt was sent, and its answer."""

    __slots__ = ("answer", "answered_at", "sent_at")

    def __init__(self, sent_at: datetime.datetime):
        self.sent_at = sent_at
        self.answer: str | None = None
        self.answered_at: datetime.datetime | None = None


class StartAttempts:
    """The attempts of one run's start, by number."""

    __slots__ = ("_is_each_accepted", "_logged", "_sent_at_by_unanswered", "sent")

    def __init__(self):
        self.sent = 0
        self._is_each_accepted = True
        # The first attempts, in the order of their numbers.
        self._logged: list[_LoggedAttempt] = []
        self._sent_at_by_unanswered: dict[identifiers.AttemptNumber, datetime.datetime] = {}

    def send(self, now: datetime.datetime) -> identifiers.AttemptNumber:
        """Record that another attempt is sent, and return its number."""
        self.sent += 1
        number = identifiers.AttemptNumber(self.sent)
        self._sent_at_by_unanswered[number] = now
        if number <= MAX_LOGGED_ATTEMPTS:
            self._logged.append(_LoggedAttempt(now))
        return number

    def restore(self, remaining: datetime.timedelta, now: datetime.datetime) -> None:
        """Take over attempts of another owner that may be executed for the ``remaining`` time."""
        if remaining > datetime.timedelta():
            number = identifiers.AttemptNumber(self.sent)
            self._sent_at_by_unanswered[number] = now + remaining - timings.LATE_ORDER_TIME

    def record(
        self,
        number: identifiers.AttemptNumber,
        failure: events.Failure | None,
        now: datetime.datetime | None = None,
    ) -> Verdict | None:
        """Record the reply to an attempt, and return the verdict on the run.

        Return None if the attempt was answered before. ``now`` is the time of the reply, which
        only the log needs.
        """
        if number not in self._sent_at_by_unanswered:
            return None
        if failure is not None:
            self._is_each_accepted = False
        if 0 < number <= MAX_LOGGED_ATTEMPTS:
            logged = self._logged[number - 1]
            logged.answer = answer_value(failure)
            logged.answered_at = now
        result = _RESULT_BY_FAILURE[failure]
        if result not in _LEAVES_UNANSWERED:
            del self._sent_at_by_unanswered[number]
        return _VERDICTS[result, bool(self._sent_at_by_unanswered)]

    def is_ordinary(self) -> bool:
        """Return whether there was at most one attempt, and it was accepted."""
        return self.sent <= 1 and self._is_each_accepted and not self._sent_at_by_unanswered

    def rows(self) -> list[AttemptRow]:
        """Return the first attempts for the log."""
        return [
            (
                identifiers.AttemptNumber(number),
                notes.to_ms(logged.sent_at - self._logged[0].sent_at),
                logged.answer,
                notes.to_ms(logged.answered_at - logged.sent_at) if logged.answered_at else None,
            )
            for number, logged in enumerate(self._logged, start=1)
        ]

    def unanswered_count(self) -> int:
        """Return the number of attempts without an answer."""
        return len(self._sent_at_by_unanswered)

    def executable_until(self, now: datetime.datetime) -> datetime.datetime:
        """Return until when an unanswered attempt may still be executed, ``now`` if none may."""
        last_sent_at = max(self._sent_at_by_unanswered.values(), default=None)
        return now if last_sent_at is None else max(now, last_sent_at + timings.LATE_ORDER_TIME)

    def may_be_executed(self, now: datetime.datetime) -> bool:
        """Return whether an unanswered attempt may still be executed."""
        return self.executable_until(now) > now

    def may_run(self, now: datetime.datetime) -> bool:
        """Return whether an unanswered attempt may still be executed, or run without a renewal."""
        last_sent_at = max(self._sent_at_by_unanswered.values(), default=None)
        run_time = timings.LATE_ORDER_TIME + timings.LEASE_EXPIRED_AFTER
        return last_sent_at is not None and now < last_sent_at + run_time


def answer_value(failure: events.Failure | None) -> str:
    """Return the answer to an attempt as the log and the metrics name it."""
    return ACCEPTED if failure is None else failure.value

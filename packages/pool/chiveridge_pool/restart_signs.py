"""Signs that a target may have restarted, and the replies that rule it out.

A target that restarts keeps its id and address, and may come back as another kind: whatever of it
receives a start executes it. Only a reply to a hold that was sent after a sign rules out that the
target has restarted before it. Replies to earlier holds may come from the previous incarnation.
"""

import datetime

import msgspec

from chiveridge_pool import events, identifiers, timings

UNANSWERED_ORDERS = frozenset(
    {events.Failure.BROKEN, events.Failure.TIMEOUT, events.Failure.UNREACHABLE}
)
"""Failures of any order that a target shows as it restarts."""

_Attempt = tuple[identifiers.GrantId, identifiers.AttemptNumber]


class _AwaitedReply(msgspec.Struct, frozen=True):
    """A start without a reply: when that is overdue, and the newest hold sent before it."""

    due_at: datetime.datetime
    previous_hold: int


class RestartSigns:
    """The signs of a restart of one target since its last reply that rules it out."""

    def __init__(self):
        self._newest_hold = 0
        self._replied_at: datetime.datetime | None = None
        # The newest hold that was sent before the last sign.
        self._hold_before_sign: int | None = None
        self._hold_due_at: datetime.datetime | None = None
        self._awaited_by_attempt: dict[_Attempt, _AwaitedReply] = {}

    def record_hold(self, number: int, due_at: datetime.datetime) -> None:
        """Record that a hold is sent, and when its reply is overdue."""
        self._newest_hold = number
        self._hold_due_at = due_at

    def record_start(self, attempt: _Attempt, due_at: datetime.datetime) -> None:
        """Record that an attempt of a start is sent, and when its reply is overdue."""
        self._awaited_by_attempt[attempt] = _AwaitedReply(due_at, self._newest_hold)

    def record_start_reply(self, attempt: _Attempt) -> None:
        """Record that an attempt of a start was answered or has failed."""
        self._awaited_by_attempt.pop(attempt, None)

    def record_reply(self, replied_at: datetime.datetime) -> None:
        """Record when the known incarnation has replied to an order."""
        self._replied_at = replied_at

    def record_sign(self) -> bool:
        """Record a sign of a restart, and return whether it is the first one."""
        is_first = self._hold_before_sign is None
        self._hold_before_sign = self._newest_hold
        return is_first

    def record_hold_reply(self, number: int) -> bool:
        """Record a reply of the known incarnation; return whether it takes the signs away.

        Starts that were sent before the hold say no more of a restart until they fail.
        """
        if number == self._newest_hold:
            self._hold_due_at = None
        for attempt, awaited in list(self._awaited_by_attempt.items()):
            if awaited.previous_hold < number:
                del self._awaited_by_attempt[attempt]
        if self._hold_before_sign is None or number <= self._hold_before_sign:
            return False
        self._hold_before_sign = None
        return True

    def has_sign(self) -> bool:
        """Return whether a sign was recorded that no reply has taken away."""
        return self._hold_before_sign is not None

    def is_reply_overdue(self, now: datetime.datetime) -> bool:
        """Return whether the target leaves a start or its newest hold unanswered."""
        if self._hold_due_at is not None and now >= self._hold_due_at:
            return True
        return any(now >= awaited.due_at for awaited in self._awaited_by_attempt.values())

    def has_replied_lately(self, now: datetime.datetime) -> bool:
        """Return whether the last reply is so recent that there was no time for a restart."""
        if self._replied_at is None:
            return False
        return now - self._replied_at < timings.SHORTEST_RESTART

    def is_restart_possible(self, now: datetime.datetime) -> bool:
        """Return whether the target may have restarted, as far as its replies tell."""
        return self.has_sign() or self.is_reply_overdue(now)

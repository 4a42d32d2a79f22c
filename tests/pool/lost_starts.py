"""Targets of the model that lose the reply to a start and then answer by a failure."""

import datetime
import enum
import itertools

import msgspec
import pools

from chiveridge_load import pool_targets
from chiveridge_pool import actions, events

_OUTAGE = datetime.timedelta(milliseconds=250)
_LATE = datetime.timedelta(milliseconds=90)
"""When a late start is executed: after the reply to the next attempt, sent 60 ms after it."""

RUN_MS = 300.0


class Loss(enum.Enum):
    """What the owner learns from the first start, which is executed, if late after a time-out."""

    BROKEN = events.Failure.BROKEN
    TIMEOUT = events.Failure.TIMEOUT
    UNREADABLE = events.Failure.UNREADABLE
    LATE = None


class Scope(enum.Enum):
    """The calls to the target that are disturbed after its first start."""

    STARTS = (actions.StartRun,)
    STARTS_AND_STOPS = (actions.StartRun, actions.StopRun)
    ALL = (actions.StartRun, actions.StopRun, actions.Hold)


FAILURES = [failure for failure in events.Failure if failure is not events.Failure.WRONG_INSTANCE]
"""Failures of disturbed calls, none of which is executed.

Another instance at the address proves that the target has ended, so that its runs have as well.
"""


class Case(msgspec.Struct, frozen=True):
    """One row of the table; without a failure, the calls after the first are not disturbed."""

    loss: Loss
    scope: Scope
    failure: events.Failure | None
    is_lasting: bool = False


def cases(failure: events.Failure | None) -> list[Case]:
    """Return the rows of the table for one failure."""
    return [
        Case(loss, scope, failure, is_lasting)
        for loss, scope, is_lasting in itertools.product(Loss, Scope, (False, True))
    ]


class Play:
    """One case, played with one job of one task on two targets of one owner."""

    def __init__(self, case: Case):
        self.case = case
        self._model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
        self._struck: pool_targets.TargetModel | None = None
        self._is_out = False
        for target in self._model.targets_by_id.values():
            self._disturb(target)
        request = pools.job("a" * 16, 1, RUN_MS, caller_timeout=datetime.timedelta(seconds=9))
        self._caller = self._model.submit(pools.node(self._model, 1), request)
        self._model.run(seconds=12)

    def is_overlapping(self) -> bool:
        """Return whether two runs of the task were in progress at the same time."""
        return bool(self._model.overlaps())

    def verdict(self) -> actions.Verdict:
        """Return the answer to the caller."""
        return self._model.answers_by_caller[self._caller].verdict

    def _disturb(self, target: pool_targets.TargetModel) -> None:
        execute = target.carry_out

        def carry_out(action, reply) -> None:
            if self._struck is None and isinstance(action, actions.StartRun):
                self._lose(target, execute, action, reply)
            elif self._is_disturbed(target, action):
                self._fail(target, self.case.failure, reply)
            else:
                execute(action, reply)

        target.carry_out = carry_out

    def _is_disturbed(self, target: pool_targets.TargetModel, action: actions.Action) -> bool:
        return self._is_out and target is self._struck and isinstance(action, self.case.scope.value)

    def _lose(self, target: pool_targets.TargetModel, execute, action, reply) -> None:
        self._struck = target
        self._is_out = self.case.failure is not None
        if not self.case.is_lasting:
            self._model.simulation.call_later(_OUTAGE, self._end_outage)
        if self.case.loss is Loss.LATE:
            self._model.simulation.call_later(_LATE, lambda: execute(action, _ignore))
            return
        execute(action, _ignore)
        self._fail(target, self.case.loss.value, reply)

    def _fail(self, target: pool_targets.TargetModel, failure: events.Failure, reply) -> None:
        if failure is not events.Failure.TIMEOUT:
            clock_ms = int(target.clock_ms()) if failure in _WITH_CLOCK else 0
            reply(pool_targets.Reply(failure=failure, clock_ms=clock_ms))

    def _end_outage(self) -> None:
        self._is_out = False


_WITH_CLOCK = frozenset(
    {
        events.Failure.FENCED,
        events.Failure.OLD_RUN,
        events.Failure.TOO_LATE,
        events.Failure.NO_ROOM,
    }
)


def _ignore(reply: pool_targets.Reply) -> None:
    """Discard a reply that is lost on its way."""

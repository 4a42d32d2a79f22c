"""A simulated pool in which choices decide what becomes of each call to a target."""

import datetime
from collections.abc import Callable

import msgspec

from chiveridge_load import history_choices, pool_models, pool_targets
from chiveridge_pool import actions, events, identifiers, timings

Call = actions.Hold | actions.StartRun | actions.StopRun
ReplyCallback = Callable[[pool_targets.Reply], None]

REJECTIONS = (
    events.Failure.UNREACHABLE,
    events.Failure.UNHEALTHY,
    events.Failure.NO_ROOM,
    events.Failure.TOO_LATE,
    events.Failure.INVALID,
)
"""Failures by which a target may reject a start whatever its state."""

_MAX_DISTURBED_HOLDS = 8
_REPLY_HANDLED_AFTER = datetime.timedelta(milliseconds=1)
"""Time after which a reply has reached its sender, longer than any latency of the model."""

_DELAYED_REPLY = datetime.timedelta(milliseconds=50)
"""Delay by which a reply is overtaken by that to a later call, below the time-out of a call."""


class Effect(msgspec.Struct, frozen=True):
    """What becomes of a call: whether it is executed, and what its sender receives.

    An ``answer`` of None is the target's own; after ``TIMEOUT`` nothing is sent.
    """

    is_executed: bool
    answer: events.Failure | None = None
    delay: datetime.timedelta = datetime.timedelta()


class StartedRun(msgspec.Struct):
    """A run as the target recorded it; ``is_late`` if its start was executed after its time-out."""

    task: identifiers.TaskName
    run: identifiers.RunNumber
    target: identifiers.TargetId
    incarnation: int
    token: identifiers.FencingToken
    attempt: identifiers.AttemptNumber
    is_late: bool
    started_at: datetime.datetime


class LateStart(msgspec.Struct):
    """An attempt of a start that got no reply and was not executed yet."""

    target: "HistoryTarget"
    action: actions.StartRun
    sent_at: datetime.datetime


class HistoryTarget(pool_targets.TargetModel):
    """A simulated target that records which start each of its runs came from.

    Once it ``is_replaced``, another instance answers at its address.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.started_runs: list[StartedRun] = []
        self.is_replaced = False
        self.on_end: Callable[[], None] = _ignore_end
        self._executing: actions.StartRun | None = None
        self._is_late = False

    def carry_out(self, action: Call, reply: ReplyCallback, *, is_late: bool = False) -> None:
        """Execute a command and call ``reply`` once the reply is known."""
        if self.is_replaced:
            reply(pool_targets.Reply(failure=events.Failure.WRONG_INSTANCE))
            return
        self._executing, self._is_late = action, is_late
        super().carry_out(action, reply)

    def _begin_run(self, key: tuple[str, int], spec: str) -> None:
        super()._begin_run(key, spec)
        start = self._executing
        self.started_runs.append(
            StartedRun(
                start.task,
                start.run,
                self.target.id,
                self.incarnation,
                start.token,
                start.attempt,
                self._is_late,
                self._simulation.now,
            )
        )

    def _end_run(self, key: tuple[str, int], run_end: str) -> None:
        super()._end_run(key, run_end)
        self.on_end()

    def replace(self) -> None:
        """End the instance and let another one answer at its address."""
        self.crash_under(self.incarnation)
        self.is_replaced = True

    def would_start(self, action: actions.StartRun) -> bool:
        """Return whether a start that is executed now begins a run."""
        is_unreachable = self.refuses_connections or self.is_dark or self.is_down
        if is_unreachable or self.is_replaced or action.token < self._fence:
            return False
        is_running = (action.task, action.run) in self._running
        return not is_running and self._start_failure(action) is None

    def is_running(self) -> bool:
        """Return whether a run is in progress."""
        return bool(self._running)


class HistoryPool(pool_models.PoolModel):
    """A simulated pool in which the choices of a history disturb calls to targets.

    ``on_call`` is told of each step of a start or a stop, and ``on_moment`` of those after which
    something else may happen.
    """

    def __init__(self, choices: history_choices.Choices, selection: history_choices.Selection):
        super().__init__()
        self._choices = choices
        self._effects_by_type = _effects_by_type(selection)
        self._disturbed_holds = 0
        self.involved: list[HistoryTarget] = []
        self.late_starts: list[LateStart] = []
        self.on_call: Callable[[str], None] = _ignore
        self.on_moment: Callable[[str], None] = _ignore

    def add_target(self, domain: str, **options) -> HistoryTarget:
        """Add a target; the options are those of :class:`pool_targets.TargetModel`."""
        number = len(self.targets_by_id) + 1
        target = HistoryTarget(self.simulation, f"t{number:03d}", domain, **options)
        target.on_end = lambda: self.on_moment("a run has ended")
        self.targets_by_id[target.target.id] = target
        return target

    def execute_late(self, late: LateStart) -> None:
        """Execute a start that got no reply."""
        self.late_starts.remove(late)
        late.target.carry_out(late.action, _ignore, is_late=True)

    def executable_starts(self) -> list[LateStart]:
        """Return the starts without a reply that would begin a run if they were executed now."""
        oldest = self.simulation.now - timings.LATE_ORDER_TIME
        return [
            late
            for late in self.late_starts
            if late.sent_at >= oldest and late.target.would_start(late.action)
        ]

    def _deliver(
        self,
        model: HistoryTarget,
        action: Call,
        reply: ReplyCallback,
        delay: datetime.timedelta,
    ) -> None:
        if isinstance(action, actions.StartRun) and model not in self.involved:
            self.involved.append(model)
        effect, name = self._choose_effect(model, action)
        if effect is not _UNDISTURBED or not isinstance(action, actions.Hold):
            self.on_call(f"{_describe(action)}: {name}")
        if isinstance(action, actions.StartRun):
            self.on_moment("the start is sent")
        self._apply(effect, model, action, reply, delay)

    def _choose_effect(self, model: HistoryTarget, action: Call) -> tuple[Effect, str]:
        effect_by_name = self._effects_by_type[type(action)]
        is_hold = isinstance(action, actions.Hold)
        if model not in self.involved or (is_hold and self._has_disturbed_holds()):
            return _UNDISTURBED, _ANSWERED
        names = list(effect_by_name)
        taken = self._choices.choose(
            _describe(action), [history_choices.Option(name) for name in names]
        )
        return effect_by_name[taken.name], taken.name

    def _has_disturbed_holds(self) -> bool:
        """Count a hold of an involved target, of which only the first ones are disturbed."""
        self._disturbed_holds += 1
        return self._disturbed_holds > _MAX_DISTURBED_HOLDS

    def _apply(
        self,
        effect: Effect,
        model: HistoryTarget,
        action: Call,
        reply: ReplyCallback,
        delay: datetime.timedelta,
    ) -> None:
        is_start = isinstance(action, actions.StartRun)

        def reply_and_tell(answer: pool_targets.Reply) -> None:
            reply(answer)
            if is_start:
                self._tell_later("the start is answered", _REPLY_HANDLED_AFTER)

        def deliver() -> None:
            if effect.is_executed:
                wanted = reply_and_tell if effect.answer is None else _ignore
                model.carry_out(action, _delayed(self.simulation, wanted, effect.delay))
            if effect.answer not in (None, events.Failure.TIMEOUT):
                reply_and_tell(pool_targets.Reply(failure=effect.answer))

        self.simulation.call_later(delay, deliver)
        if is_start and effect.answer is events.Failure.TIMEOUT:
            self._tell_later("the start has timed out", action.timeout)
        if is_start and not effect.is_executed and effect.answer in _LEAVES_UNANSWERED:
            late = LateStart(model, action, self.simulation.now)
            self.late_starts.append(late)

    def _tell_later(self, moment: str, delay: datetime.timedelta) -> None:
        self.simulation.call_later(delay, lambda: self.on_moment(moment))


_UNDISTURBED = Effect(is_executed=True)
_ANSWERED = "executed and answered"
_LEAVES_UNANSWERED = frozenset({events.Failure.TIMEOUT, events.Failure.BROKEN})

_LOST_REPLIES = {
    "executed, connection reset": Effect(is_executed=True, answer=events.Failure.BROKEN),
    "executed, no reply": Effect(is_executed=True, answer=events.Failure.TIMEOUT),
}
_NOT_EXECUTED = {
    "not executed, connection reset": Effect(is_executed=False, answer=events.Failure.BROKEN),
    "not executed, no reply": Effect(is_executed=False, answer=events.Failure.TIMEOUT),
}
_UNREADABLE = {
    "executed, reply unreadable": Effect(is_executed=True, answer=events.Failure.UNREADABLE),
    "not executed, reply unreadable": Effect(is_executed=False, answer=events.Failure.UNREADABLE),
}
_OVERTAKEN = {"executed, answered later": Effect(is_executed=True, delay=_DELAYED_REPLY)}


def _rejections(*failures: events.Failure) -> dict[str, Effect]:
    return {
        f"rejected as {failure.value}": Effect(is_executed=False, answer=failure)
        for failure in failures
    }


_EFFECTS = {
    actions.StartRun: {
        **_LOST_REPLIES,
        **_NOT_EXECUTED,
        **_UNREADABLE,
        **_OVERTAKEN,
        **_rejections(*REJECTIONS),
    },
    actions.StopRun: {
        **_LOST_REPLIES,
        **_NOT_EXECUTED,
        **_OVERTAKEN,
        **_rejections(
            events.Failure.UNREACHABLE, events.Failure.UNHEALTHY, events.Failure.UNREADABLE
        ),
    },
    actions.Hold: {
        **_LOST_REPLIES,
        **_OVERTAKEN,
        **_rejections(
            events.Failure.UNREACHABLE, events.Failure.UNHEALTHY, events.Failure.UNREADABLE
        ),
    },
}

_KIND_BY_TYPE = {actions.StartRun: "starts", actions.StopRun: "stops", actions.Hold: "holds"}


_TYPICAL = (*_LOST_REPLIES, *_NOT_EXECUTED, "rejected as unhealthy")


def _effects_by_type(
    selection: history_choices.Selection,
) -> dict[type, dict[str, Effect]]:
    """Return the effects by type of call; undisturbed ones only for kinds that are left out."""
    return {
        call: {
            _ANSWERED: _UNDISTURBED,
            **{
                name: effect
                for name, effect in effects.items()
                if _KIND_BY_TYPE[call] in selection.kinds
                and (name in _TYPICAL or not selection.typical_only)
            },
        }
        for call, effects in _EFFECTS.items()
    }


def _delayed(
    simulation: pool_models.Simulation, reply: ReplyCallback, delay: datetime.timedelta
) -> ReplyCallback:
    if not delay:
        return reply
    return lambda answer: simulation.call_later(delay, lambda: reply(answer))


def _describe(action: Call) -> str:
    if isinstance(action, actions.Hold):
        return f"hold of {action.target.id}"
    run = f"task {_index(action.task)} run {action.run} on {action.target.id}"
    if isinstance(action, actions.StartRun):
        return f"start of {run}, attempt {action.attempt}"
    return f"stop of {run}"


def _index(task: identifiers.TaskName) -> str:
    """Return the number of a task in its job."""
    return task.rpartition(".")[2]


def _ignore(_: object) -> None:
    """Ignore what is told."""


def _ignore_end() -> None:
    """Ignore the end of a run."""

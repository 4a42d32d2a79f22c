"""Starts that would reach the next incarnation of a target, which is of another kind."""

import datetime

import msgspec
import pools
import pytest

from chiveridge_load import pool_targets
from chiveridge_pool import events, resources

MS = datetime.timedelta(milliseconds=1)
TASK_CPU = 10_000
SILENT_MS = [50, 150, 300, 500, 800]


class _Silence:
    """A target that falls silent for a while, and comes back as another one under its id.

    With ``breaks_calls``, the calls that it got meanwhile are reset as it is back, else they are
    never answered. ``wrong_starts`` are the starts on the next incarnation that break ``is_wrong``.
    """

    def __init__(self, silent_ms, *, breaks_calls=True, nodes=1, is_wrong=None, **options):
        self.model = pools.pool(nodes_per_domain=nodes, targets_per_domain=0, domains="a")
        self.target = self.model.add_target("a", labels=("a",), **options)
        for node in self.model.nodes_by_name.values():
            node.handle(events.TargetsListed(targets=self.model.listed()))
        self.model.run(seconds=1)
        self.wrong_starts: list[datetime.datetime] = []
        self._silence = silent_ms * MS
        self._is_wrong = is_wrong or (lambda target, size: target.target.labels != ("a",))
        self._breaks_calls = breaks_calls
        self._stuck: list = []
        self._begin_run = self.target._begin_run
        self.target._begin_run = self._check_start
        self._deliver = self.target.carry_out
        self.target.carry_out = self._receive
        self._number = 0

    def _check_start(self, key, spec):
        self._begin_run(key, spec)
        if self._is_wrong(self.target, pool_targets._size_in(spec)):
            self.wrong_starts.append(self.model.simulation.now)

    def _receive(self, action, reply):
        if self.target.is_down:
            self._stuck.append(reply)
        else:
            self._deliver(action, reply)

    def begin(self, **changes):
        """Silence the target; what it is next differs in ``changes``."""
        self._stuck += [reply for _, reply in self.target._waiting_holds]
        self.target.crash()
        self.target.target = msgspec.structs.replace(self.target.target, **changes)
        self.target.is_down = True
        self.model.simulation.call_later(self._silence, self._end)

    def _end(self):
        self.target._come_back()
        stuck, self._stuck = self._stuck, []
        for reply in stuck if self._breaks_calls else ():
            reply(pool_targets.Reply(failure=events.Failure.BROKEN))

    def submit(self, label="a", work_ms=40.0, count=1):
        self._number += 1
        request = pools.job(
            f"{self._number:016x}",
            count,
            work_ms,
            label=label,
            cpu=TASK_CPU,
            caller_timeout=datetime.timedelta(seconds=9),
            objective_base=datetime.timedelta(seconds=4),
        )
        node = self._number % len(self.model.nodes_by_name) + 1
        return self.model.submit(pools.node(self.model, node), request)

    def keep_submitting(self, seconds, **job):
        """Submit a job every 7 ms, which is no part of any interval of the pool."""
        for _ in range(round(seconds / 0.007)):
            self.submit(**job)
            self.model.run(seconds=0.007)


@pytest.mark.promise("own_whole_answer", failures=["target_death", "lost_reply"])
@pytest.mark.parametrize("breaks_calls", [True, False])
@pytest.mark.parametrize("nodes", [1, 3])
@pytest.mark.parametrize("silent_ms", SILENT_MS)
def test_a_start_is_not_repeated_into_the_next_incarnation_of_its_target(
    silent_ms, nodes, breaks_calls
):
    """Guards against further attempts of a start on a target that came back as another kind."""
    silence = _Silence(silent_ms, nodes=nodes, breaks_calls=breaks_calls)
    silence.keep_submitting(0.3)
    silence.begin(labels=("b",))
    silence.keep_submitting(silent_ms / 1000 + 0.7)
    assert silence.wrong_starts == []


@pytest.mark.promise("own_whole_answer", failures=["target_death", "lost_reply"])
@pytest.mark.parametrize("silent_ms", SILENT_MS)
def test_a_start_is_not_repeated_on_a_target_that_came_back_with_less_room(silent_ms):
    """Guards against further attempts that overload a target without a guard of its capacity."""

    def is_overloaded(target, size):
        used = sum(run.size.cpu for run in target._running.values())
        return used > target.target.capacity.cpu

    silence = _Silence(silent_ms, is_wrong=is_overloaded, guards_capacity=False)
    silence.keep_submitting(0.3, work_ms=30.0)
    silence.begin(capacity=resources.Resources(TASK_CPU + 1, 131_072, 0))
    silence.keep_submitting(silent_ms / 1000 + 0.7, work_ms=30.0)
    assert silence.wrong_starts == []


def test_a_first_start_is_not_sent_while_another_start_on_its_target_is_unanswered():
    """Guards against new jobs on a target that is silent and not yet known to be."""
    silence = _Silence(100)
    silence.keep_submitting(0.3)
    silence.begin(labels=("b",))
    silence.submit()
    silence.model.run(seconds=0.03)
    received = len(silence._stuck)
    silence.submit()
    silence.submit()
    # A hold asks, with or without a first start that waits for its reply.
    silence.model.run(seconds=0.01)
    assert len(silence._stuck) - received <= 1
    silence.model.run(seconds=1)
    assert silence.wrong_starts == []


# Targets that were silent while nobody asked them anything


@pytest.mark.promise("own_whole_answer", failures=["target_death"])
@pytest.mark.parametrize("is_idle", [True, False])
@pytest.mark.parametrize("silent_ms", [150, 500, 1500])
def test_a_first_start_does_not_reach_the_next_incarnation_after_an_unnoticed_silence(
    silent_ms, is_idle
):
    """Guards against a start on a target whose open hold hides for two seconds that it is gone."""
    silence = _Silence(silent_ms, breaks_calls=False)
    silence.submit(work_ms=100.0)
    silence.model.run(seconds=1.0 if is_idle else 0.2)
    silence.begin(labels=("b",))
    silence.model.run(seconds=silent_ms / 1000)
    silence.submit()
    silence.model.run(seconds=1)
    assert silence.wrong_starts == []

"""Plays one history of a small pool: a job, and the disturbances that a plan chooses.

A history is deterministic: the same scenario and plan give the same steps.
"""

import datetime
from collections.abc import Callable

import msgspec

from chiveridge_load import (
    history_callers,
    history_choices,
    history_events,
    history_pools,
    pool_models,
)
from chiveridge_pool import actions, identifiers, jobs, messages, notes, resources

_MS = datetime.timedelta(milliseconds=1)
_TASK_CPU = 27_000
_MAX_MOMENTS = 30
_CLOCK_RATE = 0.98
"""The slowest clock that a target may have, by which its leases last longest."""

_LATER_MOMENTS_MS = (150, 500, 1150, 1700, 2700, 4100)
"""Moments after the first send: in mid-run, around the end of a lease, and after that of a job."""

_BOOT_SECONDS = 0.8
"""Time from the start of the nodes until they have claimed the targets."""

_SETTLE_TIME = 200 * _MS
_MAX_DURATION = 20_000 * _MS
_NOTES = {
    notes.NoteEvent.RUN_ENDED: ("task", "run", "target", "how", "reason", "unanswered"),
    notes.NoteEvent.RUN_LOST: ("task", "run", "target", "how"),
    notes.NoteEvent.RUN_MOVED: ("target", "owner"),
    notes.NoteEvent.TARGET_LOST: ("target", "evidence", "reason"),
    notes.NoteEvent.OWNER_CHANGED: ("target", "how", "to", "reason"),
    notes.NoteEvent.JOB_ANSWERED: ("verdict", "reason"),
    notes.NoteEvent.JOB_FOLLOWED: ("leader",),
    notes.NoteEvent.STRANGER_STOPPED: ("target", "task", "run"),
}
"""Fields that are shown of the notes that concern a job's runs."""


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """A deployment of two nodes, and the job that is sent to it.

    ``domains`` names the failure domain of each node. Of two nodes in one domain with two targets,
    the first one owns both; ``leader`` is the position of the node that the job is sent to first.
    """

    name: str
    domains: tuple[str, str] = ("a", "a")
    targets_per_domain: int = 2
    leader: int = 0
    tasks: int = 1
    run_ms: float = 250.0
    caller_timeout: datetime.timedelta = 3000 * _MS
    resend_delay: datetime.timedelta = 1300 * _MS


SCENARIOS = (
    Scenario(name="owner"),
    Scenario(name="peer", leader=1),
    Scenario(name="domains", domains=("a", "b"), targets_per_domain=1),
    Scenario(name="tasks", tasks=2, caller_timeout=1500 * _MS),
    Scenario(name="long", leader=1, run_ms=1500.0, caller_timeout=5000 * _MS),
    Scenario(
        name="distant",
        domains=("a", "b"),
        targets_per_domain=1,
        run_ms=1500.0,
        caller_timeout=5000 * _MS,
    ),
)
"""A job is sent to the owner of all targets, to the other node, or to one of two domains.

Then one of two tasks that is given up early, and in one and two domains one whose run outlasts a
lease.
"""


class LoggedNote(msgspec.Struct, frozen=True):
    """A note of a node, with its time."""

    at: datetime.datetime
    node: str
    event: notes.NoteEvent
    fields: dict[str, object]


class History:
    """Plays a scenario once, by the options that ``choices`` takes."""

    def __init__(
        self,
        scenario: Scenario,
        choices: history_choices.Choices,
        selection: history_choices.Selection = history_events.ALL,
    ):
        self.choices = choices
        self.steps: list[str] = []
        self.logged: list[LoggedNote] = []
        self.lost_links: set[tuple[str, str]] = set()
        self.pool = history_pools.HistoryPool(choices, selection)
        for domain in scenario.domains:
            self.pool.add_node(domain)
        for domain in sorted(set(scenario.domains)):
            for _ in range(scenario.targets_per_domain):
                self.pool.add_target(domain, clock_rate=_CLOCK_RATE)
        for node in self.nodes():
            node.boot()
        self.pool.run(_BOOT_SECONDS)
        self.pool.on_call = self.record
        self.pool.on_moment = self._tell_moment
        self.pool.on_note = self._log_note
        self.pool.drops = self._drops
        self.request = _request(scenario)
        self.caller = history_callers.Caller(self, scenario.resend_delay)
        self._scenario = scenario
        self._selection = selection
        self._moments = 0
        self._sent_at = self.pool.simulation.now
        self._running: set[str] = set()

    def play(self) -> None:
        """Send the job and play until its caller has an answer and nothing runs."""
        for delay_ms in _LATER_MOMENTS_MS:
            moment = f"{delay_ms} ms after the job was sent"
            self.call_later(delay_ms * _MS, lambda moment=moment: self._offer_events(moment))
        self.caller.send(self.nodes()[self._scenario.leader])
        settled_at = None
        while self.pool.simulation.now - self._sent_at < _MAX_DURATION:
            self.pool.simulation.run_for(20 * _MS)
            if self._is_active():
                settled_at = None
            elif settled_at is None:
                settled_at = self.pool.simulation.now
            elif self.pool.simulation.now - settled_at >= _SETTLE_TIME:
                return

    def nodes(self) -> list[pool_models.NodeModel]:
        """Return the nodes."""
        return list(self.pool.nodes_by_name.values())

    def call_later(self, delay: datetime.timedelta, callback: Callable[[], None]) -> None:
        """Schedule a callback on the simulated clock."""
        self.pool.simulation.call_later(delay, callback)

    def record(self, text: str) -> None:
        """Add a step, with the time since the job was sent in milliseconds."""
        elapsed_ms = (self.pool.simulation.now - self._sent_at) / _MS
        self.steps.append(f"{elapsed_ms:8.1f} ms  {text}")

    def targets(self) -> list[history_pools.HistoryTarget]:
        """Return the targets."""
        return list(self.pool.targets_by_id.values())

    def _is_active(self) -> bool:
        if not self.caller.is_finished():
            return True
        return any(target.is_running() for target in self.targets())

    def _tell_moment(self, moment: str) -> None:
        """Offer what can happen once the present step has been performed."""
        self.call_later(datetime.timedelta(), lambda: self._offer_events(moment))

    def _offer_events(self, moment: str) -> None:
        if self._moments >= _MAX_MOMENTS or not self._may_continue():
            return
        self._moments += 1
        possible = history_events.possible_events(self, self._selection)
        undisturbed = history_choices.Option("nothing", 0)
        taken = self.choices.choose(moment, [undisturbed, *(event.option for event in possible)])
        for event in possible:
            if event.option is taken:
                self.record(f"{taken.name} (as {moment})")
                event.perform()

    def _may_continue(self) -> bool:
        return self._is_active() or bool(self.pool.executable_starts())

    def _log_note(self, node: pool_models.NodeModel, note: actions.Note) -> None:
        shown = _NOTES.get(note.event)
        if shown is None:
            return
        self.logged.append(LoggedNote(self.pool.simulation.now, node.name, note.event, note.fields))
        fields = " ".join(f"{key}={note.fields[key]}" for key in shown if note.fields.get(key))
        self.record(f"{node.name}: {note.event.name} {fields}")
        if note.event is notes.NoteEvent.JOB_ANSWERED:
            self._tell_moment("the job is answered")

    def _drops(
        self,
        sender: pool_models.NodeModel,
        receiver: pool_models.NodeModel,
        message: messages.AnyMessage,
    ) -> bool:
        return (sender.name, receiver.name) in self.lost_links


def _request(scenario: Scenario) -> jobs.JobRequest:
    size = resources.Resources(_TASK_CPU, 64, 0)
    step = jobs.StepRequest(count=scenario.tasks, size=size, estimate=scenario.run_ms * _MS)
    return jobs.JobRequest(
        id=identifiers.JobId("1" * 16),
        queue=identifiers.QueueName("queue"),
        service=identifiers.ServiceName("service"),
        spec=f"{scenario.run_ms} {size.cpu} {size.memory_mb} 0",
        steps=(step,),
        caller_timeout=scenario.caller_timeout,
        max_attempts=3,
        objective_factor=1.6,
        objective_base=60 * _MS,
    )

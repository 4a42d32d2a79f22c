"""Which tasks were on targets that were lost, and which of them must not start again.

A poison task crashes each target that starts it, and takes the runs of other callers with it. What
is known of a task outlasts its job and the node that ran it, as callers send jobs again.
"""

import datetime
import enum

import msgspec

from chiveridge_pool import identifiers, value_ranges

MAX_CRASHES = 2
"""Crashes under a task after which it is given up, as the users allow."""

MAX_LOST_TARGETS = 4
"""Targets lost under a task, for whatever reason, after which it is given up.

The users allow two starts after three targets have crashed; a silent target may have crashed.
"""

HELD_FOR = datetime.timedelta(seconds=10)
"""Time after a probable crash for which a task waits to learn whether it was one.

A target that restarts is back after some seconds, and tells.
"""

KEPT_FOR = datetime.timedelta(minutes=10)
"""Time for which a lost target is remembered; far longer than callers send a job again."""

ISOLATING_FOR = datetime.timedelta(seconds=30)
"""Time after a poison task was found for which suspects run by themselves."""

_MAX_LIKELY_MS = 250.0
"""Run time at a crash up to which a task is its likely cause, until a poison task was found."""

_LIKELY_FACTOR = 3.0
"""Factor on the run time after which poison tasks have crashed their targets."""

_ISOLATING_CRASHES = 2
"""Targets that crashed under a job, after which its suspects run by themselves at once."""

_MAX_JOBS = 2000
"""Jobs remembered; the ones with the oldest crashes are forgotten first."""


class Evidence(enum.Enum):
    """What is known of the end of a target, by the run that was lost with it.

    ``SILENT``: it did not answer until its lease had expired. ``REFUSED``: it refused connections,
    as after a crash or behind a cut. ``ALIVE``: it was cut off, and its incarnation goes on.
    ``RESTARTED``: its incarnation is over.
    """

    SILENT = "silent"
    REFUSED = "refused"
    ALIVE = "alive"
    RESTARTED = "restarted"


_WEIGHT_BY_EVIDENCE = {evidence: weight for weight, evidence in enumerate(Evidence)}
_PROBABLE_CRASH = frozenset({Evidence.REFUSED, Evidence.RESTARTED})


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A run that was on a target as the target crashed, or as contact with it was lost.

    ``started_at_ms`` is the start of the target's incarnation in Unix milliseconds, or 0 if it is
    unknown. ``was_running`` tells that this incarnation had certainly started the run.
    ``recorded_at_ms`` is the time of day in Unix milliseconds, ``ran_ms`` how long ago the run was
    started, in milliseconds, and ``reporter`` the node that saw it. Add new fields at the end.
    """

    job: identifiers.JobId
    task: identifiers.TaskName
    target: identifiers.TargetId
    started_at_ms: value_ranges.Count
    evidence: Evidence
    was_running: bool
    recorded_at_ms: value_ranges.Count
    ran_ms: value_ranges.Milliseconds = 0.0
    reporter: identifiers.NodeId = identifiers.NodeId("")

    def is_expired(self, now: datetime.datetime) -> bool:
        """Tell whether it need not be remembered any more."""
        return self.age(now) > KEPT_FOR

    def age(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the time since it was recorded; clocks of nodes may differ."""
        return datetime.timedelta(milliseconds=max(to_unix_ms(now) - self.recorded_at_ms, 0))

    def is_probable_crash(self) -> bool:
        """Return whether the target has probably crashed under the run."""
        return self.was_running and self.evidence in _PROBABLE_CRASH

    def is_crash(self) -> bool:
        """Return whether the target has certainly crashed under the run."""
        return self.was_running and self.evidence is Evidence.RESTARTED


class Finding(enum.Enum):
    """What is concluded from the targets that were lost under a task.

    ``SUSPECT``: one may have crashed. ``HELD``: two have probably crashed, which has to be shown
    before it starts again. ``POISON``: two have crashed. ``UNEXPLAINED``: too many were lost.
    """

    NONE = "none"
    SUSPECT = "suspect"
    HELD = "held"
    UNEXPLAINED = "unexplained"
    POISON = "poison"


_Incarnation = tuple[identifiers.TargetId, int]
_CrashesByTask = dict[identifiers.TaskName, dict[_Incarnation, Crash]]
_WORST_FIRST = tuple(reversed(Finding))
_FOUND = frozenset({Finding.HELD, Finding.POISON})


class CrashHistory:
    """The lost targets that are known to this node, by job and task."""

    def __init__(self):
        self._by_job: dict[identifiers.JobId, _CrashesByTask] = {}
        self._poison_found_at: datetime.datetime | None = None
        self._likely_within_ms = _MAX_LIKELY_MS

    def record(self, crash: Crash, now: datetime.datetime) -> bool:
        """Remember a crash; return whether it tells anything new."""
        if crash.is_expired(now):
            return False
        by_task = self._by_job.get(crash.job, {})
        crashes = by_task.setdefault(crash.task, {})
        incarnation = (crash.target, crash.started_at_ms)
        known = crashes.get(incarnation)
        if known is not None and _weight(known) >= _weight(crash):
            return False
        crashes[incarnation] = crash
        # Inserted anew, so that the jobs stay in the order of their last crashes.
        self._by_job.pop(crash.job, None)
        self._by_job[crash.job] = by_task
        if len(self._by_job) > _MAX_JOBS:
            del self._by_job[next(iter(self._by_job))]
        if self.finding(crash.job, crash.task, now) in _FOUND:
            self._learn_from(crash, now)
        return True

    def _learn_from(self, crash: Crash, now: datetime.datetime) -> None:
        """Remember when a poison task was found, and how soon such tasks crash their targets."""
        crashes = self.crashes_under(crash.job, crash.task)
        ran_ms = max(known.ran_ms for known in crashes if known.is_probable_crash())
        is_first = not self._has_recent_poison(now)
        likely_ms = 0.0 if is_first else self._likely_within_ms
        self._likely_within_ms = min(max(likely_ms, _LIKELY_FACTOR * ran_ms), _MAX_LIKELY_MS)
        found_at = now - crash.age(now)
        self._poison_found_at = max(self._poison_found_at or found_at, found_at)

    def _has_recent_poison(self, now: datetime.datetime) -> bool:
        found_at = self._poison_found_at
        return found_at is not None and now - found_at < ISOLATING_FOR

    def crashes_under(
        self, job: identifiers.JobId, task: identifiers.TaskName
    ) -> tuple[Crash, ...]:
        """Return the targets that were lost under a task."""
        return tuple(self._by_job.get(job, {}).get(task, {}).values())

    def crashes_of(self, job: identifiers.JobId) -> list[Crash]:
        """Return the targets that were lost under the tasks of a job."""
        by_task = self._by_job.get(job, {})
        return [crash for crashes in by_task.values() for crash in crashes.values()]

    def all(self) -> list[Crash]:
        """Return all lost targets, once for each run that was on them."""
        return [crash for job in self._by_job for crash in self.crashes_of(job)]

    def knows(
        self,
        job: identifiers.JobId,
        task: identifiers.TaskName,
        target: identifiers.TargetId,
    ) -> bool:
        """Return whether it is known that a target was lost under a task."""
        return any(crash.target == target for crash in self.crashes_under(job, task))

    def refused_by(self, target: identifiers.TargetId) -> list[Crash]:
        """Return the runs that were lost as a target refused connections, and not explained yet."""
        return [
            crash
            for crash in self.all()
            if crash.target == target and crash.evidence is Evidence.REFUSED
        ]

    def forget_expired(self, now: datetime.datetime) -> None:
        """Forget the jobs whose crashes have all expired."""
        for job in list(self._by_job):
            if all(crash.is_expired(now) for crash in self.crashes_of(job)):
                del self._by_job[job]

    def finding(
        self, job: identifiers.JobId, task: identifiers.TaskName, now: datetime.datetime
    ) -> Finding:
        """Return what is concluded from the targets that were lost under a task."""
        if job not in self._by_job:
            return Finding.NONE
        lost = [
            crash for crash in self.crashes_under(job, task) if crash.evidence is not Evidence.ALIVE
        ]
        if _count_incarnations([crash for crash in lost if crash.is_crash()]) >= MAX_CRASHES:
            return Finding.POISON
        if _count_incarnations(lost) >= MAX_LOST_TARGETS:
            return Finding.UNEXPLAINED
        probable = [crash for crash in lost if crash.is_probable_crash()]
        if _count_incarnations(probable) >= MAX_CRASHES:
            is_recent = min(crash.age(now) for crash in probable) < HELD_FOR
            return Finding.HELD if is_recent else Finding.UNEXPLAINED
        return Finding.SUSPECT if lost else Finding.NONE

    def worst_finding(self, job: identifiers.JobId, now: datetime.datetime) -> Finding:
        """Return the finding that decides whether a job may go on."""
        findings = {self.finding(job, task, now) for task in self._by_job.get(job, {})}
        return next((finding for finding in _WORST_FIRST if finding in findings), Finding.NONE)

    def must_isolate(
        self, job: identifiers.JobId, task: identifiers.TaskName, now: datetime.datetime
    ) -> bool:
        """Return whether a task may start only where nothing else runs.

        Targets crash for other reasons too. So that is only required while there are poison tasks,
        or if several targets have crashed under the job.
        """
        if self.finding(job, task, now) is Finding.NONE:
            return False
        if self._has_recent_poison(now):
            return True
        crashed = {crash.target for crash in self.crashes_of(job) if crash.is_probable_crash()}
        return len(crashed) >= _ISOLATING_CRASHES

    def is_likely_cause(
        self, job: identifiers.JobId, task: identifiers.TaskName, now: datetime.datetime
    ) -> bool:
        """Return whether a target was lost as soon after a task's start as under poison tasks."""
        limit_ms = self._likely_within_ms if self._has_recent_poison(now) else _MAX_LIKELY_MS
        return any(crash.ran_ms <= limit_ms for crash in self.crashes_under(job, task))


def _weight(crash: Crash) -> tuple[int, bool]:
    return _WEIGHT_BY_EVIDENCE[crash.evidence], crash.was_running


def _count_incarnations(crashes: list[Crash]) -> int:
    """Count lost incarnations; an unknown one is taken for a known one of the same target."""
    known = {(crash.target, crash.started_at_ms) for crash in crashes if crash.started_at_ms}
    targets = {target for target, _ in known}
    unknown = {crash.target for crash in crashes if not crash.started_at_ms}
    return len(known) + len(unknown - targets)


def to_unix_ms(now: datetime.datetime) -> int:
    """Return a time of day in Unix milliseconds."""
    return int(now.timestamp() * 1000)

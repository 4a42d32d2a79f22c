"""Which tasks were on targets that crashed, and which tasks must not start again for it.

A task that crashes each target that starts it takes the runs of other callers with it. What is
known of such tasks outlasts the job and the node that ran it, as callers send jobs again.
"""

import datetime
import enum

import msgspec

from chiveridge_pool import identifiers

MAX_CRASHES = 2
"""Crashes under a task after which it is given up, as the users allow."""

MAX_UNEXPLAINED_ENDS = 4
"""Starts without a known outcome, crashes included, after which a task is given up.

The users allow two starts after three targets have crashed; a silent target may have crashed.
"""

KEPT_FOR = datetime.timedelta(minutes=10)
"""Time for which a crash is remembered; far longer than callers send a job again."""

ISOLATING_FOR = datetime.timedelta(seconds=30)
"""Time after a task was found to crash targets for which suspects run by themselves."""

_MAX_LIKELY_MS = 250.0
"""Run time at a crash up to which a task is its likely cause, until a cause has been found."""

_LIKELY_FACTOR = 3.0
"""Factor on the run time after which tasks have been found to crash their targets."""

_ISOLATING_CRASHES = 2
"""Targets that crashed under a job, after which its suspects run by themselves at once."""

_MAX_JOBS = 2000
"""Jobs remembered; the ones with the oldest crashes are forgotten first."""


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A run that was on a target as the target crashed or fell silent.

    ``started_at_ms`` is the start of the target's incarnation in Unix milliseconds, or 0 if it is
    unknown. ``is_certain`` tells a crash from silence. ``recorded_at_ms`` is the time of day in
    Unix milliseconds. ``ran_ms`` is how long ago the run was started, in milliseconds. Add new
    fields at the end.
    """

    job: identifiers.JobId
    task: identifiers.TaskName
    target: identifiers.TargetId
    started_at_ms: int
    is_certain: bool
    recorded_at_ms: int
    ran_ms: float = 0.0

    def is_expired(self, now: datetime.datetime) -> bool:
        """Tell whether it need not be remembered any more."""
        return self.age(now) > KEPT_FOR

    def age(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the time since it was recorded; clocks of nodes may differ."""
        return datetime.timedelta(milliseconds=max(to_unix_ms(now) - self.recorded_at_ms, 0))


class Finding(enum.Enum):
    """What the crashes under a task mean for it."""

    NONE = "none"
    SUSPECT = "suspect"
    CULPRIT = "culprit"
    UNEXPLAINED = "unexplained"


_Incarnation = tuple[identifiers.TargetId, int]
_CrashesByTask = dict[identifiers.TaskName, dict[_Incarnation, Crash]]


class CrashHistory:
    """The crashes that are known to this node, by job and task."""

    def __init__(self):
        self._by_job: dict[identifiers.JobId, _CrashesByTask] = {}
        self._culprit_found_at: datetime.datetime | None = None
        self._likely_within_ms = _MAX_LIKELY_MS

    def record(self, crash: Crash, now: datetime.datetime) -> bool:
        """Remember a crash; return whether it tells anything new."""
        if crash.is_expired(now):
            return False
        by_task = self._by_job.get(crash.job, {})
        crashes = by_task.setdefault(crash.task, {})
        incarnation = (crash.target, crash.started_at_ms)
        known = crashes.get(incarnation)
        if known is not None and known.is_certain >= crash.is_certain:
            return False
        crashes[incarnation] = crash
        # Inserted anew, so that the jobs stay in the order of their last crashes.
        self._by_job.pop(crash.job, None)
        self._by_job[crash.job] = by_task
        if len(self._by_job) > _MAX_JOBS:
            del self._by_job[next(iter(self._by_job))]
        if self.finding(crash.job, crash.task) is Finding.CULPRIT:
            self._learn_from_culprit(crash, now)
        return True

    def _learn_from_culprit(self, crash: Crash, now: datetime.datetime) -> None:
        """Remember when a culprit was found, and how soon after their start culprits crash."""
        crashes = self._crashes_under(crash.job, crash.task)
        ran_ms = max(known.ran_ms for known in crashes if known.is_certain)
        is_first = not self._has_recent_culprit(now)
        likely_ms = 0.0 if is_first else self._likely_within_ms
        self._likely_within_ms = min(max(likely_ms, _LIKELY_FACTOR * ran_ms), _MAX_LIKELY_MS)
        found_at = now - crash.age(now)
        self._culprit_found_at = max(self._culprit_found_at or found_at, found_at)

    def _has_recent_culprit(self, now: datetime.datetime) -> bool:
        found_at = self._culprit_found_at
        return found_at is not None and now - found_at < ISOLATING_FOR

    def _crashes_under(self, job: identifiers.JobId, task: identifiers.TaskName) -> list[Crash]:
        return list(self._by_job.get(job, {}).get(task, {}).values())

    def knows(
        self,
        job: identifiers.JobId,
        task: identifiers.TaskName,
        target: identifiers.TargetId,
    ) -> bool:
        """Return whether a crash or the silence of a target under a task is known."""
        return any(crash.target == target for crash in self._crashes_under(job, task))

    def forget_expired(self, now: datetime.datetime) -> None:
        """Forget the jobs whose crashes have all expired."""
        for job in list(self._by_job):
            if all(crash.is_expired(now) for crash in self._crashes_of(job)):
                del self._by_job[job]

    def _crashes_of(self, job: identifiers.JobId) -> list[Crash]:
        by_task = self._by_job.get(job, {})
        return [crash for crashes in by_task.values() for crash in crashes.values()]

    def all(self) -> list[Crash]:
        """Return all crashes."""
        return [crash for job in self._by_job for crash in self._crashes_of(job)]

    def finding(self, job: identifiers.JobId, task: identifiers.TaskName) -> Finding:
        """Return what the crashes under a task mean for it."""
        crashes = self._crashes_under(job, task)
        if not crashes:
            return Finding.NONE
        if _count_incarnations([crash for crash in crashes if crash.is_certain]) >= MAX_CRASHES:
            return Finding.CULPRIT
        if _count_incarnations(crashes) >= MAX_UNEXPLAINED_ENDS:
            return Finding.UNEXPLAINED
        return Finding.SUSPECT

    def must_isolate(
        self, job: identifiers.JobId, task: identifiers.TaskName, now: datetime.datetime
    ) -> bool:
        """Return whether a task may start only where nothing else runs.

        Targets crash for other reasons too. So that is only required while there are tasks that
        crash targets, or if several targets have crashed under the job.
        """
        if self.finding(job, task) is Finding.NONE:
            return False
        if self._has_recent_culprit(now):
            return True
        crashed = {crash.target for crash in self._crashes_of(job) if crash.is_certain}
        return len(crashed) >= _ISOLATING_CRASHES

    def is_likely_culprit(
        self, job: identifiers.JobId, task: identifiers.TaskName, now: datetime.datetime
    ) -> bool:
        """Return whether a target crashed as soon after a task's start as culprits crash theirs."""
        limit_ms = self._likely_within_ms if self._has_recent_culprit(now) else _MAX_LIKELY_MS
        return any(crash.ran_ms <= limit_ms for crash in self._crashes_under(job, task))

    def worst_finding(self, job: identifiers.JobId) -> Finding:
        """Return the finding that decides whether a job may go on."""
        findings = {self.finding(job, task) for task in self._by_job.get(job, {})}
        return next((finding for finding in _WORST_FIRST if finding in findings), Finding.NONE)


_WORST_FIRST = (Finding.CULPRIT, Finding.UNEXPLAINED, Finding.SUSPECT)


def _count_incarnations(crashes: list[Crash]) -> int:
    """Count lost incarnations; an unknown one is taken for a known one of the same target."""
    known = {(crash.target, crash.started_at_ms) for crash in crashes if crash.started_at_ms}
    targets = {target for target, _ in known}
    unknown = {crash.target for crash in crashes if not crash.started_at_ms}
    return len(known) + len(unknown - targets)


def to_unix_ms(now: datetime.datetime) -> int:
    """Return a time of day in Unix milliseconds."""
    return int(now.timestamp() * 1000)

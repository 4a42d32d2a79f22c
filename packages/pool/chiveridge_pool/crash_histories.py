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

_LIKELY_WITHIN_MS = 250.0
"""Run time at the crash up to which a task is its likely cause; others have run for a while."""

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
        return to_unix_ms(now) - self.recorded_at_ms > KEPT_FOR / datetime.timedelta(milliseconds=1)


class Finding(enum.Enum):
    """What the crashes under a task mean for it."""

    NONE = "none"
    SUSPECT = "suspect"
    CULPRIT = "culprit"
    UNEXPLAINED = "unexplained"


class CrashHistory:
    """The crashes that are known to this node, by job."""

    def __init__(self):
        self._crashes_by_job: dict[identifiers.JobId, dict[tuple, Crash]] = {}
        self._culprit_found_at: datetime.datetime | None = None

    def record(self, crash: Crash, now: datetime.datetime) -> bool:
        """Remember a crash; return whether it tells anything new."""
        if crash.is_expired(now):
            return False
        crashes = self._crashes_by_job.get(crash.job, {})
        key = (crash.task, crash.target, crash.started_at_ms)
        known = crashes.get(key)
        if known is not None and known.is_certain >= crash.is_certain:
            return False
        crashes[key] = crash
        # Inserted anew, so that the jobs stay in the order of their last crashes.
        self._crashes_by_job.pop(crash.job, None)
        self._crashes_by_job[crash.job] = crashes
        if self.finding(crash.job, crash.task) is Finding.CULPRIT:
            self._culprit_found_at = now
        if len(self._crashes_by_job) > _MAX_JOBS:
            del self._crashes_by_job[next(iter(self._crashes_by_job))]
        return True

    def knows(self, task: identifiers.TaskName, target: identifiers.TargetId, job) -> bool:
        """Return whether a crash of a target under a task is known."""
        return any(
            crash.task == task and crash.target == target
            for crash in self._crashes_by_job.get(job, {}).values()
        )

    def forget_expired(self, now: datetime.datetime) -> None:
        """Forget the jobs whose crashes have all expired."""
        for job, crashes in list(self._crashes_by_job.items()):
            if all(crash.is_expired(now) for crash in crashes.values()):
                del self._crashes_by_job[job]

    def all(self) -> list[Crash]:
        """Return all crashes."""
        return [crash for crashes in self._crashes_by_job.values() for crash in crashes.values()]

    def finding(self, job: identifiers.JobId, task: identifiers.TaskName) -> Finding:
        """Return what the crashes under a task mean for it."""
        crashes = [
            crash for crash in self._crashes_by_job.get(job, {}).values() if crash.task == task
        ]
        if not crashes:
            return Finding.NONE
        crash_count = _count_incarnations([crash for crash in crashes if crash.is_certain])
        if crash_count >= MAX_CRASHES:
            return Finding.CULPRIT
        crashed = {crash.target for crash in crashes if crash.is_certain}
        silent = {crash.target for crash in crashes} - crashed
        if crash_count + len(silent) >= MAX_UNEXPLAINED_ENDS:
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
        found_at = self._culprit_found_at
        if found_at is not None and now - found_at < ISOLATING_FOR:
            return True
        crashes = self._crashes_by_job[job].values()
        crashed = {crash.target for crash in crashes if crash.is_certain}
        return len(crashed) >= _ISOLATING_CRASHES

    def is_likely_culprit(self, job: identifiers.JobId, task: identifiers.TaskName) -> bool:
        """Return whether a task had just started when a target crashed under it."""
        return any(
            crash.task == task and crash.ran_ms <= _LIKELY_WITHIN_MS
            for crash in self._crashes_by_job.get(job, {}).values()
        )

    def worst_finding(self, job: identifiers.JobId) -> Finding:
        """Return the finding that decides whether a job may go on."""
        tasks = {crash.task for crash in self._crashes_by_job.get(job, {}).values()}
        findings = {self.finding(job, task) for task in tasks}
        return next((finding for finding in _WORST_FIRST if finding in findings), Finding.NONE)


_WORST_FIRST = (Finding.CULPRIT, Finding.UNEXPLAINED, Finding.SUSPECT)


def _count_incarnations(crashes: list[Crash]) -> int:
    """Count crashed incarnations; an unknown one is taken for a known one of the same target."""
    known = {(crash.target, crash.started_at_ms) for crash in crashes if crash.started_at_ms}
    targets = {target for target, _ in known}
    unknown = {crash.target for crash in crashes if not crash.started_at_ms}
    return len(known) + len(unknown - targets)


def to_unix_ms(now: datetime.datetime) -> int:
    """Return a time of day in Unix milliseconds."""
    return int(now.timestamp() * 1000)

"""Spreads what is known of crashed targets: to the nodes that are heard, and to the store."""

import datetime
from collections.abc import Iterable

from chiveridge_kernel import clocks
from chiveridge_pool import (
    actions,
    crash_histories,
    grants,
    identifiers,
    members,
    messages,
    outboxes,
    owned_targets,
)

_MAX_CRASHES_PER_MESSAGE = 500
_FORGET_INTERVAL = datetime.timedelta(seconds=30)


class CrashReports:
    """Records crashes and reports those that are new.

    Nodes that this one does not hear, and nodes that start later, read them from the store.
    """

    def __init__(self, table: members.Membership, outbox: outboxes.Outbox):
        self._members = table
        self._outbox = outbox
        self.history = crash_histories.CrashHistory()
        self._next_forget_at: datetime.datetime | None = None

    def report_target(
        self,
        owned: owned_targets.OwnedTarget,
        lost: Iterable[grants.Grant],
        now: datetime.datetime,
        *,
        is_certain: bool,
    ) -> None:
        """Report the runs that an owned target has lost by a crash or by silence.

        A target has crashed under a run only if it has confirmed the start, and no stop was sent.
        """
        crashes = [
            crash_histories.Crash(
                grant.job,
                grant.task,
                owned.target.id,
                owned.started_at_ms,
                is_certain and grant.was_certainly_running(),
                crash_histories.to_unix_ms(now),
                clocks.to_ms(now - grant.first_sent_at),
            )
            for grant in lost
        ]
        self._report(crashes, now)

    def report_run(
        self,
        job: identifiers.JobId,
        task: identifiers.TaskName,
        target: identifiers.TargetId,
        started_at: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        """Report a run that was lost without a word on its target by the target's owner."""
        if self.history.knows(job, task, target):
            return
        crash = crash_histories.Crash(
            job,
            task,
            target,
            started_at_ms=0,
            is_certain=False,
            recorded_at_ms=crash_histories.to_unix_ms(now),
            ran_ms=clocks.to_ms(now - started_at),
        )
        self._report([crash], now)

    def _report(self, crashes: list[crash_histories.Crash], now: datetime.datetime) -> None:
        new = tuple(crash for crash in crashes if self.history.record(crash, now))
        if not new:
            return
        self._outbox.add(actions.PublishCrashes(crashes=new))
        message = messages.CrashesReported(sender=self._members.own_id, crashes=new)
        for member in self._members.live(now):
            self._outbox.send(member.id, message)

    def record_all(
        self, crashes: Iterable[crash_histories.Crash], now: datetime.datetime
    ) -> set[identifiers.JobId]:
        """Record crashes told by others; return the jobs of which anything new was told."""
        return {crash.job for crash in crashes if self.history.record(crash, now)}

    def send_all(self, member: members.Member) -> None:
        """Send all that is known to a node that has just started."""
        crashes = self.history.all()
        for start in range(0, len(crashes), _MAX_CRASHES_PER_MESSAGE):
            batch = tuple(crashes[start : start + _MAX_CRASHES_PER_MESSAGE])
            message = messages.CrashesReported(sender=self._members.own_id, crashes=batch)
            self._outbox.send(member.id, message)

    def tick(self, now: datetime.datetime) -> None:
        """Forget what has expired."""
        if self._next_forget_at is None or now >= self._next_forget_at:
            self._next_forget_at = now + _FORGET_INTERVAL
            self.history.forget_expired(now)

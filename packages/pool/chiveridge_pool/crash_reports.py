"""Spreads what is known of lost targets: to the nodes that are heard, and to the store."""

import datetime
from collections.abc import Iterable

import msgspec

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
    """Records lost targets and reports those that are new.

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
        evidence: crash_histories.Evidence,
        now: datetime.datetime,
    ) -> None:
        """Report the runs that were on an owned target as it was lost."""
        crashes = [
            crash_histories.Crash(
                job=grant.job,
                task=grant.task,
                target=owned.target.id,
                started_at_ms=owned.started_at_ms,
                evidence=evidence,
                was_running=owned.was_running_lately(grant, now),
                recorded_at_ms=crash_histories.to_unix_ms(now),
                ran_ms=clocks.to_ms(now - grant.first_sent_at),
                reporter=self._members.own_id,
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
            job=job,
            task=task,
            target=target,
            started_at_ms=0,
            evidence=crash_histories.Evidence.SILENT,
            was_running=False,
            recorded_at_ms=crash_histories.to_unix_ms(now),
            ran_ms=clocks.to_ms(now - started_at),
            reporter=self._members.own_id,
        )
        self._report([crash], now)

    def report_incarnation(
        self, target: identifiers.TargetId, started_at_ms: int | None, now: datetime.datetime
    ) -> None:
        """Report whether a target that refused connections had crashed, now that it answers.

        ``started_at_ms`` is the start of the incarnation that answers, 0 if it is unknown, or None
        if another target answers at the address.
        """
        if started_at_ms == 0:
            return
        explained = [
            msgspec.structs.replace(
                crash,
                evidence=(
                    crash_histories.Evidence.ALIVE
                    if crash.started_at_ms == started_at_ms
                    else crash_histories.Evidence.RESTARTED
                ),
                reporter=self._members.own_id,
            )
            for crash in self.history.refused_by(target)
            if crash.started_at_ms
        ]
        self._report(explained, now)

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
        """Send all that is known to a node that was not heard before, or not for some time."""
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

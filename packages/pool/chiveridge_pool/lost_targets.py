"""Ends the runs on owned targets that have crashed, or with which contact was lost."""

import datetime
from typing import TYPE_CHECKING

from chiveridge_pool import (
    crash_histories,
    crash_reports,
    grants,
    notes,
    orphaned_grants,
    outboxes,
    owned_targets,
    runs,
    targets,
    timings,
)

if TYPE_CHECKING:
    from chiveridge_pool import target_owners

REPLACED = "another instance answers at its address"
REFUSES = "the target refuses connections"
SILENT = "the target is silent"


class LostTargets:
    """Decides when the runs of a lost target have ended, and reports what was lost with it."""

    def __init__(
        self,
        outbox: outboxes.Outbox,
        target_owner: "target_owners.TargetOwner",
        orphaned: orphaned_grants.OrphanedGrants,
        reports: crash_reports.CrashReports,
    ):
        self._outbox = outbox
        self._target_owner = target_owner
        self._orphaned = orphaned
        self._reports = reports

    def end_incarnation(
        self, owned: owned_targets.OwnedTarget, reason: str, now: datetime.datetime
    ) -> None:
        """End the grants of a previous incarnation of a target, and release the target.

        The new incarnation may have executed a recent start, or still execute it. Such a grant is
        orphaned.
        """
        self._report(owned, crash_histories.Evidence.RESTARTED, reason, now)
        self._target_owner.orders.preferences.speeds.forget(owned.target.id)
        for grant in owned.sent_grants():
            if not owned.was_running_at_last_reply(grant):
                self._orphan(owned, grant, _ends_in_next_incarnation_at(grant, now))
        self._end_grants(owned, reason)
        self._target_owner.release_target(owned)

    def end_refusing(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Release a target that refuses connections, as after a crash or behind a cut.

        Behind a cut its runs go on until their lease has expired.
        """
        self._report(owned, crash_histories.Evidence.REFUSED, REFUSES, now)
        for grant in owned.sent_grants():
            ends_at = owned.lease_expires_at
            if not owned.was_running_at_last_reply(grant):
                ends_at = _ends_in_next_incarnation_at(grant, now)
            self._orphan(owned, grant, ends_at)
        self._end_grants(owned, REFUSES)
        self._target_owner.release_target(owned)

    def expire_runs(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """End the runs of a silent target whose lease has expired, and release it.

        A target may have been restarted and execute a start without a reply late. Such a run ends
        when the target has accepted a higher token, or when its task must be retried to be in time.
        """
        if not owned.sent_grants():
            return
        self._report(owned, crash_histories.Evidence.SILENT, SILENT, now)
        for grant in owned.sent_grants():
            ends_at = min(_ends_in_next_incarnation_at(grant, now), grant.retry_by)
            if grant.is_start_unanswered() and ends_at > now:
                self._orphan(owned, grant, ends_at, runs.RunEnd.LAPSED)
            else:
                self._target_owner.end_grant(owned, grant, runs.RunEnd.LAPSED, SILENT)
        self._target_owner.release_target(owned)

    def end_replaced(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Release a target whose address now belongs to another instance.

        The other instance rejects all requests that are meant for this target.
        """
        self._report(owned, crash_histories.Evidence.RESTARTED, REPLACED, now)
        self._end_grants(owned, REPLACED)
        self._target_owner.release_target(owned)

    def _orphan(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        ends_at: datetime.datetime,
        how: runs.RunEnd | None = None,
    ) -> None:
        owned.remove(grant)
        self._orphaned.add(grant, owned.target.id, ends_at, how or _end_with(owned.target))

    def _end_grants(self, owned: owned_targets.OwnedTarget, reason: str) -> None:
        for grant in list(owned.grants_by_id.values()):
            how = _end_with(owned.target) if grant.is_sent() else runs.RunEnd.REFUSED
            self._target_owner.end_grant(owned, grant, how, reason)

    def _report(
        self,
        owned: owned_targets.OwnedTarget,
        evidence: crash_histories.Evidence,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        """Report and log the runs on a lost target; a draining one leaves as planned."""
        lost = owned.sent_grants()
        if not lost or owned.target.is_draining:
            return
        self._reports.report_target(owned, lost, evidence, now)
        self._outbox.note(
            notes.NoteEvent.TARGET_LOST,
            target=owned.target.id,
            started_at_ms=owned.started_at_ms,
            evidence=evidence.value,
            reason=reason,
            runs=[
                (
                    grant.task,
                    grant.run,
                    notes.to_ms(now - grant.first_sent_at),
                    owned.was_running_lately(grant, now),
                )
                for grant in lost
            ],
        )


def _ends_in_next_incarnation_at(grant: grants.Grant, now: datetime.datetime) -> datetime.datetime:
    """Return by when a run has ended that the next incarnation of a target may have started.

    A start without a reply may be executed late, until the next owner's token fences it off.
    """
    executed_by = now
    if grant.is_start_unanswered():
        executed_by = max(now, grant.first_sent_at + timings.LATE_ORDER_TIME)
    return executed_by + timings.LEASE_EXPIRED_AFTER


def _end_with(target: targets.Target) -> runs.RunEnd:
    """Return how runs end with their target; one that leaves as planned has not crashed."""
    return runs.RunEnd.LOST if target.is_draining else runs.RunEnd.CRASHED

"""Ends the runs on owned targets that have crashed, or with which contact was lost."""

import datetime
from typing import TYPE_CHECKING

from chiveridge_pool import (
    crash_histories,
    crash_reports,
    end_proofs,
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
GIVEN_UP = "the target was given up"


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
        """End the grants of a previous incarnation of a target, and release the target."""
        self._report(owned, crash_histories.Evidence.RESTARTED, reason, now)
        self._target_owner.orders.forget_target(owned.target.id)
        self._end_runs(owned, crash_histories.Evidence.RESTARTED, reason, now)
        self._target_owner.release_target(owned)

    def end_refusing(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Release a target that refuses connections, as after a crash or behind a cut."""
        self._report(owned, crash_histories.Evidence.REFUSED, REFUSES, now)
        self._end_runs(owned, crash_histories.Evidence.REFUSED, REFUSES, now)
        self._target_owner.release_target(owned)

    def expire_runs(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """End the runs of a silent target whose lease has expired, and release it."""
        if not owned.sent_grants():
            return
        self._report(owned, crash_histories.Evidence.SILENT, SILENT, now)
        self._end_runs(owned, crash_histories.Evidence.SILENT, SILENT, now)
        self._target_owner.release_target(owned)

    def give_up(
        self, owned: owned_targets.OwnedTarget, now: datetime.datetime, *, is_fenced: bool
    ) -> None:
        """Orphan the runs of a target that is given up.

        One that ``is_fenced`` has accepted a higher token and executes no unanswered attempt.
        """
        for grant in owned.sent_grants():
            ends_at, proof = owned.lease_expires_at, end_proofs.EndProof.FENCED_EXPIRED
            if not is_fenced:
                ends_at, proof = _ending_if_silent(owned, grant, now)
            self._orphaned.add(grant, owned.target.id, ends_at, runs.RunEnd.LOST, proof)
        self._end_unsent(owned, GIVEN_UP, now)

    def end_replaced(self, owned: owned_targets.OwnedTarget, now: datetime.datetime) -> None:
        """Release a target whose address now belongs to another instance.

        The other instance rejects all requests that are meant for this target.
        """
        self._report(owned, crash_histories.Evidence.RESTARTED, REPLACED, now)
        for grant in owned.sent_grants():
            proof = end_proofs.EndProof.INSTANCE_REPLACED
            end = _end_with(owned.target)
            self._target_owner.end_grant(owned, grant, end, proof, REPLACED, now)
        self._end_unsent(owned, REPLACED, now)
        self._target_owner.release_target(owned)

    def _end_runs(
        self,
        owned: owned_targets.OwnedTarget,
        evidence: crash_histories.Evidence,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        """End the runs that are certainly over, and orphan those that may go on or start late."""
        is_silent = evidence is crash_histories.Evidence.SILENT
        how = runs.RunEnd.LAPSED if is_silent else _end_with(owned.target)
        for grant in owned.sent_grants():
            ends_at, proof = _ENDING_BY_EVIDENCE[evidence](owned, grant, now)
            if ends_at > now:
                owned.remove(grant)
                self._orphaned.add(grant, owned.target.id, ends_at, how, proof)
                self._outbox.notify_unanswered(grant, now)
            else:
                self._target_owner.end_grant(owned, grant, how, proof, reason, now)
        self._end_unsent(owned, reason, now)

    def _end_unsent(
        self, owned: owned_targets.OwnedTarget, reason: str, now: datetime.datetime
    ) -> None:
        """End the grants whose starts were not sent."""
        for grant in list(owned.grants_by_id.values()):
            if not grant.is_sent():
                proof = end_proofs.EndProof.NEVER_SENT
                self._target_owner.end_grant(owned, grant, runs.RunEnd.REFUSED, proof, reason, now)

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


_Ending = tuple[datetime.datetime, end_proofs.EndProof]
"""When a run on a lost target counts as ended, and on which proof."""


def _ending_after_restart(
    owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
) -> _Ending:
    """Return by when a run has ended in the next incarnation of its target, if it ran there.

    The next incarnation may have executed a start that its predecessor is not known to run, and may
    execute an unanswered attempt until a claim fences it off.
    """
    if owned.was_running_at_last_reply(grant) and not grant.attempts.may_run(now):
        return now, end_proofs.EndProof.INCARNATION_ENDED
    ends_at = grant.attempts.executable_until(now) + timings.LEASE_EXPIRED_AFTER
    return ends_at, end_proofs.EndProof.LEASE_EXPIRED


def _ending_if_alive(
    owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
) -> _Ending:
    """Return the same for a target that may also go on behind a cut, until its lease expires."""
    ends_at, _ = _ending_after_restart(owned, grant, now)
    return max(owned.lease_expires_at, ends_at), end_proofs.EndProof.LEASE_EXPIRED


def _ending_if_silent(
    owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
) -> _Ending:
    """Return the same for a silent target, or when the task must be retried to be in time."""
    if not grant.attempts.may_run(now):
        return max(owned.lease_expires_at, now), end_proofs.EndProof.LEASE_EXPIRED
    ends_at, proof = _ending_after_restart(owned, grant, now)
    if grant.retry_by < ends_at:
        ends_at, proof = grant.retry_by, end_proofs.EndProof.RETRY_DUE
    return max(owned.lease_expires_at, ends_at), proof


_ENDING_BY_EVIDENCE = {
    crash_histories.Evidence.RESTARTED: _ending_after_restart,
    crash_histories.Evidence.REFUSED: _ending_if_alive,
    crash_histories.Evidence.SILENT: _ending_if_silent,
}
"""Function that returns the ending of a run on a lost target, by the evidence."""


def _end_with(target: targets.Target) -> runs.RunEnd:
    """Return how runs end with their target; one that leaves as planned has not crashed."""
    return runs.RunEnd.LOST if target.is_draining else runs.RunEnd.CRASHED

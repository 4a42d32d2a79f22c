"""Reports the ends of runs, as their owner sees them, to their jobs' nodes and to the log."""

import datetime

from chiveridge_pool import end_proofs, grants, identifiers, notes, outboxes, runs

_HANDED_OVER = "handed_over"


class RunEnds:
    """Reports each end with its proof, and refuses a proof that does not suffice."""

    def __init__(self, outbox: outboxes.Outbox):
        self._outbox = outbox

    def report(
        self,
        grant: grants.Grant,
        target: identifiers.TargetId,
        how: runs.RunEnd,
        proof: end_proofs.EndProof,
        reason: str,
        now: datetime.datetime,
    ) -> bool:
        """Report the end of a run, and return True.

        Return False, reporting nothing, if an unanswered attempt may still be executed and the
        proof says nothing of it.
        """
        if not end_proofs.may_end(proof, may_run=grant.attempts.may_run(now)):
            return False
        self._outbox.queue_end(grant.node, grant.id, how, proof)
        if not grant.attempts.is_ordinary() or not end_proofs.is_proven(proof):
            self._log_attempts(grant, target, how.value, proof)
        if how is not runs.RunEnd.DONE:
            self._outbox.note(
                notes.NoteEvent.RUN_ENDED,
                job=grant.job,
                task=grant.task,
                run=grant.run,
                target=target,
                how=how.value,
                proof=proof.value,
                reason=reason,
                attempts=grant.attempts.sent,
                unanswered=grant.attempts.unanswered_count(),
            )
        return True

    def report_unknown(
        self,
        node: identifiers.NodeId,
        grant: identifiers.GrantId,
        how: runs.RunEnd,
        proof: end_proofs.EndProof,
    ) -> None:
        """Report the end of a run of which this owner has no record."""
        self._outbox.queue_end(node, grant, how, proof)

    def log_handed_over(self, grant: grants.Grant, target: identifiers.TargetId) -> None:
        """Log the attempts of a run that changes its owner, which the new owner does not know."""
        if not grant.attempts.is_ordinary():
            self._log_attempts(grant, target, _HANDED_OVER, None)

    def _log_attempts(
        self,
        grant: grants.Grant,
        target: identifiers.TargetId,
        how: str,
        proof: end_proofs.EndProof | None,
    ) -> None:
        """Log the attempts of a run's start, with their answers."""
        rows = grant.attempts.rows()
        self._outbox.note(
            notes.NoteEvent.RUN_ATTEMPTS,
            job=grant.job,
            task=grant.task,
            run=grant.run,
            target=target,
            token=grant.token,
            how=how,
            proof=None if proof is None else proof.value,
            is_proven=proof is None or end_proofs.is_proven(proof),
            attempts=rows,
            unlisted=grant.attempts.sent - len(rows),
            unanswered=grant.attempts.unanswered_count(),
            stops=grant.stops_sent,
            stop_answer=grant.stop_answer,
        )

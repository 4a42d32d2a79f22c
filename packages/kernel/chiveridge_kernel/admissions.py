"""Admission of submissions on one node.

Issues submission ids, admits each id at most once, and looks up the running job or the stored
answer of an id. A refusal says ``not_run`` only if no task was started under the id and none
will be.
"""

import datetime
from collections.abc import Callable

from chiveridge_kernel import (
    actions,
    admission_checks,
    answers,
    clocks,
    dispatchers,
    errors,
    events,
    identifiers,
    jobs,
    ledgers,
    messages,
    results,
    submission_ids,
)

_RETRY_AFTER_MS_BY_CODE = {
    results.ResultCode.DRAINING: 0,
    results.ResultCode.NOT_READY: admission_checks.RETRY_AFTER_MS,
    results.ResultCode.OVERLOADED: admission_checks.RETRY_AFTER_MS,
    results.ResultCode.QUOTA_EXCEEDED: admission_checks.RETRY_AFTER_MS,
    results.ResultCode.DEADLINE_UNREACHABLE: 0,
}


class Admissions:
    """Admits each submission id at most once.

    ``check_serving`` raises :class:`errors.RefusedError` while the node accepts no new jobs.
    """

    def __init__(
        self,
        issuer: submission_ids.Issuer,
        dispatcher: dispatchers.Dispatcher,
        answer_store: answers.AnswerStore,
        check_serving: Callable[[], None],
    ):
        self._issuer = issuer
        self._dispatcher = dispatcher
        self._answers = answer_store
        self._check_serving = check_serving
        self._ledger = ledgers.SubmissionLedger()
        self._digests_by_running_job: dict[identifiers.SubmissionId, bytes] = {}

    def issue(
        self, team: identifiers.TeamName, count: int, now: datetime.datetime
    ) -> messages.IdsAnswer:
        """Issue submission ids to a team.

        :raises errors.RefusedError: when this node is draining or not ready.
        """
        self._check_serving()
        batch = self._issuer.issue(team, count, now)
        self._ledger.note_issued(batch.serials, batch.expires_at_ms)
        return messages.IdsAnswer(
            results.ResultCode.ACCEPTED, batch.submission_ids, batch.expires_at_ms
        )

    def find(
        self,
        submission_id: identifiers.SubmissionId,
        team: identifiers.TeamName,
        now: datetime.datetime,
    ) -> answers.StoredAnswer | jobs.Job:
        """Return the stored answer to a team's submission, or its job while it runs.

        :raises errors.RefusedError: when the team has neither under the id.
        """
        found = self._find_for_team(submission_id, team)
        if found is not None:
            return found
        self._check_unused(self._check_issued(submission_id, team, now))
        message = f"submission_id: nothing was submitted so far under {submission_id!r}"
        raise errors.RefusedError(
            results.ResultCode.UNKNOWN_SUBMISSION, message, ran=results.TaskOutcome.UNKNOWN
        )

    def submit(self, event: events.SubmissionReceived, now: datetime.datetime) -> None:
        """Admit a submission; repeating it with the same content has no effect.

        A refusal after the checks of the id and its lifetime is final for the id: later copies of
        the submission get the same refusal, so that a caller can rely on a ``not_run`` outcome.
        """
        submission_id = identifiers.SubmissionId(event.submission.submission_id)
        if not self._issuer.verify(submission_id, event.team):
            message = f"submission_id: {submission_id!r} was not issued to team {event.team!r} here"
            raise errors.RefusedError(results.ResultCode.UNKNOWN_SUBMISSION, message)
        found = self._find_for_team(submission_id, event.team)
        if found is not None:
            self._check_same_content(submission_id, found, event.digest)
            return
        serial = _check_unexpired(submission_id, now)
        self._check_unused(serial)
        _check_lifetime(submission_id, event.submission.deadline_ms, now)
        # Marks the id as used before any task starts, so that an exception in between cannot let
        # a later copy of the submission start its tasks again.
        self._ledger.admit(serial)
        self._digests_by_running_job[submission_id] = event.digest
        try:
            self._check_serving()
            self._dispatcher.admit(event, now)
        except errors.RefusedError as refusal:
            self._ledger.refuse(serial, refusal.code)
            del self._digests_by_running_job[submission_id]
            raise

    def refuse_if_unused(
        self,
        submission_id: identifiers.SubmissionId,
        team: identifiers.TeamName,
        code: results.ResultCode,
        now: datetime.datetime,
    ) -> results.TaskOutcome:
        """Mark an unused id as refused when its submission is rejected before admission.

        Return ``NOT_RUN`` when no task ran under the id and none will, and ``UNKNOWN`` when the
        id was admitted, has expired, or was not issued to the team by this node.
        """
        try:
            serial = self._check_issued(submission_id, team, now)
        except errors.RefusedError:
            return results.TaskOutcome.UNKNOWN
        if self._ledger.is_admitted(serial):
            return results.TaskOutcome.UNKNOWN
        if self._ledger.refusal(serial) is None:
            self._ledger.refuse(serial, code)
        return results.TaskOutcome.NOT_RUN

    def drop_expired(self, now: datetime.datetime) -> None:
        """Drop the state of expired ids."""
        self._ledger.drop_expired(clocks.to_epoch_ms(now))

    def admitted_bitmaps(self) -> dict[int, bytes]:
        """Return bitmaps of the admitted ids; see :class:`ledgers.SubmissionLedger`."""
        return self._ledger.admitted_bitmaps()

    def cancel(
        self,
        submission_id: identifiers.SubmissionId,
        team: identifiers.TeamName,
        now: datetime.datetime,
    ) -> None:
        """Cancel a job; if nothing was submitted under the id yet, refuse later submissions.

        :raises errors.RefusedError: when the id is unknown, expired or refused before, or its
            answer is no longer stored.
        """
        if self._find_for_team(submission_id, team) is not None:
            self._dispatcher.cancel(submission_id, now)
            return
        serial = self._check_issued(submission_id, team, now)
        self._check_unused(serial)
        self._ledger.refuse(serial, results.ResultCode.CANCELLED)

    def _find_for_team(
        self, submission_id: identifiers.SubmissionId, team: identifiers.TeamName
    ) -> answers.StoredAnswer | jobs.Job | None:
        found = self._answers.find(submission_id) or self._dispatcher.jobs_by_id.get(submission_id)
        return found if found is not None and found.team == team else None

    def _check_issued(
        self,
        submission_id: identifiers.SubmissionId,
        team: identifiers.TeamName,
        now: datetime.datetime,
    ) -> int:
        """Check that an id was issued to the team and has not expired; return its serial."""
        if not self._issuer.verify(submission_id, team):
            message = f"submission_id: {submission_id!r} was not issued to team {team!r} here"
            raise errors.RefusedError(
                results.ResultCode.UNKNOWN_SUBMISSION, message, ran=results.TaskOutcome.UNKNOWN
            )
        return _check_unexpired(submission_id, now)

    def _check_unused(self, serial: int) -> None:
        code = self._ledger.refusal(serial)
        if code is not None:
            message = f"refused before with {code.name}; a refusal is final for its submission id"
            raise errors.RefusedError(code, message, _RETRY_AFTER_MS_BY_CODE.get(code))
        if self._ledger.is_admitted(serial):
            message = "the job has ended and its answer is no longer kept"
            raise errors.RefusedError(
                results.ResultCode.ANSWER_NOT_KEPT, message, ran=results.TaskOutcome.UNKNOWN
            )

    def _check_same_content(
        self,
        submission_id: identifiers.SubmissionId,
        found: answers.StoredAnswer | jobs.Job,
        digest: bytes,
    ) -> None:
        known_digest = getattr(found, "digest", None) or self._digests_by_running_job.get(
            submission_id
        )
        if known_digest is not None and known_digest != digest:
            message = "submission_id: it was used before with other content"
            raise errors.RefusedError(
                results.ResultCode.SUBMISSION_ID_REUSED, message, ran=results.TaskOutcome.UNKNOWN
            )

    def store_answer(self, action: actions.AnswerJob) -> None:
        """Store the final answer to a job."""
        submission_id = action.answer.submission_id
        kept = answers.StoredAnswer(
            team=action.team,
            code=action.answer.code,
            body=messages.encoder.encode(action.answer),
            digest=self._digests_by_running_job.pop(submission_id, None),
        )
        self._answers.put(submission_id, kept)


def _check_unexpired(submission_id: identifiers.SubmissionId, now: datetime.datetime) -> int:
    """Check that an id has not expired; return its serial."""
    issued = submission_ids.parse(submission_id)
    if issued.expires_at_ms <= clocks.to_epoch_ms(now):
        raise submission_ids.expired_id_error()
    return issued.serial


def _check_lifetime(
    submission_id: identifiers.SubmissionId, deadline_ms: int, now: datetime.datetime
) -> None:
    remaining_ms = submission_ids.parse(submission_id).expires_at_ms - clocks.to_epoch_ms(now)
    if deadline_ms > remaining_ms:
        message = (
            f"deadline_ms: {deadline_ms} is over the {remaining_ms} that the submission id has left"
        )
        raise errors.RefusedError(results.ResultCode.DEADLINE_TOO_LATE, message)

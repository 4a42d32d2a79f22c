"""Serves callers' requests, or forwards them to the node that issued the submission id."""

import asyncio
import contextlib
import datetime
import hashlib

import msgspec

from chiveridge_kernel import (
    actions,
    answers,
    clocks,
    dispatchers,
    errors,
    events,
    identifiers,
    jobs,
    messages,
    peers,
    results,
    submission_ids,
)
from chiveridge_node import kernel_runners, replies, request_forwarders

MAX_WAIT_MS = 300_000
MIN_CANCEL_WAIT_MS = dispatchers.START_WINDOW // datetime.timedelta(milliseconds=1)
"""Longest time until the issuer knows whether a start of a cancelled job can still begin."""

_DIGEST_BYTES = 16


class RequestHandler:
    """Serves submissions, queries and cancellations; ``forwarder`` sends them to other nodes."""

    def __init__(self, runner: kernel_runners.KernelRunner):
        self._runner = runner
        self._kernel = runner.kernel
        self._answer_events_by_id: dict[identifiers.SubmissionId, asyncio.Event] = {}
        self._stop_events_by_id: dict[identifiers.SubmissionId, asyncio.Event] = {}
        self.forwarder = request_forwarders.Forwarder(runner.kernel, runner.clock)

    def wake_answer_waiters(self, action) -> None:
        """Wake the requests that wait for the answer to a job."""
        event = self._answer_events_by_id.pop(action.answer.submission_id, None)
        if event is not None:
            event.set()

    def wake_stop_waiters(self, action: actions.NoteStopped) -> None:
        """Wake the requests that wait until a cancelled job can no longer start tasks."""
        event = self._stop_events_by_id.pop(action.submission_id, None)
        if event is not None:
            event.set()

    def issue_ids(self, team: identifiers.TeamName, body: bytes) -> replies.Reply:
        """Issue submission ids to a team."""
        try:
            count = messages.decode_ids_request(body).count
            answer = self._kernel.admissions.issue(team, count, self._runner.clock.now())
        except errors.RefusedError as error:
            return replies.from_refusal(error)
        return replies.Reply(code=answer.code, body=messages.encoder.encode(answer))

    def refuse_submission(
        self, error: errors.RefusedError, team: str, body: bytes
    ) -> errors.RefusedError:
        """Return the refusal of a submission that is rejected before it is decoded.

        Its ``ran`` is ``NOT_RUN`` only if that can be proved. An id in the body that this
        incarnation issued to the team is used up, so that a corrected copy of the request gets
        the same refusal.
        """
        submission_id = messages.decode_submission_id(body)
        ran = results.TaskOutcome.NOT_RUN
        if submission_id is not None:
            now = self._runner.clock.now()
            name = identifiers.TeamName(team)
            ran = self._kernel.admissions.refuse_if_unused(submission_id, name, error.code, now)
        return errors.RefusedError(error.code, error.message, error.retry_after_ms, ran)

    async def serve(
        self,
        operation: peers.Operation,
        team: identifiers.TeamName,
        submission_id: str,
        body: bytes = b"",
        wait_ms: int = 0,
    ) -> replies.Reply:
        """Serve a request, or forward it to the issuer of its id."""
        arrived_at = self._runner.earliest_arrival()
        request = peers.CallerRequest(
            request_id=0,
            sender=self._kernel.settings.node,
            operation=operation,
            team=team,
            submission_id=submission_id,
            body=body,
            wait_ms=min(wait_ms, MAX_WAIT_MS),
            arrived_at_ms=clocks.to_epoch_ms(arrived_at),
        )
        try:
            issued = submission_ids.parse(submission_id)
            if issued.incarnation == self._kernel.settings.incarnation:
                return await self._serve_locally(request, arrived_at)
            return await self._serve_at_issuer(issued, request)
        except errors.RefusedError as error:
            return replies.from_refusal(error)

    async def _serve_locally(
        self, request: peers.CallerRequest, arrived_at: datetime.datetime
    ) -> replies.Reply:
        """Serve a request whose id was issued by this incarnation."""
        submission_id = identifiers.SubmissionId(request.submission_id)
        try:
            _HANDLERS_BY_OPERATION[request.operation](self, request, arrived_at)
            if request.operation is peers.Operation.CANCEL:
                await self._wait_until_stopped(submission_id)
            return await self._reply_with_answer(request.team, submission_id, request.wait_ms)
        except errors.RefusedError as error:
            return replies.from_refusal(error)

    def _submit(self, request: peers.CallerRequest, arrived_at: datetime.datetime) -> None:
        submission = messages.decode_submission(request.body)
        digest = hashlib.blake2b(request.body, digest_size=_DIGEST_BYTES).digest()
        self._runner.handle(
            events.SubmissionReceived(
                team=request.team, submission=submission, digest=digest, arrived_at=arrived_at
            )
        )

    def _query(self, request: peers.CallerRequest, arrived_at: datetime.datetime) -> None:
        """Do nothing; the answer is looked up afterwards."""

    def _cancel(self, request: peers.CallerRequest, arrived_at: datetime.datetime) -> None:
        submission_id = identifiers.SubmissionId(request.submission_id)
        self._runner.handle(events.CancelReceived(team=request.team, submission_id=submission_id))

    async def _wait_until_stopped(self, submission_id: identifiers.SubmissionId) -> None:
        """Wait until no further start of a cancelled job can begin."""
        if self._kernel.dispatcher.stops.has_pending(submission_id):
            await self._stop_events_by_id.setdefault(submission_id, asyncio.Event()).wait()

    async def _reply_with_answer(
        self, team: identifiers.TeamName, submission_id: identifiers.SubmissionId, wait_ms: int
    ) -> replies.Reply:
        job_or_answer = self._find_job_or_answer(team, submission_id)
        if isinstance(job_or_answer, jobs.Job) and wait_ms > 0:
            answered = self._answer_events_by_id.setdefault(submission_id, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(answered.wait(), min(wait_ms, MAX_WAIT_MS) / 1000)
            job_or_answer = self._find_job_or_answer(team, submission_id)
        if isinstance(job_or_answer, jobs.Job):
            return self._running_reply(job_or_answer)
        self._kernel.answers.note_fetched(submission_id)
        return replies.Reply(code=job_or_answer.code, body=job_or_answer.body)

    def _find_job_or_answer(
        self, team: identifiers.TeamName, submission_id: identifiers.SubmissionId
    ) -> answers.StoredAnswer | jobs.Job:
        return self._kernel.admissions.find(submission_id, team, self._runner.clock.now())

    def _running_reply(self, job: jobs.Job) -> replies.Reply:
        code = results.ResultCode.ACCEPTED
        answer = messages.JobAnswer(
            submission_id=job.submission_id,
            state=results.JobState.RUNNING,
            code=code,
            name=code.name,
            elapsed_ms=clocks.to_ms(self._runner.clock.now() - job.arrived_at),
        )
        return replies.Reply(code=code, body=messages.encoder.encode(answer))

    async def _serve_at_issuer(
        self, issued: submission_ids.IssuedId, request: peers.CallerRequest
    ) -> replies.Reply:
        handed_over = self._handed_over_reply(request.team, request.submission_id)
        if handed_over is not None:
            return handed_over
        _check_unexpired(issued, self._runner.clock.now())
        if request.operation is peers.Operation.CANCEL:
            wait_ms = max(request.wait_ms, MIN_CANCEL_WAIT_MS)
            request = msgspec.structs.replace(request, wait_ms=wait_ms)
        reply = await self._issuer_reply(issued, request)
        if isinstance(reply, request_forwarders.NoReplyReason):
            handed_over = self._handed_over_reply(request.team, request.submission_id)
            peer_reply = (
                None if handed_over else await self.forwarder.ask_successor(issued, request)
            )
            return handed_over or (
                replies.from_peer(peer_reply)
                if peer_reply
                else replies.from_no_reply(reply, issued)
            )
        return replies.from_peer(reply)

    async def _issuer_reply(
        self, issued: submission_ids.IssuedId, request: peers.CallerRequest
    ) -> peers.CallerReply | request_forwarders.NoReplyReason:
        if issued.node != self._kernel.settings.node:
            return await self.forwarder.forward(issued, request)
        reason = request_forwarders.no_reply_reason(issued, self._kernel.settings.incarnation)
        return reason or request_forwarders.NoReplyReason.GONE

    def _handed_over_reply(
        self, team: identifiers.TeamName, submission_id: str
    ) -> replies.Reply | None:
        """Return the reply for an id from the handover of a stopped issuer, or None."""
        kept_answer = self._kernel.handovers.find_answer(
            identifiers.SubmissionId(submission_id), team, self._runner.clock.now()
        )
        if kept_answer is None:
            return None
        self._kernel.answers.note_fetched(identifiers.SubmissionId(submission_id))
        return replies.Reply(code=kept_answer.code, body=kept_answer.body)

    async def serve_forwarded(self, request: peers.CallerRequest) -> peers.CallerReply:
        """Serve a request that another node forwarded to this one."""
        reply = await self._reply_to_peer(request)
        return peers.CallerReply(
            request_id=request.request_id,
            code=reply.code,
            body=reply.body,
            retry_after_ms=reply.retry_after_ms,
            refused=reply.refused,
        )

    async def _reply_to_peer(self, request: peers.CallerRequest) -> replies.Reply:
        try:
            issued = submission_ids.parse(request.submission_id)
            if issued.incarnation != self._kernel.settings.incarnation:
                return self._reply_for_foreign_id(issued, request)
        except errors.RefusedError as error:
            return replies.from_refusal(error)
        # The clocks of nodes differ slightly; an arrival time in the future counts as now.
        arrived_at = min(
            self._runner.earliest_arrival(), clocks.from_epoch_ms(request.arrived_at_ms)
        )
        return await self._serve_locally(request, arrived_at)

    def _reply_for_foreign_id(
        self, issued: submission_ids.IssuedId, request: peers.CallerRequest
    ) -> replies.Reply:
        """Return the reply for an id issued by another incarnation or another node."""
        handed_over = self._handed_over_reply(request.team, request.submission_id)
        if handed_over is not None:
            return handed_over
        if issued.node != self._kernel.settings.node:
            return replies.from_no_reply(request_forwarders.NoReplyReason.UNREACHABLE, issued)
        reason = request_forwarders.no_reply_reason(issued, self._kernel.settings.incarnation)
        return replies.from_no_reply(reason or request_forwarders.NoReplyReason.GONE, issued)


_HANDLERS_BY_OPERATION = {
    peers.Operation.SUBMIT: RequestHandler._submit,
    peers.Operation.QUERY: RequestHandler._query,
    peers.Operation.CANCEL: RequestHandler._cancel,
}


def _check_unexpired(issued: submission_ids.IssuedId, now: datetime.datetime) -> None:
    if issued.expires_at_ms <= clocks.to_epoch_ms(now):
        raise submission_ids.expired_id_error()

"""Callers' requests: served here when this node issued the id, forwarded to the issuer else."""

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
from chiveridge_node import forwards, replies, shells

MAX_WAIT_MS = 300_000
CANCEL_WAIT_MS = dispatchers.START_WINDOW // datetime.timedelta(milliseconds=1)
"""Longest time in which the issuer finds out whether a start of a cancelled job still begins."""

_DIGEST_BYTES = 16


class Requests:
    """Serves submit, ask and cancel; ``forwarder`` has others serve a request."""

    def __init__(self, shell: shells.Shell):
        self._shell = shell
        self._kernel = shell.kernel
        self._answered_by_id: dict[identifiers.SubmissionId, asyncio.Event] = {}
        self._stopped_by_id: dict[identifiers.SubmissionId, asyncio.Event] = {}
        self.forwarder = forwards.Forwarder(shell.kernel, shell.clock)

    def answered(self, action) -> None:
        """Wake those who wait for an answer."""
        waiting = self._answered_by_id.pop(action.answer.submission_id, None)
        if waiting is not None:
            waiting.set()

    def stopped(self, action: actions.NoteStopped) -> None:
        """Wake those who wait until a cancelled job can start nothing more."""
        waiting = self._stopped_by_id.pop(action.submission_id, None)
        if waiting is not None:
            waiting.set()

    def issue_ids(self, team: identifiers.TeamName, body: bytes) -> replies.Reply:
        """Issue submission ids."""
        try:
            count = messages.decode_ids_request(body).count
            answer = self._kernel.admissions.issue(team, count, self._shell.clock.now())
        except errors.RefusedError as error:
            return replies.refused(error)
        return replies.Reply(code=answer.code, body=messages.encoder.encode(answer))

    def refuse_unused(
        self, error: errors.RefusedError, team: str, body: bytes
    ) -> errors.RefusedError:
        """Return the refusal of a submission that is not looked at, with what can be proved.

        The id that the body names is used up where this incarnation issued it to the team, so
        that a copy of the request which is sent correctly gets the same refusal.
        """
        submission_id = messages.decode_submission_id(body)
        ran = results.TaskOutcome.NOT_RUN
        if submission_id is not None:
            now = self._shell.clock.now()
            name = identifiers.TeamName(team)
            ran = self._kernel.admissions.refuse_if_unused(submission_id, name, error.code, now)
        return errors.RefusedError(error.code, error.message, error.retry_after_ms, ran)

    async def perform(
        self,
        operation: peers.Operation,
        team: identifiers.TeamName,
        submission_id: str,
        body: bytes = b"",
        wait_ms: int = 0,
    ) -> replies.Reply:
        """Serve a request, or have the issuer of the id serve it."""
        arrived_at = self._shell.arrival()
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
                return await self._perform_here(request, arrived_at)
            return await self._perform_at_issuer(issued, request)
        except errors.RefusedError as error:
            return replies.refused(error)

    async def _perform_here(
        self, request: peers.CallerRequest, arrived_at: datetime.datetime
    ) -> replies.Reply:
        """Serve a request whose id this incarnation issued."""
        submission_id = identifiers.SubmissionId(request.submission_id)
        try:
            _OPERATIONS[request.operation](self, request, arrived_at)
            if request.operation is peers.Operation.CANCEL:
                await self._until_stopped(submission_id)
            return await self._answer(request.team, submission_id, request.wait_ms)
        except errors.RefusedError as error:
            return replies.refused(error)

    def _submit(self, request: peers.CallerRequest, arrived_at: datetime.datetime) -> None:
        submission = messages.decode_submission(request.body)
        digest = hashlib.blake2b(request.body, digest_size=_DIGEST_BYTES).digest()
        self._shell.handle(
            events.SubmissionReceived(
                team=request.team, submission=submission, digest=digest, arrived_at=arrived_at
            )
        )

    def _ask(self, request: peers.CallerRequest, arrived_at: datetime.datetime) -> None:
        """Need nothing before the answer is looked up."""

    def _cancel(self, request: peers.CallerRequest, arrived_at: datetime.datetime) -> None:
        submission_id = identifiers.SubmissionId(request.submission_id)
        self._shell.handle(events.CancelReceived(team=request.team, submission_id=submission_id))

    async def _until_stopped(self, submission_id: identifiers.SubmissionId) -> None:
        """Wait until no start of a cancelled job can begin any more."""
        if self._kernel.dispatcher.stops.has_pending(submission_id):
            await self._stopped_by_id.setdefault(submission_id, asyncio.Event()).wait()

    async def _answer(
        self, team: identifiers.TeamName, submission_id: identifiers.SubmissionId, wait_ms: int
    ) -> replies.Reply:
        found = self._find(team, submission_id)
        if isinstance(found, jobs.Job) and wait_ms > 0:
            ended = self._answered_by_id.setdefault(submission_id, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(ended.wait(), min(wait_ms, MAX_WAIT_MS) / 1000)
            found = self._find(team, submission_id)
        if isinstance(found, jobs.Job):
            return self._running(found)
        self._kernel.answers.note_fetched(submission_id)
        return replies.Reply(code=found.code, body=found.body)

    def _find(
        self, team: identifiers.TeamName, submission_id: identifiers.SubmissionId
    ) -> answers.StoredAnswer | jobs.Job:
        return self._kernel.admissions.find(submission_id, team, self._shell.clock.now())

    def _running(self, job: jobs.Job) -> replies.Reply:
        code = results.ResultCode.ACCEPTED
        answer = messages.JobAnswer(
            submission_id=job.submission_id,
            state=results.JobState.RUNNING,
            code=code,
            name=code.name,
            elapsed_ms=clocks.to_ms(self._shell.clock.now() - job.arrived_at),
        )
        return replies.Reply(code=code, body=messages.encoder.encode(answer))

    async def _perform_at_issuer(
        self, issued: submission_ids.IssuedId, request: peers.CallerRequest
    ) -> replies.Reply:
        handed = self._handed_over(request.team, request.submission_id)
        if handed is not None:
            return handed
        _check_unexpired(issued, self._shell.clock.now())
        if request.operation is peers.Operation.CANCEL:
            wait_ms = max(request.wait_ms, CANCEL_WAIT_MS)
            request = msgspec.structs.replace(request, wait_ms=wait_ms)
        reply = await self._reply_of_issuer(issued, request)
        if isinstance(reply, forwards.NoReply):
            handed = self._handed_over(request.team, request.submission_id)
            left = None if handed else await self.forwarder.ask_near(issued, request)
            return handed or (replies.of_peer(left) if left else replies.of_no_reply(reply, issued))
        return replies.of_peer(reply)

    async def _reply_of_issuer(
        self, issued: submission_ids.IssuedId, request: peers.CallerRequest
    ) -> peers.CallerReply | forwards.NoReply:
        if issued.node != self._kernel.settings.node:
            return await self.forwarder.perform(issued, request)
        verdict = forwards.verdict_on(issued, self._kernel.settings.incarnation)
        return verdict or forwards.NoReply.GONE

    def _handed_over(self, team: identifiers.TeamName, submission_id: str) -> replies.Reply | None:
        """Return what a stopped issuer left about an id, or None."""
        found = self._kernel.handovers.find_answer(
            identifiers.SubmissionId(submission_id), team, self._shell.clock.now()
        )
        if found is None:
            return None
        self._kernel.answers.note_fetched(identifiers.SubmissionId(submission_id))
        return replies.Reply(code=found.code, body=found.body)

    async def serve_peer(self, request: peers.CallerRequest) -> peers.CallerReply:
        """Serve a request that another node forwarded here."""
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
                return self._reply_for_other(issued, request)
        except errors.RefusedError as error:
            return replies.refused(error)
        # The clocks of the nodes may differ a little; an arrival in the future counts as now.
        arrived_at = min(self._shell.arrival(), clocks.from_epoch_ms(request.arrived_at_ms))
        return await self._perform_here(request, arrived_at)

    def _reply_for_other(
        self, issued: submission_ids.IssuedId, request: peers.CallerRequest
    ) -> replies.Reply:
        """Reply for an id that another incarnation, or another node, has issued."""
        handed = self._handed_over(request.team, request.submission_id)
        if handed is not None:
            return handed
        if issued.node != self._kernel.settings.node:
            return replies.of_no_reply(forwards.NoReply.UNREACHABLE, issued)
        verdict = forwards.verdict_on(issued, self._kernel.settings.incarnation)
        return replies.of_no_reply(verdict or forwards.NoReply.GONE, issued)


_OPERATIONS = {
    peers.Operation.SUBMIT: Requests._submit,
    peers.Operation.ASK: Requests._ask,
    peers.Operation.CANCEL: Requests._cancel,
}


def _check_unexpired(issued: submission_ids.IssuedId, now: datetime.datetime) -> None:
    if issued.expires_at_ms <= clocks.to_epoch_ms(now):
        raise submission_ids.expired_id_error()

"""Submits jobs to nodes and fetches their answers, each under one submission id."""

import datetime
import random
from typing import Self

import aiohttp
import msgspec

from chiveridge_client import backoffs, calls, clocks, errors, id_sources, transports
from chiveridge_kernel import identifiers, messages

DEFAULT_DEADLINE = datetime.timedelta(seconds=30)
CANCEL_WAIT = datetime.timedelta(seconds=2)
"""Maximum time a node needs to learn whether a start of a cancelled job takes effect."""

ANSWER_MARGIN = datetime.timedelta(seconds=3)
"""Time after the deadline of a job during which its answer may still arrive."""

MAX_POLL = datetime.timedelta(seconds=2)
"""Longest wait per request to a node; it bounds the time lost to a silent connection."""

MAX_IDS_PER_JOB = 5

DEFAULT_MAX_CONNECTIONS = 512
"""Each job waiting for its answer holds a connection; 1,024 open files are a common limit."""

_MILLISECOND = datetime.timedelta(milliseconds=1)
_ZERO = datetime.timedelta(0)
_answer_decoder = msgspec.json.Decoder(messages.JobAnswer)


class Client:
    """Client of the nodes for one calling team; use it as an asynchronous context manager.

    :param urls: base URLs of the nodes, such as ``http://127.0.0.1:7001``.
    :param credential: ``TEAM.SECRET``.
    :param id_batch_size: number of submission ids to fetch in one request.
    :param max_connections: maximum number of open connections to all nodes together, 0 for no
        limit. Further requests wait for a free connection; this wait counts towards their time
        limits.
    """

    def __init__(
        self,
        urls: list[str],
        credential: str,
        *,
        rng: random.Random | None = None,
        clock: clocks.Clock | None = None,
        id_batch_size: int = id_sources.BATCH_SIZE,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ):
        self._urls = list(urls)
        self._credential = credential
        self._rng = rng or random.Random()
        self._clock = clock or clocks.SystemClock()
        self._id_batch_size = id_batch_size
        self._max_connections = max_connections

    async def __aenter__(self) -> Self:
        connector = aiohttp.TCPConnector(limit=self._max_connections)
        self._session = aiohttp.ClientSession(connector=connector)
        self._transport = transports.NodeTransport(self._session, self._credential)
        self._ids = id_sources.IdSource(
            self._urls,
            self._transport,
            rng=self._rng,
            clock=self._clock,
            batch_size=self._id_batch_size,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._ids.close()
        await self._session.close()

    async def submit(
        self,
        tasks: list[messages.TaskSpec],
        *,
        selector: str = "",
        deadline: datetime.timedelta = DEFAULT_DEADLINE,
        idempotent: bool = False,
        wait: datetime.timedelta | None = None,
        retry_refused: bool = True,
    ) -> messages.JobAnswer:
        """Submit a job under a new submission id and return its answer.

        If the job still runs after ``wait`` (``None``: until the deadline), its state is returned.
        After a lost reply the answer is requested again under the same id. A new id is used only
        when the old one is unusable and nothing ran under it. With ``retry_refused`` a temporary
        refusal is also retried under a new id, after the delay that the node requested, because
        the refusal is final for its id.

        :raises errors.RefusedError: when the job was refused.
        :raises errors.UnreachableError: when no request reached a node; nothing ran.
        :raises errors.OutcomeUnknownError: when no answer arrived by the deadline.
        """
        give_up_at = self._clock.elapsed() + deadline
        for attempt in range(MAX_IDS_PER_JOB):
            issued_id = await self._ids.acquire(deadline, give_up_at)
            remaining = max(give_up_at - self._clock.elapsed(), _MILLISECOND)
            submission = messages.Submission(
                submission_id=issued_id.submission_id,
                tasks=tasks,
                selector=selector,
                deadline_ms=remaining // _MILLISECOND,
                idempotent=idempotent,
            )
            try:
                return await self._await_answer(
                    self._submission_call(submission, wait, issued_id.url)
                )
            except errors.RefusedError as error:
                is_last = attempt == MAX_IDS_PER_JOB - 1
                if is_last or not calls.may_retry_under_new_id(error):
                    raise
                if error.code not in calls.UNUSABLE_ID_CODES:
                    await self._wait_after_refusal(error, attempt, give_up_at, retry_refused)
        raise AssertionError("the loop returns or raises")

    async def _wait_after_refusal(
        self,
        error: errors.RefusedError,
        attempt: int,
        give_up_at: datetime.timedelta,
        retry_refused: bool,
    ) -> None:
        """Sleep before the job is sent under a new id, or raise the refusal."""
        delay = backoffs.delay_with_retry_after(error.retry_after, attempt, self._rng)
        if not retry_refused or self._clock.elapsed() + delay >= give_up_at:
            raise error
        await self._clock.sleep(delay)

    async def resubmit(
        self, submission: messages.Submission, *, wait: datetime.timedelta | None = None
    ) -> messages.JobAnswer:
        """Submit a job again under the id it carries; this never runs a task twice.

        Raises the errors of :meth:`submit`.
        """
        call = self._submission_call(submission, wait, "")
        call.may_have_started = True
        return await self._await_answer(call)

    async def answer(
        self,
        submission_id: identifiers.SubmissionId,
        *,
        wait: datetime.timedelta = DEFAULT_DEADLINE,
    ) -> messages.JobAnswer:
        """Return the answer of a job, or its state if it still runs after ``wait``.

        :raises errors.RefusedError: when the id is unknown or belongs to another team.
        :raises errors.OutcomeUnknownError: when no node gave an answer.
        """
        call = self._new_call(submission_id, wait, wait, "")
        call.may_have_started = True
        return await self._await_answer(call)

    async def cancel(self, submission_id: identifiers.SubmissionId) -> messages.JobAnswer:
        """Cancel a job and return its answer; a repeated cancellation is harmless.

        Once this returns, no further task of the job will start.

        :raises errors.RefusedError: when the id is unknown or belongs to another team.
        :raises errors.OutcomeUnknownError: when no node confirmed the cancellation.
        """
        call = self._new_call(submission_id, DEFAULT_DEADLINE, CANCEL_WAIT, "")
        call.may_have_started = True
        return await self._await_answer(call, method="DELETE")

    def _submission_call(
        self, submission: messages.Submission, wait: datetime.timedelta | None, url: str
    ) -> calls.Call:
        deadline = datetime.timedelta(milliseconds=submission.deadline_ms)
        call = self._new_call(submission.submission_id, deadline, wait, url)
        call.body = messages.encoder.encode(submission)
        call.task_count = len(submission.tasks)
        return call

    def _new_call(
        self,
        submission_id: identifiers.SubmissionId,
        deadline: datetime.timedelta,
        wait: datetime.timedelta | None,
        issuer_url: str,
    ) -> calls.Call:
        now = self._clock.elapsed()
        other_urls = [url for url in self._urls if url != issuer_url]
        self._rng.shuffle(other_urls)
        return calls.Call(
            submission_id=submission_id,
            urls=[issuer_url, *other_urls] if issuer_url else other_urls,
            issuer_url=issuer_url,
            wait_until=now + (deadline if wait is None else wait),
            until=now + deadline + ANSWER_MARGIN,
        )

    async def _await_answer(self, call: calls.Call, method: str = "GET") -> messages.JobAnswer:
        """Send requests until the job has an answer, the wait ends or the call times out."""
        while True:
            sent_at = self._clock.elapsed()
            try:
                answer = await self._send_request(call, method)
            except errors.ReplyLostError as error:
                calls.record_lost_reply(call, error)
                await self._back_off(call, error, None)
                continue
            except errors.RefusedError as error:
                self._drop_ids_of_issuer(call, error)
                calls.record_refusal(call, error)
                await self._back_off(call, error, error.retry_after)
                continue
            call.is_accepted = True
            if calls.has_ended(answer) or self._clock.elapsed() >= call.wait_until:
                return answer
            await self._limit_poll_rate(sent_at)

    async def _send_request(self, call: calls.Call, method: str) -> messages.JobAnswer:
        wait = min(max(call.wait_until - self._clock.elapsed(), _ZERO), MAX_POLL)
        path = f"{call.url}/v1/jobs/{call.submission_id}"
        body = None
        if call.must_submit:
            method, path, body = "POST", f"{call.url}/v1/jobs", call.body
        answer = await self._transport.request(method, path, _answer_decoder, body=body, wait=wait)
        calls.check_answer(answer, call)
        return answer

    def _drop_ids_of_issuer(self, call: calls.Call, error: errors.RefusedError) -> None:
        if error.code in calls.UNUSABLE_ID_CODES and call.issuer_url:
            self._ids.drop_issued_by(call.issuer_url)

    async def _back_off(
        self,
        call: calls.Call,
        error: errors.ClientError,
        retry_after: datetime.timedelta | None,
    ) -> None:
        """Sleep before the next attempt, or raise the final error if the call times out first."""
        delay = backoffs.delay_with_retry_after(retry_after, call.attempt, self._rng)
        call.attempt += 1
        if self._clock.elapsed() + delay >= call.until:
            raise calls.final_error(call, error)
        await self._clock.sleep(delay)

    async def _limit_poll_rate(self, sent_at: datetime.timedelta) -> None:
        """Sleep if a node returned the state of a running job without waiting for its end."""
        time_spent = self._clock.elapsed() - sent_at
        if time_spent < backoffs.BASE_DELAY:
            await self._clock.sleep(backoffs.BASE_DELAY - time_spent)

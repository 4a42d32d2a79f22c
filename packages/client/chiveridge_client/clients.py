"""Submits jobs to nodes and fetches their answers, each under one submission id."""

import asyncio
import datetime
import random
from typing import Self

import aiohttp
import msgspec

from chiveridge_client import backoffs, clocks, errors, exchanges, pools
from chiveridge_kernel import identifiers, messages, results

DEFAULT_DEADLINE = datetime.timedelta(seconds=30)
ANSWER_MARGIN = datetime.timedelta(seconds=3)
"""Time after the deadline of a job in which its answer may still arrive."""

MAX_POLL = datetime.timedelta(seconds=2)
"""Longest wait asked of a node in one request; it bounds the time lost to a silent connection."""

ID_BATCH_SIZE = 32
ID_LOW_MARK = 8
MAX_REFUSALS = 4
MAX_IDS_PER_JOB = 3

_MILLISECOND = datetime.timedelta(milliseconds=1)
_ZERO = datetime.timedelta(0)
_RETRIED_CODES = frozenset(
    {
        results.ResultCode.OVERLOADED,
        results.ResultCode.QUOTA_EXCEEDED,
        results.ResultCode.DRAINING,
        results.ResultCode.NOT_READY,
        results.ResultCode.ISSUER_UNREACHABLE,
    }
)
_DEAD_ID_CODES = frozenset(
    {
        results.ResultCode.DRAINING,
        results.ResultCode.ISSUER_GONE,
        results.ResultCode.SUBMISSION_ID_EXPIRED,
    }
)
_answer_decoder = msgspec.json.Decoder(messages.JobAnswer)
_ids_decoder = msgspec.json.Decoder(messages.IdsAnswer)


class Call(msgspec.Struct, kw_only=True):
    """A submission whose answer is awaited, with the state of its attempts.

    ``body`` is ``None`` when the job was submitted elsewhere. Times are on the monotonic
    clock: ``wait_until`` ends the wait for a running job, ``until`` ends all attempts.
    """

    submission_id: identifiers.SubmissionId
    body: bytes | None
    task_count: int | None
    urls: list[str]
    wait_until: datetime.timedelta
    until: datetime.timedelta
    accepted: bool = False
    maybe_started: bool = False
    attempt: int = 0
    refusals: int = 0


class Client:
    """A caller's connection to the nodes; use it as an asynchronous context manager.

    :param urls: base URLs of the nodes, such as ``http://127.0.0.1:7001``.
    :param credential: ``TEAM.SECRET``.
    """

    def __init__(
        self,
        urls: list[str],
        credential: str,
        *,
        rng: random.Random | None = None,
        clock: clocks.Clock | None = None,
        id_batch_size: int = ID_BATCH_SIZE,
    ):
        self._urls = list(urls)
        self._credential = credential
        self._rng = rng or random.Random()
        self._clock = clock or clocks.SystemClock()
        self._id_batch_size = id_batch_size
        self._pool = pools.IdPool()
        self._pool_lock = asyncio.Lock()
        self._refill: asyncio.Task | None = None
        self._session: aiohttp.ClientSession | None = None
        self._exchanges: exchanges.Exchanges | None = None

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession()
        self._exchanges = exchanges.Exchanges(self._session, self._credential)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._refill is not None:
            self._refill.cancel()
            await asyncio.gather(self._refill, return_exceptions=True)
        await self._session.close()

    async def submit(
        self,
        tasks: list[messages.TaskSpec],
        *,
        selector: str = "",
        deadline: datetime.timedelta = DEFAULT_DEADLINE,
        idempotent: bool = False,
        wait: datetime.timedelta | None = None,
    ) -> messages.JobAnswer:
        """Submit a job under a new submission id and return its answer.

        When the job still runs after ``wait`` (until the deadline when ``None``) its state is
        returned. A lost reply is fetched again under the same id. Another id is taken only when
        the first was refused by its issuer and no reply under it was lost.

        :raises errors.RefusedError: when the job was refused.
        :raises errors.UnreachableError: when no submission id could be had; nothing ran.
        :raises errors.OutcomeUnknownError: when no answer arrived by the deadline.
        """
        until = self._clock.elapsed() + deadline
        remaining = deadline
        for ids_left in reversed(range(MAX_IDS_PER_JOB)):
            held = await self._take_id(remaining, until)
            remaining = max(until - self._clock.elapsed(), _MILLISECOND)
            submission = messages.Submission(
                submission_id=held.submission_id,
                tasks=tasks,
                selector=selector,
                deadline_ms=remaining // _MILLISECOND,
                idempotent=idempotent,
            )
            try:
                return await self._settle(self._submission_call(submission, wait, held.url))
            except errors.RefusedError as error:
                if error.code not in _DEAD_ID_CODES or not ids_left:
                    raise
        raise AssertionError("the loop returns or raises")

    async def resubmit(
        self, submission: messages.Submission, *, wait: datetime.timedelta | None = None
    ) -> messages.JobAnswer:
        """Submit a job again under the id it carries, which never runs a task twice.

        The errors raised are those of :meth:`submit`.
        """
        call = self._submission_call(submission, wait, "")
        call.maybe_started = True
        return await self._settle(call)

    async def answer(
        self,
        submission_id: identifiers.SubmissionId,
        *,
        wait: datetime.timedelta = DEFAULT_DEADLINE,
    ) -> messages.JobAnswer:
        """Return the answer of a job, or its state when it still runs after ``wait``.

        :raises errors.RefusedError: when the id is unknown or belongs to another team.
        :raises errors.OutcomeUnknownError: when no node gave an answer.
        """
        call = self._new_call(submission_id, wait, wait, "")
        call.accepted = True
        call.maybe_started = True
        return await self._settle(call)

    async def cancel(self, submission_id: identifiers.SubmissionId) -> messages.JobAnswer:
        """Cancel a job and return its answer or state; a repeated cancellation is harmless.

        :raises errors.RefusedError: when the id is unknown or belongs to another team.
        :raises errors.OutcomeUnknownError: when no node confirmed the cancellation.
        """
        call = self._new_call(submission_id, DEFAULT_DEADLINE, _ZERO, "")
        call.accepted = True
        call.maybe_started = True
        return await self._settle(call, method="DELETE")

    def _submission_call(
        self, submission: messages.Submission, wait: datetime.timedelta | None, url: str
    ) -> Call:
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
        url: str,
    ) -> Call:
        now = self._clock.elapsed()
        return Call(
            submission_id=submission_id,
            body=None,
            task_count=None,
            urls=self._ordered_urls(url),
            wait_until=now + (deadline if wait is None else wait),
            until=now + deadline + ANSWER_MARGIN,
        )

    def _ordered_urls(self, first: str) -> list[str]:
        others = [url for url in self._urls if url != first]
        self._rng.shuffle(others)
        return [first, *others] if first else others

    async def _settle(self, call: Call, method: str = "GET") -> messages.JobAnswer:
        """Ask until the job has an answer, its wait ends, or its time is over."""
        while True:
            try:
                answer = await self._ask(call, method)
            except errors.ReplyLostError as error:
                call.maybe_started = True
                await self._back_off(call, error, None)
                continue
            except errors.RefusedError as error:
                await self._handle_refusal(call, error)
                continue
            call.accepted = True
            if _is_settled(answer) or self._clock.elapsed() >= call.wait_until:
                return answer

    async def _ask(self, call: Call, method: str) -> messages.JobAnswer:
        base = call.urls[call.attempt % len(call.urls)]
        wait = min(max(call.wait_until - self._clock.elapsed(), _ZERO), MAX_POLL)
        path = f"{base}/v1/jobs/{call.submission_id}"
        body = None
        if call.body is not None and not call.accepted:
            method, path, body = "POST", f"{base}/v1/jobs", call.body
        answer = await self._exchanges.ask(method, path, _answer_decoder, body=body, wait=wait)
        _check_whole(answer, call)
        return answer

    async def _handle_refusal(self, call: Call, error: errors.RefusedError) -> None:
        """Prepare the next attempt after a refusal, or raise it."""
        if error.ran is not results.TaskOutcome.NOT_RUN:
            call.maybe_started = True
        if error.code in _DEAD_ID_CODES:
            self._pool.drop_url(call.urls[0])
        if error.code is results.ResultCode.UNKNOWN_SUBMISSION and call.body and call.accepted:
            call.accepted = False
        elif not _may_retry(call, error):
            raise _final_error(call, error)
        call.refusals += 1
        await self._back_off(call, error, error.retry_after)

    async def _back_off(
        self, call: Call, error: errors.ClientError, retry_after: datetime.timedelta | None
    ) -> None:
        delay = backoffs.delay_after(retry_after, call.attempt, self._rng)
        call.attempt += 1
        if self._clock.elapsed() + delay >= call.until:
            raise _final_error(call, error)
        await self._clock.sleep(delay)

    async def _take_id(
        self, deadline: datetime.timedelta, until: datetime.timedelta
    ) -> pools.HeldId:
        async with self._pool_lock:
            held = self._pool.take(self._clock.now(), deadline)
            if held is None:
                await self._fetch_ids(until)
                held = self._pool.take(self._clock.now(), deadline)
        if held is None:
            raise errors.UnreachableError("the nodes issue ids that expire before the deadline")
        self._start_refill()
        return held

    def _start_refill(self) -> None:
        """Fetch ids in the background when few are left."""
        is_running = self._refill is not None and not self._refill.done()
        if len(self._pool) >= min(ID_LOW_MARK, self._id_batch_size - 1) or is_running:
            return
        self._refill = asyncio.create_task(self._refill_pool())

    async def _refill_pool(self) -> None:
        """Fetch one batch; a failure is left to the next submission, which fetches itself."""
        try:
            await self._fetch_ids(self._clock.elapsed() + DEFAULT_DEADLINE)
        except errors.ClientError:
            return

    async def _fetch_ids(self, until: datetime.timedelta) -> None:
        """Add one batch of ids to the pool; ids of a lost reply expire unused."""
        urls = self._ordered_urls("")
        body = messages.encoder.encode(messages.IdsRequest(count=self._id_batch_size))
        attempt = 0
        while True:
            url = urls[attempt % len(urls)]
            try:
                path = f"{url}/v1/submission-ids"
                issued = await self._exchanges.ask("POST", path, _ids_decoder, body=body)
            except (errors.ReplyLostError, errors.RefusedError) as error:
                await self._wait_for_ids(error, attempt, until)
                attempt += 1
                continue
            self._pool.add(_held_ids(issued, url))
            return

    async def _wait_for_ids(
        self, error: errors.ClientError, attempt: int, until: datetime.timedelta
    ) -> None:
        retry_after = None
        if isinstance(error, errors.RefusedError):
            if error.code not in _RETRIED_CODES:
                raise error
            retry_after = error.retry_after
        delay = backoffs.delay_after(retry_after, attempt, self._rng)
        if self._clock.elapsed() + delay >= until:
            raise errors.UnreachableError(f"no submission id: {error}") from error
        await self._clock.sleep(delay)


def _held_ids(issued: messages.IdsAnswer, url: str) -> list[pools.HeldId]:
    seconds = issued.expires_at_ms / 1000
    expires_at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return [pools.HeldId(id_, expires_at, url) for id_ in issued.submission_ids]


def _is_settled(answer: messages.JobAnswer) -> bool:
    return answer.state is not results.JobState.RUNNING


def _check_whole(answer: messages.JobAnswer, call: Call) -> None:
    """Check that the answer is the call's own and has every task in order.

    A failed job may come without tasks when its node no longer knows them.

    :raises errors.ReplyLostError: when it isn't.
    """
    if answer.submission_id != call.submission_id:
        raise errors.ReplyLostError(f"the answer is for submission {answer.submission_id}")
    if not _is_settled(answer):
        return
    if answer.state is results.JobState.FAILED and not answer.tasks:
        return
    count = len(answer.tasks) if call.task_count is None else call.task_count
    indices = [task.index for task in answer.tasks]
    if not indices or indices != list(range(count)):
        raise errors.ReplyLostError(f"the answer has {len(indices)} of {count} tasks in order")


def _may_retry(call: Call, error: errors.RefusedError) -> bool:
    """Tell whether another attempt under the same id may end in an answer."""
    if error.code in _DEAD_ID_CODES and not call.maybe_started:
        return False
    return error.code in _RETRIED_CODES and call.refusals < MAX_REFUSALS


def _final_error(call: Call, error: errors.ClientError) -> errors.ClientError:
    """Return the error that ends a call whose last attempt failed with ``error``."""
    if not isinstance(error, errors.RefusedError):
        return errors.OutcomeUnknownError(call.submission_id, str(error))
    leaves_doubt = error.code in _RETRIED_CODES | _DEAD_ID_CODES
    if call.maybe_started and leaves_doubt:
        return errors.OutcomeUnknownError(call.submission_id, str(error))
    return error

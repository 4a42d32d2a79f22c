"""Callers of a fault run, which send plain HTTP requests and record every reply."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
import msgspec

from chiveridge_kernel import messages, results
from chiveridge_load import fault_jobs

WAIT_MS = 2000
REQUEST_TIMEOUT_S = 5
RETRY_DELAY_S = 0.1
GIVE_UP_AFTER_S = 20
MAX_CANCEL_DELAY_S = 0.1
ISSUER_PROBABILITY = 0.6

_answer_decoder = msgspec.json.Decoder(messages.JobAnswer)
_refusal_decoder = msgspec.json.Decoder(messages.Refusal)
_ids_decoder = msgspec.json.Decoder(messages.IdsAnswer)
_Behaviour = fault_jobs.Behaviour


class Caller:
    """Runs jobs one after the other; ``urls`` returns the URLs of the running nodes."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: Callable[[], list[str]],
        credential: str,
        rng: random.Random,
    ):
        self._session = session
        self._urls = urls
        self._headers = {"Authorization": f"Bearer {credential}"}
        self._rng = rng

    async def run(self, plan: fault_jobs.JobPlan) -> fault_jobs.JobRecord:
        """Submit a job, follow its planned behaviour, and return all replies."""
        record = fault_jobs.JobRecord(plan)
        issuer = await self._obtain_submission_id(record)
        if record.submission_id:
            await _ACTIONS_BY_BEHAVIOUR[plan.behaviour](self, record, issuer)
        return record

    async def poll_until_settled(self, record: fault_jobs.JobRecord) -> None:
        """Request the answer of a job until a reply is final or ``GIVE_UP_AFTER_S`` has passed."""
        give_up_at = asyncio.get_running_loop().time() + GIVE_UP_AFTER_S
        while not (await self.request_answer(record)).is_final():
            if asyncio.get_running_loop().time() >= give_up_at:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def request_answer(self, record: fault_jobs.JobRecord) -> fault_jobs.Attempt:
        """Request the answer of a job once, from a random node."""
        return await self._attempt(record, "GET", self._any_url())

    async def _obtain_submission_id(self, record: fault_jobs.JobRecord) -> str:
        for _ in range(round(GIVE_UP_AFTER_S / RETRY_DELAY_S)):
            url = self._any_url()
            content = await self._send("POST", f"{url}/v1/submission-ids", b'{"count": 1}')
            if content is not None and b"submission_ids" in content:
                record.submission_id = _ids_decoder.decode(content).submission_ids[0]
                return url
            await asyncio.sleep(RETRY_DELAY_S)
        return ""

    async def _submit_only(self, record: fault_jobs.JobRecord, issuer: str) -> None:
        await self._submit_until_answered(record, self._submission_url(issuer))

    async def _submit_then_resubmit(self, record: fault_jobs.JobRecord, issuer: str) -> None:
        await self._submit_only(record, issuer)
        await self._attempt(record, "POST", self._any_url())

    async def _submit_concurrently(self, record: fault_jobs.JobRecord, issuer: str) -> None:
        await asyncio.gather(
            self._submit_until_answered(record, issuer),
            self._submit_until_answered(record, self._any_url()),
        )

    async def _submit_then_cancel(self, record: fault_jobs.JobRecord, issuer: str) -> None:
        await self._attempt(record, "POST", self._submission_url(issuer), wait_ms=0)
        await asyncio.sleep(self._rng.uniform(0, MAX_CANCEL_DELAY_S))
        await self._attempt(record, "DELETE", self._any_url())
        await self.request_answer(record)

    async def _submit_until_answered(self, record: fault_jobs.JobRecord, url: str) -> None:
        async with asyncio.timeout(None) as timeout:
            timeout.reschedule(asyncio.get_running_loop().time() + GIVE_UP_AFTER_S)
            try:
                while not _is_settled(await self._attempt(record, "POST", url)):
                    await asyncio.sleep(RETRY_DELAY_S)
                    url = self._any_url()
            except asyncio.CancelledError:
                if not timeout.expired():
                    raise

    async def _attempt(
        self, record: fault_jobs.JobRecord, method: str, url: str, wait_ms: int = WAIT_MS
    ) -> fault_jobs.Attempt:
        path, body = f"/v1/jobs/{record.submission_id}", None
        if method == "POST":
            path, body = "/v1/jobs", _submission_body(record)
        content = await self._send(method, f"{url}{path}?wait_ms={wait_ms}", body)
        attempt = fault_jobs.Attempt(method=method, url=url)
        if content is not None:
            _decode_reply(content, attempt)
        record.attempts.append(attempt)
        return attempt

    async def _send(self, method: str, url: str, body: bytes | None) -> bytes | None:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.request(
                method, url, data=body, headers=self._headers, timeout=timeout
            ) as response:
                return await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    def _submission_url(self, issuer: str) -> str:
        return issuer if self._rng.random() < ISSUER_PROBABILITY else self._any_url()

    def _any_url(self) -> str:
        return self._rng.choice(self._urls())


_ACTIONS_BY_BEHAVIOUR = {
    _Behaviour.PLAIN: Caller._submit_only,
    _Behaviour.CANCELLED: Caller._submit_then_cancel,
    _Behaviour.RESUBMITTED: Caller._submit_then_resubmit,
    _Behaviour.TWICE_AT_ONCE: Caller._submit_concurrently,
}


def _submission_body(record: fault_jobs.JobRecord) -> bytes:
    tasks = [
        messages.TaskSpec(body=msgspec.Raw(msgspec.json.encode({"key": key, "run_ms": run_ms})))
        for key, run_ms in record.plan.run_ms_by_key.items()
    ]
    submission = messages.Submission(
        submission_id=record.submission_id,
        tasks=tasks,
        deadline_ms=record.plan.deadline_ms,
        idempotent=record.plan.idempotent,
    )
    return messages.encoder.encode(submission)


def _decode_reply(content: bytes, attempt: fault_jobs.Attempt) -> None:
    """Decode a reply into an attempt.

    :raises msgspec.DecodeError: when the reply is neither an answer nor a refusal.
    """
    if b'"ran"' in content[:1000] and b'"state"' not in content[:1000]:
        attempt.refusal = _refusal_decoder.decode(content)
    else:
        attempt.answer = _answer_decoder.decode(content)


def _is_settled(attempt: fault_jobs.Attempt) -> bool:
    if attempt.refusal is not None:
        is_issuer_gone = attempt.refusal.code is results.ResultCode.ISSUER_GONE
        return is_issuer_gone or attempt.refusal.ran is results.TaskOutcome.NOT_RUN
    answer = attempt.answer
    return answer is not None and answer.state is not results.JobState.RUNNING

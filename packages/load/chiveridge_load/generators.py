"""Sends the jobs of a trace in an open loop, at fixed times, and records their outcomes."""

import asyncio
import datetime
import random
import time

import aiohttp
import msgspec

from chiveridge_client import clients, errors, transports
from chiveridge_kernel import messages, results
from chiveridge_load import deployments, workloads

IDS_PER_REQUEST = 500
ID_RESERVE_FACTOR = 1.5
"""Submission ids fetched per node, as a multiple of the expected number of jobs."""

ANSWER_MARGIN = datetime.timedelta(seconds=3)
"""Time to wait for an answer after the job's deadline."""

MAX_ATTEMPTS = 10
RETRY_DELAY_S = 0.05

LEAVING_NODE_CODES = frozenset({results.ResultCode.DRAINING, results.ResultCode.NOT_READY})
"""Refusals by nodes that a balancer would avoid, after which another node is tried."""

_answer_decoder = msgspec.json.Decoder(messages.JobAnswer)
_ids_decoder = msgspec.json.Decoder(messages.IdsAnswer)


class JobRecord(msgspec.Struct, kw_only=True):
    """The outcome of one job; times are in seconds from the start of the run.

    ``node_ms`` is the time that the job spent in its node, as reported by the node.
    ``cancelled_at_ms`` is the time at which a node confirmed a cancellation, in milliseconds
    since the Unix epoch.
    """

    index: int
    team: str
    due_s: float
    sent_s: float
    ended_s: float = 0.0
    code: results.ResultCode = results.ResultCode.INTERNAL_ERROR
    ran: results.TaskOutcome | None = None
    run_ms: list[float] = []
    node_ms: float = 0.0
    targets: list[str] = []
    outcomes: list[results.TaskOutcome] = []
    fault: str = ""
    detail: str = ""
    tries: int = 0
    url: str = ""
    submission_id: str = ""
    cancelled_at_ms: float | None = None

    @property
    def response_ms(self) -> float:
        """Time from sending the job to receiving its complete answer, in milliseconds."""
        return (self.ended_s - self.sent_s) * 1000


class Generator:
    """An open-loop load generator that sends each job to a random node."""

    def __init__(
        self,
        urls: list[str],
        teams: list[deployments.TeamPlan],
        jobs: list[workloads.JobPlan],
        seed: int,
    ):
        self._urls = urls
        self._teams_by_name = {team.name: team for team in teams}
        self._jobs = jobs
        self._rng = random.Random(seed)
        self._ids: dict[tuple[str, str], list[str]] = {}
        self._transports_by_team: dict[str, transports.NodeTransport] = {}
        self._session: aiohttp.ClientSession | None = None
        self._started = 0.0

    async def prepare(self) -> None:
        """Open the session and fetch the submission ids ahead of the run."""
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        for team in self._teams_by_name.values():
            self._transports_by_team[team.name] = transports.NodeTransport(
                self._session, team.credential
            )
        await asyncio.gather(
            *(self._fetch_ids(url, team) for url in self._urls for team in self._teams_by_name)
        )

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()

    def set_urls(self, urls: list[str]) -> None:
        """Send all further jobs to these nodes."""
        self._urls = urls

    async def run(self, started: float) -> list[JobRecord]:
        """Send every job at its time and return the records once all jobs have ended.

        :param started: start of the run in the monotonic time of the event loop.
        """
        loop = asyncio.get_running_loop()
        self._started = started
        sending = []
        for job in self._jobs:
            delay_s = started + job.at_s - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            sending.append(asyncio.create_task(self._send(job)))
        return list(await asyncio.gather(*sending))

    async def _fetch_ids(self, url: str, team: str) -> None:
        """Fetch enough ids from one node for its expected share of a team's jobs."""
        expected = sum(job.team == team for job in self._jobs) / len(self._urls)
        needed = int(expected * ID_RESERVE_FACTOR) + IDS_PER_REQUEST // 10
        ids = self._ids.setdefault((url, team), [])
        while len(ids) < needed:
            ids += await self._request_ids(url, team, min(needed - len(ids), IDS_PER_REQUEST))

    async def _request_ids(self, url: str, team: str, count: int) -> list[str]:
        body = messages.encoder.encode(messages.IdsRequest(count=count))
        transport = self._transports_by_team[team]
        answer = await transport.request(
            "POST", f"{url}/v1/submission-ids", _ids_decoder, body=body
        )
        return answer.submission_ids

    async def _send(self, job: workloads.JobPlan) -> JobRecord:
        now_s = self._elapsed_s()
        record = JobRecord(index=job.index, team=job.team, due_s=job.at_s, sent_s=now_s)
        ended = asyncio.Event()
        cancellation = asyncio.create_task(self._cancel(job, record, ended))
        try:
            await self._submit_until_accepted(job, record)
        except errors.RefusedError as error:
            record.code, record.ran, record.detail = error.code, error.ran, error.message
        except errors.ClientError as error:
            record.code, record.detail = results.ResultCode.OUTCOME_UNKNOWN, str(error)
            record.ran = results.TaskOutcome.UNKNOWN
        record.ended_s = self._elapsed_s()
        ended.set()
        # Wait for the reply to a cancellation, which may arrive after the answer.
        await asyncio.gather(cancellation, return_exceptions=True)
        return record

    def _elapsed_s(self) -> float:
        return asyncio.get_running_loop().time() - self._started

    async def _submit_until_accepted(self, job: workloads.JobPlan, record: JobRecord) -> None:
        """Submit a job until a node answers it.

        If a node that is leaving refuses it, or the request was not sent, retry under a new id
        with a random node.
        """
        while True:
            url = self._rng.choice(self._urls)
            record.tries += 1
            try:
                submission = await self._new_submission(job, url)
                record.url, record.submission_id = url, submission.submission_id
                answer = await self._submit_once(job, url, submission)
            except (errors.NotSentError, errors.RefusedError) as error:
                if record.tries >= MAX_ATTEMPTS or not _is_retryable(error):
                    raise
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            note_answer(record, job, submission.submission_id, answer)
            return

    async def _new_submission(self, job: workloads.JobPlan, url: str) -> messages.Submission:
        ids = self._ids.get((url, job.team))
        submission_id = ids.pop() if ids else (await self._request_ids(url, job.team, 1))[0]
        return messages.Submission(
            submission_id=submission_id,
            tasks=_tasks(job),
            deadline_ms=job.deadline_ms,
        )

    async def _submit_once(
        self, job: workloads.JobPlan, url: str, submission: messages.Submission
    ) -> messages.JobAnswer:
        transport = self._transports_by_team[job.team]
        body = messages.encoder.encode(submission)
        path = f"{url}/v1/jobs"
        wait = datetime.timedelta(milliseconds=job.deadline_ms) + ANSWER_MARGIN
        try:
            return await transport.request("POST", path, _answer_decoder, body=body, wait=wait)
        except errors.NotSentError:
            raise
        except errors.ReplyLostError:
            credential = self._teams_by_name[job.team].credential
            async with clients.Client(self._urls, credential, rng=self._rng) as client:
                return await client.resubmit(submission)

    async def _cancel(
        self, job: workloads.JobPlan, record: JobRecord, ended: asyncio.Event
    ) -> None:
        """Cancel a job at its planned time unless it has ended by then."""
        if job.cancel_after_s is None or await self._ends_before_cancellation(job, ended):
            return
        url = f"{record.url}/v1/jobs/{record.submission_id}"
        transport = self._transports_by_team[job.team]
        await transport.request("DELETE", url, _answer_decoder, wait=clients.CANCEL_WAIT)
        record.cancelled_at_ms = time.time() * 1000

    async def _ends_before_cancellation(self, job: workloads.JobPlan, ended: asyncio.Event) -> bool:
        """Wait until a job's cancellation is due and tell whether the job ended before."""
        cancel_at = self._started + job.at_s + job.cancel_after_s
        try:
            await asyncio.wait_for(ended.wait(), cancel_at - asyncio.get_running_loop().time())
        except TimeoutError:
            return False
        return True


def _is_retryable(error: errors.ClientError) -> bool:
    if isinstance(error, errors.RefusedError):
        return error.code in LEAVING_NODE_CODES and error.ran is results.TaskOutcome.NOT_RUN
    return True


def note_answer(
    record: JobRecord, job: workloads.JobPlan, submission_id: str, answer: messages.JobAnswer
) -> None:
    """Copy an answer into a record and set ``fault`` if the answer is wrong."""
    record.code = answer.code
    record.detail = answer.message
    record.run_ms = [task.run_ms for task in answer.tasks]
    record.node_ms = answer.elapsed_ms
    record.targets = [task.target for task in answer.tasks]
    record.outcomes = [task.outcome for task in answer.tasks]
    record.fault = _find_fault(job, submission_id, answer)


def _find_fault(job: workloads.JobPlan, submission_id: str, answer: messages.JobAnswer) -> str:
    if answer.submission_id != submission_id:
        return f"the answer is for {answer.submission_id}, not for {submission_id}"
    if answer.state is results.JobState.RUNNING:
        return "the job has no answer"
    if [task.index for task in answer.tasks] != list(range(len(job.run_ms))):
        return "the answer is not whole or not in order"
    if answer.state is results.JobState.FAILED:
        return ""
    return _find_wrong_result(job, answer)


def _find_wrong_result(job: workloads.JobPlan, answer: messages.JobAnswer) -> str:
    for task in answer.tasks:
        if task.outcome is not results.TaskOutcome.SUCCEEDED:
            return f"the job is complete but task {task.index} {task.outcome.value}"
        result = msgspec.json.decode(task.result)
        if result is None or result["key"] != job.key(task.index):
            return f"task {task.index} has the result of another task: {result}"
    return ""


def _tasks(job: workloads.JobPlan) -> list[messages.TaskSpec]:
    declared = job.declared_ms or [0] * len(job.run_ms)
    return [
        messages.TaskSpec(
            body=_task_body(job, index), memory_mb=job.memory_mb, run_time_ms=declared[index]
        )
        for index in range(len(job.run_ms))
    ]


def _task_body(job: workloads.JobPlan, index: int) -> msgspec.Raw:
    content = {"run_ms": job.run_ms[index], "key": job.key(index), "fail": job.fail}
    return msgspec.Raw(msgspec.json.encode(content))

"""Cancellations of jobs whose starts are still on their way to a target."""

import asyncio
import time

import pytest

from chiveridge_kernel import results

NODE = "ikeja-e1"
TARGET = "ikeja-t1"
KEY = "held"
TRIES = 5


@pytest.mark.promise("complete_or_failed")
async def test_nothing_starts_once_a_cancellation_is_confirmed(deploy, make_task):
    async with deploy(proxied=frozenset({TARGET})) as deployed:
        # With a connection at hand, the next start is sent at once.
        first = await deployed.submission(NODE, make_task("first"))
        await deployed.caller.submit(deployed.url(NODE), first, wait_ms=20_000)
        tries = [f"{KEY}-{number}" for number in range(TRIES)]
        for key in tries:
            if await _starts_before_it_is_confirmed(deployed, make_task, key):
                return
        pytest.fail(f"none of {TRIES} starts was delivered within its time limit")


async def _starts_before_it_is_confirmed(deployed, make_task, key: str) -> bool:
    """Cancel a job whose start is held up; tell whether the start was delivered in time.

    On a busy machine the start may come after its limit, and the target refuses it.
    """
    proxy = deployed.fleet.proxies_by_name[TARGET]
    target = deployed.fleet.targets_by_name[TARGET]
    requests = (await target.counts()).total_requests
    proxy.freeze()
    received_bytes = proxy.counts.received_bytes

    async def is_on_its_way() -> bool:
        return proxy.counts.received_bytes > received_bytes

    async def has_arrived() -> bool:
        return (await target.counts()).total_requests > requests

    submission = await deployed.submission(NODE, make_task(key, run_ms=5000))
    await deployed.caller.submit(deployed.url(NODE), submission)
    await deployed.until(is_on_its_way)
    cancelling = asyncio.create_task(_cancel(deployed, submission.submission_id))
    answer = await deployed.caller.ask(deployed.url(NODE), submission.submission_id, 20_000)
    assert answer.code == results.ResultCode.CANCELLED
    proxy.thaw()
    confirmed_at_ms = await cancelling
    await deployed.until(has_arrived)
    counts = await target.counts()
    started_at_ms = counts.started_at_ms.get(key, [])
    if not started_at_ms:
        return False
    assert started_at_ms[0] <= confirmed_at_ms
    assert counts.stops[key] == 1
    return True


async def _cancel(deployed, submission_id: str) -> float:
    """Cancel a job; return when that was confirmed, in milliseconds since the Unix epoch."""
    reply = await deployed.caller.cancel(deployed.url(NODE), submission_id)
    assert reply.code == results.ResultCode.CANCELLED
    return time.time() * 1000

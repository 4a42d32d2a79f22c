"""Cancellations of jobs whose start requests are still in flight to a target."""

import asyncio
import time

import pytest

from chiveridge_kernel import results

NODE = "ikeja-e1"
TARGET = "ikeja-t1"
KEY_PREFIX = "held"
ATTEMPTS = 5


@pytest.mark.promise("complete_or_failed")
async def test_nothing_starts_once_a_cancellation_is_confirmed(deploy, make_task):
    async with deploy(proxied_names=frozenset({TARGET})) as deployment:
        # With an open connection, the node sends the next start immediately.
        first = await deployment.make_submission(NODE, make_task("first"))
        await deployment.caller.submit(deployment.url(NODE), first, wait_ms=20_000)
        keys = [f"{KEY_PREFIX}-{number}" for number in range(ATTEMPTS)]
        for key in keys:
            if await _is_start_delivered_before_cancellation(deployment, make_task, key):
                return
        pytest.fail(f"none of {ATTEMPTS} starts was delivered within its time limit")


async def _is_start_delivered_before_cancellation(deployment, make_task, key: str) -> bool:
    """Cancel a job while its start is delayed; tell whether the start was delivered in time.

    On a busy machine the start may arrive after its time limit, and the target refuses it.
    """
    proxy = deployment.fleet.proxies_by_name[TARGET]
    target = deployment.fleet.targets_by_name[TARGET]
    requests_before = (await target.counts()).total_requests
    proxy.hold_traffic()
    received_bytes_before = proxy.counts.received_bytes

    async def is_start_sent() -> bool:
        return proxy.counts.received_bytes > received_bytes_before

    async def is_start_delivered() -> bool:
        return (await target.counts()).total_requests > requests_before

    submission = await deployment.make_submission(NODE, make_task(key, run_ms=5000))
    await deployment.caller.submit(deployment.url(NODE), submission)
    await deployment.wait_until(is_start_sent)
    cancellation = asyncio.create_task(_cancel(deployment, submission.submission_id))
    answer = await deployment.caller.get_answer(
        deployment.url(NODE), submission.submission_id, 20_000
    )
    assert answer.code == results.ResultCode.CANCELLED
    proxy.release_traffic()
    confirmed_at_ms = await cancellation
    await deployment.wait_until(is_start_delivered)
    counts = await target.counts()
    started_at_ms = counts.started_at_ms.get(key, [])
    if not started_at_ms:
        return False
    assert started_at_ms[0] <= confirmed_at_ms
    assert counts.stops[key] == 1
    return True


async def _cancel(deployment, submission_id: str) -> float:
    """Cancel a job; return the time of confirmation in milliseconds since the Unix epoch."""
    reply = await deployment.caller.cancel(deployment.url(NODE), submission_id)
    assert reply.code == results.ResultCode.CANCELLED
    return time.time() * 1000

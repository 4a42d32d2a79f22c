"""Cancellations of jobs whose starts are still on their way to a target."""

import asyncio
import time

import pytest

from chiveridge_kernel import results

NODE = "ikeja-e1"
TARGET = "ikeja-t1"
KEY = "held"


@pytest.mark.promise("complete_or_failed")
async def test_nothing_starts_once_a_cancellation_is_confirmed(deploy, make_task):
    async with deploy(proxied=frozenset({TARGET})) as deployed:
        # With a connection at hand, the next start is sent at once.
        first = await deployed.submission(NODE, make_task("first"))
        await deployed.caller.submit(deployed.url(NODE), first, wait_ms=20_000)
        proxy = deployed.fleet.proxies_by_name[TARGET]
        proxy.freeze()
        received_bytes = proxy.counts.received_bytes

        async def is_on_its_way() -> bool:
            return proxy.counts.received_bytes > received_bytes

        submission = await deployed.submission(NODE, make_task(KEY, run_ms=5000))
        await deployed.caller.submit(deployed.url(NODE), submission)
        await deployed.until(is_on_its_way)
        cancelling = asyncio.create_task(_cancel(deployed, submission.submission_id))
        answer = await deployed.caller.ask(deployed.url(NODE), submission.submission_id, 20_000)
        assert answer.code == results.ResultCode.CANCELLED
        proxy.thaw()
        confirmed_at_ms = await cancelling
        await deployed.wait_started(KEY)
        counts = await deployed.fleet.targets_by_name[TARGET].counts()
        assert counts.started_at_ms[KEY][0] <= confirmed_at_ms
        assert counts.stops == {KEY: 1}


async def _cancel(deployed, submission_id: str) -> float:
    """Cancel a job; return when that was confirmed, in milliseconds since the Unix epoch."""
    reply = await deployed.caller.cancel(deployed.url(NODE), submission_id)
    assert reply.code == results.ResultCode.CANCELLED
    return time.time() * 1000

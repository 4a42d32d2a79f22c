import asyncio

import pytest

from chiveridge_standins import fleet_members, processes


async def test_an_early_exit_is_reported_with_the_stderr_tail(tmp_path):
    process = processes.Process("none", tmp_path / "stderr")
    with pytest.raises(processes.ProcessError, match="No module named"):
        await process.start("chiveridge_no_such_module", [], fleet_members.NodeListening)
    assert await process.wait() == 1


async def test_cleanup_completes_when_its_caller_is_cancelled():
    steps = []

    async def cleanup():
        steps.append("begun")
        await asyncio.sleep(0)
        steps.append("ended")

    caller = asyncio.create_task(processes.run_to_completion(cleanup()))
    while not steps:
        await asyncio.sleep(0)
    caller.cancel()
    with pytest.raises(asyncio.CancelledError):
        await caller
    assert steps == ["begun", "ended"]

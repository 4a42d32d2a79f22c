import asyncio

import pytest

from chiveridge_standins import members, processes


async def test_a_process_that_ends_early_shows_its_log(tmp_path):
    process = processes.Process("none", tmp_path / "stderr")
    with pytest.raises(processes.ProcessError, match="No module named"):
        await process.start("chiveridge_no_such_module", [], members.NodeListening)
    assert await process.wait() == 1


async def test_a_clean_up_ends_although_its_caller_is_cancelled():
    steps = []

    async def clean_up():
        steps.append("begun")
        await asyncio.sleep(0)
        steps.append("ended")

    caller = asyncio.create_task(processes.uninterrupted(clean_up()))
    while not steps:
        await asyncio.sleep(0)
    caller.cancel()
    with pytest.raises(asyncio.CancelledError):
        await caller
    assert steps == ["begun", "ended"]

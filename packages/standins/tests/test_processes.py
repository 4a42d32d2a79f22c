import pytest

from chiveridge_standins import members, processes


async def test_a_process_that_ends_early_shows_its_log(tmp_path):
    process = processes.Process("none", tmp_path / "stderr")
    with pytest.raises(processes.ProcessError, match="No module named"):
        await process.start("chiveridge_no_such_module", [], members.NodeListening)
    assert await process.wait() == 1

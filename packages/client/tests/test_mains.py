import asyncio
import datetime
import functools
import io
import json

import pytest

from chiveridge_client import exits, keys, mains

Exit = exits.ExitCode


@pytest.fixture
def command(node, log):
    """Run the command in a thread, because it starts its own event loop."""

    async def run(*arguments):
        output, error_output = io.StringIO(), io.StringIO()
        address = node.url.removeprefix("http://")
        words = [*arguments, "--nodes", address, "--log-url", log.url, "--credential=t.s"]
        call = functools.partial(mains.main, words, output, error_output)
        code = await asyncio.to_thread(call)
        return code, output.getvalue(), error_output.getvalue()

    return run


async def test_submit_job_and_cancel(command, node):
    node.id_lifetime = datetime.timedelta(days=36500)
    code, output, _ = await command("submit", "--task-body={}", "--count=2", "--json")
    assert (code, json.loads(output)["state"]) == (Exit.DONE, "complete")
    code, output, _ = await command("job", "id-0")
    assert (code, output.splitlines()[1].split()[:2]) == (Exit.DONE, ["TASK", "OUTCOME"])
    assert (await command("cancel", "id-0"))[0] is Exit.DONE
    assert [method for method, _ in node.job_requests] == ["POST", "GET", "DELETE"]


async def test_publish_validate_and_status(command, log, tmp_path):
    file = tmp_path / "change.ini"
    file.write_text("[rule r]\nteams = a=1\n")
    assert (await command("validate", str(file)))[0] is Exit.DONE
    code, output, _ = await command("publish", str(file), "--actor=ada", "--json")
    assert (code, json.loads(output)["verdict"]) == (Exit.DONE, "accepted")
    file.write_text("[rule r]\nx = 1\ny = 1\n[team]\n")
    code, _, error_output = await command("publish", str(file))
    assert (code, len(error_output.splitlines()), len(log.values)) == (Exit.USAGE, 3, 1)
    code, output, _ = await command("status")
    assert code is Exit.DONE
    assert "ikeja-e1" in output


async def test_new_keys_match_their_digest(command):
    code, output, _ = await command("keys", "new", "ikeja", "--json")
    key = json.loads(output)
    assert code is Exit.DONE
    assert key["credential"] == f"ikeja.{key['secret']}"
    assert key["digest"] == keys.digest_of(key["secret"])


@pytest.mark.parametrize(
    "words",
    [(), ("fly",), ("job",), ("submit",), ("status", "--colour"), ("submit", "none.json")],
)
async def test_bad_usage_exits_with_2(command, words):
    code, _, error_output = await command(*words)
    assert code is Exit.USAGE
    assert error_output


async def test_help_shows_examples(command):
    code, output, _ = await command("--help")
    assert code is Exit.DONE
    assert "examples:" in output

import asyncio
import functools
import io
import json

import pytest

from chiveridge_client import exits, mains

Exit = exits.ExitCode
DIGEST = "ab" * 32
CHANGE_FILE = f"""
[team ikeja]
labels = area=lagos
key_digests = {DIGEST}
[target dryer-1]
labels = kind=dryer
owner = ada
approved_teams = ikeja, nobody
[target dryer-2]
labels = kind=washer
[rule dryers]
teams = area=lagos
targets = kind in (dryer, washer)
"""


@pytest.fixture
def command(node, log, tmp_path):
    """Run the command in a thread, because it starts its own event loop.

    ``text`` is written to a file whose path becomes the last argument.
    """

    async def run(*arguments, text=None):
        output, error_output = io.StringIO(), io.StringIO()
        if text is not None:
            path = tmp_path / "change.ini"
            path.write_text(text)
            arguments = (*arguments, str(path))
        address = node.url.removeprefix("http://")
        words = [*arguments, "--nodes", address, "--log-url", log.url, "--actor=ada"]
        call = functools.partial(mains.main, words, output, error_output)
        code = await asyncio.to_thread(call)
        return code, output.getvalue(), error_output.getvalue()

    return run


@pytest.fixture
async def published(command):
    code, output, _ = await command("publish", "--comment=first", text=CHANGE_FILE)
    assert code is Exit.DONE, output
    assert "warning: target dryer-1: approves team nobody, which does not exist" in output
    return command


@pytest.mark.parametrize(
    ("team", "target", "code", "words"),
    [
        ("ikeja", "dryer-1", Exit.DONE, ["ikeja reaches dryer-1", "dryers", "owner ada"]),
        ("ikeja", "dryer-2", Exit.REFUSED, ["missing: target 'dryer-2' does not approve team"]),
        ("nobody", "dryer-1", Exit.REFUSED, ["missing: there is no team 'nobody'"]),
        ("ikeja", "mixer", Exit.REFUSED, ["missing: there is no target 'mixer'"]),
    ],
)
async def test_why(published, team, target, code, words):
    exit_code, output, _ = await published("why", team, target)
    assert exit_code is code
    assert [word for word in words if word not in output] == []


async def test_why_reports_a_missing_rule_and_a_missing_key(published):
    text = "[delete rule dryers]\n[team ikeja]\nlabels = area=lagos\n"
    assert (await published("publish", text=text))[0] is Exit.DONE
    _, output, _ = await published("why", "ikeja", "dryer-1", "--json")
    assert json.loads(output)["missing"] == [
        "team 'ikeja' has no key",
        "no rule matches both the team and the target",
    ]


async def test_list_and_explain(published):
    _, output, _ = await published("list", "target", "--json")
    assert [item["name"] for item in json.loads(output)] == ["dryer-1", "dryer-2"]
    _, output, _ = await published("list")
    assert len(output.splitlines()) == 5
    _, output, _ = await published("explain", "team", "ikeja", "--json")
    explanation = json.loads(output)
    assert (explanation["rules"], explanation["targets"]) == (["dryers"], ["dryer-1"])
    assert explanation["value"]["key_digests"] == [DIGEST]
    _, output, _ = await published("explain", "target", "dryer-1")
    assert "approved_teams       ikeja, nobody" in output
    assert (await published("explain", "rule", "none"))[0] is Exit.USAGE
    assert (await published("list", "rules"))[0] is Exit.USAGE


async def test_diff_shows_each_field_and_publishes_nothing(published, log):
    text = CHANGE_FILE.replace("owner = ada", "owner = bola") + "[delete target dryer-2]\n"
    text = text.replace("[target dryer-2]\nlabels = kind=washer\n", "")
    _, output, _ = await published("diff", "--json", text=text)
    effects = {(item["name"], item["effect"], item["field"]) for item in json.loads(output)}
    assert effects == {
        ("ikeja", "nothing", ""),
        ("dryer-1", "change", "owner"),
        ("dryers", "nothing", ""),
        ("dryer-2", "delete", ""),
    }
    assert len(log.values) == 1


async def test_deletions(published, log):
    code, output, _ = await published("publish", text="[delete team ikeja]\n")
    assert code is Exit.DONE
    assert "1 targets still approve it" in output
    code, _, error_output = await published("publish", text="[delete team ikeja]\n")
    assert (code, len(log.values)) == (Exit.USAGE, 2)
    assert "[delete team ikeja]: there is no such object" in error_output


async def test_audit_shows_the_actor_the_writes_and_their_base_revisions(published):
    await published("publish", "--comment=again", text="[delete target dryer-2]\n")
    _, output, _ = await published("audit")
    last = output.splitlines()[-1]
    assert "ada" in last
    assert "accepted" in last
    assert "delete target dryer-2@1" in last
    assert "again" in last


async def test_reports_every_error_of_a_file_with_section_and_key(command, log):
    text = """
[team bad key]
[team t]
labels = a b=1
max_starts = -1
[target x]
labels = kind=dr yer
[rule r]
teams = a in (
targets = =
[delete rule r2]
teams = a
[delete]
"""
    code, _, error_output = await command("validate", text=text)
    assert code is Exit.USAGE
    sections = [line.partition(":")[0] for line in error_output.splitlines()]
    assert sections == [
        "[team bad key]",
        "[team t] labels",
        "[team t] max_starts",
        "[target x] labels",
        "[rule r] teams",
        "[rule r] targets",
        "[delete rule r2] teams",
        "[delete]",
    ]
    assert (await command("publish", text=text))[0] is Exit.USAGE
    assert log.values == []


@pytest.mark.parametrize(
    ("applied_offset", "members", "code"),
    [
        (1, [("live", 1), ("dead", 0)], Exit.DONE),
        (0, [], Exit.NOT_IN_FORCE),
        (1, [("live", 0)], Exit.NOT_IN_FORCE),
    ],
)
async def test_publish_waits_until_every_live_node_has_applied_it(
    command, node, applied_offset, members, code
):
    node.applied_offset, node.members = applied_offset, members
    exit_code, output, _ = await command("publish", "--wait=0.1", "--json", text=CHANGE_FILE)
    assert exit_code is code
    assert json.loads(output)["in_force"] is (code is Exit.DONE)


async def test_status_shows_nodes_members_and_targets(command):
    code, output, _ = await command("status")
    assert code is Exit.DONE
    lines = [line.split() for line in output.splitlines()]
    assert ["ikeja-e1", "e2", "d", "live", "100", "0.0"] in lines
    assert ["ikeja-e1", "dryer-2", "leaving"] in lines
    assert "never" in output


async def test_check_lists_findings_and_what_differs_from_the_version_in_force(published):
    text = CHANGE_FILE.replace("area=lagos\nkey", "area=osaka\nkey")
    code, output, _ = await published("check", text=text)
    assert code is Exit.REFUSED
    assert "never matches" in output
    assert "no team matches its teams selector" in output
    assert "area=osaka" in output


async def test_check_finds_nothing_in_a_sound_change(published):
    text = "[team surulere]\nlabels = area=lagos\n"
    code, output, _ = await published("check", "--json", text=text)
    report = json.loads(output)
    assert (code, report["findings"]) == (Exit.DONE, [])
    assert {item["name"] for item in report["differences"]} == {"surulere"}

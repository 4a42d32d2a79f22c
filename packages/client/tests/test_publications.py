import random

import aiohttp
import msgspec
import pytest

from chiveridge_client import errors, platform_logs, publications, readers
from chiveridge_kernel import configurations, records, snapshots

WRITES = publications.parse_writes("[rule dryers]\nteams = area=ikeja\ntargets = kind=dryer\n")


@pytest.fixture
async def publisher(log, clock):
    async with aiohttp.ClientSession() as session:
        yield publications.Publisher(
            platform_logs.LogClient(log.url, session),
            rng=random.Random(7),
            clock=clock,
        )


async def test_publishes_a_change_and_bases_the_next_one_on_it(publisher, log):
    log.values.append({"type": "other"})
    first = await publisher.publish(WRITES, "ada")
    second = await publisher.publish(WRITES, "ada", "again")
    assert (first.verdict, first.offset) == (records.Verdict.ACCEPTED, 1)
    assert (second.verdict, second.offset) == (records.Verdict.ACCEPTED, 2)
    assert [value["writes"][0]["based_on"] for value in log.values[1:]] == [0, 2]
    assert log.values[1]["actor"] == "ada"
    assert log.values[1]["changed_at"] == "2026-01-01T00:00:00+00:00"


async def test_finds_the_change_after_a_lost_append_reply(publisher, log):
    log.replies_to_lose = 1
    publication = await publisher.publish(WRITES, "ada")
    assert publication.verdict is records.Verdict.ACCEPTED
    assert publication.lost_replies == 1
    assert [value["change_id"] for value in log.values] == [publication.change_id]


async def test_a_change_that_was_never_stored_is_appended_again(publisher, log, monkeypatch):
    append = publisher._log.append
    calls = []

    async def fail_once(stream, value):
        calls.append(value)
        if len(calls) == 1:
            raise errors.LogReplyLostError("lost")
        return await append(stream, value)

    monkeypatch.setattr(publisher._log, "append", fail_once)
    publication = await publisher.publish(WRITES, "ada")
    assert publication.verdict is records.Verdict.ACCEPTED
    assert calls[0] == calls[1]


async def test_a_racing_change_is_a_conflict(publisher, log, monkeypatch):
    racing_change = records.ChangeRecord(change_id="c", actor="b", changed_at="", writes=WRITES)
    append = publisher._log.append

    async def append_second(stream, value):
        log.values.append(msgspec.to_builtins(racing_change))
        return await append(stream, value)

    log.values.append({})
    monkeypatch.setattr(publisher._log, "append", append_second)
    publication = await publisher.publish(WRITES, "ada")
    assert publication.verdict is records.Verdict.CONFLICT


@pytest.mark.parametrize("second_error", [errors.LogReplyLostError, errors.LogError])
async def test_raises_when_the_outcome_is_unknown(publisher, monkeypatch, second_error):
    errors_to_raise = iter([errors.LogReplyLostError("lost")])

    async def lose_reply(stream, value):
        raise next(errors_to_raise, second_error("later"))

    monkeypatch.setattr(publisher._log, "append", lose_reply)
    with pytest.raises(errors.PublicationUnknownError):
        await publisher.publish(WRITES, "ada")


async def test_resumes_from_a_snapshot_when_records_have_expired(publisher, log):
    first = await publisher.publish(WRITES, "ada", change_id="c")
    state = publisher._reader.configuration.snapshot()
    log.values += [msgspec.to_builtins(chunk) for chunk in snapshots.encode(state)]
    log.first = 1
    publisher._reader = readers.ConfigurationReader(publisher._log, publications.DEFAULT_STREAM)
    again = await publisher.publish(WRITES, "ada", change_id="c")
    second = await publisher.publish(WRITES, "ada")
    assert again == first
    assert second.verdict is records.Verdict.ACCEPTED
    assert log.values[-1]["writes"][0]["based_on"] == first.offset + 1


async def test_publishes_nothing_when_records_have_expired_without_a_snapshot(publisher, log):
    log.values.extend([{}, {}, {}])
    log.first = 2
    with pytest.raises(errors.LogError, match="no whole snapshot"):
        await publisher.publish(WRITES, "ada")
    assert len(log.values) == 3


async def test_nodes_and_the_command_reach_the_same_verdicts(publisher, log):
    for comment in ("first", "second", "third"):
        await publisher.publish(WRITES, "ada", comment)
    node = configurations.Configuration()
    results = [node.apply(offset, value) for offset, value in enumerate(log.values)]
    assert {result.verdict for result in results} == {records.Verdict.ACCEPTED}


async def test_finds_a_change_of_an_earlier_publication(publisher, log):
    first = await publisher.publish(WRITES, "ada", change_id="c")
    publisher._reader = readers.ConfigurationReader(publisher._log, publications.DEFAULT_STREAM)
    again = await publisher.publish(WRITES, "ada", change_id="c")
    assert again == first
    assert len(log.values) == 1


async def test_conflicting_change_stays_a_conflict_when_it_is_appended_again(publisher, log):
    for change_id in ("winner", "loser"):
        racing_change = records.ChangeRecord(
            change_id=change_id, actor="b", changed_at="", writes=WRITES
        )
        log.values.append(msgspec.to_builtins(racing_change))
    await publisher._reader.catch_up()
    log.values.append(log.values[1])
    publication = await publisher.publish(WRITES, "ada", change_id="loser")
    assert (publication.verdict, publication.offset) == (records.Verdict.CONFLICT, 1)
    assert "change 'winner' of b wrote it" in publication.message
    assert len(log.values) == 3

import random

import msgspec
import pytest

from chiveridge_kernel import configurations, followers, records, snapshots


def team_change(number, based_on=0):
    value = records.TeamObject(name=f"team-{number}", labels={"number": str(number)})
    write = records.ObjectWrite(
        kind=records.ObjectKind.TEAM, name=value.name, based_on=based_on, team=value
    )
    return records.ChangeRecord(
        change_id=f"change-{number}", actor="ada", changed_at="", writes=[write]
    )


def chunks_at(values, base):
    configuration = configurations.Configuration()
    for offset, value in enumerate(values[:base]):
        configuration.apply(offset, value)
    return [msgspec.json.encode(chunk) for chunk in snapshots.encode(configuration.snapshot())]


class Stream:
    """A log that serves pages of three records and forgets those before ``first``."""

    def __init__(self, values, first):
        self.values = values
        self.first = first

    def feed(self, follower):
        for _ in range(100):
            start = follower.read_offset
            if start < self.first:
                follower.expired(self.first, len(self.values))
                continue
            page = list(enumerate(self.values))[start : start + 3]
            if not page:
                return
            follower.read(page, self.first, len(self.values))
        raise AssertionError("the follower never came to the end")


@pytest.fixture
def small_chunks(monkeypatch):
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 40)


def stream_with_snapshots(*bases):
    """Return a stream of 12 changes with a snapshot after each base, whole or None for torn."""
    values = [msgspec.json.encode(team_change(number)) for number in range(8)]
    for is_whole in bases:
        chunks = chunks_at(values, len(values))
        values += chunks if is_whole else [*chunks[:1], b"{}", *chunks[2:]]
        number = 100 + len(values)
        values += [msgspec.json.encode(team_change(number + i)) for i in range(2)]
    return values


def folded(values):
    configuration = configurations.Configuration()
    for offset, value in enumerate(values):
        configuration.apply(offset, value)
    return configuration


@pytest.mark.usefixtures("small_chunks")
@pytest.mark.parametrize("bases", [(True,), (True, True), (True, False), (False, True)])
def test_a_reader_whose_records_expired_ends_in_the_state_of_the_others(bases):
    values = stream_with_snapshots(*bases)
    reader = configurations.Configuration()
    follower = followers.Follower(reader)
    follower.read(list(enumerate(values))[:3])
    Stream(values, first=8).feed(follower)
    assert not follower.is_scanning
    assert reader.offset == len(values)
    assert reader.teams_by_name == folded(values).teams_by_name
    assert reader.snapshot() == folded(values).snapshot()


@pytest.mark.usefixtures("small_chunks")
def test_without_a_whole_snapshot_it_keeps_what_it_has_and_waits_for_one():
    values = stream_with_snapshots(False)
    reader = configurations.Configuration()
    follower = followers.Follower(reader)
    follower.read(list(enumerate(values))[:3])
    stream = Stream(values, first=8)
    stream.feed(follower)
    assert follower.is_scanning
    assert reader.offset == 3
    values += chunks_at(values, len(values))
    stream.feed(follower)
    assert reader.snapshot() == folded(values).snapshot()


@pytest.mark.usefixtures("small_chunks")
def test_a_snapshot_whose_next_record_has_expired_is_not_used():
    values = [msgspec.json.encode(team_change(number)) for number in range(8)]
    values += chunks_at(values, 5)
    reader = configurations.Configuration()
    follower = followers.Follower(reader)
    Stream(values, first=8).feed(follower)
    assert follower.is_scanning
    assert reader.offset == 0


@pytest.mark.usefixtures("small_chunks")
def test_the_newest_of_two_snapshots_is_loaded():
    values = stream_with_snapshots(True, True)
    reader = configurations.Configuration()
    follower = followers.Follower(reader)
    follower.expired(8, len(values))
    follower.read(list(enumerate(values))[8:], 8, len(values))
    assert reader.offset > 8


@pytest.mark.usefixtures("small_chunks")
def test_chunks_of_two_writers_complete_each_other():
    values = stream_with_snapshots(True)
    chunks = chunks_at(values, len(values))
    assert len(chunks) > 3
    shuffled = chunks[: len(chunks) // 2] + chunks[1:]
    random.Random(5).shuffle(shuffled)
    reader = configurations.Configuration()
    Stream([*values, *shuffled], first=len(values)).feed(followers.Follower(reader))
    assert reader.teams_by_name == folded(values).teams_by_name


def test_a_state_from_a_peer_ends_the_search():
    values = stream_with_snapshots(False)
    reader = configurations.Configuration()
    follower = followers.Follower(reader)
    stream = Stream(values, first=9)
    stream.feed(follower)
    reader.restore(folded(values[:10]).snapshot())
    stream.feed(follower)
    assert reader.snapshot() == folded(values).snapshot()

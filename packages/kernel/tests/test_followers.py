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


def encode_chunks(values, base):
    configuration = configurations.Configuration()
    for offset, value in enumerate(values[:base]):
        configuration.apply(offset, value)
    return [msgspec.json.encode(chunk) for chunk in snapshots.encode(configuration.snapshot())]


class ExpiringLog:
    """A log that serves pages of three records and has expired those before ``first``."""

    def __init__(self, values, first):
        self.values = values
        self.first = first

    def serve(self, follower):
        for _ in range(100):
            start = follower.read_offset
            if start < self.first:
                follower.handle_expired(self.first, len(self.values))
                continue
            page = list(enumerate(self.values))[start : start + 3]
            if not page:
                return
            follower.process_records(page, self.first, len(self.values))
        raise AssertionError("the follower did not reach the end of the log")


@pytest.fixture
def small_chunks(monkeypatch):
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 40)


def make_log_values(*are_complete):
    """Return 8 changes, followed by a snapshot (complete or torn) and 2 changes for each flag."""
    values = [msgspec.json.encode(team_change(number)) for number in range(8)]
    for is_complete in are_complete:
        chunks = encode_chunks(values, len(values))
        values += chunks if is_complete else [*chunks[:1], b"{}", *chunks[2:]]
        number = 100 + len(values)
        values += [msgspec.json.encode(team_change(number + i)) for i in range(2)]
    return values


def fold(values):
    configuration = configurations.Configuration()
    for offset, value in enumerate(values):
        configuration.apply(offset, value)
    return configuration


@pytest.mark.usefixtures("small_chunks")
@pytest.mark.parametrize("are_complete", [(True,), (True, True), (True, False), (False, True)])
def test_a_reader_behind_expired_records_reaches_the_same_state_as_the_others(are_complete):
    values = make_log_values(*are_complete)
    reader = configurations.Configuration()
    follower = followers.Follower(reader)
    follower.process_records(list(enumerate(values))[:3])
    ExpiringLog(values, first=8).serve(follower)
    assert not follower.is_scanning
    assert reader.offset == len(values)
    assert reader.teams_by_name == fold(values).teams_by_name
    assert reader.snapshot() == fold(values).snapshot()


@pytest.mark.usefixtures("small_chunks")
def test_without_a_complete_snapshot_the_state_is_kept_until_one_appears():
    values = make_log_values(False)
    reader = configurations.Configuration()
    follower = followers.Follower(reader)
    follower.process_records(list(enumerate(values))[:3])
    log = ExpiringLog(values, first=8)
    log.serve(follower)
    assert follower.is_scanning
    assert reader.offset == 3
    values += encode_chunks(values, len(values))
    log.serve(follower)
    assert reader.snapshot() == fold(values).snapshot()


@pytest.mark.usefixtures("small_chunks")
def test_a_snapshot_whose_next_record_has_expired_is_not_used():
    values = [msgspec.json.encode(team_change(number)) for number in range(8)]
    values += encode_chunks(values, 5)
    reader = configurations.Configuration()
    follower = followers.Follower(reader)
    ExpiringLog(values, first=8).serve(follower)
    assert follower.is_scanning
    assert reader.offset == 0


@pytest.mark.usefixtures("small_chunks")
def test_the_newest_of_two_snapshots_is_loaded():
    values = make_log_values(True, True)
    reader = configurations.Configuration()
    follower = followers.Follower(reader)
    follower.handle_expired(8, len(values))
    follower.process_records(list(enumerate(values))[8:], 8, len(values))
    assert reader.offset > 8


@pytest.mark.usefixtures("small_chunks")
def test_chunks_of_two_writers_complete_each_other():
    values = make_log_values(True)
    chunks = encode_chunks(values, len(values))
    assert len(chunks) > 3
    shuffled = chunks[: len(chunks) // 2] + chunks[1:]
    random.Random(5).shuffle(shuffled)
    reader = configurations.Configuration()
    ExpiringLog([*values, *shuffled], first=len(values)).serve(followers.Follower(reader))
    assert reader.teams_by_name == fold(values).teams_by_name


def test_a_state_from_a_peer_ends_the_snapshot_scan():
    values = make_log_values(False)
    reader = configurations.Configuration()
    follower = followers.Follower(reader)
    log = ExpiringLog(values, first=9)
    log.serve(follower)
    reader.restore(fold(values[:10]).snapshot())
    log.serve(follower)
    assert reader.snapshot() == fold(values).snapshot()

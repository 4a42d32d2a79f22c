"""Tests that a snapshot is loaded in steps and used only after it is loaded completely."""

import datetime
import random

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from chiveridge_kernel import (
    actions,
    clocks,
    configurations,
    errors,
    events,
    kernel_parts,
    kernels,
    peers,
    reach_indexes,
    reaches,
    records,
    snapshot_decoders,
    snapshot_loaders,
    snapshots,
    vms,
)

TEAMS = 12
TARGETS = 60
RULES = 9
LABELS = tuple("abc")


@pytest.fixture(autouse=True)
def small_steps(monkeypatch):
    monkeypatch.setattr(snapshots, "BYTES_PER_STEP", 500)
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 200)
    monkeypatch.setattr(configurations, "OBJECTS_PER_STEP", 4)
    monkeypatch.setattr(reach_indexes, "LINKS_PER_STEP", 16)


def objects(seed: int) -> list[records.ObjectWrite]:
    rng = random.Random(seed)
    teams = [f"team-{number}" for number in range(TEAMS)]
    found = [records.TeamObject(name=name, labels={"a": rng.choice(LABELS)}) for name in teams]
    for number in range(TARGETS):
        approved = rng.sample(teams, rng.randrange(TEAMS))
        labels = {key: rng.choice(LABELS) for key in rng.sample(LABELS, 2)}
        name = f"t{number}"
        found.append(records.TargetObject(name=name, labels=labels, approved_teams=approved))
    for number in range(RULES):
        texts = [f"{rng.choice(LABELS)}={rng.choice(LABELS)}" for _ in range(2)]
        found.append(records.RuleObject(name=f"r{number}", teams=texts[0], targets=texts[1]))
    return [_write(value) for value in found]


def _write(value: msgspec.Struct) -> records.ObjectWrite:
    kind = records.ObjectKind(type(value).__name__.removesuffix("Object").lower())
    return records.ObjectWrite(kind=kind, name=value.name, **{kind.value: value})


def change(number: int, writes: list[records.ObjectWrite]) -> bytes:
    return configurations.encode_change(
        records.ChangeRecord(change_id=f"c{number}", actor="ada", changed_at="", writes=writes)
    )


def extra_team_change(number: int) -> bytes:
    return change(number, [_write(records.TeamObject(name=f"extra-{number}"))])


def configuration_from(*values: bytes) -> configurations.Configuration:
    configuration = configurations.Configuration()
    for offset, value in enumerate(values):
        configuration.apply(offset, value)
    return configuration


def _vm(name: str) -> vms.Vm:
    return vms.Vm(name=name, role=vms.VmRole.TARGET, domain="d", address="127.0.0.1", port=1)


def candidates_by_query(reach: reaches.Reach) -> dict:
    listed = [_vm(f"t{n}") for n in range(TARGETS)]
    reach.replace_vms({vm.name: vm for vm in listed})
    found = {}
    for team in [f"team-{number}" for number in range(TEAMS)]:
        for selector in ("", "a=b", "!c", "b in (a, c)"):
            try:
                found[team, selector] = reach.candidates(team, selector).vms
            except errors.RefusedError as refusal:
                found[team, selector] = refusal.code
    return found


class Node:
    """A kernel with single loading steps; asserts that its offset never decreases."""

    def __init__(self):
        settings = kernel_parts.KernelSettings(node="e1", domain="d", incarnation="a", secret=b"k")
        self.kernel = kernels.Kernel(settings, random.Random(1))
        self.clock = clocks.ManualClock()
        self.offset = 0
        self.steps_due = 0
        self.restored = []

    def handle(self, event: events.Event) -> None:
        self.clock.advance(datetime.timedelta(milliseconds=1))
        for action in self.kernel.handle(event, self.clock.now()):
            self.steps_due += isinstance(action, actions.ContinueLoading)
            if isinstance(action, actions.NoteRestored):
                self.restored.append(action)
        assert self.kernel.configuration.offset >= self.offset
        self.offset = self.kernel.configuration.offset

    def step(self) -> None:
        self.steps_due -= 1
        self.handle(events.LoadingContinued())

    def finish(self) -> int:
        count = 0
        while self.steps_due:
            self.step()
            count += 1
        return count

    def receive(self, configuration: configurations.Configuration) -> None:
        for chunk in snapshots.encode(configuration.snapshot()):
            message = peers.ConfigurationChunk(chunk=chunk)
            self.handle(events.PeerMessageReceived(message=message))

    def read_log(self, values: list[bytes], first: int) -> None:
        """Read a log whose records before ``first`` have expired."""
        self.handle(events.RecordsExpired(first=first, next_offset=len(values)))
        page = list(enumerate(values))[first:]
        self.handle(events.RecordsRead(records=page, first=first, next_offset=len(values)))


@pytest.fixture
def node() -> Node:
    return Node()


@pytest.fixture
def source() -> configurations.Configuration:
    return configuration_from(change(0, objects(1)), extra_team_change(1))


def test_a_snapshot_is_used_only_after_its_last_loading_step(node, source):
    node.receive(source)
    count = 0
    while node.steps_due:
        assert node.kernel.configuration.snapshot() == configurations.Configuration().snapshot()
        assert node.kernel.reach.version == 0
        assert node.steps_due == 1
        node.handle(events.Ticked())
        node.step()
        count += 1
    assert count > 50
    assert node.kernel.configuration.snapshot() == source.snapshot()
    assert [restored.offset for restored in node.restored] == [2]
    # Later records are applied and indexed as usual.
    node.handle(events.RecordsRead(records=[(2, extra_team_change(2))]))
    assert "extra-2" in node.kernel.configuration.teams_by_name


@hypothesis.given(st.integers(0, 1000), st.integers(0, 1000))
@hypothesis.settings(
    max_examples=20,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_a_reach_index_built_in_steps_matches_one_updated_incrementally(seed, before):
    value = change(0, objects(seed))
    incremental_reach = reaches.Reach(
        incremental := configuration_from(value, extra_team_change(1))
    )
    incremental_reach.update(incremental.pop_changed_keys())
    node = Node()
    node.handle(events.RecordsRead(records=[(0, change(0, objects(before)))]))
    candidates_by_query(node.kernel.reach)
    node.receive(incremental)
    node.finish()
    assert candidates_by_query(node.kernel.reach) == candidates_by_query(incremental_reach)
    target = msgspec.structs.replace(incremental.targets_by_name["t0"], approved_teams=["team-0"])
    moved = msgspec.structs.replace(_write(target), based_on=1)
    for configuration, reach in (
        (incremental, incremental_reach),
        (node.kernel.configuration, node.kernel.reach),
    ):
        configuration.apply(2, change(2, [moved]))
        reach.update(configuration.pop_changed_keys())
    assert candidates_by_query(node.kernel.reach) == candidates_by_query(incremental_reach)


@pytest.mark.promise("configuration_in_force", failures=["platform_outage"])
def test_a_state_that_was_overtaken_while_it_was_loaded_is_left(node, source):
    node.receive(source)
    node.step()
    values = [extra_team_change(number) for number in range(3)]
    node.handle(events.RecordsRead(records=list(enumerate(values)), next_offset=3))
    node.finish()
    assert node.kernel.configuration.snapshot() == configuration_from(*values).snapshot()
    assert node.restored == []


def test_a_later_snapshot_replaces_one_that_is_being_loaded(node, source):
    loader = snapshot_loaders.SnapshotLoader()
    loader.start_if_newer(source.snapshot(), is_from_peer=True)
    source.apply(2, extra_team_change(2))
    loader.start_if_newer(source.snapshot(), is_from_peer=False)
    loader.start_if_newer(configuration_from(extra_team_change(1)).snapshot(), is_from_peer=True)
    while loader.is_busy():
        loader.step()
    finished = loader.pop_finished()
    assert (finished.base, finished.is_from_peer) == (3, False)
    assert loader.pop_finished() is None


def _log(source: configurations.Configuration) -> list[bytes]:
    """Return a log of two changes, the snapshot of both, and one more change."""
    chunks = [msgspec.json.encode(chunk) for chunk in snapshots.encode(source.snapshot())]
    return [change(0, objects(1)), extra_team_change(1), *chunks, extra_team_change(9)]


@pytest.mark.promise("configuration_in_force", failures=["platform_outage"])
def test_a_log_whose_records_expired_is_read_on_while_its_snapshot_is_loaded(node, source):
    values = _log(source)
    node.read_log(values, first=2)
    assert node.steps_due
    offset = node.kernel.follower.read_offset
    values.append(extra_team_change(10))
    page = list(enumerate(values))[offset:]
    node.handle(events.RecordsRead(records=page, first=2, next_offset=len(values)))
    node.finish()
    assert node.kernel.follower.read_offset == node.kernel.configuration.offset == 2
    page = list(enumerate(values))[2:]
    node.handle(events.RecordsRead(records=page, first=2, next_offset=len(values)))
    assert node.kernel.configuration.snapshot() == configuration_from(*values).snapshot()


def test_a_snapshot_whose_next_record_expires_while_it_loads_is_discarded(node, source):
    values = _log(source)
    node.read_log(values, first=2)
    while not node.kernel.loader.is_busy():
        node.step()
    node.handle(events.RecordsExpired(first=3, next_offset=len(values)))
    node.finish()
    assert node.kernel.configuration.offset == 0
    assert node.kernel.follower.is_scanning


def test_decoding_a_snapshot_takes_steps_of_limited_size(source):
    decoding = snapshot_decoders.SnapshotDecoder(snapshots.encode(source.snapshot()))
    steps = 1
    while decoding.step():
        steps += 1
    size = len(msgspec.msgpack.encode(source.snapshot()))
    assert steps >= 2 * (size // snapshots.BYTES_PER_STEP)
    assert decoding.snapshot == source.snapshot()

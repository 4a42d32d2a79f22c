import asyncio

import pytest

from chiveridge_kernel import errors, records, snapshots
from chiveridge_node import snapshot_encodings


def snapshot_of(target_count: int) -> snapshots.Snapshot:
    approved = [f"team-{number}" for number in range(160)]
    targets = [
        (1, records.TargetObject(name=f"t{number}", approved_teams=approved))
        for number in range(target_count)
    ]
    return snapshots.Snapshot(1, [], targets, [], [], [])


async def test_the_loop_runs_other_tasks_between_the_steps():
    turns = 0

    async def work():
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    worker = asyncio.create_task(work())
    snapshot = snapshot_of(1000)
    chunks = await snapshot_encodings.encode(snapshot)
    worker.cancel()
    assert chunks == snapshots.encode(snapshot)
    assert turns >= 10


async def test_a_state_that_is_too_large_is_refused(monkeypatch):
    monkeypatch.setattr(snapshots, "MAX_STATE_BYTES", 1000)
    with pytest.raises(errors.SnapshotError):
        await snapshot_encodings.encode(snapshot_of(10))

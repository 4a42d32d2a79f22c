"""Encodes snapshots in steps, between which the event loop runs other tasks."""

import asyncio

from chiveridge_kernel import records, snapshots


async def encode(snapshot: snapshots.Snapshot) -> list[records.SnapshotRecord]:
    """Return the chunks of a snapshot.

    :raises errors.SnapshotError: if the state is too large.
    """
    encoding = snapshots.SnapshotEncoder(snapshot)
    while encoding.step():
        await asyncio.sleep(0)
    return encoding.chunks()

"""Encodes snapshots on the loop, which goes on with other work between the steps."""

import asyncio

from chiveridge_kernel import records, snapshots


async def encode(snapshot: snapshots.Snapshot) -> list[records.SnapshotRecord]:
    """Return the chunks of a snapshot.

    :raises errors.SnapshotError: when the state is too large.
    """
    encoding = snapshots.SnapshotEncoder(snapshot)
    while encoding.step():
        await asyncio.sleep(0)
    return encoding.chunks()

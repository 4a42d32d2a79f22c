"""Builds the configuration and reach index of a snapshot apart from those in force.

They are built in steps, so that the node can do other work while a large snapshot is loaded.
Nothing of a snapshot is used before it is loaded completely.
"""

from collections.abc import Iterator

from chiveridge_kernel import configurations, identifiers, reach_indexes, snapshots


class SnapshotLoad:
    """The loading of one snapshot."""

    def __init__(self, snapshot: snapshots.Snapshot, is_from_peer: bool):
        self.base: identifiers.Offset = snapshot.base
        self.is_from_peer = is_from_peer
        self.configuration = configurations.Configuration()
        self.index = reach_indexes.ReachIndex(self.configuration)
        self._steps = self._load_steps(snapshot)

    def step(self) -> bool:
        """Do one step; return whether there is more to do."""
        return next(self._steps, self) is not self

    def _load_steps(self, snapshot: snapshots.Snapshot) -> Iterator[None]:
        yield from self.configuration.restore_in_steps(snapshot)
        self.configuration.pop_changed_keys()
        yield from self.index.build_in_steps()


class SnapshotLoader:
    """Loads one snapshot at a time; a later snapshot replaces one that is still being loaded."""

    def __init__(self):
        self._loading: SnapshotLoad | None = None
        self._finished: SnapshotLoad | None = None

    def start_if_newer(self, snapshot: snapshots.Snapshot, *, is_from_peer: bool) -> None:
        """Start to load a snapshot, unless the same or a later one is being loaded."""
        if self._loading is None or self._loading.base < snapshot.base:
            self._loading = SnapshotLoad(snapshot, is_from_peer)
            self.step()

    def is_busy(self) -> bool:
        """Return whether a snapshot is being loaded."""
        return self._loading is not None

    def step(self) -> None:
        """Do one loading step, if a snapshot is being loaded."""
        loading, self._loading = self._loading, None
        if loading is None:
            return
        # The loading is unset before the step, so a step that raises is not repeated forever.
        if loading.step():
            self._loading = loading
        else:
            self._finished = loading

    def pop_finished(self) -> SnapshotLoad | None:
        """Return a finished loading and clear it, or None if there is none."""
        finished, self._finished = self._finished, None
        return finished

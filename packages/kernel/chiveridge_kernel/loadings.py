"""Builds the configuration of a snapshot, and who reaches what, beside what is in force.

A large one is built in steps, so that the node does other work meanwhile. Nothing of it is used
before it is whole.
"""

from collections.abc import Iterator

from chiveridge_kernel import configurations, identifiers, reach_indexes, snapshots


class Loading:
    """One snapshot that is being taken over."""

    def __init__(self, snapshot: snapshots.Snapshot, is_from_peer: bool):
        self.base: identifiers.Offset = snapshot.base
        self.is_from_peer = is_from_peer
        self.configuration = configurations.Configuration()
        self.index = reach_indexes.ReachIndex(self.configuration)
        self._steps = self._run(snapshot)

    def step(self) -> bool:
        """Do one step; tell whether there is more."""
        return next(self._steps, self) is not self

    def _run(self, snapshot: snapshots.Snapshot) -> Iterator[None]:
        yield from self.configuration.restoring(snapshot)
        self.configuration.take_touched()
        yield from self.index.linking()


class Loader:
    """Loads one snapshot at a time; a later one takes the place of one that is not done."""

    def __init__(self):
        self._loading: Loading | None = None
        self._finished: Loading | None = None

    def offer(self, snapshot: snapshots.Snapshot, *, is_from_peer: bool) -> None:
        """Begin to load a snapshot, unless one as late is being loaded."""
        if self._loading is None or self._loading.base < snapshot.base:
            self._loading = Loading(snapshot, is_from_peer)
            self.step()

    def is_busy(self) -> bool:
        """Tell whether a snapshot is being loaded."""
        return self._loading is not None

    def step(self) -> None:
        """Do one step of the work, if there is any."""
        loading, self._loading = self._loading, None
        if loading is None:
            return
        # A fault in a step ends the loading, and it is not tried again and again.
        if loading.step():
            self._loading = loading
        else:
            self._finished = loading

    def take_finished(self) -> Loading | None:
        """Return what is whole now, once."""
        finished, self._finished = self._finished, None
        return finished

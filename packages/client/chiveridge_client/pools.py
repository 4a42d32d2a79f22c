"""Submission ids fetched ahead of their use."""

import collections
import datetime

import msgspec

from chiveridge_kernel import identifiers

EXPIRY_MARGIN = datetime.timedelta(seconds=5)


class HeldId(msgspec.Struct, frozen=True):
    """A submission id, when it expires and the URL of the node that issued it."""

    submission_id: identifiers.SubmissionId
    expires_at: datetime.datetime
    url: str


class IdPool:
    """Unused submission ids, oldest first."""

    def __init__(self):
        self._ids: collections.deque[HeldId] = collections.deque()

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, ids: list[HeldId]) -> None:
        """Add newly issued ids."""
        self._ids.extend(ids)

    def take(self, now: datetime.datetime, deadline: datetime.timedelta) -> HeldId | None:
        """Remove and return an id that outlives ``deadline`` by the margin.

        Ids that don't are dropped. Returns ``None`` when no id is left.
        """
        while self._ids:
            held = self._ids.popleft()
            if held.expires_at - now >= deadline + EXPIRY_MARGIN:
                return held
        return None

    def drop_url(self, url: str) -> None:
        """Drop the ids issued by a node that no longer serves them."""
        self._ids = collections.deque(held for held in self._ids if held.url != url)

"""Pool of prefetched submission ids."""

import collections
import datetime

import msgspec

from chiveridge_kernel import identifiers

EXPIRY_MARGIN = datetime.timedelta(seconds=5)


class IssuedId(msgspec.Struct, frozen=True):
    """A submission id, its expiry time and the base URL of the node that issued it."""

    submission_id: identifiers.SubmissionId
    expires_at: datetime.datetime
    url: str


class IdPool:
    """Unused submission ids, oldest first."""

    def __init__(self):
        self._unused_ids: collections.deque[IssuedId] = collections.deque()

    def __len__(self) -> int:
        return len(self._unused_ids)

    def add(self, ids: list[IssuedId]) -> None:
        """Add newly issued ids."""
        self._unused_ids.extend(ids)

    def pop(self, now: datetime.datetime, deadline: datetime.timedelta) -> IssuedId | None:
        """Remove and return the oldest id that is valid until ``deadline`` plus the margin.

        Ids that expire earlier are dropped. Returns ``None`` when no id is left.
        """
        while self._unused_ids:
            issued_id = self._unused_ids.popleft()
            if issued_id.expires_at - now >= deadline + EXPIRY_MARGIN:
                return issued_id
        return None

    def drop_issued_by(self, url: str) -> None:
        """Drop the ids issued by the node at ``url``, which no longer accepts them."""
        self._unused_ids = collections.deque(
            issued_id for issued_id in self._unused_ids if issued_id.url != url
        )

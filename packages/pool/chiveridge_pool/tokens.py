"""Fencing tokens: made from the time, raised above those that a target has refused.

A target keeps the highest token that it has seen, so that any two owners are put in order by the
target itself and nothing has to be agreed beforehand.
"""

import datetime
import random

from chiveridge_kernel import clocks
from chiveridge_pool import identifiers, timings

_PER_MILLISECOND = 1000
_RAISE = 10_000 * _PER_MILLISECOND
"""Added after the first refusal in a row: more than the clocks of two nodes differ by.

It doubles with each further one, as others may have raised their tokens before.
"""

_MOST_DOUBLINGS = 10
"""Raises of nearly three hours each; tokens stay below 2**53 for any time of day to come."""

_FIRST_PAUSE = datetime.timedelta(milliseconds=300)


class TokenSource:
    """Makes tokens, and remembers which targets refused one."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._floor_by_target: dict[identifiers.TargetId, int] = {}
        self._refusals_by_target: dict[identifiers.TargetId, int] = {}
        self._wait_by_target: dict[identifiers.TargetId, datetime.datetime] = {}

    def next(
        self, target: identifiers.TargetId, now: datetime.datetime, above: int = 0
    ) -> identifiers.FencingToken:
        """Return a token above every one that is known for the target."""
        milliseconds = clocks.to_epoch_ms(now)
        token = milliseconds * _PER_MILLISECOND + self._rng.randrange(_PER_MILLISECOND)
        floor = max(self._floor_by_target.get(target, 0), above)
        return identifiers.FencingToken(max(token, floor + 1))

    def may_claim(self, target: identifiers.TargetId, now: datetime.datetime) -> bool:
        """Tell whether enough time has passed since the target refused a token."""
        return now >= self._wait_by_target.get(target, now)

    def refused(
        self,
        target: identifiers.TargetId,
        token: identifiers.FencingToken,
        now: datetime.datetime,
    ) -> None:
        """Note that a target has seen a higher token."""
        count = self._refusals_by_target.get(target, 0)
        self._refusals_by_target[target] = count + 1
        pause = min(_FIRST_PAUSE * 2**count, timings.CLAIM_DEFERENCE)
        self._wait_by_target[target] = now + pause
        self._floor_by_target[target] = token + _RAISE * 2 ** min(count, _MOST_DOUBLINGS)

    def exceed(self, target: identifiers.TargetId, token: identifiers.FencingToken) -> None:
        """Have later tokens for a target exceed one, so that its orders are refused."""
        known = self._floor_by_target.get(target, 0)
        self._floor_by_target[target] = max(known, token)

    def accepted(self, target: identifiers.TargetId) -> None:
        """Note that a target obeys this node's token."""
        self._refusals_by_target.pop(target, None)

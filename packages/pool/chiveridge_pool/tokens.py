"""Fencing tokens, derived from the time and raised above those that a target has rejected.

A target keeps the highest token that it has seen. It thereby orders any two owners itself, and the
owners need no prior agreement.
"""

import datetime
import random

from chiveridge_kernel import clocks
from chiveridge_pool import identifiers, timings

_PER_MILLISECOND = 1000
_RAISE = 10_000 * _PER_MILLISECOND
"""Added after the first rejection: 10 s, more than the difference between two nodes' clocks.

Doubles with each consecutive rejection, since other owners may have raised their tokens too.
"""

_MOST_DOUBLINGS = 10
"""Limits one increment to nearly three hours, which keeps tokens below 2**53."""

_FIRST_PAUSE = datetime.timedelta(milliseconds=300)


class TokenSource:
    """Issues tokens, and tracks which targets rejected one."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._floor_by_target: dict[identifiers.TargetId, int] = {}
        self._refusals_by_target: dict[identifiers.TargetId, int] = {}
        self._wait_by_target: dict[identifiers.TargetId, datetime.datetime] = {}

    def next(
        self, target: identifiers.TargetId, now: datetime.datetime, above: int = 0
    ) -> identifiers.FencingToken:
        """Return a token higher than all that are known for the target, and than ``above``."""
        milliseconds = clocks.to_epoch_ms(now)
        token = milliseconds * _PER_MILLISECOND + self._rng.randrange(_PER_MILLISECOND)
        floor = max(self._floor_by_target.get(target, 0), above)
        return identifiers.FencingToken(max(token, floor + 1))

    def may_claim(self, target: identifiers.TargetId, now: datetime.datetime) -> bool:
        """Return whether the delay after the target's last rejection has passed."""
        return now >= self._wait_by_target.get(target, now)

    def refused(
        self,
        target: identifiers.TargetId,
        token: identifiers.FencingToken,
        now: datetime.datetime,
    ) -> None:
        """Record that a target rejected a token because it has seen a higher one."""
        count = self._refusals_by_target.get(target, 0)
        self._refusals_by_target[target] = count + 1
        pause = min(_FIRST_PAUSE * 2**count, timings.CLAIM_DEFERENCE)
        self._wait_by_target[target] = now + pause
        self._floor_by_target[target] = token + _RAISE * 2 ** min(count, _MOST_DOUBLINGS)

    def exceed(self, target: identifiers.TargetId, token: identifiers.FencingToken) -> None:
        """Make later tokens for a target exceed ``token``, so that they fence off its requests."""
        known = self._floor_by_target.get(target, 0)
        self._floor_by_target[target] = max(known, token)

    def accepted(self, target: identifiers.TargetId) -> None:
        """Record that a target has accepted this node's token."""
        self._refusals_by_target.pop(target, None)

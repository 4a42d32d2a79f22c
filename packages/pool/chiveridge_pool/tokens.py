"""Fencing tokens, derived from the time and raised above those that a target has rejected.

A target keeps the highest token that it has seen. It thereby orders any two owners itself, and the
owners need no prior agreement.
"""

import datetime
import random

from chiveridge_kernel import clocks
from chiveridge_pool import identifiers, timings

_TOKENS_PER_MS = 1000
_REJECTION_INCREMENT = 10_000 * _TOKENS_PER_MS
"""Added after the first rejection: 10 s, more than the difference between two nodes' clocks.

Doubles with each consecutive rejection, since other owners may have raised their tokens too.
"""

_MAX_DOUBLINGS = 10
"""Limits one increment to nearly three hours, which keeps tokens below 2**53."""

_FIRST_CLAIM_DELAY = datetime.timedelta(milliseconds=300)


class TokenSource:
    """Issues tokens, and tracks which targets rejected one."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._floor_by_target: dict[identifiers.TargetId, int] = {}
        self._rejections_by_target: dict[identifiers.TargetId, int] = {}
        self._claim_due_by_target: dict[identifiers.TargetId, datetime.datetime] = {}

    def next(
        self, target: identifiers.TargetId, now: datetime.datetime, above: int = 0
    ) -> identifiers.FencingToken:
        """Return a token higher than all that are known for the target, and than ``above``.

        It is known from now on: a later claim fences off what was sent under it.
        """
        milliseconds = clocks.to_epoch_ms(now)
        token = milliseconds * _TOKENS_PER_MS + self._rng.randrange(_TOKENS_PER_MS)
        floor = max(self._floor_by_target.get(target, 0), above)
        token = max(token, floor + 1)
        self._floor_by_target[target] = token
        return identifiers.FencingToken(token)

    def may_claim(self, target: identifiers.TargetId, now: datetime.datetime) -> bool:
        """Return whether the delay after the target's last rejection has passed."""
        return now >= self._claim_due_by_target.get(target, now)

    def record_rejection(
        self,
        target: identifiers.TargetId,
        token: identifiers.FencingToken,
        now: datetime.datetime,
    ) -> None:
        """Record that a target rejected a token because it has seen a higher one."""
        count = self._rejections_by_target.get(target, 0)
        self._rejections_by_target[target] = count + 1
        delay = min(_FIRST_CLAIM_DELAY * 2**count, timings.MAX_CLAIM_BACKOFF)
        self._claim_due_by_target[target] = now + delay
        self._floor_by_target[target] = token + _REJECTION_INCREMENT * 2 ** min(
            count, _MAX_DOUBLINGS
        )

    def raise_floor(self, target: identifiers.TargetId, token: identifiers.FencingToken) -> None:
        """Make later tokens for a target exceed ``token``, so that they fence off its requests."""
        known = self._floor_by_target.get(target, 0)
        self._floor_by_target[target] = max(known, token)

    def record_acceptance(self, target: identifiers.TargetId) -> None:
        """Record that a target has accepted this node's token."""
        self._rejections_by_target.pop(target, None)

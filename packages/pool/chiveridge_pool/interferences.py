"""Learns which queues' tasks slow each other down on one target, from their run times.

A run counts as beside a queue if one of that queue's runs was on its target both as it started and
as it ended, and as apart from it if none was at either time. The mean excess of the runs beside is
compared with that of the runs apart; see docs/design/interference.md.
"""

import math
from collections.abc import Container, Iterable

from chiveridge_pool import identifiers

MIN_RUNS = 20
"""Runs beside and apart before anything is concluded from their difference."""

MIN_SLOWDOWN = 1.1
"""Slowdown that is certainly exceeded before two queues are kept apart."""

_STANDARD_ERRORS = 3.0
"""Standard errors by which the difference must exceed the slowdown; many pairs are compared."""

_MAX_WEIGHT = 400.0
"""Runs after which older ones are forgotten gradually, so that a change is noticed."""

_MAX_QUEUES = 32
"""Queues that are compared; the pairs grow with their square."""

_Pair = tuple[identifiers.QueueName, identifiers.QueueName]


class _Mean:
    """Mean and variance of values, of which the older ones fade."""

    __slots__ = ("mean", "weight", "_squares")

    def __init__(self):
        self.weight = 0.0
        self.mean = 0.0
        self._squares = 0.0

    def add(self, value: float) -> None:
        """Add a value."""
        if self.weight >= _MAX_WEIGHT:
            self.weight /= 2
            self._squares /= 2
        self.weight += 1
        delta = value - self.mean
        self.mean += delta / self.weight
        self._squares += delta * (value - self.mean)

    def squared_error(self) -> float:
        """Return the square of the standard error of the mean."""
        return self._squares / (self.weight - 1) / self.weight


class Interferences:
    """The pairs of queues of which one's runs take longer beside the other's."""

    def __init__(self):
        self._beside_by_pair: dict[_Pair, _Mean] = {}
        self._apart_by_pair: dict[_Pair, _Mean] = {}
        self._queues: set[identifiers.QueueName] = set()
        self._slowdown_by_pair: dict[_Pair, float] = {}

    def record(
        self,
        queue: identifiers.QueueName,
        excess: float,
        at_start: Container[identifiers.QueueName],
        at_end: Container[identifiers.QueueName],
    ) -> _Pair | None:
        """Record a run that is done; return a pair if this has changed what is concluded of it.

        ``excess`` is the natural logarithm of its run time over what is typical for the queue on
        that target. ``at_start`` and ``at_end`` hold the queues of the other runs on the target.
        """
        if queue not in self._queues and len(self._queues) >= _MAX_QUEUES:
            return None
        self._queues.add(queue)
        changed = None
        for other in self._queues:
            was_beside = other in at_start
            if was_beside != (other in at_end):
                continue
            pair = (queue, other)
            means = self._beside_by_pair if was_beside else self._apart_by_pair
            means.setdefault(pair, _Mean()).add(excess)
            if self._conclude(pair):
                changed = pair
        return changed

    def _conclude(self, pair: _Pair) -> bool:
        """Compare the runs beside and apart; return whether the conclusion has changed."""
        beside, apart = self._beside_by_pair.get(pair), self._apart_by_pair.get(pair)
        if beside is None or apart is None or min(beside.weight, apart.weight) < MIN_RUNS:
            return False
        difference = beside.mean - apart.mean
        error = math.sqrt(beside.squared_error() + apart.squared_error())
        was_found = pair in self._slowdown_by_pair
        # Hysteresis keeps a pair that is close to the limit from changing with every run.
        limit = math.log(MIN_SLOWDOWN) / (2 if was_found else 1)
        is_found = difference - _STANDARD_ERRORS * error > limit
        if is_found:
            self._slowdown_by_pair[pair] = math.exp(difference)
        else:
            self._slowdown_by_pair.pop(pair, None)
        return is_found != was_found

    def found(self) -> dict[_Pair, float]:
        """Return the factor by which the first queue's runs are slowed down, by pair."""
        return dict(self._slowdown_by_pair)

    def has_any(self) -> bool:
        """Return whether any pair was found."""
        return bool(self._slowdown_by_pair)

    def disturb(
        self, queue: identifiers.QueueName, others: Iterable[identifiers.QueueName]
    ) -> bool:
        """Return whether a run of a queue and runs of others slow down each other."""
        pairs = self._slowdown_by_pair
        return any((queue, other) in pairs or (other, queue) in pairs for other in others)

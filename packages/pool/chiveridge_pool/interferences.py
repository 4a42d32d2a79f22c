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

_IDLE_AFTER_RUNS = 10_000
"""Runs of other queues after which a queue without runs makes room for a new one."""

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
        self._last_run_by_queue: dict[identifiers.QueueName, int] = {}
        self._run_count = 0
        # What this owner has found itself, and what others have.
        self._slowdown_by_pair: dict[_Pair, float] = {}
        self._reported_pairs: frozenset[_Pair] = frozenset()
        self._followed_pairs: frozenset[_Pair] = frozenset()

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
        self._run_count += 1
        if queue not in self._last_run_by_queue and not self._make_room():
            return None
        self._last_run_by_queue[queue] = self._run_count
        changed = None
        for other in self._last_run_by_queue:
            was_beside = other in at_start
            if was_beside != (other in at_end):
                continue
            pair = (queue, other)
            means = self._beside_by_pair if was_beside else self._apart_by_pair
            means.setdefault(pair, _Mean()).add(excess)
            if self._conclude(pair):
                changed = pair
            if pair in self._followed_pairs and self._is_refuted(pair):
                self._follow()
        if changed is not None:
            self._follow()
        return changed

    def _make_room(self) -> bool:
        """Return whether a further queue can be compared; forget one without runs for it."""
        if len(self._last_run_by_queue) < _MAX_QUEUES:
            return True
        idle, last_run = min(self._last_run_by_queue.items(), key=lambda item: item[1])
        if self._run_count - last_run < _IDLE_AFTER_RUNS:
            return False
        del self._last_run_by_queue[idle]
        for by_pair in (self._beside_by_pair, self._apart_by_pair, self._slowdown_by_pair):
            for pair in [pair for pair in by_pair if idle in pair]:
                del by_pair[pair]
        self._follow()
        return True

    def _has_evidence(self, pair: _Pair) -> bool:
        beside, apart = self._beside_by_pair.get(pair), self._apart_by_pair.get(pair)
        if beside is None or apart is None:
            return False
        return min(beside.weight, apart.weight) >= MIN_RUNS

    def _is_refuted(self, pair: _Pair) -> bool:
        """Return whether this owner knows a pair well enough and has not found it."""
        return self._has_evidence(pair) and pair not in self._slowdown_by_pair

    def _conclude(self, pair: _Pair) -> bool:
        """Compare the runs beside and apart; return whether the conclusion has changed."""
        if not self._has_evidence(pair):
            return False
        beside, apart = self._beside_by_pair[pair], self._apart_by_pair[pair]
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

    def set_reported(self, reported: Iterable[_Pair]) -> None:
        """Set the pairs that other owners have found; they count where this one knows too little.

        Thus a process that has started anew need not learn them again.
        """
        self._reported_pairs = frozenset(reported)
        self._follow()

    def _follow(self) -> None:
        """Combine the own findings with those of others."""
        reported = {pair for pair in self._reported_pairs if not self._is_refuted(pair)}
        self._followed_pairs = reported | self._slowdown_by_pair.keys()

    def found(self) -> dict[_Pair, float]:
        """Return the factor by which this owner has found the first queue's runs slowed down."""
        return dict(self._slowdown_by_pair)

    def found_pairs(self) -> tuple[_Pair, ...]:
        """Return the pairs that this owner has found, sorted."""
        return tuple(sorted(self._slowdown_by_pair))

    def followed(self) -> frozenset[_Pair]:
        """Return the pairs that are kept apart, as found here or by other owners."""
        return self._followed_pairs

    def has_any(self) -> bool:
        """Return whether any pair was found here or elsewhere."""
        return bool(self._followed_pairs)

    def disturb(
        self, queue: identifiers.QueueName, others: Iterable[identifiers.QueueName]
    ) -> bool:
        """Return whether a run of a queue and runs of others slow down each other."""
        pairs = self._followed_pairs
        return any((queue, other) in pairs or (other, queue) in pairs for other in others)

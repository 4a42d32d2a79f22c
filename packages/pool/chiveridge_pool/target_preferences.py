"""Prefers targets for a task among those that have room, by speed and by what runs beside it."""

import collections
import enum
import math

from chiveridge_pool import (
    grants,
    identifiers,
    interferences,
    messages,
    notes,
    outboxes,
    owned_targets,
    target_speeds,
)

_LONG_RATIO = 2.0
"""Declared run time relative to the typical one from which a task counts as long."""

_ESTIMATE_WEIGHT = 0.01
"""Weight of the newest task in the typical declared run time."""


class Preference(enum.Enum):
    """What is learned of targets and tasks, and followed when a target is chosen."""

    SPEED = "speed"
    SEPARATION = "separation"


ALL = frozenset(Preference)


class TargetPreferences:
    """What an owner has learned of its targets and of the queues whose tasks run there."""

    def __init__(self, outbox: outboxes.Outbox, enabled: frozenset[Preference]):
        self._outbox = outbox
        self._enabled = enabled
        self.speeds = target_speeds.TargetSpeeds()
        self.interferences = interferences.Interferences()
        self.choices_by_reason: collections.Counter[Preference] = collections.Counter()
        self._typical_estimate: float | None = None

    def record_start(self, owned: owned_targets.OwnedTarget, grant: grants.Grant) -> None:
        """Record what runs beside a task as it starts, and its declared run time."""
        if not self._enabled:
            return
        grant.beside_at_start = _queues_beside(owned, grant)
        logarithm = math.log(max(grant.estimate.total_seconds(), 0.001))
        if self._typical_estimate is None:
            self._typical_estimate = logarithm
        self._typical_estimate += _ESTIMATE_WEIGHT * (logarithm - self._typical_estimate)

    def record_completion(
        self,
        owned: owned_targets.OwnedTarget,
        grant: grants.Grant,
        excess: float,
        *,
        is_slow: bool,
    ) -> None:
        """Learn from a run that is done.

        ``excess`` is the natural logarithm of its run time over what is typical for its queue.
        ``is_slow``: the target is slower than it usually is, which tells nothing of its speed.
        """
        own_excess = excess - self.speeds.excess_of(owned.target.id)
        if Preference.SPEED in self._enabled and not is_slow:
            self.speeds.record(owned.target.id, excess)
        if Preference.SEPARATION in self._enabled:
            self._compare_queues(owned, grant, own_excess)

    def _compare_queues(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, excess: float
    ) -> None:
        beside_at_end = _queues_beside(owned, grant)
        changed = self.interferences.record(
            grant.queue, excess, grant.beside_at_start, beside_at_end
        )
        if changed is not None:
            slowdown = self.interferences.found().get(changed, 1.0)
            self._outbox.note(
                notes.NoteEvent.INTERFERENCE_CHANGED,
                queue=changed[0],
                beside=changed[1],
                slowdown=round(slowdown, 2),
            )

    def are_any_known(self) -> bool:
        """Return whether anything is known that tells targets apart."""
        return self.speeds.has_fast() or self.interferences.has_any()

    def rank(
        self,
        message: messages.CapacityRequest,
        owned: owned_targets.OwnedTarget,
        *,
        is_long: bool,
    ) -> tuple[bool, bool]:
        """Return how well a target suits a task; the lowest is preferred.

        Long tasks go to fast targets, where they end in time even if they have waited, and the
        others leave these free for them. Neither keeps a task from a target with room.
        """
        is_disturbed = self.interferences.has_any() and self.interferences.disturb(
            message.queue, (grant.queue for grant in owned.grants_by_id.values())
        )
        return is_disturbed, self.speeds.is_fast(owned.target.id) != is_long

    def record_choice(self, chosen: tuple[bool, bool], otherwise: tuple[bool, bool]) -> None:
        """Count a choice by what decided it, from the ranks of the target and of the fullest."""
        if chosen[0] != otherwise[0]:
            self.choices_by_reason[Preference.SEPARATION] += 1
        elif chosen != otherwise:
            self.choices_by_reason[Preference.SPEED] += 1

    def is_long(self, message: messages.CapacityRequest) -> bool:
        """Return whether a task's declared run time is far above the typical one."""
        if self._typical_estimate is None:
            return False
        limit = math.log(_LONG_RATIO) + self._typical_estimate
        return math.log(max(message.estimate_ms / 1000, 0.001)) > limit


def _queues_beside(
    owned: owned_targets.OwnedTarget, grant: grants.Grant
) -> frozenset[identifiers.QueueName]:
    return frozenset(other.queue for other in owned.grants_by_id.values() if other.id != grant.id)

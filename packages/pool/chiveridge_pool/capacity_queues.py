"""Capacity requests queued at an owner, and the choice of a target for each task."""

import datetime

from chiveridge_pool import identifiers, messages, owned_targets, resources, target_preferences

_Key = tuple[identifiers.NodeId, identifiers.JobId, int, bool]


class QueuedRequest:
    """The newest capacity request for a step of a job, and how many tasks it still waits for."""

    def __init__(self, message: messages.CapacityRequest):
        self.message = message
        self.outstanding = message.count


class CapacityQueue:
    """Queued requests by requesting node, job and step."""

    def __init__(self):
        self._by_key: dict[_Key, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def put_or_replace(self, message: messages.CapacityRequest) -> QueuedRequest:
        """Add a request; it replaces an earlier one for the same step."""
        queued = self._by_key[_key(message)] = QueuedRequest(message)
        return queued

    def withdraw(self, message: messages.CapacityWithdrawal) -> None:
        """Remove the request for a step."""
        self._by_key.pop(_key(message), None)

    def forget_node(self, node: identifiers.NodeId) -> None:
        """Remove all requests of a node."""
        for key in [key for key in self._by_key if key[0] == node]:
            del self._by_key[key]

    def nodes(self) -> set[identifiers.NodeId]:
        """Return the nodes with queued requests."""
        return {key[0] for key in self._by_key}

    def min_cpu(self) -> int:
        """Return the least processor capacity that a queued task needs."""
        return min(request.message.size.cpu for request in self._by_key.values())

    def by_rank(self) -> list[QueuedRequest]:
        """Return the requests by rank, the next to be served first."""
        return sorted(self._by_key.values(), key=lambda request: request.message.rank)

    def remove_if_served(self, request: QueuedRequest) -> None:
        """Remove a request once it is completely served."""
        if request.outstanding <= 0:
            self.remove(request)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request, unless a later one has replaced it."""
        key = _key(request.message)
        if self._by_key.get(key) is request:
            del self._by_key[key]


def _key(message: messages.CapacityRequest | messages.CapacityWithdrawal) -> _Key:
    return message.sender, message.job, message.step, message.is_isolated


class UnfitSizes:
    """Sizes that fit on none of an owner's targets, while free capacity does not grow.

    With hundreds of requests in the queue of a full owner, looking for a target for each of them
    would take most of its processor time.
    """

    def __init__(self):
        self._sizes_by_kind: dict[tuple, list[resources.Resources]] = {}

    def add(self, message: messages.CapacityRequest) -> None:
        """Record that a task of a request fits nowhere, unless other limits may be the reason."""
        if not message.per_target and not message.avoided:
            self._sizes_by_kind.setdefault(_kind(message), []).append(message.size)

    def cover(self, message: messages.CapacityRequest) -> bool:
        """Return whether a task fits nowhere, as one that needs no more of anything does not."""
        return any(
            size.fits_in(message.size) for size in self._sizes_by_kind.get(_kind(message), ())
        )


def _kind(message: messages.CapacityRequest) -> tuple:
    return message.service, message.label, message.is_isolated


def choose_target(
    message: messages.CapacityRequest,
    usable_targets: list[owned_targets.OwnedTarget],
    preferences: target_preferences.TargetPreferences,
) -> owned_targets.OwnedTarget | None:
    """Return the target for one task, or None if it fits nowhere.

    Targets near the data are preferred, then those where the task is not slowed down and whose
    speed suits it, then those with the least free processor capacity.
    """
    fitting = [owned for owned in usable_targets if _is_eligible(message, owned)]
    if len(fitting) <= 1:
        return fitting[0] if fitting else None
    if not preferences.are_any_known():
        return min(fitting, key=lambda owned: (not _is_near(message, owned), owned.free_cpu()))
    return _choose_preferred(message, fitting, preferences)


def _choose_preferred(
    message: messages.CapacityRequest,
    fitting: list[owned_targets.OwnedTarget],
    preferences: target_preferences.TargetPreferences,
) -> owned_targets.OwnedTarget:
    is_long = preferences.is_long(message)
    candidates = [
        (
            not _is_near(message, owned),
            preferences.rank(message, owned, is_long=is_long),
            owned.free_cpu(),
            owned,
        )
        for owned in fitting
    ]
    chosen = min(candidates, key=lambda candidate: candidate[:3])
    fullest = min(candidates, key=lambda candidate: (candidate[0], candidate[2]))
    preferences.record_choice(chosen[1], fullest[1])
    return chosen[3]


def declared_run_time(
    message: messages.CapacityRequest, owned: owned_targets.OwnedTarget
) -> datetime.timedelta:
    """Return the declared run time of a task on a target, which is longer away from its data."""
    run_time = datetime.timedelta(milliseconds=message.estimate_ms)
    return run_time if _is_near(message, owned) else run_time * message.remote_factor


def _is_eligible(message: messages.CapacityRequest, owned: owned_targets.OwnedTarget) -> bool:
    target = owned.target
    if owned.has_isolated_run() or (message.is_isolated and owned.grants_by_id):
        return False
    if target.service != message.service or not message.size.fits_in(owned.free()):
        return False
    if target.id in message.avoided:
        return False
    if message.label and message.label not in target.labels:
        return False
    if not message.per_target:
        return True
    running_on_target = sum(
        grant.job == message.job and grant.step == message.step
        for grant in owned.grants_by_id.values()
    )
    return running_on_target < message.per_target


def _is_near(message: messages.CapacityRequest, owned: owned_targets.OwnedTarget) -> bool:
    return not message.rack or message.rack in owned.target.labels

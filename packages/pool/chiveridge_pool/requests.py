"""Capacity requests queued at an owner, and the choice of a target for each task."""

import datetime

from chiveridge_pool import holdings, identifiers, messages

_Key = tuple[identifiers.NodeId, identifiers.JobId, int]


class Request:
    """The newest capacity request for a step of a job, and how many tasks it still waits for."""

    def __init__(self, ask: messages.Ask):
        self.ask = ask
        self.left = ask.count


class Requests:
    """Queued requests by requesting node, job and step."""

    def __init__(self):
        self._by_key: dict[_Key, Request] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def put(self, ask: messages.Ask) -> None:
        """Add a request; it replaces an earlier one for the same step."""
        self._by_key[_key(ask)] = Request(ask)

    def withdraw(self, message: messages.Withdraw) -> None:
        """Remove the request for a step."""
        self._by_key.pop((message.sender, message.job, message.step), None)

    def forget_node(self, node: identifiers.NodeId) -> None:
        """Remove all requests of a node."""
        for key in [key for key in self._by_key if key[0] == node]:
            del self._by_key[key]

    def nodes(self) -> set[identifiers.NodeId]:
        """Return the nodes with queued requests."""
        return {node for node, _, _ in self._by_key}

    def in_order(self) -> list[Request]:
        """Return the requests by rank, the next to be served first."""
        return sorted(self._by_key.values(), key=lambda request: request.ask.rank)

    def settle(self, request: Request) -> None:
        """Remove a request once it is completely served."""
        key = _key(request.ask)
        if request.left <= 0 and self._by_key.get(key) is request:
            del self._by_key[key]


def _key(ask: messages.Ask) -> _Key:
    return ask.sender, ask.job, ask.step


def choose_target(ask: messages.Ask, usable: list[holdings.Holding]) -> holdings.Holding | None:
    """Return the target for one task, or None if it fits nowhere.

    Targets near the data are preferred, then those with the least free processor capacity.
    """
    fitting = [holding for holding in usable if _is_eligible(ask, holding)]
    if not fitting:
        return None
    return min(fitting, key=lambda holding: (not _is_near(ask, holding), holding.free().cpu))


def expected_time(ask: messages.Ask, holding: holdings.Holding) -> datetime.timedelta:
    """Return the declared run time of a task on a target, which is longer away from its data."""
    run_time = datetime.timedelta(milliseconds=ask.estimate_ms)
    return run_time if _is_near(ask, holding) else run_time * ask.remote_factor


def _is_eligible(ask: messages.Ask, holding: holdings.Holding) -> bool:
    target = holding.target
    if target.service != ask.service or not ask.size.fits_in(holding.free()):
        return False
    if ask.label and ask.label not in target.labels:
        return False
    if not ask.per_target:
        return True
    running_on_target = sum(
        grant.job == ask.job and grant.step == ask.step for grant in holding.grants_by_id.values()
    )
    return running_on_target < ask.per_target


def _is_near(ask: messages.Ask, holding: holdings.Holding) -> bool:
    return not ask.rack or ask.rack in holding.target.labels

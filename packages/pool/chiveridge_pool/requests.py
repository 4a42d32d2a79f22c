"""Asks for room that wait at an owner, in the order in which they are served."""

from chiveridge_pool import holdings, identifiers, messages

_Key = tuple[identifiers.NodeId, identifiers.JobId]


class Request:
    """The newest ask of one job."""

    def __init__(self, ask: messages.Ask):
        self.ask = ask
        self.left = ask.count


class Requests:
    """Waiting asks by node and job."""

    def __init__(self):
        self._by_key: dict[_Key, Request] = {}

    def put(self, ask: messages.Ask) -> Request:
        """Add an ask, in place of an earlier one of the job."""
        request = Request(ask)
        self._by_key[ask.sender, ask.job] = request
        return request

    def withdraw(self, node: identifiers.NodeId, job: identifiers.JobId) -> None:
        """Forget the ask of a job."""
        self._by_key.pop((node, job), None)

    def forget_node(self, node: identifiers.NodeId) -> None:
        """Forget the asks of a node."""
        for key in [key for key in self._by_key if key[0] == node]:
            del self._by_key[key]

    def nodes(self) -> set[identifiers.NodeId]:
        """Return the nodes with waiting asks."""
        return {node for node, _ in self._by_key}

    def in_order(self) -> list[Request]:
        """Return the asks, first to be served first."""
        return sorted(self._by_key.values(), key=lambda request: request.ask.rank)

    def settle(self, request: Request) -> None:
        """Forget an ask that is served whole."""
        key = (request.ask.sender, request.ask.job)
        if request.left <= 0 and self._by_key.get(key) is request:
            del self._by_key[key]


def choose_target(ask: messages.Ask, usable: list[holdings.Holding]) -> holdings.Holding | None:
    """Return the target for one task: one that fits, near its data, with least room to spare."""
    fitting = [holding for holding in usable if _suits(ask, holding)]
    if not fitting:
        return None
    return min(fitting, key=lambda holding: (not _is_near(ask, holding), holding.free().cpu))


def _suits(ask: messages.Ask, holding: holdings.Holding) -> bool:
    target = holding.target
    if target.service != ask.service or not ask.size.fits_in(holding.free()):
        return False
    if ask.label and ask.label not in target.labels:
        return False
    if not ask.per_target:
        return True
    same = sum(grant.job == ask.job for grant in holding.grants_by_id.values())
    return same < ask.per_target


def _is_near(ask: messages.Ask, holding: holdings.Holding) -> bool:
    return not ask.rack or ask.rack in holding.target.labels

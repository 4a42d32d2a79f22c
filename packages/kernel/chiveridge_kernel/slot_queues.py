"""Queue of slot requests at an owner: earliest due time first, with fairness between teams."""

import heapq
import itertools
from collections.abc import Callable

import msgspec

from chiveridge_kernel import identifiers


class TargetQuery(msgspec.Struct, frozen=True):
    """The criteria that select the targets on which a request can be served."""

    team: identifiers.TeamName
    selector: str
    memory_mb: int = 0
    cores: int = 0
    accelerators: int = 0


class WaitingRequest(msgspec.Struct, kw_only=True, eq=False):
    """A queued slot request; ``wanted`` 0 means that it was served in full or cancelled."""

    node: identifiers.NodeName
    demand_id: int
    query: TargetQuery
    arrived_at_ms: int
    due_ms: int
    wanted: int


class SlotQueue:
    """Waiting requests, kept in one heap for each query and ordered by due time."""

    def __init__(self):
        self._heaps_by_query: dict[TargetQuery, list[tuple[int, int, WaitingRequest]]] = {}
        self._requests_by_demand: dict[tuple[str, int], WaitingRequest] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._requests_by_demand)

    def put(self, request: WaitingRequest) -> None:
        """Add a request, replacing an earlier one of the same demand."""
        key = (request.node, request.demand_id)
        self.cancel(*key)
        if request.wanted <= 0:
            return
        self._requests_by_demand[key] = request
        heap = self._heaps_by_query.setdefault(request.query, [])
        heapq.heappush(heap, (request.due_ms, next(self._order), request))

    def cancel(self, node: str, demand_id: int) -> None:
        """Remove a request, if it is queued."""
        request = self._requests_by_demand.pop((node, demand_id), None)
        if request is not None:
            request.wanted = 0

    def drop_node(self, node: str) -> None:
        """Remove all requests of a node."""
        for key in [key for key in self._requests_by_demand if key[0] == node]:
            self.cancel(*key)

    def heads(self) -> list[WaitingRequest]:
        """Return the request with the earliest due time of each query."""
        found = []
        for query in list(self._heaps_by_query):
            head = self._head(query)
            if head is not None:
                found.append(head)
        return found

    def record_grant(self, request: WaitingRequest, count: int) -> None:
        """Subtract granted slots from a request; remove it when none are wanted any more."""
        request.wanted -= count
        if request.wanted <= 0:
            self._requests_by_demand.pop((request.node, request.demand_id), None)

    def _head(self, query: TargetQuery) -> WaitingRequest | None:
        heap = self._heaps_by_query[query]
        while heap and heap[0][2].wanted <= 0:
            heapq.heappop(heap)
        if not heap:
            del self._heaps_by_query[query]
            return None
        return heap[0][2]


def order_by_rank(
    heads: list[WaitingRequest], rank: Callable[[str], tuple]
) -> list[WaitingRequest]:
    """Sort requests by the rank of their teams, then by due time."""
    if len(heads) < 2:
        return heads
    return sorted(heads, key=lambda head: (rank(head.query.team), head.due_ms))

"""The queue of slot requests at an owner: earliest due first, and fair between teams."""

import heapq
import itertools
from collections.abc import Callable

import msgspec

from chiveridge_kernel import identifiers


class Query(msgspec.Struct, frozen=True):
    """What decides on which targets a request can be served."""

    team: identifiers.TeamName
    selector: str
    memory_mb: int = 0
    cores: int = 0
    accelerators: int = 0


class WaitingRequest(msgspec.Struct, kw_only=True, eq=False):
    """A request that still wants slots; ``wanted`` 0 means that it is done or cancelled."""

    node: identifiers.NodeName
    demand_id: int
    query: Query
    arrived_at_ms: int
    due_ms: int
    wanted: int


class SlotQueue:
    """Waiting requests by query; each query's requests are in order of when they are due."""

    def __init__(self):
        self._heaps_by_query: dict[Query, list[tuple[int, int, WaitingRequest]]] = {}
        self._requests_by_demand: dict[tuple[str, int], WaitingRequest] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._requests_by_demand)

    def put(self, request: WaitingRequest) -> None:
        """Add a request; it replaces an earlier one of the same demand."""
        key = (request.node, request.demand_id)
        self.cancel(*key)
        if request.wanted <= 0:
            return
        self._requests_by_demand[key] = request
        heap = self._heaps_by_query.setdefault(request.query, [])
        heapq.heappush(heap, (request.due_ms, next(self._order), request))

    def cancel(self, node: str, demand_id: int) -> None:
        """Remove a request; an unknown one changes nothing."""
        request = self._requests_by_demand.pop((node, demand_id), None)
        if request is not None:
            request.wanted = 0

    def drop_node(self, node: str) -> None:
        """Remove every request of a node."""
        for key in [key for key in self._requests_by_demand if key[0] == node]:
            self.cancel(*key)

    def heads(self) -> list[WaitingRequest]:
        """Return the request of each query that is due first."""
        found = []
        for query in list(self._heaps_by_query):
            head = self._head(query)
            if head is not None:
                found.append(head)
        return found

    def record_grant(self, request: WaitingRequest, count: int) -> None:
        """Note that a request was granted slots."""
        request.wanted -= count
        if request.wanted <= 0:
            self._requests_by_demand.pop((request.node, request.demand_id), None)

    def _head(self, query: Query) -> WaitingRequest | None:
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
    """Order requests by the rank of their teams, those of equal rank by when they are due."""
    if len(heads) < 2:
        return heads
    return sorted(heads, key=lambda head: (rank(head.query.team), head.due_ms))
